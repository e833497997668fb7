"""Changes of pool owners at an entry VM, and its holding reports to them."""

from bilberryspoke._internal.core.entry import request_slot
from bilberryspoke._internal.core.orders import update_owned_since
from bilberryspoke._internal.core.policies.registry import find_policy
from bilberryspoke._internal.core.requeststate import RequestStage, RequestState
from bilberryspoke._internal.core.sending import send
from bilberryspoke._internal.core.state import OwnerContact, VmState
from bilberryspoke._internal.models.effects import Count
from bilberryspoke._internal.models.messages import (
    HeldAttempt,
    HoldingReport,
    SlotWithdrawal,
)

_OWNER_REPLY_TIMEOUT_S = 2.0
_OWNER_EJECTION_S = 5.0


def update_owners(state: VmState, now: float) -> None:
    """Update the owner of each pool, and hand requests over to a new one.

    A new owner gets a holding report of the running attempts. Waiting slot
    requests are withdrawn from the previous owner and sent to the new one.
    """
    if state.catalog is None:
        return
    policy = find_policy(state.settings.policy)
    for pool in state.catalog.pools:
        owner = policy.find_owner(state, pool, now)
        previous_owner = state.owner_of.get(pool)
        state.owner_of[pool] = owner
        update_owned_since(state, pool, now)
        if previous_owner == owner:
            continue
        if previous_owner is not None:
            state.emit(Count('owner_changes', pool))
            _move_requests(state, pool, previous_owner, owner, now)


def send_holding_reports(state: VmState, now: float) -> None:
    """Report to each pool's owner its running attempts and waiting requests.

    An owner that has not answered reports for ``_OWNER_REPLY_TIMEOUT_S``, or
    longer in a large fleet, is excluded from owning pools for
    ``_OWNER_EJECTION_S``.
    """
    req_states_by_pool: dict[str, list[RequestState]] = {}
    for req_state in state.req_states.values():
        req_states_by_pool.setdefault(req_state.req.pool, []).append(req_state)
    for pool, req_states in req_states_by_pool.items():
        owner = state.owner_of.get(pool)
        if owner is None:
            continue
        _eject_unresponsive_owner(state, pool, owner, now)
        send(state, owner, _make_holding_report(pool, req_states, now))


def _eject_unresponsive_owner(
    state: VmState,
    pool: str,
    owner: str,
    now: float,
) -> None:
    if owner == state.vm:
        return
    timeout_s = _OWNER_REPLY_TIMEOUT_S * state.membership.interval_factor
    contact = state.owner_contacts.get(pool)
    if contact is None or contact.owner != owner:
        state.owner_contacts[pool] = OwnerContact(owner, now)
    elif contact.unanswered_since is None:
        contact.unanswered_since = now
    elif now - contact.unanswered_since > timeout_s:
        state.emit(Count('owners_suspected', owner))
        state.membership.eject_owner(owner, now + _OWNER_EJECTION_S)
        state.owner_contacts.pop(pool)


def _move_requests(
    state: VmState,
    pool: str,
    previous_owner: str,
    owner: str,
    now: float,
) -> None:
    req_states = [
        req_state
        for req_state in state.req_states.values()
        if req_state.req.pool == pool
    ]
    if not req_states:
        return
    for req_state in req_states:
        if req_state.stage is RequestStage.running:
            req_state.owner = owner
    running = [
        each for each in req_states if each.stage is RequestStage.running
    ]
    send(state, owner, _make_holding_report(pool, running, now))
    for req_state in req_states:
        if (
            req_state.stage is RequestStage.awaiting_slot
            and req_state.owner != owner
        ):
            send(
                state,
                previous_owner,
                SlotWithdrawal(req_state.req.req_id, pool),
            )
            req_state.queue_s += now - req_state.slot_requested_at
            request_slot(state, req_state, now)


def _make_holding_report(
    pool: str, req_states: list[RequestState], now: float
) -> HoldingReport:
    running = [
        HeldAttempt(
            req_id=req_state.req.req_id,
            attempt=req_state.attempt,
            upstream=req_state.upstream,
            service_class=req_state.req.service_class,
            workspace=req_state.req.workspace,
            run_s=now - req_state.started_at,
            tokens=req_state.tokens,
            resumable=req_state.req.resumable,
        )
        for req_state in req_states
        if req_state.stage is RequestStage.running
    ]
    waiting = [
        req_state.req.req_id
        for req_state in req_states
        if req_state.stage is RequestStage.awaiting_slot
    ]
    return HoldingReport(pool, running, waiting)
