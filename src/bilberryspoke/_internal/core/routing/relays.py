"""Relays, which pass on what the VMs of a large fleet report.

In a small fleet each VM sends its heartbeats to all others. In a larger one
each data centre has a relay, the first VM in an order by hash that answers.
The others send their heartbeats to it alone. It passes the sum of its data
centre to the other relays and the sum of all others to each VM of its data
centre, so that messages grow with the number of VMs and not with its square.

Two VMs may take different VMs for the relay for a moment; reports are then
incomplete, but never counted twice. Times are in seconds of the boot-time
clock.
"""

from collections import defaultdict

from bilberryspoke._internal.core.routing.peerstate import PeerView
from bilberryspoke._internal.core.routing.state import RoutingState
from bilberryspoke._internal.core.state import VmState
from bilberryspoke._internal.models.routing_messages import ReportScope
from bilberryspoke._internal.utils.hashing import rank_members

# A relay that was not heard from for this long is replaced by the next VM.
_RELAY_TIMEOUT_S = 0.4


def choose_relays(state: VmState, now: float) -> None:
    """Choose the relay of each data centre; none in a small fleet.

    A relay that this VM expects to hear from and does not is suspected and
    replaced, until it is heard from again.
    """
    routing = state.routing
    if len(routing.peers) <= state.settings.max_full_mesh_peers:
        routing.relays.clear()
        return
    _suspect_silent_relays(state, now)
    by_data_centre: dict[str, list[str]] = defaultdict(list)
    by_data_centre[state.settings.data_centre].append(state.vm)
    for peer in routing.peers.values():
        by_data_centre[peer.data_centre].append(peer.name)
    for data_centre, names in by_data_centre.items():
        relay = _choose_relay(routing, data_centre, names)
        if routing.relays.get(data_centre) != relay:
            routing.relays[data_centre] = relay
            routing.relay_chosen_at[data_centre] = now
    for data_centre in set(routing.relays) - set(by_data_centre):
        routing.relays.pop(data_centre)


def suspect_peer(state: VmState, name: str, now: float) -> None:
    """Replace a peer as a relay, as the connection to it broke."""
    peer = state.routing.peers.get(name)
    if peer is None:
        return
    peer.suspected = True
    choose_relays(state, now)


def is_relay(state: VmState) -> bool:
    """Return whether this VM is the relay of its data centre."""
    return state.routing.relays.get(state.settings.data_centre) == state.vm


def find_expected_relays(state: VmState) -> dict[str, PeerView]:
    """Return the relays from which this VM expects reports, by data centre.

    A relay expects them from the other relays, another VM from its own one.
    """
    routing = state.routing
    own = state.settings.data_centre
    expects_others = is_relay(state)
    return {
        data_centre: routing.peers[relay]
        for data_centre, relay in routing.relays.items()
        if relay in routing.peers and (expects_others or data_centre == own)
    }


def counts_report(state: VmState, peer: PeerView) -> bool:
    """Return whether the last report of a peer is one that this VM counts.

    The reports that count do not overlap.
    """
    relays = state.routing.relays
    own = state.settings.data_centre
    if not relays:
        return peer.scope is ReportScope.vm
    if is_relay(state):
        if peer.data_centre == own:
            return peer.scope is ReportScope.vm
        return peer.scope is ReportScope.data_centre
    return peer.scope is ReportScope.others and peer.name == relays.get(own)


def _choose_relay(
    routing: RoutingState, data_centre: str, names: list[str]
) -> str:
    ranked = rank_members(f'relay {data_centre}', names)
    for name in ranked:
        peer = routing.peers.get(name)
        if peer is None or not peer.suspected:
            return name
    # All are suspected: each gets another chance, in turn.
    for name in ranked:
        routing.peers[name].suspected = False
    return ranked[0]


def _suspect_silent_relays(state: VmState, now: float) -> None:
    chosen_at = state.routing.relay_chosen_at
    for data_centre, peer in find_expected_relays(state).items():
        since = max(peer.last_heard_at, chosen_at[data_centre])
        if now - since > _RELAY_TIMEOUT_S:
            peer.suspected = True
