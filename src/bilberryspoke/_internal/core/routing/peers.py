"""Messages between VMs that route calls.

VMs send heartbeats and the backlog that they have at upstreams. A VM that does
not reach the store asks another one for a snapshot of it. Times are in seconds
of the boot-time clock.
"""

from bilberryspoke._internal.core.reducer import on_event, on_message
from bilberryspoke._internal.core.routing.backlog import (
    list_live_peers,
    measure_own_backlog,
)
from bilberryspoke._internal.core.routing.discovery import replace_upstreams
from bilberryspoke._internal.core.routing.state import (
    PeerBacklog,
    PeerView,
)
from bilberryspoke._internal.core.state import VmState
from bilberryspoke._internal.models.effects import SendPeerMessage
from bilberryspoke._internal.models.messages import (
    BacklogChange,
    Introduction,
    RoutingHeartbeat,
    SnapshotRequest,
    SnapshotUpstream,
    StoreSnapshot,
    UpstreamBacklog,
)
from bilberryspoke._internal.models.routing import ListedUpstream
from bilberryspoke._internal.models.routing_effects import (
    ConnectPeer,
    DecodeRoutes,
    LogDecision,
)
from bilberryspoke._internal.models.routing_events import SeedsConfigured

_HEARTBEAT_INTERVAL_S = 0.1
_SNAPSHOT_REQUEST_INTERVAL_S = 0.3
# With more peers, changes of a backlog are sent in heartbeats only.
_MAX_BACKLOG_CHANGE_PEERS = 16
# Time without the store after which a peer is asked for a snapshot.
_SNAPSHOT_REQUEST_DELAY_S = 0.4
# A peer that was last heard from longer ago is forgotten.
_PEER_EXPIRY_S = 60.0
# A seed is named by this prefix and its address until its VM's name is known.
_SEED_PREFIX = 'seed/'


@on_event(SeedsConfigured)
def connect_seeds(state: VmState, event: SeedsConfigured, now: float) -> None:
    """Connect to the VMs whose addresses the settings list."""
    for address in event.addresses:
        if address != state.settings.peer_address:
            state.routing.seeds.add(address)
            state.emit(ConnectPeer(_SEED_PREFIX + address, address))


@on_message(RoutingHeartbeat)
def handle_routing_heartbeat(
    state: VmState,
    sender: str,
    message: RoutingHeartbeat,
    now: float,
) -> None:
    """Record a heartbeat, and connect to its sender if it is new.

    A new peer, or one with a new address, gets the addresses of the others.
    """
    routing = state.routing
    known = routing.peers.get(sender)
    if known is None or known.address != message.address:
        _introduce_other_peers(state, sender, message.address)
    routing.peers[sender] = PeerView(
        name=sender,
        address=message.address,
        last_heard_at=now,
        version=message.version,
        revision=message.revision,
        store_reachable=message.store_reachable,
        backlog={
            each.instance: PeerBacklog(each.prefill_tokens, each.calls)
            for each in message.backlog
        },
        waiting=message.waiting,
    )


@on_message(BacklogChange)
def handle_backlog_change(
    state: VmState,
    sender: str,
    message: BacklogChange,
    now: float,
) -> None:
    """Add a change to the backlog that the sender last reported."""
    peer = state.routing.peers.get(sender)
    if peer is None:
        return
    backlog = peer.backlog.setdefault(message.instance, PeerBacklog(0, 0))
    backlog.prefill_tokens = max(
        0, backlog.prefill_tokens + message.prefill_tokens
    )
    backlog.calls += message.calls


@on_message(Introduction)
def handle_introduction(
    state: VmState,
    sender: str,
    message: Introduction,
    now: float,
) -> None:
    """Connect to the VMs in the message that are not known yet."""
    for name, address in message.addresses.items():
        if name == state.vm or name in state.routing.peers:
            continue
        # Counts as heard from now, though its first heartbeat is yet to come.
        state.routing.peers[name] = PeerView(name, address, last_heard_at=now)
        state.routing.seeds.discard(address)
        state.emit(ConnectPeer(name, address))


@on_message(SnapshotRequest)
def handle_snapshot_request(
    state: VmState,
    sender: str,
    message: SnapshotRequest,
    now: float,
) -> None:
    """Send a snapshot of the store to a peer that does not reach it.

    There is no answer if this VM does not reach the store either, or knows
    nothing newer than the sender.
    """
    routing = state.routing
    table = routing.table
    if not routing.ready or not routing.store_reachable or table is None:
        return
    newer = table.version > message.version
    if not newer and routing.revision <= message.revision:
        return
    upstreams = [
        _encode_upstream(upstream.listed)
        for upstream in routing.upstreams.values()
    ]
    snapshot = StoreSnapshot(
        version=table.version,
        revision=routing.revision,
        table=table.encoded if newer else b'',
        upstreams=upstreams,
    )
    state.emit(SendPeerMessage(sender, snapshot))


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
    if routing.store_reachable or message.revision <= routing.revision:
        return
    fields = {
        'peer': sender,
        'version': message.version,
        'revision': message.revision,
        'previous_revision': routing.revision,
    }
    state.emit(LogDecision('snapshot_applied', fields, important=False))
    routing.revision = message.revision
    upstreams = [_decode_upstream(each) for each in message.upstreams]
    replace_upstreams(state, upstreams, now)


def publish_backlog_change(
    state: VmState,
    instance: str,
    prefill_tokens: int,
    now: float,
    *,
    calls: int = 0,
) -> None:
    """Send the change of a backlog to the peers without delay.

    Otherwise all VMs could pick the same idle upstream, or leave one idle that
    has become free, until the next heartbeat. In a large fleet this would be
    too many messages, so that the change is sent with the next heartbeat only.
    ``prefill_tokens`` and ``calls`` are the differences to the backlog before,
    negative if it has shrunk. A change without prefill tokens is left to the
    heartbeat as well.
    """
    live_peers = list_live_peers(state.routing, now)
    if not prefill_tokens or len(live_peers) > _MAX_BACKLOG_CHANGE_PEERS:
        return
    for peer in live_peers:
        state.emit(
            SendPeerMessage(
                peer.name, BacklogChange(instance, prefill_tokens, calls)
            )
        )


def review_peers(state: VmState, now: float) -> None:
    """Send due heartbeats and snapshot requests, and forget expired peers."""
    routing = state.routing
    if now - routing.heartbeat_sent_at >= _HEARTBEAT_INTERVAL_S:
        routing.heartbeat_sent_at = now
        _send_routing_heartbeats(state, now)
        for peer in list(routing.peers.values()):
            if peer.last_heard_at < now - _PEER_EXPIRY_S:
                routing.peers.pop(peer.name)
    needs_snapshot = (
        not routing.store_reachable
        and now - routing.store_lost_at >= _SNAPSHOT_REQUEST_DELAY_S
    )
    if (
        needs_snapshot
        and now - routing.snapshot_requested_at >= _SNAPSHOT_REQUEST_INTERVAL_S
    ):
        routing.snapshot_requested_at = now
        _request_snapshot(state, now)


def _introduce_other_peers(state: VmState, sender: str, address: str) -> None:
    """Connect to a peer and send it the addresses of the known peers."""
    routing = state.routing
    routing.seeds.discard(address)
    state.emit(ConnectPeer(sender, address))
    addresses = {peer.name: peer.address for peer in routing.peers.values()}
    state.emit(SendPeerMessage(sender, Introduction(addresses)))
    state.emit(
        LogDecision(
            'peer_discovered',
            {
                'peer': sender,
                'address': address,
                'known_peers': len(routing.peers),
            },
        )
    )


def _send_routing_heartbeats(state: VmState, now: float) -> None:
    routing_heartbeat = _make_routing_heartbeat(state)
    for address in sorted(state.routing.seeds):
        state.emit(SendPeerMessage(_SEED_PREFIX + address, routing_heartbeat))
    for name in sorted(state.routing.peers):
        state.emit(SendPeerMessage(name, routing_heartbeat))


def _make_routing_heartbeat(state: VmState) -> RoutingHeartbeat:
    routing = state.routing
    backlog = []
    for instance, upstream in routing.upstreams.items():
        own = measure_own_backlog(upstream)
        if own.calls:
            backlog.append(
                UpstreamBacklog(instance, own.prefill_tokens, own.calls)
            )
    return RoutingHeartbeat(
        address=state.settings.peer_address,
        version=routing.table.version if routing.table else 0,
        revision=routing.revision,
        store_reachable=routing.store_reachable,
        backlog=backlog,
        waiting=routing.waiting.get_most_urgent_ranks(),
    )


def _request_snapshot(state: VmState, now: float) -> None:
    """Ask the live peer with the newest data that reaches the store."""
    routing = state.routing
    version = routing.table.version if routing.table else 0
    live_peers = [
        peer for peer in list_live_peers(routing, now) if peer.store_reachable
    ]
    live_peers.sort(key=_get_newest_first_key)
    for peer in live_peers[:1]:
        request = SnapshotRequest(version, routing.revision)
        state.emit(SendPeerMessage(peer.name, request))


def _get_newest_first_key(peer: PeerView) -> tuple[int, int, str]:
    return (-peer.version, -peer.revision, peer.name)


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
    )
