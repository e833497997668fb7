"""Choice of the upstream for the next send of a call.

A call goes to an engine of its own group, see ``groups``, or else to one of the
other group whose prefill backlog is almost empty. Times are in seconds of the
boot-time clock.
"""

from bilberryspoke._internal.core.routing.callstate import CallState
from bilberryspoke._internal.core.routing.candidates import (
    Placement,
    estimate_placements,
    has_capacity,
    list_costs_s,
    list_placements,
)
from bilberryspoke._internal.core.routing.groups import split_into_groups
from bilberryspoke._internal.core.routing.state import RoutingState
from bilberryspoke._internal.core.routing.upstreamstate import UpstreamState
from bilberryspoke._internal.models.routing import RoutedCall
from bilberryspoke._internal.utils.hashing import hash_parts

# Engines whose cost is within this fraction of the latency target of the lowest
# one are equal; the first of them in order of prefix affinity is chosen.
_EQUAL_COST_TARGET_FRACTION = 0.1
# A call that has waited for an engine with its prompt in the cache goes to one
# whose cost is within this fraction of its latency target of the lowest one.
_MAX_COST_TARGET_FRACTION = 0.5
# A call is sent to an engine of the other group only up to this backlog.
_MAX_OTHER_GROUP_BACKLOG_S = 0.033
# A call waits for the engine that caches its prompt for this fraction of its
# latency target.
_AFFINITY_WAIT_TARGET_FRACTION = 0.5
# Only a call that shares at least this many prompt tokens with others waits for
# the engine that caches them.
_MIN_AFFINITY_TOKENS = 2000
# The upper half of the 64-bit hash draws the second upstream.
_HALF_HASH_BITS = 32


def list_usable_upstreams(
    routing: RoutingState,
    call_state: CallState,
    now: float,
) -> list[UpstreamState]:
    """Return the untried upstreams that accept new calls and can serve this.

    Ejected ones are among them only if there are no others. Those known to be
    out of reach are left to probes. Only a VM without any other tries them, if
    the call may have run: no refusal could promise that it did not.
    """
    accepting = routing.list_accepting_upstreams(call_state.call.service)
    return _exclude_tried_and_ejected(routing, accepting, call_state, now)


def choose_placement(
    routing: RoutingState,
    call_state: CallState,
    now: float,
) -> Placement | None:
    """Return where to send a call now, or None if it should wait.

    At least one upstream must be usable, see ``list_usable_upstreams``.
    """
    service = call_state.call.service
    service_conf = routing.table.services.get(service)
    if service_conf is None or service_conf.engine is None:
        accepting = routing.list_accepting_upstreams(service)
        plain = _list_open(routing, accepting, call_state, now)
        return _choose_less_loaded(routing, plain, call_state, now)
    own_group, other_group = split_into_groups(routing, call_state, now)
    own_group = _list_open(routing, own_group, call_state, now)
    other_group = _list_open(routing, other_group, call_state, now)
    if not own_group:
        # All engines of the group were tried, are unresponsive, or want no call
        # now.
        accepting = routing.list_accepting_upstreams(service)
        own_group = other_group or _list_open(
            routing, accepting, call_state, now
        )
        other_group = []
    placements = list_placements(routing, own_group, call_state, now)
    call_state.needed_s = min(
        (each.first_event_s - each.backlog_s for each in placements),
        default=0,
    )
    target_s = call_state.call.route.latency_target_s
    first = _choose_cheapest(placements, target_s * _EQUAL_COST_TARGET_FRACTION)
    if first is not None or has_prefix_affinity(call_state.call, now):
        return first
    others = list_placements(routing, other_group, call_state, now)
    return _choose_from_other_group(others) or _choose_cheapest(
        placements, target_s * _MAX_COST_TARGET_FRACTION
    )


def has_prefix_affinity(call: RoutedCall, now: float) -> bool:
    """Return whether a call waits for the engine that caches its prompt."""
    shared_tokens = sum(part.tokens for part in call.shared_parts)
    if shared_tokens < _MIN_AFFINITY_TOKENS:
        return False
    return (
        now
        < call.arrived_at
        + call.route.latency_target_s * _AFFINITY_WAIT_TARGET_FRACTION
    )


def _exclude_tried_and_ejected(
    routing: RoutingState,
    accepting: list[UpstreamState],
    call_state: CallState,
    now: float,
) -> list[UpstreamState]:
    untried = [
        upstream
        for upstream in accepting
        if upstream.listed.instance not in call_state.tried_instances
    ]
    if call_state.origin is not None:
        untried = [each for each in untried if call_state.may_use(each.listed)]
    healthy = [
        upstream for upstream in untried if not upstream.health.is_ejected(now)
    ]
    if healthy or (call_state.may_have_run and not routing.peers):
        return healthy or untried
    return [each for each in untried if not each.health.is_out_of_reach]


def _list_open(
    routing: RoutingState,
    accepting: list[UpstreamState],
    call_state: CallState,
    now: float,
) -> list[UpstreamState]:
    """Return those among usable upstreams that want a call now."""
    usable = _exclude_tried_and_ejected(routing, accepting, call_state, now)
    return [upstream for upstream in usable if upstream.is_open(now)]


def _choose_cheapest(
    placements: list[Placement], tolerance_s: float
) -> Placement | None:
    """Return the first engine with capacity whose cost is low, if any.

    It is low if it is at most ``tolerance_s`` seconds over that of the cheapest
    engine, with or without capacity.
    """
    costs_s = list_costs_s(placements)
    highest_s = min(costs_s, default=0) + tolerance_s
    for placement, cost_s in zip(placements, costs_s, strict=True):
        if cost_s <= highest_s and has_capacity(placement):
            return placement
    return None


def _choose_from_other_group(placements: list[Placement]) -> Placement | None:
    """Return an engine of the other group with an almost empty backlog.

    It also has a free slot: a call that waits in an engine's own queue can't be
    sent elsewhere, and is preempted or passed there by more urgent ones.
    """
    for placement in placements:
        waiting_s = placement.backlog_s + placement.prefill_s
        if has_capacity(placement) and waiting_s <= _MAX_OTHER_GROUP_BACKLOG_S:
            return placement
    return None


def _choose_less_loaded(
    routing: RoutingState,
    usable: list[UpstreamState],
    call_state: CallState,
    now: float,
) -> Placement | None:
    """Return the less loaded of two upstreams that are drawn by hash."""
    if not usable:
        return None
    drawn = hash_parts(call_state.call.call_id, call_state.attempt)
    second_index = (drawn >> _HALF_HASH_BITS) % len(usable)
    two = [usable[drawn % len(usable)], usable[second_index]]
    placements = estimate_placements(routing, two, call_state.call, now)
    return min(placements, key=_get_relative_load)


def _get_relative_load(placement: Placement) -> float:
    return placement.backlog.calls / placement.upstream.listed.slots
