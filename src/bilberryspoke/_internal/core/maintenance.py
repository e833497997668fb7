"""Handlers of ticks, peer messages, VM lists, load reports and shutdown."""

from bilberryspoke._internal.core.granting import preempt_at_upstream
from bilberryspoke._internal.core.handover import (
    send_holding_reports,
    update_owners,
)
from bilberryspoke._internal.core.heartbeats import (
    send_heartbeats,
    update_leaving_upstreams,
)
from bilberryspoke._internal.core.membership import Member
from bilberryspoke._internal.core.orders import order_missing_model
from bilberryspoke._internal.core.owner import expire_requests_and_reclaim_slots
from bilberryspoke._internal.core.reducer import deliver_message, on_event
from bilberryspoke._internal.core.routing.maintenance import review_calls
from bilberryspoke._internal.core.routing.peers import review_peers
from bilberryspoke._internal.core.routing.relays import suspect_peer
from bilberryspoke._internal.core.routing.snapshots import review_snapshot
from bilberryspoke._internal.core.state import VmState
from bilberryspoke._internal.models.effects import Count, Log
from bilberryspoke._internal.models.events import (
    LoadReported,
    LoadReportMissed,
    PeerLost,
    PeerMessageReceived,
    StopRequested,
    Tick,
    VmsListed,
)

_MISSED_REPORTS_BEFORE_EJECTION = 2


@on_event(Tick)
def handle_tick(state: VmState, event: Tick, now: float) -> None:
    """Send due heartbeats and holding reports, and handle expired timeouts."""
    review_calls(state, now)
    if not state.settings.shares_slots:
        review_peers(state, now)
        review_snapshot(state, now)
        return
    interval_factor = state.membership.interval_factor
    if (
        now - state.heartbeat_sent_at
        >= state.settings.heartbeat_interval_s * interval_factor
    ):
        state.heartbeat_sent_at = now
        send_heartbeats(state, now)
    update_owners(state, now)
    if (
        now - state.holding_report_sent_at
        >= state.settings.holding_report_interval_s * interval_factor
    ):
        state.holding_report_sent_at = now
        send_holding_reports(state, now)
    for owned_pool in list(state.owned_pools.values()):
        expire_requests_and_reclaim_slots(state, owned_pool, now)


@on_event(PeerMessageReceived)
def handle_peer_message(
    state: VmState, event: PeerMessageReceived, now: float
) -> None:
    """Handle a peer message unless its sender's incarnation is outdated."""
    if not state.membership.accept_incarnation(event.sender, event.incarnation):
        state.emit(Count('stale_incarnation', event.sender))
        return
    deliver_message(state, event.sender, event.message, now)


@on_event(PeerLost)
def mark_peer_lost(state: VmState, event: PeerLost, now: float) -> None:
    """Count a peer as dead until its next heartbeat, and update owners.

    It is replaced if it was the relay of its data centre.
    """
    state.membership.mark_lost(event.peer)
    suspect_peer(state, event.peer, now)
    update_owners(state, now)


@on_event(LoadReported)
def record_load_report(state: VmState, event: LoadReported, now: float) -> None:
    """Record an upstream's load report, with its prefixes and models.

    A report of waiting requests may lead to preemption at the upstream.
    """
    load = state.ensure_load(event.upstream)
    load.record_report(event.running, event.waiting, now)
    load.missed_reports = 0
    for prefix in event.prefixes:
        load.record_prefix(prefix)
    load.models = event.models
    if event.waiting:
        preempt_at_upstream(state, event, now)
    order_missing_model(state, event, now)


@on_event(LoadReportMissed)
def record_missed_load_report(
    state: VmState, event: LoadReportMissed, now: float
) -> None:
    """Count a missing load report, and eject the upstream after several."""
    load = state.ensure_load(event.upstream)
    load.missed_reports += 1
    if load.missed_reports >= _MISSED_REPORTS_BEFORE_EJECTION:
        load.eject_until_next_report(now)


@on_event(VmsListed)
def apply_vm_list(state: VmState, event: VmsListed, now: float) -> None:
    """Apply the platform's list of VMs to the membership and key ownership.

    Key ownership changes only by lists that carry the platform's time.
    """
    leaving: set[str] = set()
    state.membership.clear_listed()
    for vm in event.vms:
        if vm.role == 'upstream':
            if vm.leaving:
                leaving.add(vm.name)
            continue
        if vm.name == state.vm:
            continue
        member = state.membership.members.setdefault(vm.name, Member(vm.name))
        member.listed = True
        member.listed_leaving = vm.leaving
        member.data_centre = vm.data_centre
        if vm.peer_address:
            member.peer_address = vm.peer_address
    state.listed_leaving = frozenset(leaving)
    if event.as_of_ms:
        state.ownership.apply_vm_list(event.as_of_ms, _list_entry_vms(event))
    update_leaving_upstreams(state, now)


@on_event(StopRequested)
def begin_stop(state: VmState, event: StopRequested, now: float) -> None:
    """Announce the stop to peers, so that pools get other owners.

    Requests that are open at this VM are still completed.
    """
    if not state.stopping:
        state.stopping = True
        state.stopping_since = now
        if not state.settings.shares_slots:
            return
        state.emit(Log('stopping', str(len(state.req_states))))
        send_heartbeats(state, now)
        update_owners(state, now)


def _list_entry_vms(event: VmsListed) -> dict[str, str]:
    return {
        vm.name: vm.data_centre
        for vm in event.vms
        if vm.role == 'entry' and not vm.leaving
    }
