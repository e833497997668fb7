"""Heartbeats between VMs that route calls, with their backlog at upstreams.

Times are in seconds of the boot-time clock.
"""

from bilberryspoke._internal.core.reducer import on_message
from bilberryspoke._internal.core.routing.backlog import list_live_peers
from bilberryspoke._internal.core.routing.crashnews import apply_crash_news
from bilberryspoke._internal.core.routing.members import (
    SEED_PREFIX,
    forget_expired_peers,
    record_sender,
    send_to_peer,
)
from bilberryspoke._internal.core.routing.partnews import (
    apply_part_news,
    clear_part_news,
    remember_new_parts,
)
from bilberryspoke._internal.core.routing.peerstate import PeerBacklog, PeerView
from bilberryspoke._internal.core.routing.promptcache import record_sent_parts
from bilberryspoke._internal.core.routing.ratelimits import (
    apply_stated_limits,
)
from bilberryspoke._internal.core.routing.relays import (
    choose_relays,
    counts_report,
    find_expected_relays,
    is_relay,
)
from bilberryspoke._internal.core.routing.reports import (
    HeartbeatNews,
    collect_news,
    make_report,
    view_own_state,
)
from bilberryspoke._internal.core.routing.storereaders import (
    record_reader,
    review_reading,
)
from bilberryspoke._internal.core.routing.withdrawal import apply_leaving
from bilberryspoke._internal.core.state import VmState
from bilberryspoke._internal.models.effects import SendPeerMessage
from bilberryspoke._internal.models.routing_messages import (
    BacklogChange,
    ReportScope,
    RoutingHeartbeat,
)

_HEARTBEAT_INTERVAL_S = 0.1


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
    peer.position = message.position
    peer.store_reachable = message.store_reachable
    peer.backlog = {
        each.instance: PeerBacklog(each.prefill_tokens, each.calls)
        for each in message.backlog
    }
    peer.waiting = message.waiting
    peer.tight_demand = message.tight_demand
    peer.scope = message.scope
    peer.vms = message.vms
    peer.store_reader = message.store_reader or sender
    peer.upstreams_digest = message.upstreams_digest
    apply_stated_limits(state, sender, message.limits, now)
    apply_leaving(state, sender, message.leaving)
    apply_part_news(state, message, now)
    record_reader(state, sender, message, now)
    if message.crash_news is not None:
        apply_crash_news(state, sender, message.crash_news, now)
    if counts_report(state, peer):
        state.routing.reporters[sender] = peer
    else:
        state.routing.reporters.pop(sender, None)
    if message.to_relay and not is_relay(state):
        _answer_as_no_relay(state, peer, now)
    elif message.scope is ReportScope.vm:
        _note_relay_of(state, message)


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
    upstream = state.routing.upstreams.get(message.instance)
    if upstream is not None:
        record_sent_parts(state.routing, upstream, message.parts, now)


def publish_backlog_change(
    state: VmState, change: BacklogChange, now: float
) -> None:
    """Send the change of a backlog to the peers without delay.

    Otherwise all VMs could pick the same idle upstream, or leave one idle that
    has become free, until the next heartbeat. In a fleet with relays this would
    be too many messages, so that the change is sent with the next heartbeat
    only. A change without prefill tokens is left to the heartbeat as well.
    """
    if state.routing.relays:
        remember_new_parts(state.routing, change.instance, change.parts)
        return
    if not change.prefill_tokens:
        return
    for peer in list_live_peers(state.routing, now):
        send_to_peer(state, peer, change)


def review_peers(state: VmState, now: float) -> None:
    """Send due heartbeats, choose relays and forget expired peers."""
    routing = state.routing
    if now - routing.heartbeat_sent_at >= _HEARTBEAT_INTERVAL_S:
        routing.heartbeat_sent_at = now
        forget_expired_peers(state, now)
        choose_relays(state, now)
        _update_reporters(state)
        review_reading(state, now)
        _send_heartbeats(state, now)


def _update_reporters(state: VmState) -> None:
    state.routing.reporters = {
        peer.name: peer
        for peer in state.routing.peers.values()
        if counts_report(state, peer)
    }


def _send_heartbeats(state: VmState, now: float) -> None:
    routing = state.routing
    own = view_own_state(state, now)
    relays_here = is_relay(state)
    news = collect_news(routing, now)
    own_report = make_report(
        state, [own], news, to_relay=bool(routing.relays) and not relays_here
    )
    for address in sorted(routing.seeds):
        state.emit(SendPeerMessage(SEED_PREFIX + address, own_report))
    if relays_here:
        _send_totals(state, own, news, now)
    else:
        receivers = routing.peers.values()
        if routing.relays:
            receivers = find_expected_relays(state).values()
        for receiver in receivers:
            send_to_peer(state, receiver, own_report)
    clear_part_news(routing)


def _send_totals(
    state: VmState, own: PeerView, news: HeartbeatNews, now: float
) -> None:
    """Send the totals that a relay passes on.

    The other relays get that of its data centre, and each VM of its data centre
    that of all other VMs. ``own`` is this VM's own state.
    """
    routing = state.routing
    data_centre = state.settings.data_centre
    live_peers = list_live_peers(routing, now)
    members = [peer for peer in live_peers if peer.data_centre == data_centre]
    data_centre_total = make_report(
        state, [own, *members], news, ReportScope.data_centre, to_relay=True
    )
    for relay in find_expected_relays(state).values():
        send_to_peer(state, relay, data_centre_total)
    for receiver in routing.peers.values():
        if receiver.data_centre == data_centre:
            others = [peer for peer in live_peers if peer is not receiver]
            total = make_report(state, [own, *others], news, ReportScope.others)
            send_to_peer(state, receiver, total)


def _answer_as_no_relay(state: VmState, peer: PeerView, now: float) -> None:
    """Tell a peer that took this VM for a relay which VM is the relay."""
    news = collect_news(state.routing, now)
    report = make_report(state, [view_own_state(state, now)], news)
    send_to_peer(state, peer, report)


def _note_relay_of(state: VmState, message: RoutingHeartbeat) -> None:
    """Trust the relay that a VM of a data centre uses, if it was suspected."""
    relay = state.routing.peers.get(message.relay)
    if relay is not None and not message.to_relay:
        relay.suspected = False
