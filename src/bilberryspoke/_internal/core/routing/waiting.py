"""Calls that wait at a VM for room at an engine: order and patience."""

from bilberryspoke._internal.core.routing.state import OpenCall, RoutingState
from bilberryspoke._internal.models.routing import RoutedCall
from bilberryspoke._internal.utils.hashing import hash_word

# Time that a call takes from its send to its first event at the least.
_SERVING_S = 0.15
# Time to serve a call in, before its caller leaves.
_RESERVE_S = 0.5
# Latency targets for which a call waits before it is turned away.
_PATIENCE_TARGETS = 1.25
# Callers that are turned away together return spread over a second.
_RETURN_S = 0.5
_RETURN_STEPS = 100


def await_room(routing: RoutingState, opened: OpenCall) -> None:
    """Let a call wait until there is room."""
    routing.waiting.append(opened)


def list_in_order(routing: RoutingState, now: float) -> list[OpenCall]:
    """Return the waiting calls in the order in which they are placed.

    More urgent ones go first. Among equals those go first that may still
    meet their target, the one with the least time left before the others.
    """

    def rank(opened: OpenCall) -> tuple[int, bool, float]:
        call = opened.call
        due_at = call.arrived_at + call.route.target_s
        late = now + _SERVING_S > due_at
        return (call.priority, late, due_at)

    return sorted(routing.waiting, key=rank)


def is_overdue(opened: OpenCall, now: float) -> bool:
    """Tell whether a call that waits should be turned away.

    Its target is missed by then, and what has come since may still meet its
    own. A call that may have run is kept: it can not be promised not to.
    """
    call = opened.call
    if opened.may_have_run:
        return False
    patience_s = call.route.target_s * _PATIENCE_TARGETS
    limit = min(call.arrived_at + patience_s, call.answer_by - _RESERVE_S)
    return now >= limit


def choose_return(call: RoutedCall) -> float:
    """Return the seconds after which a caller should come back."""
    drawn = hash_word(call.call_id) % _RETURN_STEPS
    return _RETURN_S + drawn / _RETURN_STEPS
