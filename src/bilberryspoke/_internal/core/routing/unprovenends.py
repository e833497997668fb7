"""Streams whose last answer ended without saying that this was its end.

The upstream closed the connection between two events and lives. That is how
such an answer ends, and how a faulty upstream breaks one off. If the stream can
be resumed, another upstream is asked for what follows the last event: its
answer has the rest, or no event if there is none. Otherwise, and if nobody
tells within a short time, the stream counts as whole. Times are in seconds.
"""

from bilberryspoke._internal.core.routing.callstate import CallStage, CallState
from bilberryspoke._internal.core.routing.completion import (
    fail_call,
    finish_stream,
)
from bilberryspoke._internal.core.routing.dispatch import (
    dispatch_or_queue,
    ensure_budget,
)
from bilberryspoke._internal.core.routing.retries import may_retry
from bilberryspoke._internal.core.state import VmState
from bilberryspoke._internal.models.effects import Count
from bilberryspoke._internal.models.routing_effects import CancelSend
from bilberryspoke._internal.models.routing_events import SendEnded

# The rest of the retry budget is kept for calls that failed.
_USED_BUDGET_FRACTION = 0.5
# Callers give a stream up after two seconds without an event.
_MAX_ANSWER_S = 1.0


def end_unproven_answer(
    state: VmState, call_state: CallState, event: SendEnded, now: float
) -> None:
    """Ask another upstream for the rest of a stream, or finish the stream.

    Nobody is asked once two upstreams say that nothing follows.
    """
    was_asked = call_state.is_unproven
    call_state.may_have_run = True
    call_state.is_unproven = True
    service = call_state.call.service
    state.emit(Count('unproven_ends', service))
    if was_asked:
        finish_stream(state, call_state, now)
        return
    if not _may_ask(state, call_state, event, now):
        fail_call(state, call_state, event, now)
        return
    state.emit(Count('repeats', service))
    dispatch_or_queue(state, call_state, now, event)
    if call_state.stage is CallStage.waiting and call_state.may_be_whole:
        _finish_if_open(state, call_state, now)


def finish_slow_questions(state: VmState, now: float) -> None:
    """Finish the streams whose question nobody has answered in time."""
    for call_state in list(state.routing.calls.values()):
        is_asking = (
            call_state.may_be_whole and call_state.stage is CallStage.sent
        )
        if is_asking and now >= call_state.sent_at + _MAX_ANSWER_S:
            call_id = call_state.call.call_id
            state.emit(CancelSend(call_id, call_state.attempt))
            finish_stream(state, call_state, now)


def _finish_if_open(state: VmState, call_state: CallState, now: float) -> None:
    """Finish a stream whose question would have to wait for room."""
    if state.routing.calls.get(call_state.call.call_id) is call_state:
        finish_stream(state, call_state, now)


def _may_ask(
    state: VmState, call_state: CallState, event: SendEnded, now: float
) -> bool:
    """Return whether to ask for the rest, and consume a retry of the budget.

    Calls that wait for an upstream go first. A stream whose events have no ids
    would begin anew.
    """
    if call_state.helper or now >= call_state.call.deadline_at:
        return False
    if state.routing.waiting or call_state.last_event_id is None:
        return False
    if not may_retry(call_state, event, sends=call_state.sends):
        return False
    budget = ensure_budget(state, call_state.call.service, now)
    return budget.try_consume(now, used_fraction=_USED_BUDGET_FRACTION)
