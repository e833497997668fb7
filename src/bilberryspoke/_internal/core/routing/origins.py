"""Software versions at which streams began, and how VMs tell each other.

A stream can be resumed only at an upstream of the software version that began
it, also if its caller takes it up again at another VM. The VM that brings its
first event tells a few VMs, its keepers, which are the same for all VMs by
rendezvous hashing. Times are in seconds of the boot-time clock.
"""

import itertools
from collections import defaultdict
from collections.abc import Iterator

from bilberryspoke._internal.core.routing.backlog import list_live_peers
from bilberryspoke._internal.core.routing.callstate import CallState
from bilberryspoke._internal.core.routing.members import (
    connect_to_peer,
    send_to_peer,
)
from bilberryspoke._internal.core.routing.originledger import StreamOrigin
from bilberryspoke._internal.core.state import VmState
from bilberryspoke._internal.models.routing import RetrySafety, RoutedCall
from bilberryspoke._internal.models.routing_messages import StreamBegun
from bilberryspoke._internal.utils.hashing import hash_parts, rank_members

_KEEPERS_PER_DATA_CENTRE = 16
_KEEPERS_REFRESH_INTERVAL_S = 1.0
# Copies of an origin at other VMs, and how many of them in one data centre.
_COPIES = 3
_COPIES_PER_DATA_CENTRE = 2
_WITNESSES = 3
# An upstream is listed at the latest so long after its start.
_MAX_LISTING_DELAY_S = 3.0


def hash_stream(call: RoutedCall) -> int:
    """Return the key of a call's stream, the same when it is taken up again.

    A caller can't name the stream of another workspace.
    """
    return hash_parts(
        'stream', call.service, call.workspace, call.stream_req_id
    )


def record_stream_begin(
    state: VmState, call_state: CallState, now: float
) -> None:
    """Bind a stream to the version of its upstream, and tell its keepers.

    It stays bound to that of its first event. Called for the first part of
    the answer of each send.
    """
    call = call_state.call
    if call.route.repeats is not RetrySafety.resumed or not call.route.streams:
        return
    if call_state.origin is None:
        call_state.origin = StreamOrigin(call_state.sent_version)
    _tell_keepers(state, call_state, now)


def doubt_origins(state: VmState, begun: list[CallState], now: float) -> None:
    """Handle that an upstream was replaced by one of another version.

    The calls ``begun`` were sent to it. Those whose answer began lately, or
    after the store was last asked, may have got it from either.
    """
    known_until = min(now, state.routing.coverage.until)
    for call_state in begun:
        began_at = call_state.began_at
        if began_at is None:
            call_state.sent_version = None
        elif call_state.origin and (
            known_until - began_at < _MAX_LISTING_DELAY_S
        ):
            call_state.origin = StreamOrigin(None)
            _tell_keepers(state, call_state, now)


def list_askable_keepers(state: VmState, key: int, now: float) -> Iterator[str]:
    """Return the VMs that may know the origin of a stream."""
    for names in _choose_keepers(state, now).values():
        yield from _rank_for_stream(state, key, names)[:_COPIES_PER_DATA_CENTRE]


def list_witnesses(state: VmState, key: int, now: float) -> list[str]:
    """Return VMs that read the store, to ask which versions there were."""
    readers = {
        peer.store_reader
        for peer in list_live_peers(state.routing, now)
        if peer.store_reachable
    }
    return _rank_for_stream(state, key, list(readers))[:_WITNESSES]


def _tell_keepers(state: VmState, call_state: CallState, now: float) -> None:
    key = hash_stream(call_state.call)
    state.routing.origins.record(key, call_state.origin, now)
    message = StreamBegun(key, call_state.origin.software_version)
    for name in _list_copy_holders(state, key, now):
        send_to_peer(state, state.routing.peers[name], message)


def _list_copy_holders(state: VmState, key: int, now: float) -> list[str]:
    """Return the peers that keep copies of an origin that begins here.

    They are in this data centre, where the caller is likely to come back, and
    in others, as a data centre may be lost.
    """
    by_data_centre = _choose_keepers(state, now)
    own = state.settings.data_centre
    others = sorted(
        (each for each in by_data_centre if each != own),
        key=lambda each: hash_parts(key, each),
    )
    holders = _rank_for_stream(state, key, by_data_centre[own])
    holders = holders[:_COPIES_PER_DATA_CENTRE]
    for data_centre in others:
        ranked = _rank_for_stream(state, key, by_data_centre[data_centre])
        holders.extend(ranked[:1])
    return holders[:_COPIES]


def _rank_for_stream(state: VmState, key: int, names: list[str]) -> list[str]:
    peers = [name for name in names if name in state.routing.peers]
    return sorted(peers, key=lambda each: hash_parts(key, each))


def _choose_keepers(state: VmState, now: float) -> dict[str, list[str]]:
    """Return the VMs that keep origins, by data centre.

    They are connected beforehand: a message to a peer that is not connected is
    lost.
    """
    routing = state.routing
    ledger = routing.origins
    if now - ledger.keepers_chosen_at < _KEEPERS_REFRESH_INTERVAL_S and (
        routing.members_changed_at <= ledger.keepers_chosen_at
    ):
        return ledger.keepers
    names: dict[str, list[str]] = defaultdict(list)
    names[state.settings.data_centre].append(state.vm)
    for peer in routing.peers.values():
        names[peer.data_centre].append(peer.name)
    ledger.keepers_chosen_at = now
    ledger.keepers = {
        data_centre: rank_members('keepers', members)[:_KEEPERS_PER_DATA_CENTRE]
        for data_centre, members in names.items()
    }
    keepers = itertools.chain.from_iterable(ledger.keepers.values())
    for name in routing.peers.keys() & set(keepers):
        connect_to_peer(state, routing.peers[name])
    return ledger.keepers


def review_keepers(state: VmState, now: float) -> None:
    """Keep connections to the VMs that keep origins."""
    if state.routing.listed:
        _choose_keepers(state, now)
