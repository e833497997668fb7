"""Retries: which calls are sent again, where and how often."""

import dataclasses

from hypothesis import given
from hypothesis import strategies as st

from bilberryspoke._internal.core.routing.retrybudget import SlidingRetryBudget
from bilberryspoke._internal.models.events import Tick
from bilberryspoke._internal.models.routing import SendStatus
from bilberryspoke._internal.models.routing_effects import (
    CancelSend,
    LogDecision,
    RefuseCall,
    RelayFailure,
    Send,
)
from bilberryspoke._internal.models.routing_events import (
    CallAbandoned,
)
from tests.lib.routedcore import (
    READ_ROUTE,
    RUN_ONCE_ROUTE,
    RoutedCore,
    build_call,
    find_decision,
    list_sends,
)


def test_non_idempotent_call_that_may_have_run_is_not_retried():
    core = RoutedCore()
    two_attempts_route = dataclasses.replace(RUN_ONCE_ROUTE, max_attempts=2)
    send = core.arrive(build_call('o', two_attempts_route), now=0.0)
    effects = core.end(send, SendStatus.broken, now=0.1)
    refusal = find_decision(effects)
    assert isinstance(refusal, RefuseCall)
    assert not refusal.not_run


def test_refusal_by_upstream_guarantees_not_run():
    core = RoutedCore()
    send = core.arrive(build_call('o', RUN_ONCE_ROUTE), now=0.0)
    refusal = find_decision(core.end(send, SendStatus.refused, now=0.1))
    assert refusal.not_run
    assert refusal.retry_after_s > 0


def test_log_of_a_promise_says_what_it_rests_on():
    core = RoutedCore(plain_upstreams=2)
    first = core.arrive(build_call('c1', RUN_ONCE_ROUTE), now=0.0)
    second = find_decision(core.end(first, SendStatus.unsent, now=0.1))
    effects = core.end(second, SendStatus.refused, now=0.15)
    [fields] = [
        each.fields
        for each in effects
        if isinstance(each, LogDecision) and each.event == 'call_refused'
    ]
    assert fields['not_run']
    assert fields['ended_sends'] == [
        f'{first.instance} unsent 0.1',
        f'{second.instance} refused 0.05',
    ]


def test_misdirected_send_does_not_count_as_attempt():
    """The engine crashed, and another one now has its address."""
    core = RoutedCore()
    send = core.arrive(build_call('o', RUN_ONCE_ROUTE), now=0.0)
    again = find_decision(core.end(send, SendStatus.misdirected, now=0.1))
    assert isinstance(again, Send)
    refusal = find_decision(core.end(again, SendStatus.refused, now=0.2))
    assert (refusal.reason, refusal.not_run) == ('upstream_refused', True)


def test_unsent_call_is_retried_at_another_upstream():
    core = RoutedCore()
    send = core.arrive(build_call('o', RUN_ONCE_ROUTE), now=0.0)
    again = find_decision(core.end(send, SendStatus.unsent, now=0.1))
    assert isinstance(again, Send)
    assert again.instance != send.instance


def test_broken_stream_resumes_after_its_last_event():
    core = RoutedCore()
    send = core.arrive(build_call('d'), now=0.0)
    core.progress(send, now=0.1, event=4)
    again = find_decision(
        core.end(send, SendStatus.broken, now=0.2, delivered=True),
    )
    assert again.last_event_id == 4
    last = core.end(again, SendStatus.broken, now=0.3, delivered=True)
    refusal = find_decision(last)
    assert isinstance(refusal, RefuseCall)
    assert not refusal.not_run


def test_failure_is_relayed_when_attempts_are_exhausted():
    core = RoutedCore()
    send = core.arrive(build_call('r', READ_ROUTE), now=0.0)
    again = find_decision(core.end(send, SendStatus.failed, now=0.1))
    effects = core.end(again, SendStatus.failed, now=0.2)
    assert any(isinstance(each, RelayFailure) for each in effects)


@given(
    steps=st.lists(
        st.tuples(st.booleans(), st.floats(0, 0.5)),
        max_size=200,
    ),
)
def test_retry_budget_holds_in_every_window(steps):
    budget = SlidingRetryBudget(share=0.2, reserve=3, window_s=10)
    now = 0.0
    first_send_times, retry_times = [], []
    for first, pause_s in steps:
        now += pause_s
        if first:
            budget.record_first_send(now)
            first_send_times.append(now)
        elif budget.try_consume(now):
            retry_times.append(now)
        recent_first_sends = [at for at in first_send_times if at >= now - 10]
        recent_retries = [at for at in retry_times if at >= now - 10]
        # The first sends that allowed a retry may leave the window before it.
        earlier_first_sends = [at for at in first_send_times if at >= now - 20]
        assert (
            len(recent_retries)
            <= 0.2 * max(len(recent_first_sends), len(earlier_first_sends)) + 3
        )


def test_call_counts_as_one_first_send_however_often_it_is_sent():
    """Each send after one that reached no upstream raised the budget."""
    core = RoutedCore(plain_upstreams=4)
    send = core.arrive(build_call('o', RUN_ONCE_ROUTE), now=0.0)
    for status in (SendStatus.unsent, SendStatus.misdirected):
        send = find_decision(core.end(send, status, now=0.1))
    assert isinstance(send, Send)
    assert len(core.routing.budgets['app'].first_sends) == 1


def test_stream_of_stalled_engine_resumes_at_another_engine():
    core = RoutedCore()
    send = core.arrive(build_call('d'), now=0.0)
    core.progress(send, now=0.3, event=2)
    effects = []
    for tick in range(1, 60):
        effects += core.handle(Tick(), now=0.3 + tick / 20)
    assert any(isinstance(each, CancelSend) for each in effects)
    [again] = list_sends(effects)
    assert again.instance != send.instance
    assert again.last_event_id == 2


def test_non_idempotent_call_stays_at_stalled_upstream():
    core = RoutedCore()
    core.arrive(build_call('o', RUN_ONCE_ROUTE), now=0.0)
    effects = []
    for tick in range(1, 80):
        effects += core.handle(Tick(), now=tick / 20)
    assert not list_sends(effects)
    assert not any(isinstance(each, CancelSend) for each in effects)


def test_pause_of_the_vm_does_not_count_as_a_stall():
    core = RoutedCore()
    core.handle(Tick(), now=0.0)
    send = core.arrive(build_call('d'), now=0.0)
    core.progress(send, now=0.1, event=1)
    core.handle(Tick(), now=0.2)
    assert not list_sends(core.handle(Tick(), now=4.0))


def test_timeout_ends_a_sent_call():
    core = RoutedCore()
    send = core.arrive(build_call('o', RUN_ONCE_ROUTE), now=0.0)
    effects = core.handle(Tick(), now=6.0)
    refusal = find_decision(effects)
    assert (refusal.timed_out, refusal.not_run) == (True, False)
    assert CancelSend('o', send.attempt) in effects
    assert not core.routing.calls


def test_abandoned_call_cancels_its_send():
    core = RoutedCore()
    send = core.arrive(build_call('d'), now=0.0)
    effects = core.handle(CallAbandoned('d'), now=0.1)
    assert CancelSend('d', send.attempt) in effects
    assert not any(up.sends for up in core.routing.upstreams.values())
