"""How VMs find each other, and which of them a VM knows.

A VM starts with the addresses of its seeds. Each heartbeat carries a digest of
the VMs that its sender knows; a receiver that knows others answers with an
introduction, until both know the same. Any of these messages may be lost.
Times are in seconds of the boot-time clock.
"""

from bilberryspoke._internal.core.reducer import on_event, on_message
from bilberryspoke._internal.core.routing.backlog import PEER_TIMEOUT_S
from bilberryspoke._internal.core.routing.peerstate import PeerView
from bilberryspoke._internal.core.state import VmState
from bilberryspoke._internal.models.effects import SendPeerMessage
from bilberryspoke._internal.models.messages import PeerMessage
from bilberryspoke._internal.models.routing_effects import (
    ConnectPeer,
    LogDecision,
)
from bilberryspoke._internal.models.routing_events import SeedsConfigured
from bilberryspoke._internal.models.routing_messages import (
    Introduction,
    RoutingHeartbeat,
)
from bilberryspoke._internal.utils.hashing import hash_parts

# A seed is named by this prefix and its address until its VM's name is known.
SEED_PREFIX = 'seed/'
# A peer that knows other VMs than this one gets an introduction this often.
_INTRODUCTION_RETRY_S = 0.25
# Introductions also pass on who is alive, this often even between peers that
# know the same VMs. They grow with the fleet, so their interval does as well.
_MIN_REFRESH_INTERVAL_S = 10.0
_REFRESH_INTERVAL_S_PER_PEER = 0.2
# A peer that nobody has heard from for this many refresh intervals is
# forgotten.
_EXPIRY_REFRESH_INTERVALS = 6


@on_event(SeedsConfigured)
def connect_seeds(state: VmState, event: SeedsConfigured, now: float) -> None:
    """Connect to the VMs whose addresses the settings list."""
    _update_members(state, now)
    for address in event.addresses:
        if address != state.settings.peer_address:
            state.routing.seeds.add(address)
            state.emit(ConnectPeer(SEED_PREFIX + address, address))


def record_sender(
    state: VmState,
    sender: str,
    message: RoutingHeartbeat,
    now: float,
) -> PeerView:
    """Return the peer that sent a heartbeat, which is learned if it is new.

    It gets an introduction if it does not know the same VMs as this one.
    """
    peer = _learn_peer(state, sender, message.address, now, alive_at=now)
    peer.last_heard_at = now
    peer.suspected = False
    peer.data_centre = message.data_centre
    routing = state.routing
    interval_s = _get_refresh_interval_s(state)
    if message.members and message.members != routing.members_digest:
        interval_s = _INTRODUCTION_RETRY_S
    if now - peer.introduced_at >= interval_s:
        peer.introduced_at = now
        send_to_peer(state, peer, _make_introduction(state, now))
    return peer


def send_to_peer(state: VmState, peer: PeerView, message: PeerMessage) -> None:
    """Send a message to a peer, and connect to it before the first one.

    The first one is lost if the connection is not open at once.
    """
    connect_to_peer(state, peer)
    state.emit(SendPeerMessage(peer.name, message))


def connect_to_peer(state: VmState, peer: PeerView) -> None:
    """Connect to a peer if that was not requested before."""
    if not peer.connected:
        peer.connected = True
        state.emit(ConnectPeer(peer.name, peer.address))


def is_alive(state: VmState, peer: PeerView, now: float) -> bool:
    """Return whether a peer is thought to be alive.

    In a fleet with relays most peers are not heard from directly.
    """
    if state.routing.relays:
        return not peer.suspected
    return now - peer.last_heard_at < PEER_TIMEOUT_S


def list_live_names(state: VmState, now: float) -> list[str]:
    """Return the names of the VMs that are thought to be alive, and its own."""
    peers = state.routing.peers.values()
    return [
        state.vm,
        *(each.name for each in peers if is_alive(state, each, now)),
    ]


@on_message(Introduction)
def handle_introduction(
    state: VmState,
    sender: str,
    message: Introduction,
    now: float,
) -> None:
    """Learn the VMs that the sender knows, and which of them are alive."""
    expiry_s = _get_expiry_s(state)
    for name, address in message.addresses.items():
        age_s = message.ages_s.get(name, 0)
        if name != state.vm and age_s < expiry_s:
            peer = _learn_peer(state, name, address, now, alive_at=now - age_s)
            data_centre = message.data_centres.get(name, '')
            peer.data_centre = peer.data_centre or data_centre


def forget_expired_peers(state: VmState, now: float) -> None:
    """Forget the peers that nobody has heard from for too long."""
    routing = state.routing
    alive_since = now - _get_expiry_s(state)
    expired = [
        peer for peer in routing.peers.values() if peer.alive_at < alive_since
    ]
    for peer in expired:
        routing.peers.pop(peer.name)
    if expired:
        _update_members(state, now)


def _learn_peer(
    state: VmState,
    name: str,
    address: str,
    now: float,
    *,
    alive_at: float,
) -> PeerView:
    """Return a peer after recording when it was alive, at which address."""
    routing = state.routing
    peer = routing.peers.get(name)
    if peer is not None and (
        peer.address == address or alive_at <= peer.alive_at
    ):
        peer.alive_at = max(peer.alive_at, alive_at)
        return peer
    peer = PeerView(name, address, alive_at=alive_at)
    state.emit(
        LogDecision(
            'peer_discovered',
            {
                'peer': name,
                'address': address,
                'known_peers': len(routing.peers),
            },
        ),
    )
    routing.peers[name] = peer
    routing.seeds.discard(address)
    _update_members(state, now)
    return peer


def _make_introduction(state: VmState, now: float) -> Introduction:
    peers = state.routing.peers.values()
    addresses = {peer.name: peer.address for peer in peers}
    ages_s = {peer.name: round(now - peer.alive_at, 2) for peer in peers}
    addresses[state.vm] = state.settings.peer_address
    ages_s[state.vm] = 0
    data_centres = {peer.name: peer.data_centre for peer in peers}
    data_centres[state.vm] = state.settings.data_centre
    return Introduction(addresses, ages_s, data_centres)


def _update_members(state: VmState, now: float) -> None:
    addresses = {
        peer.name: peer.address for peer in state.routing.peers.values()
    }
    addresses[state.vm] = state.settings.peer_address
    state.routing.members_digest = hash_parts(*sorted(addresses.items()))
    state.routing.members_changed_at = now


def _get_refresh_interval_s(state: VmState) -> float:
    return max(
        _MIN_REFRESH_INTERVAL_S,
        _REFRESH_INTERVAL_S_PER_PEER * len(state.routing.peers),
    )


def _get_expiry_s(state: VmState) -> float:
    return _EXPIRY_REFRESH_INTERVALS * _get_refresh_interval_s(state)
