"""Order of the calls that wait at a VM for room at an engine."""

from bilberryspoke._internal.core.routing.state import OpenCall, RoutingState

# Time that a call takes from its send to its first event at the least.
_SERVING_S = 0.15


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
