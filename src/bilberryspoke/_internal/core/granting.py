"""Granting of slots, and preemption for more urgent requests."""

from bilberryspoke._internal.core.classqueue import QueuedSlotRequest
from bilberryspoke._internal.core.placement import (
    PoolCapacity,
    UpstreamCandidate,
    choose_upstream,
    list_usable_in_pool,
    measure_pool_capacity,
    should_wait_for_faster,
)
from bilberryspoke._internal.core.policies.registry import find_policy
from bilberryspoke._internal.core.poolqueue import HeldSlot, OwnedPool
from bilberryspoke._internal.core.scheduling import (
    choose_victims,
    count_needing_preemption,
    count_unanswered_protected,
    iterate_queue_heads,
)
from bilberryspoke._internal.core.sending import send
from bilberryspoke._internal.core.state import VmState
from bilberryspoke._internal.models.effects import Count
from bilberryspoke._internal.models.events import LoadReported
from bilberryspoke._internal.models.messages import (
    Preemption,
    SlotGrant,
)

_MAX_OVERCOMMITTED_SLOTS_PER_UPSTREAM = 2


def serve_pool(state: VmState, owned_pool: OwnedPool, now: float) -> None:
    """Grant free slots in order, then preempt where targets are at risk."""
    if not owned_pool.waiting or state.catalog is None:
        return
    policy = find_policy(state.settings.policy)
    share = policy.get_slot_fraction(state, now)
    pool_capacity = measure_pool_capacity(state, owned_pool, now, share=share)
    while owned_pool.waiting and pool_capacity.free:
        if not _grant_next(state, owned_pool, pool_capacity, now):
            break
    if owned_pool.waiting:
        _preempt_for_targets(state, owned_pool, pool_capacity.total_slots, now)


def preempt_at_upstream(
    state: VmState,
    event: LoadReported,
    now: float,
) -> None:
    """Preempt at an upstream where protected attempts wait for a slot.

    Other users of an upstream may take slots between two load reports, so
    that granted attempts wait inside it.
    """
    if state.catalog is None:
        return
    for owned_pool in state.owned_pools.values():
        unanswered = count_unanswered_protected(
            owned_pool, state.catalog, event.upstream, now
        )
        wanted = min(event.waiting, unanswered)
        if wanted:
            slots = count_usable_slots(state, owned_pool.pool, now)
            victims = choose_victims(
                owned_pool,
                state.catalog,
                slots,
                wanted,
                upstream=event.upstream,
            )
            _preempt(state, victims, 'upstream_full')


def count_usable_slots(state: VmState, pool_name: str, now: float) -> int:
    """Return the number of slots of a pool's usable upstreams."""
    return sum(
        upstream.slots
        for upstream in list_usable_in_pool(state, pool_name, now)
    )


def _grant_next(
    state: VmState,
    owned_pool: OwnedPool,
    pool_capacity: PoolCapacity,
    now: float,
) -> bool:
    all_slow = pool_capacity.all_slow
    for waiting in iterate_queue_heads(
        owned_pool,
        state.catalog,
        pool_capacity.total_slots,
        now,
    ):
        chosen = choose_upstream(
            state, owned_pool, waiting.slot_req, pool_capacity.free
        )
        if chosen is None:
            continue
        service_class = state.catalog.classes[waiting.slot_req.service_class]
        if should_wait_for_faster(
            service_class,
            chosen,
            waited_s=now - waiting.arrived_at,
            all_slow=all_slow,
        ):
            continue
        pool_capacity.record_grant(chosen)
        _grant(state, owned_pool, waiting, chosen, now)
        return True
    return False


def _grant(
    state: VmState,
    owned_pool: OwnedPool,
    waiting: QueuedSlotRequest,
    chosen: UpstreamCandidate,
    now: float,
) -> None:
    slot_req = waiting.slot_req
    owned_pool.dequeue(slot_req.req_id)
    stats = owned_pool.ensure_stats(slot_req.service_class)
    expected_tokens = stats.tokens
    queue = owned_pool.queues[slot_req.service_class]
    queue.charge_workspace(slot_req.workspace, expected_tokens, waiting.weight)
    name = chosen.upstream.name
    load = state.ensure_load(name)
    load.add_own_slot(now)
    load.record_prefix(slot_req.prefix)
    slot = HeldSlot(
        req_id=slot_req.req_id,
        attempt=slot_req.attempt,
        entry=waiting.entry,
        upstream=name,
        service_class=slot_req.service_class,
        workspace=slot_req.workspace,
        granted_at=now,
        last_confirmed_at=now,
        charged_tokens=expected_tokens,
        weight=waiting.weight,
        resumable=slot_req.resumable,
    )
    owned_pool.add_slot(slot)
    lease_s = state.settings.lease_s
    send(
        state,
        waiting.entry,
        SlotGrant(slot_req.req_id, slot_req.attempt, name, lease_s),
    )


def _preempt_for_targets(
    state: VmState,
    owned_pool: OwnedPool,
    slots: int,
    now: float,
) -> None:
    # Tier n preempts only tiers numbered above n + 1: between neighbouring
    # tiers the computation lost outweighs the gain. Protected requests count as
    # tier 0 and preempt every unprotected class.
    pending = sum(slot.preempting for slot in owned_pool.held.values())
    for tier, needed in count_needing_preemption(
        owned_pool, state.catalog, now
    ):
        wanted = needed - pending
        pending = max(0, pending - needed)
        if wanted > 0:
            victims = choose_victims(
                owned_pool,
                state.catalog,
                slots,
                wanted,
                above_tier=tier + 1 if tier else 0,
            )
            _preempt(state, victims, 'higher_tier')
            if tier == 0:
                _overcommit(state, owned_pool, wanted - len(victims), now)


def _overcommit(
    state: VmState,
    owned_pool: OwnedPool,
    wanted: int,
    now: float,
) -> None:
    """Grant protected requests slots of upstreams that others have filled.

    In a network partition another owner may fill engines that both sides
    reach. The engine's own priorities then put protected requests before the
    others that wait there.
    """
    for _ in range(wanted):
        waiting = _find_protected_on_time(state, owned_pool, now)
        chosen = _find_upstream_filled_by_others(state, owned_pool, now)
        if waiting is None or chosen is None:
            return
        state.emit(Count('overcommitted', chosen.upstream.name))
        _grant(state, owned_pool, waiting, chosen, now)


def _find_protected_on_time(
    state: VmState,
    owned_pool: OwnedPool,
    now: float,
) -> QueuedSlotRequest | None:
    for waiting in iterate_queue_heads(owned_pool, state.catalog, 0, now):
        service_class = state.catalog.classes[waiting.slot_req.service_class]
        if service_class.protected and waiting.latest_start_at >= now:
            return waiting
    return None


def _find_upstream_filled_by_others(
    state: VmState,
    owned_pool: OwnedPool,
    now: float,
) -> UpstreamCandidate | None:
    candidates = []
    for upstream in list_usable_in_pool(state, owned_pool.pool, now):
        load = state.ensure_load(upstream.name)
        foreign = load.estimate_foreign_slots(now)
        excess = load.own + foreign - upstream.slots
        # Others that hold fewer than half of the slots are other users of the
        # upstream rather than another owner of the pool.
        mostly_foreign = foreign * 2 >= upstream.slots
        if mostly_foreign and excess < _MAX_OVERCOMMITTED_SLOTS_PER_UPSTREAM:
            candidate = UpstreamCandidate(
                upstream,
                upstream.slots,
                load.own + foreign,
                load.s_per_token,
                slow=False,
            )
            candidates.append(candidate)
    return min(candidates, key=lambda each: each.load, default=None)


def _preempt(state: VmState, victims: list[HeldSlot], reason: str) -> None:
    for slot in victims:
        slot.preempting = True
        state.emit(Count('preemptions', slot.service_class))
        send(
            state,
            slot.entry,
            Preemption(slot.req_id, slot.attempt, reason),
        )
