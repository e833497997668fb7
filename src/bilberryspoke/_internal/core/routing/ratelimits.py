"""Limits that upstreams name for the calls of all VMs together.

Each VM takes a part of a limit by itself. To keep the parts useful when a limit
is small and the fleet large, only some VMs take one, chosen by rendezvous
hashing. When no answer has confirmed the limit for a while, the next VMs in
that order take the parts, so that an idle or lost VM does not hold them long.
Times are in seconds of the boot-time clock.
"""

from bilberryspoke._internal.core.reducer import on_event
from bilberryspoke._internal.core.routing.state import RoutingState
from bilberryspoke._internal.core.routing.upstreamstate import (
    RateLimit,
    UpstreamState,
)
from bilberryspoke._internal.core.state import VmState
from bilberryspoke._internal.models.effects import Count
from bilberryspoke._internal.models.routing_effects import LogDecision
from bilberryspoke._internal.models.routing_events import RateLimitStated
from bilberryspoke._internal.models.routing_messages import StatedLimit
from bilberryspoke._internal.utils.hashing import rank_members

# Parts are at least this large if the limit allows it, in calls per second.
_MIN_PART_PER_S = 0.5
# A lower limit is used as this one: without any call nobody would learn that
# the limit has ended.
_MIN_LIMIT_PER_S = 0.05
# Calls that a VM may send at once are those of its part in this time, at least
# one.
_BURST_S = 0.5
# The next VMs take the parts when no answer has come for this long.
_ROTATION_S = 10.0
# A new process takes no part before the VMs it knows have not changed for this
# long.
_SETTLE_S = 2.0
# Times of statements that were passed on are inexact; one that is newer by
# less is taken for the same.
_MIN_AGE_DIFFERENCE_S = 0.05
# The end of a limit is passed on for this long.
_END_RETENTION_S = 10.0


@on_event(RateLimitStated)
def record_stated_limit(
    state: VmState, event: RateLimitStated, now: float
) -> None:
    """Record the limit that an upstream named in an answer, or its end."""
    _record_limit(
        state,
        _find_speaker(state.routing, event),
        event.per_s,
        stated_at=now,
        now=now,
        source='answer',
    )


def _record_limit(
    state: VmState,
    upstream: UpstreamState | None,
    per_s: float | None,
    *,
    stated_at: float,
    now: float,
    source: str,
) -> None:
    """Record what an upstream said of its limit, unless it is outdated.

    ``upstream`` is None if it is gone, ``per_s`` if it named no limit.
    ``source`` is ``answer``, or the VM that passed the statement on.
    """
    if upstream is None:
        return
    limit = upstream.limit
    is_passed_on = stated_at < now
    if is_passed_on and stated_at < limit.stated_at + _MIN_AGE_DIFFERENCE_S:
        return
    before = limit.per_s
    limit.stated_at = stated_at
    limit.per_s = per_s
    if per_s == before:
        return
    if before is None:
        limit.balance = 0.0
        limit.refilled_at = now
    _update_part(state, upstream, now)
    fields = {
        'upstream': upstream.listed.instance,
        'limit_per_s': per_s,
        'before': before,
        'part_per_s': round(limit.part_per_s, 3),
        'vms': _count_vms(state.routing),
        'source': source,
        'age_s': round(now - stated_at, 3),
    }
    state.emit(Count('upstream_limits_changed'))
    state.emit(LogDecision('upstream_limit', fields))


def review_limits(state: VmState, now: float) -> None:
    """Update this VM's part of each limit, and the calls that it allows."""
    routing = state.routing
    routing.settled = (
        routing.settled or now - routing.members_changed_at >= _SETTLE_S
    )
    for upstream in routing.upstreams.values():
        if upstream.limit.per_s is not None:
            _update_part(state, upstream, now)


def list_stated_limits(routing: RoutingState, now: float) -> list[StatedLimit]:
    """Return the limits to pass on, and those that ended lately."""
    return [
        StatedLimit(
            upstream.listed.instance,
            upstream.limit.per_s,
            round(max(0, now - upstream.limit.stated_at), 3),
            upstream.listed.created_ms,
        )
        for upstream in routing.upstreams.values()
        if upstream.limit.per_s is not None
        or now - upstream.limit.stated_at < _END_RETENTION_S
    ]


def apply_stated_limits(
    state: VmState, sender: str, stated: list[StatedLimit], now: float
) -> None:
    """Record the limits that a peer passed on."""
    for each in stated:
        _record_limit(
            state,
            _find_speaker(state.routing, each),
            each.per_s,
            stated_at=now - each.age_s,
            now=now,
            source=sender,
        )


def _find_speaker(
    routing: RoutingState, stated: RateLimitStated | StatedLimit
) -> UpstreamState | None:
    """Return the upstream that named a limit, None if it is gone.

    One that restarted under its name knows nothing of a limit of before.
    """
    if stated.created_ms is None:
        return routing.upstreams.get(stated.instance)
    return routing.find_incarnation(stated.instance, stated.created_ms)


def _update_part(state: VmState, upstream: UpstreamState, now: float) -> None:
    limit = upstream.limit
    _refill(limit, now)
    limit.part_per_s = _compute_part(state, upstream, now)


def _refill(limit: RateLimit, now: float) -> None:
    gained = (now - limit.refilled_at) * limit.part_per_s
    burst = max(1.0, limit.part_per_s * _BURST_S)
    limit.balance = min(burst, limit.balance + gained)
    limit.refilled_at = now


def _compute_part(state: VmState, upstream: UpstreamState, now: float) -> float:
    """Return this VM's part of a limit, in calls per second."""
    routing = state.routing
    limit = upstream.limit
    if limit.per_s is None or not routing.settled:
        return 0.0
    per_s = max(_MIN_LIMIT_PER_S, limit.per_s)
    parts = min(_count_vms(routing), max(1, int(per_s / _MIN_PART_PER_S)))
    names = [state.vm, *routing.peers]
    ranked = rank_members(f'limit {upstream.listed.instance}', names)
    rotations = int(max(0, now - limit.stated_at) / _ROTATION_S)
    first = rotations * parts
    holders = {ranked[(first + index) % len(ranked)] for index in range(parts)}
    return per_s / parts if state.vm in holders else 0.0


def _count_vms(routing: RoutingState) -> int:
    """Return how many VMs there are, with seeds that were not heard yet."""
    return 1 + len(routing.peers) + len(routing.seeds)
