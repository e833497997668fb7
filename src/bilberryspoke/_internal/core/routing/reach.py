"""Whether this VM reaches the upstreams of each service.

Times are in seconds of the boot-time clock.
"""

from collections import Counter

from bilberryspoke._internal.core.state import VmState
from bilberryspoke._internal.models.effects import Count
from bilberryspoke._internal.models.routing_effects import LogDecision


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
