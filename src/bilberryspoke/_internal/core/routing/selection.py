"""Choice of the upstream for the next send of a call.

A call goes to an engine of its own group, see ``groups``, or else to one of the
other group whose prefill backlog is almost empty. Times are in seconds of the
boot-time clock.
"""

from dataclasses import dataclass

from bilberryspoke._internal.core.routing.backlog import (
    EngineBacklog,
    estimate_first_event_s,
    measure_backlog,
)
from bilberryspoke._internal.core.routing.callstate import CallState
from bilberryspoke._internal.core.routing.groups import split_into_groups
from bilberryspoke._internal.core.routing.promptcache import (
    count_own_tokens,
    count_uncached_shared_tokens,
    ensure_speed,
)
from bilberryspoke._internal.core.routing.state import RoutingState
from bilberryspoke._internal.core.routing.upstreamstate import UpstreamState
from bilberryspoke._internal.models.routing import RoutedCall
from bilberryspoke._internal.utils.hashing import (
    hash_parts,
    rank_members,
)

# Engines whose cost is within this fraction of the latency target of the lowest
# one are equal; the first of them in order of prefix affinity is chosen.
_EQUAL_COST_TARGET_FRACTION = 0.1
# A call that has waited for an engine with its prompt in the cache goes to one
# whose cost is within this fraction of its latency target of the lowest one.
_MAX_COST_TARGET_FRACTION = 0.5
# Weight of the time in which an engine reads shared parts that another engine
# may have in its cache. It delays other calls, the more engines are busy.
_IDLE_REREAD_WEIGHT = 2.0
_BUSY_REREAD_WEIGHT = 8.0
_BUSY_BACKLOG_S = 0.1
# A call that would raise the prefill backlog of a busy engine above this waits
# at its VM: what waits at an engine holds memory there and delays later calls.
_MAX_PREFILL_BACKLOG_S = 0.2
# An engine with at most this backlog is not busy: it gets a prompt of any
# length, as it would be idle before the next one arrives.
_FREE_BACKLOG_S = 0.03
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


@dataclass(frozen=True, slots=True)
class Placement:
    """A candidate upstream for a call, with the estimates it is judged by.

    ``prefill_tokens`` are the prompt tokens that the call would add there,
    ``backlog`` is that of the calls of all VMs, and ``backlog_s`` the seconds
    in which the engine reads the prompts of the backlog, ``prefill_s`` those
    for the call's own. ``first_event_s`` are the expected seconds from the send
    to the first event, and ``reread_s`` those in which it reads shared parts
    of the prompt.
    """

    upstream: UpstreamState
    prefill_tokens: int
    backlog: EngineBacklog
    backlog_s: float
    prefill_s: float
    first_event_s: float
    reread_s: float


def list_usable_upstreams(
    routing: RoutingState,
    call_state: CallState,
    now: float,
) -> list[UpstreamState]:
    """Return the untried upstreams that accept new calls and can serve this.

    Ejected ones are among them only if there are no others.
    """
    accepting = routing.list_accepting_upstreams(call_state.call.service)
    return _exclude_tried_and_ejected(accepting, call_state, now)


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
        plain = _list_open(accepting, call_state, now)
        return _choose_less_loaded(routing, plain, call_state, now)
    own_group, other_group = split_into_groups(routing, call_state, now)
    own_group = _list_open(own_group, call_state, now)
    other_group = _list_open(other_group, call_state, now)
    if not own_group:
        # All engines of the group were tried, are unresponsive, or want no call
        # now.
        accepting = routing.list_accepting_upstreams(service)
        own_group = other_group or _list_open(accepting, call_state, now)
        other_group = []
    placements = _list_placements(routing, own_group, call_state, now)
    call_state.needed_s = min(
        (each.first_event_s - each.backlog_s for each in placements),
        default=0,
    )
    target_s = call_state.call.route.latency_target_s
    first = _choose_cheapest(placements, target_s * _EQUAL_COST_TARGET_FRACTION)
    if first is not None or has_prefix_affinity(call_state.call, now):
        return first
    others = _list_placements(routing, other_group, call_state, now)
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
    return healthy or untried


def _list_open(
    accepting: list[UpstreamState],
    call_state: CallState,
    now: float,
) -> list[UpstreamState]:
    """Return those among usable upstreams that want a call now."""
    usable = _exclude_tried_and_ejected(accepting, call_state, now)
    return [upstream for upstream in usable if upstream.is_open(now)]


def _choose_cheapest(
    placements: list[Placement], tolerance_s: float
) -> Placement | None:
    """Return the first engine with capacity whose cost is low, if any.

    It is low if it is at most ``tolerance_s`` seconds over that of the cheapest
    engine, with or without capacity. A part that no engine has must be read by
    one: by the first in order, as the other VMs send it there at the same time.
    """
    busy = [each for each in placements if each.backlog_s > _BUSY_BACKLOG_S]
    busy_fraction = len(busy) / max(1, len(placements))
    unavoidable_s = min((each.reread_s for each in placements), default=0)
    costs_s = []
    for position, placement in enumerate(placements):
        reread_s = placement.reread_s
        if not position or not unavoidable_s:
            reread_s -= unavoidable_s
        weight = _get_reread_weight(placement, busy_fraction)
        costs_s.append(placement.first_event_s + weight * reread_s)
    highest_s = min(costs_s, default=0) + tolerance_s
    for placement, cost_s in zip(placements, costs_s, strict=True):
        if cost_s <= highest_s and _has_capacity(placement):
            return placement
    return None


def _get_reread_weight(placement: Placement, busy_fraction: float) -> float:
    """Return the weight of the time to read shared parts again at an engine.

    ``busy_fraction`` is the fraction of engines that are busy.
    """
    if not placement.backlog.calls:
        return _IDLE_REREAD_WEIGHT
    extra = _BUSY_REREAD_WEIGHT - _IDLE_REREAD_WEIGHT
    return _IDLE_REREAD_WEIGHT + extra * busy_fraction


def _choose_from_other_group(placements: list[Placement]) -> Placement | None:
    """Return an engine of the other group with an almost empty backlog.

    It also has a free slot: a call that waits in an engine's own queue can't be
    sent elsewhere, and is preempted or passed there by more urgent ones.
    """
    for placement in placements:
        waiting_s = placement.backlog_s + placement.prefill_s
        if _has_capacity(placement) and waiting_s <= _MAX_OTHER_GROUP_BACKLOG_S:
            return placement
    return None


def _has_capacity(placement: Placement) -> bool:
    """Return whether an engine may get a call, by its load.

    It needs a free slot and room in its backlog. An engine that is not busy
    accepts a prompt of any length.
    """
    if placement.backlog.calls >= placement.upstream.listed.slots:
        return False
    return (
        placement.backlog_s <= _FREE_BACKLOG_S
        or placement.backlog_s + placement.prefill_s <= _MAX_PREFILL_BACKLOG_S
    )


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
    first = _estimate_placement(
        routing, usable[drawn % len(usable)], call_state, now
    )
    second_index = (drawn >> _HALF_HASH_BITS) % len(usable)
    second = _estimate_placement(routing, usable[second_index], call_state, now)
    return min(first, second, key=_get_relative_load)


def _list_placements(
    routing: RoutingState,
    group: list[UpstreamState],
    call_state: CallState,
    now: float,
) -> list[Placement]:
    """Return the engines of a group in the order of prefix affinity.

    The order decides between engines that are equally good, so that all VMs
    choose the same one for a part of a prompt that no engine has yet.
    """
    # Calls with the same last shared part prefer the same engine. The last part
    # of a prompt is not shared.
    parts = call_state.call.parts
    hash_key = call_state.call.call_id
    if parts:
        hash_key = parts[-2].name if len(parts) > 1 else parts[-1].name
    by_name = {each.listed.instance: each for each in group}
    return [
        _estimate_placement(routing, by_name[name], call_state, now)
        for name in rank_members(hash_key, by_name)
    ]


def _estimate_placement(
    routing: RoutingState,
    upstream: UpstreamState,
    call_state: CallState,
    now: float,
) -> Placement:
    call = call_state.call
    backlog = measure_backlog(routing, upstream, now)
    uncached_tokens = count_uncached_shared_tokens(routing, upstream, call, now)
    prefill_tokens = count_own_tokens(call) + uncached_tokens
    speed = ensure_speed(routing, call.service)
    first_event_s = estimate_first_event_s(
        upstream, speed, backlog, prefill_tokens
    )
    return Placement(
        upstream=upstream,
        prefill_tokens=prefill_tokens,
        backlog=backlog,
        backlog_s=speed.get_prefill_s(backlog.prefill_tokens),
        prefill_s=speed.get_prefill_s(prefill_tokens),
        first_event_s=first_event_s,
        reread_s=speed.get_prefill_s(uncached_tokens),
    )


def _get_relative_load(placement: Placement) -> float:
    return placement.backlog.calls / placement.upstream.listed.slots
