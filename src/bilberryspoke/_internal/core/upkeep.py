"""Periodic work, membership, configuration and load reports."""

from bilberryspoke._internal.core.entry import seek_slot
from bilberryspoke._internal.core.membership import Member
from bilberryspoke._internal.core.orders import (
    follow_ownership,
    review_engine,
)
from bilberryspoke._internal.core.owner import (
    expire_and_reclaim,
    relieve_upstream,
    serve_pool,
)
from bilberryspoke._internal.core.policies.registry import find_policy
from bilberryspoke._internal.core.reducer import deliver, on_event, on_message
from bilberryspoke._internal.core.sending import send
from bilberryspoke._internal.core.state import NodeState, OwnerContact
from bilberryspoke._internal.core.tickets import Stage, Ticket
from bilberryspoke._internal.models.effects import Adopt, Count, Log, SendPeer
from bilberryspoke._internal.models.events import (
    CatalogOffered,
    LoadReported,
    LoadUnread,
    PeerLost,
    PeerReceived,
    StopRequested,
    Tick,
    VmsListed,
)
from bilberryspoke._internal.models.messages import (
    Heartbeat,
    HeldAttempt,
    Holding,
    Pull,
    Push,
    Withdraw,
)

_SILENT_LIMIT = 2
_OWNER_SILENCE_S = 2.0
_SUSPICION_S = 5.0


@on_event(Tick)
def do_periodic_work(state: NodeState, event: Tick, now: float) -> None:
    """Send what is due and look for what has lapsed."""
    if now - state.heartbeat_at >= state.settings.heartbeat_s:
        state.heartbeat_at = now
        send_heartbeats(state, now)
    follow_owners(state, now)
    if now - state.holding_at >= state.settings.holding_s:
        state.holding_at = now
        report_holding(state, now)
    for owner in list(state.owned.values()):
        expire_and_reclaim(state, owner, now)


@on_event(PeerReceived)
def receive_message(state: NodeState, event: PeerReceived, now: float) -> None:
    """Deliver a message unless it comes from an outdated incarnation."""
    if not state.membership.admit(event.sender, event.incarnation):
        state.emit(Count('stale_incarnation', event.sender))
        return
    deliver(state, event.sender, event.message, now)


@on_event(PeerLost)
def lose_peer(state: NodeState, event: PeerLost, now: float) -> None:
    """Treat a VM as dead until it is heard of again."""
    state.membership.lose(event.peer)
    follow_owners(state, now)


@on_event(LoadReported)
def take_report(state: NodeState, event: LoadReported, now: float) -> None:
    """Take an upstream's load report and its hints about prefixes."""
    load = state.find_load(event.upstream)
    load.report(event.running, event.waiting, now)
    load.silent = 0
    for prefix in event.prefixes:
        load.learn_prefix(prefix)
    load.models = event.models
    if event.waiting:
        relieve_upstream(state, event, now)
    review_engine(state, event, now)


@on_event(LoadUnread)
def note_silence(state: NodeState, event: LoadUnread, now: float) -> None:
    """Avoid an upstream whose load could not be read several times."""
    load = state.find_load(event.upstream)
    load.silent += 1
    if load.silent >= _SILENT_LIMIT:
        load.avoid(now)


@on_event(VmsListed)
def take_list(state: NodeState, event: VmsListed, now: float) -> None:
    """Join the platform's list with the heartbeats' view."""
    leaving: set[str] = set()
    state.membership.forget_list()
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
        state.ownership.take_list(event.as_of_ms, _list_entries(event))
    _join_leaving(state, now)


@on_event(CatalogOffered)
def adopt_catalog(state: NodeState, event: CatalogOffered, now: float) -> None:
    """Adopt a configuration that is newer than the one in force."""
    offered = event.catalog
    current = state.catalog
    if current is not None:
        if offered.revision == current.revision:
            if offered.digest != current.digest:
                state.emit(Count('config_conflicts'))
                state.emit(Log('config_conflict', str(offered.revision)))
            return
        if offered.revision < current.revision:
            state.emit(Count('config_stale_offers'))
            return
    state.catalog = offered
    state.bundle = event.bundle
    state.emit(Adopt(offered.revision, offered.digest))
    send_heartbeats(state, now)
    for owner in list(state.owned.values()):
        serve_pool(state, owner, now)


@on_event(StopRequested)
def begin_stop(state: NodeState, event: StopRequested, now: float) -> None:
    """Announce the stop; owner roles pass on, requests here are served."""
    if not state.stopping:
        state.stopping = True
        state.emit(Log('stopping', str(len(state.tickets))))
        send_heartbeats(state, now)
        follow_owners(state, now)


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
    _join_leaving(state, now)
    revision = state.catalog.revision if state.catalog else 0
    if message.revision > revision:
        send(state, sender, Pull(revision))


@on_message(Pull)
def push_configuration(
    state: NodeState,
    sender: str,
    message: Pull,
    now: float,
) -> None:
    """Send the accepted configuration to a VM that has an older one."""
    catalog = state.catalog
    if catalog is not None and catalog.revision > message.revision:
        state.emit(Count('config_pushes'))
        push = Push(catalog.revision, catalog.digest, state.bundle)
        send(state, sender, push)


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


def follow_owners(state: NodeState, now: float) -> None:
    """Move waiting requests to the current owner of their pool."""
    if state.catalog is None:
        return
    policy = find_policy(state.settings.policy)
    for pool in state.catalog.pools:
        owner = policy.find_owner(state, pool, now)
        previous = state.owner_of.get(pool)
        state.owner_of[pool] = owner
        follow_ownership(state, pool, now)
        if previous == owner:
            continue
        if previous is not None:
            state.emit(Count('owner_changes', pool))
            _move_requests(state, pool, previous, owner, now)


def report_holding(state: NodeState, now: float) -> None:
    """Tell each owner what this VM holds of it and waits for."""
    by_pool: dict[str, list[Ticket]] = {}
    for ticket in state.tickets.values():
        by_pool.setdefault(ticket.req.pool, []).append(ticket)
    for pool, tickets in by_pool.items():
        owner = state.owner_of.get(pool)
        if owner is None:
            continue
        _suspect_silent_owner(state, pool, owner, now)
        send(state, owner, _describe(pool, tickets, now))


def _suspect_silent_owner(
    state: NodeState,
    pool: str,
    owner: str,
    now: float,
) -> None:
    if owner == state.vm:
        return
    contact = state.owner_heard.get(pool)
    if contact is None or contact.owner != owner:
        state.owner_heard[pool] = OwnerContact(owner, now)
    elif now - contact.answered_at > _OWNER_SILENCE_S:
        state.emit(Count('owners_suspected', owner))
        state.membership.suspect(owner, now + _SUSPICION_S)
        state.owner_heard.pop(pool)


def _move_requests(
    state: NodeState,
    pool: str,
    previous: str,
    owner: str,
    now: float,
) -> None:
    tickets = [
        ticket for ticket in state.tickets.values() if ticket.req.pool == pool
    ]
    if not tickets:
        return
    for ticket in tickets:
        if ticket.stage is Stage.running:
            ticket.owner = owner
    running = [each for each in tickets if each.stage is Stage.running]
    send(state, owner, _describe(pool, running, now))
    for ticket in tickets:
        if ticket.stage is Stage.asking and ticket.owner != owner:
            send(state, previous, Withdraw(ticket.req.req_id, pool))
            ticket.queue_s += now - ticket.asked_at
            seek_slot(state, ticket, now)


def _describe(pool: str, tickets: list[Ticket], now: float) -> Holding:
    running = [
        HeldAttempt(
            req_id=ticket.req.req_id,
            attempt=ticket.attempt,
            upstream=ticket.upstream,
            service_class=ticket.req.service_class,
            workspace=ticket.req.workspace,
            run_s=now - ticket.started_at,
            tokens=ticket.tokens,
            resumable=ticket.req.resumable,
        )
        for ticket in tickets
        if ticket.stage is Stage.running
    ]
    waiting = [
        ticket.req.req_id for ticket in tickets if ticket.stage is Stage.asking
    ]
    return Holding(pool, running, waiting)


def _list_entries(event: VmsListed) -> dict[str, str]:
    return {
        vm.name: vm.data_centre
        for vm in event.vms
        if vm.role == 'entry' and not vm.leaving
    }


def _join_leaving(state: NodeState, now: float) -> None:
    joined = state.listed_leaving | state.membership.list_leaving(now)
    for name in sorted(joined - state.leaving):
        state.emit(Log('upstream_leaving', name))
    for name in sorted(state.leaving - joined):
        state.emit(Log('upstream_staying', name))
    state.leaving = joined
