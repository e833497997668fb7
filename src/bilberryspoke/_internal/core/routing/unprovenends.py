"""Streams whose last answer ended without saying that this was its end.

The upstream closed the connection between two events and lives. That is how
such an answer ends, and how a faulty upstream breaks one off. If the stream can
be resumed, another upstream is asked for what follows the last event: its
answer has the rest, or no event if there is none. Otherwise, and if nobody can
be asked, the stream counts as whole.
"""

from bilberryspoke._internal.core.routing.callstate import CallState
from bilberryspoke._internal.core.routing.completion import finish_stream
from bilberryspoke._internal.core.routing.dispatch import (
    dispatch_or_queue,
    ensure_budget,
)
from bilberryspoke._internal.core.routing.retries import may_retry
from bilberryspoke._internal.core.state import VmState
from bilberryspoke._internal.models.effects import Count
from bilberryspoke._internal.models.routing_events import SendEnded

# The rest of the retry budget is kept for calls that failed.
_USED_BUDGET_FRACTION = 0.5


def end_unproven_answer(
    state: VmState, call_state: CallState, event: SendEnded, now: float
) -> None:
    """Ask another upstream for the rest of a stream, or finish the stream."""
    call_state.may_have_run = True
    call_state.is_unproven = True
    service = call_state.call.service
    state.emit(Count('unproven_ends', service))
    if not _may_ask(state, call_state, event, now):
        finish_stream(state, call_state, now)
        return
    state.emit(Count('repeats', service))
    dispatch_or_queue(state, call_state, now, event)


def _may_ask(
    state: VmState, call_state: CallState, event: SendEnded, now: float
) -> bool:
    """Return whether to ask for the rest, and consume a retry of the budget.

    Calls that wait for an upstream go first.
    """
    if call_state.helper or now >= call_state.call.deadline_at:
        return False
    if state.routing.waiting:
        return False
    if not may_retry(call_state, event, sends=call_state.sends):
        return False
    budget = ensure_budget(state, call_state.call.service, now)
    return budget.try_consume(now, used_fraction=_USED_BUDGET_FRACTION)
