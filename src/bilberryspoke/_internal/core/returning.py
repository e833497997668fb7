"""Slots given back by an entry VM."""

from bilberryspoke._internal.core.policies.registry import find_policy
from bilberryspoke._internal.core.sending import send
from bilberryspoke._internal.core.state import NodeState
from bilberryspoke._internal.core.tickets import Ticket
from bilberryspoke._internal.models.messages import (
    Granted,
    Release,
)
from bilberryspoke._internal.models.requests import AttemptStatus


def give_back_slot(
    state: NodeState,
    ticket: Ticket,
    status: AttemptStatus,
    now: float,
) -> None:
    """Report the end of an attempt and what it produced."""
    first_token_s = 0.0
    if ticket.first_token_at is not None:
        first_token_s = max(0.0, ticket.first_token_at - ticket.started_at)
    release = Release(
        req_id=ticket.req.req_id,
        attempt=ticket.attempt,
        pool=ticket.req.pool,
        upstream=ticket.upstream,
        status=status,
        tokens=ticket.tokens - ticket.offset,
        run_s=now - ticket.started_at,
        first_token_s=first_token_s,
    )
    policy = find_policy(state.settings.policy)
    policy.give_back(state, ticket, release, now)


def hand_back_grant(
    state: NodeState,
    sender: str,
    message: Granted,
    ticket: Ticket | None,
) -> None:
    """Give a grant back that can not be used."""
    pool = ticket.req.pool if ticket else _find_pool(state, message.upstream)
    release = Release(
        req_id=message.req_id,
        attempt=message.attempt,
        pool=pool,
        upstream=message.upstream,
        status=AttemptStatus.lapsed,
        tokens=0,
        run_s=0,
        first_token_s=0,
    )
    send(state, sender, release)


def _find_pool(state: NodeState, upstream: str) -> str:
    if state.catalog is not None:
        for pool in state.catalog.pools.values():
            if upstream in pool.upstreams:
                return pool.name
    return ''
