"""Choice of the upstream for the next send of a call.

A call goes to an engine of its own group, see ``groups``, or else to one of the
other group whose prefill backlog is almost empty. Times are in seconds of the
boot-time clock.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from bilberryspoke._internal.core.routing.backlog import (
    EngineBacklog,
    count_uncached_tokens,
    estimate_first_event_s,
    measure_backlog,
)
from bilberryspoke._internal.core.routing.callstate import CallState
from bilberryspoke._internal.core.routing.groups import split_into_groups
from bilberryspoke._internal.core.routing.state import RoutingState
from bilberryspoke._internal.core.routing.upstreamstate import UpstreamState
from bilberryspoke._internal.models.routing import RoutedCall
from bilberryspoke._internal.utils.hashing import (
    hash_parts,
    rank_members,
)

# The first engine in order of prefix affinity is chosen whose first event is
# expected within this fraction of the latency target.
_MAX_FIRST_EVENT_TARGET_FRACTION = 0.25
# A call that would raise the prefill backlog of a busy engine above this waits
# at its VM: what waits at an engine holds memory there and delays later calls.
_MAX_PREFILL_BACKLOG_TOKENS = 6000
# A call is sent to an engine of the other group only up to this backlog.
_MAX_OTHER_GROUP_BACKLOG_TOKENS = 1000
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
    ``backlog`` is that of the calls of all VMs, and ``first_event_s`` the
    expected seconds from the send to the first event.
    """

    upstream: UpstreamState
    prefill_tokens: int
    backlog: EngineBacklog
    first_event_s: float


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
    first = _choose_within_target(routing, own_group, call_state, now)
    if first is not None or has_prefix_affinity(call_state.call, now):
        return first
    return _choose_from_other_group(
        routing, other_group, call_state, now
    ) or _choose_fastest(
        routing,
        own_group,
        call_state,
        now,
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


def _choose_within_target(
    routing: RoutingState,
    group: list[UpstreamState],
    call_state: CallState,
    now: float,
) -> Placement | None:
    """Return the first engine that is expected to answer in time, if any.

    The engines are in the order of prefix affinity. A call that still waits for
    the engine that caches its prompt considers the first one only.
    """
    max_first_event_s = (
        call_state.call.route.latency_target_s
        * _MAX_FIRST_EVENT_TARGET_FRACTION
    )
    has_affinity = has_prefix_affinity(call_state.call, now)
    for placement in _iterate_placements(routing, group, call_state, now):
        if (
            _has_capacity(placement)
            and placement.first_event_s <= max_first_event_s
        ):
            return placement
        if has_affinity:
            return None
    return None


def _choose_from_other_group(
    routing: RoutingState,
    group: list[UpstreamState],
    call_state: CallState,
    now: float,
) -> Placement | None:
    """Return an engine of the other group with an almost empty backlog.

    It also has a free slot: a call that waits in an engine's own queue can't be
    sent elsewhere, and is preempted or passed there by more urgent ones.
    """
    for placement in _iterate_placements(
        routing, group, call_state, now, own_group=False
    ):
        waiting = placement.backlog.prefill_tokens + placement.prefill_tokens
        if (
            _has_capacity(placement)
            and waiting <= _MAX_OTHER_GROUP_BACKLOG_TOKENS
        ):
            return placement
    return None


def _choose_fastest(
    routing: RoutingState,
    group: list[UpstreamState],
    call_state: CallState,
    now: float,
) -> Placement | None:
    """Return the engine with capacity that is expected to answer first."""
    placements = _iterate_placements(routing, group, call_state, now)
    with_capacity = [each for each in placements if _has_capacity(each)]
    return min(with_capacity, key=_get_first_event_s, default=None)


def _has_capacity(placement: Placement) -> bool:
    """Return whether an engine may get a call, by its load.

    It needs a free slot and room in its backlog.

    An engine without a prefill backlog accepts a prompt of any length.
    """
    if placement.backlog.calls >= placement.upstream.listed.slots:
        return False
    waiting = placement.backlog.prefill_tokens
    return (
        not waiting
        or waiting + placement.prefill_tokens <= _MAX_PREFILL_BACKLOG_TOKENS
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


def _iterate_placements(
    routing: RoutingState,
    group: list[UpstreamState],
    call_state: CallState,
    now: float,
    *,
    own_group: bool = True,
) -> Iterable[Placement]:
    """Yield the engines of a group in the order of prefix affinity.

    In a call's own group the first engine is assumed to cache the shared parts
    of the prompt, since the other VMs send such calls there as well.
    """
    # Calls with the same last shared part prefer the same engine. The last part
    # of a prompt is not shared.
    parts = call_state.call.parts
    hash_key = call_state.call.call_id
    if parts:
        hash_key = parts[-2].name if len(parts) > 1 else parts[-1].name
    by_name = {each.listed.instance: each for each in group}
    for position, name in enumerate(rank_members(hash_key, by_name)):
        assume_cached = own_group and not position
        yield _estimate_placement(
            routing, by_name[name], call_state, now, assume_cached=assume_cached
        )


def _estimate_placement(
    routing: RoutingState,
    upstream: UpstreamState,
    call_state: CallState,
    now: float,
    *,
    assume_cached: bool = False,
) -> Placement:
    backlog = measure_backlog(routing, upstream, now)
    prefill_tokens = count_uncached_tokens(
        upstream, call_state.call, now, assume_cached=assume_cached
    )
    first_event_s = estimate_first_event_s(upstream, backlog, prefill_tokens)
    return Placement(upstream, prefill_tokens, backlog, first_event_s)


def _get_first_event_s(placement: Placement) -> float:
    return placement.first_event_s


def _get_relative_load(placement: Placement) -> float:
    return placement.backlog.calls / placement.upstream.listed.slots
