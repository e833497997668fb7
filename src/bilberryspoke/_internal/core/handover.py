"""Owners as an entry VM follows them, and its reports to them."""

from bilberryspoke._internal.core.entry import seek_slot
from bilberryspoke._internal.core.orders import follow_ownership
from bilberryspoke._internal.core.policies.registry import find_policy
from bilberryspoke._internal.core.sending import send
from bilberryspoke._internal.core.state import NodeState, OwnerContact
from bilberryspoke._internal.core.tickets import Stage, Ticket
from bilberryspoke._internal.models.effects import Count
from bilberryspoke._internal.models.messages import (
    HeldAttempt,
    Holding,
    Withdraw,
)

_OWNER_SILENCE_S = 2.0
_SUSPICION_S = 5.0


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
    silence_s = _OWNER_SILENCE_S * state.membership.pace
    contact = state.owner_heard.get(pool)
    if contact is None or contact.owner != owner:
        state.owner_heard[pool] = OwnerContact(owner, now)
    elif contact.unanswered_since is None:
        contact.unanswered_since = now
    elif now - contact.unanswered_since > silence_s:
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
