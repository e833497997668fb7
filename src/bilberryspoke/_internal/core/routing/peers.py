"""Heartbeats between VMs that route calls, with their backlog at upstreams.

Times are in seconds of the boot-time clock.
"""

from bilberryspoke._internal.core.reducer import on_message
from bilberryspoke._internal.core.routing.backlog import (
    list_live_peers,
    measure_own_backlog,
)
from bilberryspoke._internal.core.routing.members import (
    SEED_PREFIX,
    forget_expired_peers,
    record_sender,
)
from bilberryspoke._internal.core.routing.state import PeerBacklog
from bilberryspoke._internal.core.state import VmState
from bilberryspoke._internal.models.effects import SendPeerMessage
from bilberryspoke._internal.models.messages import (
    BacklogChange,
    RoutingHeartbeat,
    UpstreamBacklog,
)

_HEARTBEAT_INTERVAL_S = 0.1
# With more peers, changes of a backlog are sent in heartbeats only.
_MAX_BACKLOG_CHANGE_PEERS = 16


@on_message(RoutingHeartbeat)
def handle_routing_heartbeat(
    state: VmState,
    sender: str,
    message: RoutingHeartbeat,
    now: float,
) -> None:
    """Record a heartbeat and the backlog that its sender reports."""
    peer = record_sender(state, sender, message, now)
    peer.version = message.version
    peer.revision = message.revision
    peer.store_reachable = message.store_reachable
    peer.backlog = {
        each.instance: PeerBacklog(each.prefill_tokens, each.calls)
        for each in message.backlog
    }
    peer.waiting = message.waiting


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
    """Send due heartbeats, and forget expired peers."""
    routing = state.routing
    if now - routing.heartbeat_sent_at >= _HEARTBEAT_INTERVAL_S:
        routing.heartbeat_sent_at = now
        forget_expired_peers(state, now)
        _send_routing_heartbeats(state, now)


def _send_routing_heartbeats(state: VmState, now: float) -> None:
    routing_heartbeat = _make_routing_heartbeat(state)
    for address in sorted(state.routing.seeds):
        state.emit(SendPeerMessage(SEED_PREFIX + address, routing_heartbeat))
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
        members=routing.members_digest,
    )
