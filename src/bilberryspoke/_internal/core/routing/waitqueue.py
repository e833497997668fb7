"""Order and time limits of calls that wait at a VM for capacity.

Times are in seconds of the boot-time clock.
"""

import math

from bilberryspoke._internal.core.routing.backlog import list_live_peers
from bilberryspoke._internal.core.routing.callstate import CallState
from bilberryspoke._internal.core.routing.groups import (
    get_group_name,
    get_tight_group_name,
)
from bilberryspoke._internal.core.routing.state import RoutingState
from bilberryspoke._internal.models.routing import Route, RoutedCall
from bilberryspoke._internal.utils.hashing import hash_parts

# Stands for this VM among those at which a more urgent call waits.
OWN_QUEUE = 'own queue'
# Minimum time from the send of a call to its first event.
_MIN_FIRST_EVENT_S = 0.15
# Time kept for serving a call before its caller gives up or its deadline
# passes.
_SERVING_MARGIN_S = 0.5
# A waiting call is refused after this multiple of its latency target, counted
# from its arrival.
_MAX_WAIT_TARGET_RATIO = 1.25
# Calls that are refused together get retry delays spread over a second.
_MIN_RETRY_AFTER_S = 0.5
_RETRY_AFTER_STEPS = 100
# Callers of streams give up after a pause of this length, of this multiple of
# the latency target or of this multiple of the gap limit, whichever is the
# longest.
_MIN_CALLER_TIMEOUT_S = 2.0
_CALLER_TIMEOUT_TARGET_RATIO = 4
_CALLER_TIMEOUT_GAP_RATIO = 8


def sort_waiting(routing: RoutingState, now: float) -> list[CallState]:
    """Return the waiting calls in the order in which they are sent.

    More urgent ones go first. Among calls of equal rank, those that may still
    meet their latency target go first, then the one whose target is due first:
    in a rush, calls with long prompts would otherwise be sent when it is too
    late for them, and make the next ones late.
    """

    def rank(call_state: CallState) -> tuple[int, bool, float]:
        call = call_state.call
        due_at = call.arrived_at + call.route.latency_target_s
        needed_s = max(_MIN_FIRST_EVENT_S, call_state.needed_s)
        late = now + needed_s > due_at
        return (call.rank, late, due_at)

    return sorted(routing.waiting, key=rank)


def must_yield(
    routing: RoutingState, call_state: CallState, now: float
) -> bool:
    """Return whether a more urgent call is waiting for capacity at any VM."""
    return find_more_urgent(routing, call_state, now) is not None


def find_more_urgent(
    routing: RoutingState, call_state: CallState, now: float
) -> str | None:
    """Return where a more urgent call waits for capacity, None if nowhere.

    That is the VM that reported it, or ``OWN_QUEUE``. Waiting calls of the
    tight group count for all other calls to the service, because they use the
    other engines as well when those of their own group are full.
    """
    call = call_state.call
    groups = {
        get_group_name(routing, call),
        get_tight_group_name(call.service),
    }
    urgent_ranks = {
        peer.name: peer.waiting for peer in list_live_peers(routing, now)
    }
    urgent_ranks[OWN_QUEUE] = routing.waiting.get_most_urgent_ranks()
    for name, waiting in urgent_ranks.items():
        if any(waiting.get(each, call.rank) < call.rank for each in groups):
            return name
    return None


def must_refuse(
    routing: RoutingState, call_state: CallState, now: float
) -> bool:
    """Return whether a waiting call has to be refused.

    A call is refused once it has missed its latency target by a margin, while
    calls that arrived later may still meet theirs. It is not refused sooner
    than less urgent calls to the same service, unless its caller would give up
    or its deadline would pass before. A call that may have run is not refused,
    because the refusal could not promise that it did not run.
    """
    call = call_state.call
    if call_state.may_have_run:
        return False
    priority = min(call.priority, call.route.priority)
    latency_target_s = max(
        call.route.latency_target_s,
        routing.table.find_longest_latency_target(call.service, priority),
    )
    refuse_at = min(
        call.arrived_at + latency_target_s * _MAX_WAIT_TARGET_RATIO,
        call.arrived_at + _get_caller_timeout_s(call.route) - _SERVING_MARGIN_S,
        call.deadline_at - _SERVING_MARGIN_S,
    )
    return now >= refuse_at


def _get_caller_timeout_s(route: Route) -> float:
    """Return the seconds of a pause after which a caller gives up.

    They are infinite for calls that do not stream.
    """
    if not route.streams:
        return math.inf
    return max(
        _MIN_CALLER_TIMEOUT_S,
        route.latency_target_s * _CALLER_TIMEOUT_TARGET_RATIO,
        (route.max_event_gap_s or 0.0) * _CALLER_TIMEOUT_GAP_RATIO,
    )


def choose_retry_after_s(call: RoutedCall) -> float:
    """Return the seconds after which a refused caller should retry."""
    drawn = hash_parts(call.call_id) % _RETRY_AFTER_STEPS
    return _MIN_RETRY_AFTER_S + drawn / _RETRY_AFTER_STEPS
