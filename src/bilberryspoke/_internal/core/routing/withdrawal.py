"""Upstreams that ask in their answers for no more calls.

One that says that it leaves gets none from any VM, although the store may call
it ready for long; this holds for its incarnation. One that refuses a call and
names a delay gets none from this VM until then.
"""

from bilberryspoke._internal.core.reducer import on_event
from bilberryspoke._internal.core.routing.state import RoutingState
from bilberryspoke._internal.core.state import VmState
from bilberryspoke._internal.models.effects import Count
from bilberryspoke._internal.models.routing_effects import LogDecision
from bilberryspoke._internal.models.routing_events import (
    LeavingStated,
    PauseRequested,
)
from bilberryspoke._internal.models.routing_messages import LeavingUpstream


@on_event(LeavingStated)
def record_leaving(state: VmState, event: LeavingStated, now: float) -> None:
    """Record that an upstream said in an answer that it leaves."""
    _learn_leaving(state, event.instance, event.created_ms, 'answer')


@on_event(PauseRequested)
def pause_upstream(state: VmState, event: PauseRequested, now: float) -> None:
    """Send no calls to an upstream for the time that it named."""
    upstream = state.routing.find_incarnation(event.instance, event.created_ms)
    if upstream is None:
        return
    upstream.paused_until = max(upstream.paused_until, now + event.delay_s)
    fields = {
        'upstream': event.instance,
        'service': upstream.listed.service,
        'delay_s': round(event.delay_s, 3),
    }
    state.emit(Count('upstream_pauses'))
    state.emit(LogDecision('upstream_paused', fields))


def list_leaving(routing: RoutingState) -> list[LeavingUpstream]:
    """Return the upstreams that said so, to pass on."""
    return [
        LeavingUpstream(instance, upstream.listed.created_ms)
        for instance, upstream in routing.upstreams.items()
        if upstream.said_leaving
    ]


def apply_leaving(
    state: VmState, sender: str, leaving: list[LeavingUpstream]
) -> None:
    """Record the upstreams that a peer knows to be leaving."""
    for each in leaving:
        _learn_leaving(state, each.instance, each.created_ms, sender)


def _learn_leaving(
    state: VmState, instance: str, created_ms: int, source: str
) -> None:
    upstream = state.routing.find_incarnation(instance, created_ms)
    if upstream is None or upstream.said_leaving:
        return
    upstream.said_leaving = True
    fields = {
        'upstream': instance,
        'service': upstream.listed.service,
        'listed_as_leaving': upstream.listed.leaving,
        'source': source,
    }
    state.emit(Count('upstreams_said_leaving'))
    state.emit(LogDecision('upstream_said_leaving', fields))
