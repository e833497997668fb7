"""Periodic review of open calls: time over, silence, room for those waiting."""

from bilberryspoke._internal.core.routing.discovery import drop_unlisted
from bilberryspoke._internal.core.routing.dispatching import (
    find_budget,
    serve_waiting,
)
from bilberryspoke._internal.core.routing.ending import time_out
from bilberryspoke._internal.core.routing.lifecycle import end_send
from bilberryspoke._internal.core.routing.placing import list_usable
from bilberryspoke._internal.core.routing.repeating import may_send_again
from bilberryspoke._internal.core.routing.silence import (
    is_silent,
    is_stuck,
    note_review,
    silent_for,
)
from bilberryspoke._internal.core.routing.state import OpenCall, UpstreamState
from bilberryspoke._internal.core.state import NodeState
from bilberryspoke._internal.models.routing import SendStatus
from bilberryspoke._internal.models.routing_effects import Note, StopSend
from bilberryspoke._internal.models.routing_events import SendEnded


def review_calls(state: NodeState, now: float) -> None:
    """End the calls whose time is over and drop upstreams that stay away."""
    drop_unlisted(state, now)
    note_review(state.routing, now)
    _review_silence(state, now)
    for opened in list(state.routing.calls.values()):
        if now >= opened.call.answer_by:
            time_out(state, opened, now)
    serve_waiting(state, now)


def _review_silence(state: NodeState, now: float) -> None:
    """Send calls elsewhere that may run again and got stuck."""
    routing = state.routing
    for upstream in list(routing.upstreams.values()):
        silent = is_silent(routing, upstream, now)
        if silent:
            _note_silent(state, upstream, now)
        for opened in list(upstream.sends.values()):
            if silent or is_stuck(routing, opened, now):
                _move_call(state, opened, now)


def _note_silent(
    state: NodeState,
    upstream: UpstreamState,
    now: float,
) -> None:
    routing = state.routing
    if not upstream.suspicion.is_avoided(now):
        facts = {
            'upstream': upstream.listed.instance,
            'calls': len(upstream.sends),
            'silent_s': round(silent_for(routing, upstream, now), 3),
        }
        state.emit(Note('upstream_silent', facts))
    upstream.suspicion.note_silent(now)


def _move_call(state: NodeState, opened: OpenCall, now: float) -> None:
    call = opened.call
    ending = SendEnded(
        call_id=call.call_id,
        attempt=opened.attempt,
        status=SendStatus.broken,
        detail='nothing was heard for too long',
        delivered=opened.first_at is not None,
    )
    if not may_send_again(opened, ending, sends=opened.sends + 1):
        return
    if not find_budget(state, call.service).allows(now):
        return
    others = list_usable(state.routing, opened, now)
    if any(other.listed.instance != opened.instance for other in others):
        state.emit(StopSend(call.call_id, opened.attempt))
        end_send(state, ending, now)
