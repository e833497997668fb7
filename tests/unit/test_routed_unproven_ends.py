"""Streams whose last answer ended without saying that this was its end."""

import asyncio

import pytest

from bilberryspoke._internal.models.events import Tick
from bilberryspoke._internal.models.routing import RetrySafety, SendStatus
from bilberryspoke._internal.models.routing_effects import (
    CancelSend,
    FinishStream,
    RefuseCall,
    Send,
)
from bilberryspoke._internal.network.routing.exchange import Exchange
from tests.lib.routedcore import (
    DRAFT_ROUTE,
    RoutedCore,
    build_call,
    build_route,
    end_unproven,
    fill_engines,
    list_sends,
)

THREE_SENDS_ROUTE = build_route(max_attempts=3)


def list_kinds(effects):
    """Return the kinds of the effects that concern a caller or an upstream."""
    kinds = (Send, FinishStream, RefuseCall, CancelSend)
    return [type(each) for each in effects if isinstance(each, kinds)]


def test_another_upstream_is_asked_for_what_follows():
    core = RoutedCore()
    first = core.arrive(build_call('c1'), now=0.0)
    [second] = list_sends(end_unproven(core, first, now=1.0))
    assert second.last_event_id == 5
    assert second.instance != first.instance
    assert list_kinds(core.end(second, SendStatus.finished, now=1.1)) == []
    assert not core.routing.calls


@pytest.mark.parametrize(
    'status', [SendStatus.refused, SendStatus.broken, SendStatus.failed]
)
def test_stream_counts_as_whole_if_nobody_tells(status):
    core = RoutedCore()
    first = core.arrive(build_call('c1'), now=0.0)
    [second] = list_sends(end_unproven(core, first, now=1.0))
    effects = core.end(second, status, now=1.1, delivered=True, last_event_id=5)
    assert list_kinds(effects) == [FinishStream]


def test_stream_that_went_on_and_broke_does_not_count_as_whole():
    core = RoutedCore()
    first = core.arrive(build_call('c1'), now=0.0)
    [second] = list_sends(end_unproven(core, first, now=1.0))
    core.progress(second, now=1.1, event=6)
    effects = core.end(
        second, SendStatus.broken, now=1.2, delivered=True, last_event_id=6
    )
    assert list_kinds(effects) == [RefuseCall]


def test_deadline_during_the_question_finishes_the_stream():
    core = RoutedCore()
    first = core.arrive(build_call('c1'), now=0.0)
    end_unproven(core, first, now=1.0)
    effects = core.handle(Tick(), now=DRAFT_ROUTE.timeout_s + 0.1)
    assert list_kinds(effects) == [CancelSend, FinishStream]


def test_stream_that_may_run_once_is_asked_of_nobody():
    core = RoutedCore()
    route = build_route(repeats=RetrySafety.never)
    first = core.arrive(build_call('c1', route), now=0.0)
    assert list_kinds(end_unproven(core, first, now=1.0)) == [FinishStream]


def test_nobody_is_asked_while_calls_wait():
    core = RoutedCore()
    first = core.arrive(build_call('c1'), now=0.0)
    fill_engines(core, now=0.5)
    effects = end_unproven(core, first, now=1.0)
    assert FinishStream in list_kinds(effects)
    assert not [each for each in list_sends(effects) if each.call_id == 'c1']


def test_questions_leave_half_of_the_retry_budget():
    core = RoutedCore()
    asked = 0
    for number in range(60):
        now = number * 0.02
        call = build_call(f'c{number}', THREE_SENDS_ROUTE, now=now)
        first = core.arrive(call, now=now)
        for second in list_sends(end_unproven(core, first, now=now + 0.01)):
            asked += 1
            core.end(second, SendStatus.finished, now=now + 0.015)
    budget = core.routing.budgets['llm']
    allowed = budget.share * len(budget.first_sends) + budget.reserve
    assert 0 < asked == len(budget.repeats) <= allowed / 2


def test_stream_that_went_on_meanwhile_is_not_finished():
    # The end was decided while the next event was on its way to the caller.
    sent = []

    async def send(message):
        sent.append(message)

    async def run():
        exchange = Exchange(
            build_call('c1'), 'POST', '/drafts/', b'', [], send=send
        )
        await exchange.finish_if_whole()
        assert not exchange.complete

    asyncio.run(run())
    assert not sent
