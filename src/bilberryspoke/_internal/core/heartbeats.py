"""Heartbeats and what they carry."""

from bilberryspoke._internal.core.reducer import on_message
from bilberryspoke._internal.core.sending import send
from bilberryspoke._internal.core.state import NodeState
from bilberryspoke._internal.models.effects import Log, SendPeer
from bilberryspoke._internal.models.messages import (
    Heartbeat,
    Pull,
)


@on_message(Heartbeat)
def take_heartbeat(
    state: NodeState,
    sender: str,
    message: Heartbeat,
    now: float,
) -> None:
    """Take a sign of life and compare configurations."""
    was_alive = state.membership.is_alive(sender, now)
    state.membership.hear(sender, message, now)
    if not was_alive:
        state.emit(Log('vm_alive', sender))
        state.emit(SendPeer(sender, _make_heartbeat(state, now)))
    join_leaving(state, now)
    revision = state.catalog.revision if state.catalog else 0
    if message.revision > revision:
        send(state, sender, Pull(revision, list(state.values)))


def send_heartbeats(state: NodeState, now: float) -> None:
    """Send a heartbeat to a bounded set of neighbours."""
    beat = _make_heartbeat(state, now)
    for name in sorted(state.membership.find_neighbours()):
        state.emit(SendPeer(name, beat))


def _make_heartbeat(state: NodeState, now: float) -> Heartbeat:
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


def join_leaving(state: NodeState, now: float) -> None:
    joined = state.listed_leaving | state.membership.list_leaving(now)
    for name in sorted(joined - state.leaving):
        state.emit(Log('upstream_leaving', name))
    for name in sorted(state.leaving - joined):
        state.emit(Log('upstream_staying', name))
    state.leaving = joined
