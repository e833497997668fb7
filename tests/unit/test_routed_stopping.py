"""Calls that come to a VM that stops."""

import dataclasses

import pytest

from bilberryspoke._internal.models.events import StopRequested, Tick
from bilberryspoke._internal.models.routing import SendStatus
from bilberryspoke._internal.models.routing_effects import RefuseCall, Send
from tests.lib.routedcore import (
    DRAFT_ROUTE,
    READ_ROUTE,
    RUN_ONCE_ROUTE,
    TIGHT_GAP_ROUTE,
    RoutedCore,
    build_call,
    build_route,
    fill_engines,
)


def complete_answer(core, route, *, seconds):
    """Complete a call of a route that takes some seconds, from 0 s on."""
    call = build_call('before', route, own_tokens=10)
    send = core.arrive(call, now=0.0)
    core.progress(send, now=seconds / 2)
    core.end(send, SendStatus.finished, now=seconds)


def arrive_while_stopping(core, route, *, since_s):
    """Return the decision on a call some seconds after the stop began.

    The stop begins at 10 s.
    """
    core.handle(StopRequested(), now=10.0)
    now = 10.0 + since_s
    call = build_call('late', route, own_tokens=10, now=now)
    return core.arrive(call, now=now)


@pytest.mark.parametrize(
    ('answer_s', 'since_s', 'is_served'),
    [
        (1.0, 0.5, True),
        (1.0, 1.0, True),
        # Streams of the route may take 15 s, so that 6 s are expected at least.
        (1.0, 3.0, False),
        (5.0, 0.05, True),
        # Streams of 5 s and more were cut off at the end of the stop.
        (5.5, 3.0, False),
        (7.0, 0.1, False),
    ],
)
def test_stopping_vm_takes_only_calls_that_end_in_time(
    answer_s, since_s, is_served
):
    core = RoutedCore()
    complete_answer(core, TIGHT_GAP_ROUTE, seconds=answer_s)
    decision = arrive_while_stopping(core, TIGHT_GAP_ROUTE, since_s=since_s)
    assert isinstance(decision, Send if is_served else RefuseCall)


def test_stream_that_comes_as_the_servers_close_must_fit_by_its_deadline():
    """Streams that took longer than those before were cut off."""
    core = RoutedCore()
    complete_answer(core, DRAFT_ROUTE, seconds=1.0)
    decision = arrive_while_stopping(core, DRAFT_ROUTE, since_s=3.005)
    assert isinstance(decision, RefuseCall)
    assert decision.not_run


def test_refusal_of_stopping_vm_sends_the_caller_elsewhere_at_once():
    core = RoutedCore()
    complete_answer(core, TIGHT_GAP_ROUTE, seconds=7.0)
    decision = arrive_while_stopping(core, TIGHT_GAP_ROUTE, since_s=1.0)
    assert decision.not_run
    assert decision.retry_after_s == 0


def test_stream_of_unknown_length_is_taken_if_its_timeout_fits():
    short = build_route('gaps', timeout_s=4.0)
    decision = arrive_while_stopping(RoutedCore(), short, since_s=3.0)
    assert isinstance(decision, Send)
    long = build_route('gaps', timeout_s=15.0)
    decision = arrive_while_stopping(RoutedCore(), long, since_s=3.0)
    assert isinstance(decision, RefuseCall)


@pytest.mark.parametrize(
    ('timeout_s', 'since_s'), [(6.0, 0.5), (6.0, 2.8), (4.0, 3.0)]
)
def test_short_calls_are_taken_until_the_load_balancer_has_moved_on(
    timeout_s, since_s
):
    route = dataclasses.replace(READ_ROUTE, timeout_s=timeout_s)
    decision = arrive_while_stopping(RoutedCore(), route, since_s=since_s)
    assert isinstance(decision, Send)


@pytest.mark.parametrize('route', [READ_ROUTE, RUN_ONCE_ROUTE])
def test_plain_call_that_comes_as_the_servers_close_must_fit_by_its_deadline(
    route,
):
    # Calls of the last moment that took longer than expected were cut off.
    core = RoutedCore()
    complete_answer(core, route, seconds=0.1)
    decision = arrive_while_stopping(core, route, since_s=3.005)
    assert isinstance(decision, RefuseCall)
    assert decision.not_run


def test_call_that_waited_too_long_in_a_stopping_vm_is_refused():
    core = RoutedCore()
    complete_answer(core, TIGHT_GAP_ROUTE, seconds=5.0)
    core.handle(StopRequested(), now=10.0)
    fill_engines(core, now=10.0)
    # Drafts may take 6 s; 7.6 s after the begin of the stop they are cut off.
    refused = core.handle(Tick(), now=12.0)
    refusals = [each for each in refused if isinstance(each, RefuseCall)]
    assert {(each.reason, each.not_run) for each in refusals} == {
        ('stopping', True)
    }


def test_longest_answer_follows_the_load():
    core = RoutedCore()
    complete_answer(core, TIGHT_GAP_ROUTE, seconds=7.0)
    for number in range(100):
        call = build_call(f'c{number}', TIGHT_GAP_ROUTE, own_tokens=10, now=8)
        send = core.arrive(call, now=8.0)
        core.end(send, SendStatus.finished, now=9.0)
    decision = arrive_while_stopping(core, TIGHT_GAP_ROUTE, since_s=1.0)
    assert isinstance(decision, Send)


def test_open_streams_tell_how_long_answers_take():
    """A stopping VM had seen only the shortest answers of a young load."""
    core = RoutedCore()
    complete_answer(core, DRAFT_ROUTE, seconds=0.5)
    core.arrive(build_call('open', now=6.0, shared='s1'), now=6.0)
    core.handle(StopRequested(), now=10.0)
    late = build_call('late', own_tokens=10, now=12.0)
    assert isinstance(core.arrive(late, now=12.0), RefuseCall)


def test_open_streams_count_after_a_change_of_the_routes():
    """The routes are other objects then, with the same names."""
    core = RoutedCore()
    complete_answer(core, DRAFT_ROUTE, seconds=0.5)
    core.arrive(build_call('open', now=6.0, shared='s1'), now=6.0)
    core.handle(StopRequested(), now=10.0)
    reloaded = build_route()
    assert reloaded is not DRAFT_ROUTE
    late = build_call('late', reloaded, own_tokens=10, now=12.0)
    assert isinstance(core.arrive(late, now=12.0), RefuseCall)
