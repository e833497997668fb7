"""Whether this VM reaches upstreams, which probes find out.

A connection of its own shows when an upstream that could not be reached is
back, so that no call is spent on it.

Times are in seconds of the boot-time clock.
"""

from collections import Counter

from bilberryspoke._internal.core.reducer import on_event
from bilberryspoke._internal.core.routing.dispatch import dispatch_waiting
from bilberryspoke._internal.core.state import VmState
from bilberryspoke._internal.models.effects import Count
from bilberryspoke._internal.models.routing_effects import (
    LogDecision,
    ProbeUpstream,
)
from bilberryspoke._internal.models.routing_events import UpstreamProbed


@on_event(UpstreamProbed)
def apply_probe(state: VmState, event: UpstreamProbed, now: float) -> None:
    """Record whether an upstream accepted a connection."""
    upstream = state.routing.find_incarnation(event.instance, event.created_ms)
    if upstream is None or not upstream.health.unreachable:
        return
    if not event.accepts:
        upstream.health.record_unreachable(now)
        return
    upstream.health.record_connected(now)
    dispatch_waiting(state, now)


def send_probes(state: VmState, now: float) -> None:
    """Send the probes that are due."""
    for instance, upstream in state.routing.upstreams.items():
        probe_at = upstream.health.probe_at
        if probe_at is None or now < probe_at or upstream.is_leaving:
            continue
        upstream.health.probe_at = None
        listed = upstream.listed
        state.emit(Count('probes', listed.service))
        state.emit(ProbeUpstream(instance, listed.created_ms, listed.address))


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
