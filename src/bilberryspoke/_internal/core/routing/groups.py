"""Groups of a service's engines.

An engine that reads a long prompt delays the tokens of all its other streams.
A service's engines are therefore split into two groups: the tight group serves
streams with the shortest gap limit (maximum inter-token gap,
``Route.max_event_gap_s``) and has as many engines as they need, see
``tightdemand``. Other calls run there only while the prefill backlog is almost
empty. Times are in seconds of the boot-time clock.
"""

from bilberryspoke._internal.core.routing.backlog import list_live_peers
from bilberryspoke._internal.core.routing.callstate import CallState
from bilberryspoke._internal.core.routing.promptcache import count_own_tokens
from bilberryspoke._internal.core.routing.state import RoutingState
from bilberryspoke._internal.core.routing.tightdemand import (
    EngineCapacity,
    count_tight_engines,
)
from bilberryspoke._internal.core.routing.upstreamstate import UpstreamState
from bilberryspoke._internal.models.routing import Route, RoutedCall
from bilberryspoke._internal.utils.hashing import hash_member

_TIGHT_GROUP_SUFFIX = '/tight'


def has_tight_gap_limit(
    routing: RoutingState, route: Route, service: str
) -> bool:
    """Return whether a route has the shortest gap limit of its service.

    It is false if all routes of the service have the same limit.
    """
    if route.max_event_gap_s is None:
        return False
    gaps = routing.table.max_event_gaps_of_service.get(service, set())
    return len(gaps) > 1 and route.max_event_gap_s <= min(gaps)


def get_group_name(routing: RoutingState, call: RoutedCall) -> str:
    """Return the name of the group of engines that a call is sent to."""
    if has_tight_gap_limit(routing, call.route, call.service):
        return get_tight_group_name(call.service)
    return call.service


def get_tight_group_name(service: str) -> str:
    """Return the name of the tight group of a service's engines."""
    return service + _TIGHT_GROUP_SUFFIX


def split_into_groups(
    routing: RoutingState,
    call_state: CallState,
    now: float,
) -> tuple[list[UpstreamState], list[UpstreamState]]:
    """Return the engines of a call's own group, and those of the other group.

    The order by hash is the same at all VMs and changes little when engines
    come and go. The groups are formed without unresponsive engines, so that
    another engine replaces them. An engine that is ejected because it failed
    some of its calls stays in its group.
    """
    service = call_state.call.service
    accepting = routing.list_reached_upstreams(
        service, now
    ) or routing.list_accepting_upstreams(service)
    if len(accepting) < 2:
        return accepting, []
    ranked = sorted(
        accepting,
        key=lambda each: hash_member(service, each.listed.instance),
    )
    tight_count = _count_tight_engines(routing, service, ranked, now)
    if has_tight_gap_limit(routing, call_state.call.route, service):
        return ranked[:tight_count], ranked[tight_count:]
    return ranked[tight_count:], ranked[:tight_count]


def note_tight_arrival(
    routing: RoutingState, call: RoutedCall, now: float
) -> None:
    """Count a call that arrived if it is a stream with a tight gap limit."""
    if has_tight_gap_limit(routing, call.route, call.service):
        load = routing.tight_loads[call.service]
        load.record_arrival(call.call_id, count_own_tokens(call), now)


def note_call_end(routing: RoutingState, call: RoutedCall) -> None:
    """Count a call no more that ended."""
    load = routing.tight_loads.get(call.service)
    if load is not None:
        load.open_calls.discard(call.call_id)


def _count_tight_engines(
    routing: RoutingState,
    service: str,
    engines: list[UpstreamState],
    now: float,
) -> int:
    gaps = routing.table.max_event_gaps_of_service.get(service, set())
    if len(gaps) < 2:
        # No stream of the service is tighter than the others.
        return 0
    capacity = EngineCapacity(
        len(engines),
        engines[0].listed.slots,
        routing.prefill_speeds[service],
    )
    return count_tight_engines(
        routing.tight_loads[service],
        service,
        list_live_peers(routing, now),
        capacity,
        now,
    )
