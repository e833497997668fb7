"""Admission of slot requests to an owner's queue, or their refusal."""

from bilberryspoke._internal.core.classqueue import QueuedSlotRequest
from bilberryspoke._internal.core.poolqueue import ClassStats, OwnedPool
from bilberryspoke._internal.core.scheduling import choose_eviction
from bilberryspoke._internal.core.sending import send
from bilberryspoke._internal.core.state import VmState
from bilberryspoke._internal.models.catalog import MS_PER_S, ServiceClass
from bilberryspoke._internal.models.messages import (
    SlotRefusal,
    SlotRequest,
)

# A class whose next request was queued more recently has no backlog.
_MIN_BACKLOG_AGE_S = 1.0
# Keeps the expected wait finite while no slots are released.
_MIN_RELEASES_PER_S = 0.1
_MAX_START_DELAY_WITHOUT_TARGET_S = 3600.0
_MAX_RESERVED_FRACTION = 0.5


def charge_rate_limit(
    state: VmState,
    owned_pool: OwnedPool,
    slot_req: SlotRequest,
    now: float,
) -> float:
    """Charge a slot request to its workspace's rate limit.

    Returns the seconds to wait, 0 if the request is within the limit.
    """
    for approval in state.catalog.approvals_of.get(slot_req.workspace, ()):
        same_class = approval.service_class == slot_req.service_class
        if same_class and approval.pool == slot_req.pool:
            if approval.requests_per_s is None:
                return 0.0
            limit_key = f'{slot_req.workspace}/{slot_req.service_class}'
            return owned_pool.limits.charge_request(
                limit_key, approval.requests_per_s, now
            )
    return 0.0


def admit_slot_request(
    state: VmState,
    owned_pool: OwnedPool,
    sender: str,
    slot_req: SlotRequest,
    service_class: ServiceClass,
    now: float,
) -> bool:
    """Return whether a slot request may be queued; refuse it otherwise.

    A queued request of a lower tier, or one that missed its target, may be
    refused in its place. Requests that may have been started and those of
    protected classes are queued however long the expected wait.
    """
    if slot_req.may_have_started or service_class.protected:
        return _ensure_queue_space(
            state, owned_pool, sender, slot_req, service_class
        )
    wait_s = _estimate_wait_s(owned_pool, slot_req, now)
    if wait_s > service_class.max_wait_s:
        late = owned_pool.queues[slot_req.service_class].find_oldest_late(now)
        if late is None:
            refuse_slot_request(state, sender, slot_req, 'no_prospect', wait_s)
            return False
        # A request that missed its target is refused in favour of one that
        # can still meet it.
        owned_pool.dequeue(late.slot_req.req_id)
        refuse_slot_request(
            state, late.entry, late.slot_req, 'target_missed', wait_s
        )
    return _ensure_queue_space(
        state, owned_pool, sender, slot_req, service_class
    )


def _estimate_wait_s(
    owned_pool: OwnedPool, slot_req: SlotRequest, now: float
) -> float:
    queue = owned_pool.queues.get(slot_req.service_class)
    if queue is None:
        return 0.0
    head = queue.head(now)
    if head is None or now - head.queued_at < _MIN_BACKLOG_AGE_S:
        return 0.0
    # A lower bound: the wait if every released slot went to this class.
    return queue.size / max(
        _MIN_RELEASES_PER_S, owned_pool.measure_release_rate(now)
    )


def _ensure_queue_space(
    state: VmState,
    owned_pool: OwnedPool,
    sender: str,
    slot_req: SlotRequest,
    service_class: ServiceClass,
) -> bool:
    if (
        len(owned_pool.waiting) < state.settings.max_queued_requests
        or slot_req.may_have_started
    ):
        return True
    evicted = choose_eviction(owned_pool, state.catalog, service_class.tier)
    if evicted is None:
        refuse_slot_request(state, sender, slot_req, 'queue_full', 1.0)
        return False
    owned_pool.dequeue(evicted.slot_req.req_id)
    refuse_slot_request(state, evicted.entry, evicted.slot_req, 'evicted', 1.0)
    return True


def make_queued_slot_request(
    state: VmState,
    owned_pool: OwnedPool,
    sender: str,
    slot_req: SlotRequest,
    service_class: ServiceClass,
    now: float,
) -> QueuedSlotRequest:
    """Return the queue entry of a slot request sent by an entry VM."""
    arrived_at = now - slot_req.age_s
    stats = owned_pool.ensure_stats(slot_req.service_class)
    workspace = state.catalog.workspaces.get(slot_req.workspace)
    return QueuedSlotRequest(
        slot_req=slot_req,
        entry=sender,
        arrived_at=arrived_at,
        queued_at=now,
        latest_start_at=arrived_at
        + _compute_max_start_delay_s(slot_req, service_class, stats),
        weight=workspace.weight if workspace else 1.0,
    )


def refuse_slot_request(
    state: VmState,
    entry: str,
    slot_req: SlotRequest,
    reason: str,
    retry_after_s: float,
) -> None:
    """Send an entry VM the refusal of its slot request."""
    send(
        state,
        entry,
        SlotRefusal(slot_req.req_id, slot_req.attempt, reason, retry_after_s),
    )


def _compute_max_start_delay_s(
    slot_req: SlotRequest, service_class: ServiceClass, stats: ClassStats
) -> float:
    """Return the seconds after its arrival by which a request must start.

    The time that an attempt is expected to take is reserved from each target,
    but at most a fraction of it: otherwise slow answers would make every
    later request of the class late on arrival, and no faster answer could
    correct the estimate.
    """
    max_start_delay_s = _MAX_START_DELAY_WITHOUT_TARGET_S
    first_token_target_ms = service_class.first_token_ms
    if first_token_target_ms is not None and slot_req.offset == 0:
        first_token_target_s = first_token_target_ms / MS_PER_S
        reserve_s = min(
            stats.first_token_bound_s,
            first_token_target_s * _MAX_RESERVED_FRACTION,
        )
        max_start_delay_s = min(
            max_start_delay_s, first_token_target_s - reserve_s
        )
    if service_class.total_ms is not None:
        total_s = service_class.total_ms / MS_PER_S
        reserve_s = min(stats.run_bound_s, total_s * _MAX_RESERVED_FRACTION)
        max_start_delay_s = min(max_start_delay_s, total_s - reserve_s)
    return max_start_delay_s
