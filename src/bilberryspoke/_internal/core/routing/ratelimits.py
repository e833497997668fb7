"""Limits that upstreams name for the calls of all VMs together.

Times are in seconds of the boot-time clock.
"""

from bilberryspoke._internal.core.reducer import on_event
from bilberryspoke._internal.core.state import VmState
from bilberryspoke._internal.models.effects import Count
from bilberryspoke._internal.models.routing_effects import LogDecision
from bilberryspoke._internal.models.routing_events import RateLimitStated


@on_event(RateLimitStated)
def record_limit(state: VmState, event: RateLimitStated, now: float) -> None:
    """Record the limit that an upstream named, or its end."""
    upstream = state.routing.upstreams.get(event.instance)
    if upstream is None:
        return
    before = upstream.limit.per_s
    upstream.limit.stated_at = now
    upstream.limit.per_s = event.per_s
    if event.per_s == before:
        return
    fields = {
        'upstream': event.instance,
        'limit_per_s': event.per_s,
        'before': before,
    }
    state.emit(Count('upstream_limits_changed'))
    state.emit(LogDecision('upstream_limit', fields))
