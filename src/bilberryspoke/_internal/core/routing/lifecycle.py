"""A routed call from its arrival to its final answer."""

from bilberryspoke._internal.core.reducer import on_event
from bilberryspoke._internal.core.routing.dispatching import (
    find_budget,
    place_or_wait,
    serve_waiting,
)
from bilberryspoke._internal.core.routing.ending import (
    FINISHED,
    close_call,
    give_up,
)
from bilberryspoke._internal.core.routing.peers import tell_work
from bilberryspoke._internal.core.routing.repeating import may_send_again
from bilberryspoke._internal.core.routing.state import OpenCall, Stage
from bilberryspoke._internal.core.routing.work import learn_slowness
from bilberryspoke._internal.core.state import NodeState
from bilberryspoke._internal.models.effects import Count
from bilberryspoke._internal.models.routing import (
    NOT_RECEIVED,
    NOT_RUN,
    SendStatus,
)
from bilberryspoke._internal.models.routing_effects import StopSend
from bilberryspoke._internal.models.routing_events import (
    CallAbandoned,
    CallArrived,
    SendEnded,
    SendProgressed,
)


@on_event(CallArrived)
def accept_call(state: NodeState, event: CallArrived, now: float) -> None:
    """Open a call and place it."""
    call = event.call
    opened = OpenCall(call, asked_at=now, last_event=call.last_event)
    state.routing.calls[call.call_id] = opened
    state.emit(Count('calls', call.route.name))
    place_or_wait(state, opened, now)


@on_event(CallAbandoned)
def abandon_call(state: NodeState, event: CallAbandoned, now: float) -> None:
    """Stop all work for a caller that has gone."""
    opened = state.routing.calls.get(event.call_id)
    if opened is None:
        return
    if opened.stage is Stage.sent:
        state.emit(StopSend(event.call_id, opened.attempt))
    close_call(state, opened, 'caller_gone', now)


@on_event(SendProgressed)
def note_progress(state: NodeState, event: SendProgressed, now: float) -> None:
    """Remember that an upstream is answering, and how far it has come."""
    opened = state.routing.calls.get(event.call_id)
    if opened is None or opened.attempt != event.attempt:
        return
    first = opened.moved_at is None
    upstream = state.routing.upstreams.get(opened.instance)
    if upstream is not None:
        upstream.heard_at = now
        if first:
            learn_slowness(upstream, opened, now)
            tell_work(state, opened.instance, -opened.owed, now)
    if opened.first_at is not None:
        gap_s = now - (opened.moved_at or opened.sent_at)
        opened.longest_gap_s = max(opened.longest_gap_s, gap_s)
    opened.moved_at = now
    opened.first_at = opened.first_at or now
    if event.last_event is not None:
        opened.last_event = event.last_event
    if first and state.routing.waiting:
        serve_waiting(state, now)


@on_event(SendEnded)
def end_send(state: NodeState, event: SendEnded, now: float) -> None:
    """Decide what follows the end of a send."""
    opened = state.routing.calls.get(event.call_id)
    if opened is None or opened.attempt != event.attempt:
        return
    _leave_upstream(state, opened, event, now)
    if event.last_event is not None:
        opened.last_event = event.last_event
    if event.status is SendStatus.finished:
        close_call(state, opened, FINISHED, now)
        return
    if event.status not in NOT_RUN:
        opened.may_have_run = True
    if _may_repeat(state, opened, event, now):
        state.emit(Count('repeats', opened.call.service))
        place_or_wait(state, opened, now, event)
        return
    give_up(state, opened, event, now)


def _leave_upstream(
    state: NodeState,
    opened: OpenCall,
    event: SendEnded,
    now: float,
) -> None:
    upstream = state.routing.upstreams.get(opened.instance)
    if event.status not in NOT_RECEIVED:
        opened.sends += 1
    opened.tried.append(opened.instance)
    if upstream is None:
        return
    # The upstream may have started again under its name meanwhile.
    if upstream.sends.pop(opened.call.call_id, None) is None:
        return
    if event.status in NOT_RECEIVED:
        upstream.suspicion.note_unreached(now)
    elif event.status is not SendStatus.cancelled:
        good = event.status is SendStatus.finished
        upstream.suspicion.note_outcome(now, good=good)


def _may_repeat(
    state: NodeState,
    opened: OpenCall,
    event: SendEnded,
    now: float,
) -> bool:
    if event.status is SendStatus.cancelled or now >= opened.call.answer_by:
        return False
    if not may_send_again(opened, event, sends=opened.sends):
        return False
    if event.status is SendStatus.unsent:
        return True
    return find_budget(state, opened.call.service).take(now)
