"""Questions for the rest of streams that may be whole."""

from bilberryspoke._internal.models.events import Tick
from bilberryspoke._internal.models.routing import SendStatus
from bilberryspoke._internal.models.routing_effects import (
    CancelSend,
    FinishStream,
)
from tests.lib.routedcore import (
    RoutedCore,
    build_call,
    build_route,
    end_unproven,
    list_sends,
)

THREE_SENDS_ROUTE = build_route(max_attempts=3)


def end_without_event(core, send, *, now, **changes):
    """End a question as the sender does if its answer has no event."""
    return core.end(
        send,
        SendStatus.broken,
        now=now,
        delivered=True,
        last_event_id=5,
        **changes,
    )


def test_questions_that_are_repeated_leave_half_of_the_retry_budget():
    # An answer without an event and without chunks says nothing.
    core = RoutedCore(engines=40)
    for number in range(60):
        now = number * 0.01
        call = build_call(f'c{number}', THREE_SENDS_ROUTE, now=now)
        first = core.arrive(call, now=now)
        core.end(first, SendStatus.finished, now=now + 0.005)
    questions = []
    for number in range(20):
        now = 1 + number * 0.01
        call = build_call(f'q{number}', THREE_SENDS_ROUTE, now=now)
        first = core.arrive(call, now=now)
        questions += list_sends(end_unproven(core, first, now=now + 0.006))
    for second in questions:
        end_without_event(core, second, now=1.3)
    budget = core.routing.budgets['llm']
    allowed = budget.share * len(budget.first_sends) + budget.reserve
    assert len(budget.repeats) <= allowed / 2


def test_sound_upstreams_without_chunks_are_not_ejected():
    core = RoutedCore(engines=2)
    for number in range(12):
        now = number * 0.1
        first = core.arrive(build_call(f'c{number}', now=now), now=now)
        for second in list_sends(end_unproven(core, first, now=now + 0.02)):
            core.end(
                second,
                SendStatus.unproven,
                now=now + 0.04,
                delivered=True,
                last_event_id=5,
            )
    ejected = [
        name
        for name, each in core.routing.upstreams.items()
        if each.health.is_ejected(1.15)
    ]
    assert not ejected


def test_question_that_crashes_an_upstream_is_no_proof():
    core = RoutedCore()
    call = build_call('c1', content_hash=7)
    first = core.arrive(call, now=0.0)
    [second] = list_sends(end_unproven(core, first, now=1.0))
    ledger = core.routing.crash_ledger
    end_without_event(
        core, second, now=1.1, connection_lost=True, upstream_crashed=True
    )
    assert 1.1 not in ledger.proven_at.values()


def test_question_does_not_wait_for_room():
    # Its caller has the whole stream, as far as anybody knows.
    core = RoutedCore()
    for number in range(20):
        now = number * 0.01
        call = build_call(f'q{number}', THREE_SENDS_ROUTE, now=now)
        first = core.arrive(call, now=now)
        end_unproven(core, first, now=now + 0.006)
    waited_s = 0.0
    while core.routing.waiting and waited_s < 10:
        waited_s += 0.1
        core.handle(Tick(), now=0.2 + waited_s)
    assert waited_s < 0.5


def test_question_that_nobody_answers_ends_with_the_stream_finished():
    # Callers give a stream up after two seconds without an event.
    core = RoutedCore()
    first = core.arrive(build_call('c1'), now=0.0)
    [second] = list_sends(end_unproven(core, first, now=1.0))
    assert FinishStream('c1') not in core.handle(Tick(), now=1.9)
    effects = core.handle(Tick(), now=2.1)
    assert CancelSend('c1', second.attempt) in effects
    assert FinishStream('c1') in effects
