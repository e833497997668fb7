"""Owner side of a pool: handlers of slot requests, releases and reports."""

from bilberryspoke._internal.core.classqueue import QueuedSlotRequest
from bilberryspoke._internal.core.granting import serve_pool
from bilberryspoke._internal.core.intake import (
    admit_slot_request,
    charge_rate_limit,
    make_queued_slot_request,
    refuse_slot_request,
)
from bilberryspoke._internal.core.poolqueue import HeldSlot, OwnedPool
from bilberryspoke._internal.core.reducer import on_message
from bilberryspoke._internal.core.sending import send
from bilberryspoke._internal.core.state import VmState
from bilberryspoke._internal.models.catalog import ServiceClass
from bilberryspoke._internal.models.effects import Count
from bilberryspoke._internal.models.messages import (
    HeldAttempt,
    HoldingReport,
    SlotRelease,
    SlotRequest,
    SlotWithdrawal,
    UnknownRequests,
)
from bilberryspoke._internal.models.requests import AttemptStatus

_FAILURE_STATUSES = frozenset((AttemptStatus.broken, AttemptStatus.unreachable))


@on_message(SlotRequest)
def handle_slot_request(
    state: VmState, sender: str, slot_req: SlotRequest, now: float
) -> None:
    """Queue an entry VM's slot request, or refuse it.

    It is refused if its class no longer exists, its workspace exceeds its
    rate limit, the expected wait is too long or the queue is full. A request
    for a pool that is not in the catalog is ignored.
    """
    catalog = state.catalog
    if catalog is None or slot_req.pool not in catalog.pools:
        return
    service_class = catalog.classes.get(slot_req.service_class)
    if service_class is None:
        refuse_slot_request(state, sender, slot_req, 'class_withdrawn', 0)
        return
    owned_pool = state.owned_pools.setdefault(
        slot_req.pool, OwnedPool(slot_req.pool)
    )
    if slot_req.attempt == 1 and slot_req.req_id not in owned_pool.waiting:
        wait_s = charge_rate_limit(state, owned_pool, slot_req, now)
        if wait_s > 0:
            refuse_slot_request(state, sender, slot_req, 'rate_limited', wait_s)
            return
    if not admit_slot_request(
        state, owned_pool, sender, slot_req, service_class, now
    ):
        return
    owned_pool.enqueue(
        make_queued_slot_request(
            state, owned_pool, sender, slot_req, service_class, now
        )
    )
    serve_pool(state, owned_pool, now)


@on_message(SlotWithdrawal)
def handle_slot_withdrawal(
    state: VmState,
    sender: str,
    message: SlotWithdrawal,
    now: float,
) -> None:
    """Dequeue a request whose caller has gone or that has a new owner."""
    owned_pool = state.owned_pools.get(message.pool)
    if owned_pool is not None:
        waiting = owned_pool.waiting.get(message.req_id)
        if waiting is not None and waiting.entry == sender:
            owned_pool.dequeue(message.req_id)


@on_message(SlotRelease)
def handle_slot_release(
    state: VmState,
    sender: str,
    message: SlotRelease,
    now: float,
) -> None:
    """Free a released slot, update the estimates and grant free slots.

    A release of another attempt than the one that holds the slot frees
    nothing.
    """
    owned_pool = state.owned_pools.get(message.pool)
    if owned_pool is None:
        return
    slot = owned_pool.held.get(message.req_id)
    if slot is not None and slot.attempt == message.attempt:
        _free_slot(state, owned_pool, slot, now)
        _record_attempt_end(state, owned_pool, slot, message, now)
    serve_pool(state, owned_pool, now)


@on_message(HoldingReport)
def handle_holding_report(
    state: VmState,
    sender: str,
    message: HoldingReport,
    now: float,
) -> None:
    """Reconcile the slots and the queue of a pool with an entry VM's report.

    Slots of running attempts that the owner does not know are added. Slots
    and queued requests of that VM that its report lacks are removed once they
    are older than a lease. The VM is sent the ids of its waiting requests
    that the owner does not know.
    """
    if state.catalog is None or message.pool not in state.catalog.pools:
        return
    owned_pool = state.owned_pools.setdefault(
        message.pool, OwnedPool(message.pool)
    )
    for attempt in message.running:
        _confirm_or_add_slot(state, owned_pool, sender, attempt, now)
    _remove_unconfirmed(state, owned_pool, sender, message, now)
    unknown = [
        req_id
        for req_id in message.waiting
        if req_id not in owned_pool.waiting and req_id not in owned_pool.held
    ]
    # Sent even if empty: it tells the entry VM that the owner is alive.
    send(state, sender, UnknownRequests(message.pool, unknown))
    serve_pool(state, owned_pool, now)


def expire_requests_and_reclaim_slots(
    state: VmState, owned_pool: OwnedPool, now: float
) -> None:
    """Refuse expired requests, free unconfirmed slots, and grant free slots.

    A request has expired if it waited too long or its class no longer exists.
    A slot is freed once its entry VM has not confirmed it for
    ``reclaim_timeout_s``, which is longer in large fleets, whose VMs report
    less often.
    """
    if state.catalog is None:
        return
    reclaim_timeout_s = (
        state.settings.reclaim_timeout_s * state.membership.interval_factor
    )
    for waiting in list(owned_pool.waiting.values()):
        service_class = state.catalog.classes.get(
            waiting.slot_req.service_class
        )
        if service_class is None or _has_expired(waiting, service_class, now):
            owned_pool.dequeue(waiting.slot_req.req_id)
            refuse_slot_request(
                state, waiting.entry, waiting.slot_req, 'waited_too_long', 1.0
            )
    for slot in list(owned_pool.held.values()):
        if now - slot.last_confirmed_at > reclaim_timeout_s:
            _free_slot(state, owned_pool, slot, now)
            state.emit(Count('slots_reclaimed', slot.upstream))
    serve_pool(state, owned_pool, now)


def _free_slot(
    state: VmState,
    owned_pool: OwnedPool,
    slot: HeldSlot,
    now: float,
) -> None:
    owned_pool.remove_slot(slot.req_id, now)
    state.ensure_load(slot.upstream).remove_own_slot(now)


def _record_attempt_end(
    state: VmState,
    owned_pool: OwnedPool,
    slot: HeldSlot,
    message: SlotRelease,
    now: float,
) -> None:
    load = state.ensure_load(slot.upstream)
    status = message.status
    decode_s = message.run_s - max(0.0, message.first_token_s)
    load.record_time_per_token(decode_s, message.tokens)
    if status in _FAILURE_STATUSES:
        load.record_failure(now)
    if status is AttemptStatus.finished:
        load.record_success()
        stats = owned_pool.ensure_stats(slot.service_class)
        stats.record_attempt(
            message.tokens, message.run_s, message.first_token_s
        )
    queue = owned_pool.queues.get(slot.service_class)
    if queue is not None:
        extra_tokens = message.tokens - slot.charged_tokens
        queue.correct_charge(slot.workspace, extra_tokens, slot.weight)


def _confirm_or_add_slot(
    state: VmState,
    owned_pool: OwnedPool,
    sender: str,
    attempt: HeldAttempt,
    now: float,
) -> None:
    slot = owned_pool.held.get(attempt.req_id)
    if slot is not None and slot.attempt == attempt.attempt:
        gained_tokens = attempt.tokens - slot.tokens
        elapsed_s = now - max(slot.last_confirmed_at, slot.granted_at)
        if slot.tokens and gained_tokens > 0:
            load = state.ensure_load(slot.upstream)
            load.record_time_per_token(elapsed_s, gained_tokens)
        slot.last_confirmed_at = now
        slot.tokens = attempt.tokens
        return
    if slot is not None and slot.attempt > attempt.attempt:
        return
    if slot is not None:
        _free_slot(state, owned_pool, slot, now)
    state.ensure_load(attempt.upstream).add_own_slot(now)
    owned_pool.dequeue(attempt.req_id)
    owned_pool.add_slot(
        HeldSlot(
            req_id=attempt.req_id,
            attempt=attempt.attempt,
            entry=sender,
            upstream=attempt.upstream,
            service_class=attempt.service_class,
            workspace=attempt.workspace,
            granted_at=now - attempt.run_s,
            last_confirmed_at=now,
            tokens=attempt.tokens,
            resumable=attempt.resumable,
        ),
    )


def _remove_unconfirmed(
    state: VmState,
    owned_pool: OwnedPool,
    sender: str,
    message: HoldingReport,
    now: float,
) -> None:
    running = {attempt.req_id for attempt in message.running}
    waiting = set(message.waiting)
    grace_s = state.settings.lease_s
    for slot in list(owned_pool.held.values()):
        confirmed = slot.entry != sender or slot.req_id in running
        if not confirmed and now - slot.granted_at > grace_s:
            _free_slot(state, owned_pool, slot, now)
    for queued in list(owned_pool.waiting.values()):
        confirmed = queued.entry != sender or queued.slot_req.req_id in waiting
        if not confirmed and now - queued.queued_at > grace_s:
            owned_pool.dequeue(queued.slot_req.req_id)


def _has_expired(
    waiting: QueuedSlotRequest,
    service_class: ServiceClass,
    now: float,
) -> bool:
    if waiting.slot_req.may_have_started or service_class.protected:
        return False
    return now - waiting.arrived_at > service_class.max_wait_s
