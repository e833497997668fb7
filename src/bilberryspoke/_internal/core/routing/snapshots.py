"""Snapshots of the store, for VMs that lack a change.

Times are in seconds of the boot-time clock.
"""

from bilberryspoke._internal.core.reducer import on_message
from bilberryspoke._internal.core.routing.backlog import list_live_peers
from bilberryspoke._internal.core.routing.confirmation import (
    confirm_routes,
    review_version_lag,
)
from bilberryspoke._internal.core.routing.discovery import replace_upstreams
from bilberryspoke._internal.core.routing.members import send_to_peer
from bilberryspoke._internal.core.routing.peerstate import PeerView
from bilberryspoke._internal.core.routing.state import RoutingState
from bilberryspoke._internal.core.routing.storereaders import choose_source
from bilberryspoke._internal.core.state import VmState
from bilberryspoke._internal.models.effects import SendPeerMessage
from bilberryspoke._internal.models.routing import ListedUpstream
from bilberryspoke._internal.models.routing_effects import (
    DecodeRoutes,
    LogDecision,
)
from bilberryspoke._internal.models.routing_messages import (
    SnapshotRequest,
    SnapshotUpstream,
    StoreSnapshot,
)
from bilberryspoke._internal.utils.addresses import is_address
from bilberryspoke._internal.utils.compression import compress

_SNAPSHOT_REQUEST_INTERVAL_S = 0.3
# A reader of the store has known other upstreams for this long before it is
# asked: all VMs hear of a change within the same tenth of a second.
_UPSTREAM_LAG_S = 0.05
# Time without the store after which a peer is asked for a snapshot.
_SNAPSHOT_REQUEST_DELAY_S = 0.4


def review_snapshot(state: VmState, now: float) -> None:
    """Ask a peer for a snapshot if this VM may lack a change.

    It may if the store does not answer one of its watches, if a peer has newer
    routes, or if it does not read the store and a reader knows other upstreams.
    """
    routing = state.routing
    confirm_routes(state, now)
    lacks_store = any(
        now - lost_at >= _SNAPSHOT_REQUEST_DELAY_S
        for lost_at in routing.lost_watches.values()
    )
    lacks_change = review_version_lag(routing, now)
    lacks_change |= _lacks_upstreams(routing, now)
    if (
        lacks_change or lacks_store
    ) and now - routing.snapshot_requested_at >= _SNAPSHOT_REQUEST_INTERVAL_S:
        _request_snapshot(state, now)


@on_message(SnapshotRequest)
def handle_snapshot_request(
    state: VmState,
    sender: str,
    message: SnapshotRequest,
    now: float,
) -> None:
    """Send a snapshot of the store to a peer that lacks a change.

    There is no answer if this VM does not reach the store either, or knows
    nothing newer than the sender.
    """
    routing = state.routing
    table = routing.table
    if not routing.ready or not routing.is_store_reader or table is None:
        return
    newer = table.version > message.version
    if not newer and routing.position <= message.position:
        return
    upstreams = [
        _encode_upstream(upstream.listed)
        for upstream in routing.upstreams.values()
    ]
    snapshot = StoreSnapshot(
        version=table.version,
        revision=routing.position.revision,
        table=compress(table.encoded) if newer else b'',
        upstreams=upstreams,
        era=routing.position.era,
    )
    peer = routing.peers.get(sender)
    if peer is None:
        state.emit(SendPeerMessage(sender, snapshot))
    else:
        send_to_peer(state, peer, snapshot)


@on_message(StoreSnapshot)
def handle_snapshot(
    state: VmState,
    sender: str,
    message: StoreSnapshot,
    now: float,
) -> None:
    """Apply a peer's snapshot of the store where it is newer.

    Its upstreams are applied only while this VM does not reach the store.
    """
    routing = state.routing
    current = routing.table.version if routing.table else None
    if message.table and (current is None or message.version > current):
        state.emit(DecodeRoutes(message.table, f'peer {sender}'))
    if routing.is_store_reader or message.position <= routing.position:
        return
    fields = {
        'peer': sender,
        'version': message.version,
        'era': message.era,
        'revision': message.revision,
        'previous_era': routing.position.era,
        'previous_revision': routing.position.revision,
    }
    state.emit(LogDecision('snapshot_applied', fields, important=False))
    routing.position = message.position
    routing.coverage.end()
    # A VM of an older release passes on addresses that it can't connect to.
    upstreams = [
        _decode_upstream(each)
        for each in message.upstreams
        if is_address(each.address)
    ]
    replace_upstreams(state, upstreams, now)


def _request_snapshot(state: VmState, now: float) -> None:
    """Ask the live peer with the newest data that reaches the store."""
    routing = state.routing
    version = routing.table.version if routing.table else 0
    live_peers = [
        peer for peer in list_live_peers(routing, now) if peer.store_reachable
    ]
    live_peers.sort(key=_get_newest_first_key)
    position = routing.position
    request = SnapshotRequest(version, position.revision, position.era)
    for peer in live_peers[:1]:
        routing.snapshot_requested_at = now
        source = peer.store_reader
        if not routing.reads_store:
            source = choose_source(state, source)
        reader = routing.peers.get(source, peer)
        send_to_peer(state, reader, request)


def _lacks_upstreams(routing: RoutingState, now: float) -> bool:
    """Return whether a reader has known other upstreams for a while."""
    differs = not routing.reads_store and any(
        peer.store_reachable
        and peer.position > routing.position
        and peer.upstreams_digest != routing.upstreams_digest
        for peer in list_live_peers(routing, now)
    )
    if not differs:
        routing.differs_since = None
        return False
    if routing.differs_since is None:
        routing.differs_since = now
    return now - routing.differs_since >= _UPSTREAM_LAG_S


def _get_newest_first_key(peer: PeerView) -> tuple[int, int, int, str]:
    era, revision = peer.position
    return (-peer.version, -era, -revision, peer.name)


def _encode_upstream(listed: ListedUpstream) -> SnapshotUpstream:
    return SnapshotUpstream(
        instance=listed.instance,
        service=listed.service,
        address=listed.address,
        data_centre=listed.data_centre,
        slots=listed.slots,
        leaving=listed.leaving,
        warmup_remaining_s=max(0, listed.warmup_remaining_s),
        created_ms=listed.created_ms,
        sequence=listed.sequence,
        software_version=listed.software_version,
    )


def _decode_upstream(snapshot_upstream: SnapshotUpstream) -> ListedUpstream:
    return ListedUpstream(
        instance=snapshot_upstream.instance,
        service=snapshot_upstream.service,
        address=snapshot_upstream.address,
        data_centre=snapshot_upstream.data_centre,
        slots=max(1, snapshot_upstream.slots),
        leaving=snapshot_upstream.leaving,
        warmup_remaining_s=snapshot_upstream.warmup_remaining_s,
        created_ms=snapshot_upstream.created_ms,
        sequence=snapshot_upstream.sequence,
        software_version=snapshot_upstream.software_version,
    )
