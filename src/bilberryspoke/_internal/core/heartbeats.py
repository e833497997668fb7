"""Heartbeats between VMs: liveness, configuration, leaving upstreams."""

from bilberryspoke._internal.core.reducer import on_message
from bilberryspoke._internal.core.sending import send
from bilberryspoke._internal.core.state import VmState
from bilberryspoke._internal.models.effects import Log, SendPeerMessage
from bilberryspoke._internal.models.messages import (
    ConfigPull,
    Heartbeat,
)


@on_message(Heartbeat)
def handle_heartbeat(
    state: VmState,
    sender: str,
    message: Heartbeat,
    now: float,
) -> None:
    """Record a peer's heartbeat, and pull a newer configuration from it.

    A peer that was not alive gets a heartbeat in reply.
    """
    was_alive = state.membership.is_alive(sender, now)
    state.membership.record_heartbeat(sender, message, now)
    if not was_alive:
        state.emit(Log('vm_alive', sender))
        state.emit(SendPeerMessage(sender, _make_heartbeat(state, now)))
    update_leaving_upstreams(state, now)
    revision = state.catalog.revision if state.catalog else 0
    if message.revision > revision:
        send(state, sender, ConfigPull(revision, list(state.values)))


def send_heartbeats(state: VmState, now: float) -> None:
    """Send a heartbeat to each neighbour of this VM."""
    beat = _make_heartbeat(state, now)
    for name in sorted(state.membership.list_neighbours()):
        state.emit(SendPeerMessage(name, beat))


def _make_heartbeat(state: VmState, now: float) -> Heartbeat:
    settings = state.settings
    catalog = state.catalog
    return Heartbeat(
        data_centre=settings.data_centre,
        incarnation=settings.incarnation,
        revision=catalog.revision if catalog else 0,
        digest=catalog.digest if catalog else '',
        stopping=state.stopping,
        leaving=sorted(state.listed_leaving),
        heard=state.membership.list_alive(now),
        entry_url=settings.entry_url,
        admin_url=settings.admin_url,
        peer_address=settings.peer_address,
    )


def update_leaving_upstreams(state: VmState, now: float) -> None:
    """Update which upstreams are leaving, and log each change.

    An upstream is leaving if the platform's list that this VM last read says
    so, or if a live peer reports it.
    """
    leaving_upstreams = (
        state.listed_leaving | state.membership.list_leaving_upstreams(now)
    )
    for name in sorted(leaving_upstreams - state.leaving):
        state.emit(Log('upstream_leaving', name))
    for name in sorted(state.leaving - leaving_upstreams):
        state.emit(Log('upstream_no_longer_leaving', name))
    state.leaving = leaving_upstreams
