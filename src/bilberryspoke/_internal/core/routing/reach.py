"""Whether this VM reaches upstreams, which probes find out.

Probes show when an upstream that could not be reached is back, so that no call
is spent on it.

Times are in seconds of the boot-time clock.
"""

from collections import Counter

from bilberryspoke._internal.core.reducer import on_event
from bilberryspoke._internal.core.routing.dispatch import dispatch_waiting
from bilberryspoke._internal.core.routing.links import (
    probe_upstream,
    record_probe,
)
from bilberryspoke._internal.core.state import VmState
from bilberryspoke._internal.models.effects import Count
from bilberryspoke._internal.models.routing_effects import LogDecision
from bilberryspoke._internal.models.routing_events import UpstreamProbed

# Probes of upstreams out of reach that one tick sends at most.
_MAX_PROBES_PER_TICK = 8


@on_event(UpstreamProbed)
def apply_probe(state: VmState, event: UpstreamProbed, now: float) -> None:
    """Record whether an upstream answered a probe."""
    upstream = state.routing.find_incarnation(event.instance, event.created_ms)
    if upstream is None:
        return
    if upstream.health.unreachable:
        if event.accepts:
            upstream.health.record_connected(now)
        else:
            upstream.health.record_unreachable(now)
    record_probe(state, upstream, now, accepts=event.accepts)
    if event.accepts:
        _hasten_probes(state, upstream.listed.service, now)
        dispatch_waiting(state, now)


def send_probes(state: VmState, now: float) -> None:
    """Send the probes that are due, those due for the longest time first."""
    due = [
        (upstream.health.probe_at, instance)
        for instance, upstream in state.routing.upstreams.items()
        if upstream.health.probe_at is not None
        and now >= upstream.health.probe_at
        and not upstream.is_leaving
    ]
    for _, instance in sorted(due)[:_MAX_PROBES_PER_TICK]:
        upstream = state.routing.upstreams[instance]
        upstream.health.probe_at = None
        probe_upstream(state, upstream)


def _hasten_probes(state: VmState, service: str, now: float) -> None:
    """Probe all upstreams of a service now, if one is in reach again.

    The others are likely to be so too.
    """
    if service not in state.routing.unreached_services:
        return
    for upstream in state.routing.upstreams.values():
        health = upstream.health
        if upstream.listed.service == service and health.probe_at is not None:
            health.probe_at = now


def review_reach(state: VmState, now: float) -> None:
    """Note which services have no upstream that this VM reaches."""
    routing = state.routing
    listed: Counter[str] = Counter()
    reached: Counter[str] = Counter()
    for upstream in routing.upstreams.values():
        service = upstream.listed.service
        listed[service] += 1
        reached[service] += not upstream.health.is_unresponsive(now)
    unreached = {service for service in listed if not reached[service]}
    for service in unreached ^ routing.unreached_services:
        lost = service in unreached
        event = 'upstreams_lost' if lost else 'upstreams_reached'
        state.emit(Count(event, service))
        fields = {'service': service, 'upstreams': listed[service]}
        state.emit(LogDecision(event, fields))
    routing.unreached_services = unreached
