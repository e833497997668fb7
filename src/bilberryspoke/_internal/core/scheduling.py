"""Order in which an owner serves slot requests, and choice of preemptions."""

import math
from collections.abc import Iterator

from bilberryspoke._internal.core.classqueue import QueuedSlotRequest
from bilberryspoke._internal.core.poolqueue import HeldSlot, OwnedPool
from bilberryspoke._internal.models.catalog import Catalog, ServiceClass

_PREEMPT_ROUND_TRIP_S = 0.05
# Later attempts of a request are not preempted.
_LAST_PREEMPTIBLE_ATTEMPT = 3
# Keeps the expected wait finite while no slots are released.
_MIN_RELEASES_PER_S = 0.1
_MAX_PREEMPTORS_PER_WORKSPACE = 32
_UNANSWERED_TIMEOUT_S = 0.3


def count_guaranteed_slots(
    service_class: ServiceClass, total_slots: int
) -> int:
    """Return the slots that a class may always hold while it has work.

    They are its minimum share of ``total_slots``, rounded down, but at least
    one; 0 for a class without a minimum share.
    """
    if service_class.minimum_share <= 0:
        return 0
    return max(1, math.floor(service_class.minimum_share * total_slots))


def iterate_queue_heads(
    owned_pool: OwnedPool,
    catalog: Catalog,
    total_slots: int,
    now: float,
) -> Iterator[QueuedSlotRequest]:
    """Yield the first slot request of each class in the order of service.

    First come classes below their guaranteed slots. Then protected classes
    by tier, whether or not they can still meet their target. Then the other
    classes, those that can meet their target before those that cannot. Within
    each of these groups a higher tier (a lower number) comes first, then the
    earlier latest start.
    """
    ranked = []
    for name, queue in owned_pool.queues.items():
        service_class = catalog.classes.get(name)
        head = queue.head(now)
        if service_class is None or head is None:
            continue
        rank = _compute_rank(owned_pool, service_class, head, total_slots, now)
        ranked.append((rank, name, head))
    ranked.sort(key=lambda entry: entry[:2])
    for _, _, head in ranked:
        yield head


def _compute_rank(
    owned_pool: OwnedPool,
    service_class: ServiceClass,
    head: QueuedSlotRequest,
    total_slots: int,
    now: float,
) -> tuple[int, int, float]:
    """Return the sort key of a class: group, tier and latest start.

    The groups, from 0, are those of ``iterate_queue_heads``; the last one
    holds the classes that cannot meet their target.
    """
    running = owned_pool.running.get(service_class.name, 0)
    tier = service_class.tier
    if running < count_guaranteed_slots(service_class, total_slots):
        return (0, tier, head.latest_start_at)
    if service_class.protected:
        return (1, tier, head.latest_start_at)
    late = head.latest_start_at < now
    return (3 if late else 2, tier, head.latest_start_at)


def count_needing_preemption(
    owned_pool: OwnedPool,
    catalog: Catalog,
    now: float,
) -> list[tuple[int, int]]:
    """Count slot requests that releases alone would start too late.

    Requests are assumed to start one by one at the present rate of releases.
    Returns pairs of tier and count, the highest tier (the lowest number)
    first. Protected requests count as of tier 0, since they may preempt every
    other class.
    """
    rate = max(_MIN_RELEASES_PER_S, owned_pool.measure_release_rate(now))
    position = 0
    counts: dict[int, int] = {}
    for tier, latest_start_at in _list_preemptors(owned_pool, catalog, now):
        position += 1
        expected_start_at = now + position / rate + _PREEMPT_ROUND_TRIP_S
        if expected_start_at > latest_start_at:
            counts[tier] = counts.get(tier, 0) + 1
    return sorted(counts.items())


def _list_preemptors(
    owned_pool: OwnedPool,
    catalog: Catalog,
    now: float,
) -> list[tuple[int, float]]:
    """Return sorted pairs of tier and latest start of requests that preempt.

    They are those that can still meet their target and are protected or of a
    higher tier than the lowest one that runs.
    """
    lowest_running_tier = max(
        (
            catalog.classes[name].tier
            for name, running in owned_pool.running.items()
            if running and name in catalog.classes
        ),
        default=0,
    )
    preemptors = []
    for name, queue in owned_pool.queues.items():
        service_class = catalog.classes.get(name)
        if service_class is None:
            continue
        if (
            service_class.tier >= lowest_running_tier
            and not service_class.protected
        ):
            continue
        tier = 0 if service_class.protected else service_class.tier
        preemptors.extend(
            (tier, waiting.latest_start_at)
            for waiting in queue.list_on_time(_MAX_PREEMPTORS_PER_WORKSPACE)
            if waiting.latest_start_at >= now
        )
    return sorted(preemptors)


def count_unanswered_protected(
    owned_pool: OwnedPool,
    catalog: Catalog,
    upstream: str,
    now: float,
) -> int:
    """Count protected attempts that an upstream has not begun to answer.

    An attempt counts if its slot was granted more than
    ``_UNANSWERED_TIMEOUT_S`` ago and no token of it has been reported.
    """
    return sum(
        slot.upstream == upstream
        and slot.tokens == 0
        and now - slot.granted_at > _UNANSWERED_TIMEOUT_S
        and _is_protected(catalog, slot.service_class)
        for slot in owned_pool.held.values()
    )


def choose_victims(
    owned_pool: OwnedPool,
    catalog: Catalog,
    total_slots: int,
    wanted: int,
    *,
    upstream: str = '',
    above_tier: int = 0,
) -> list[HeldSlot]:
    """Return at most ``wanted`` running attempts to preempt.

    The lowest tier comes first, within it the attempt with the fewest tokens.
    Only attempts that can be resumed at their offset are chosen, of a tier
    number greater than ``above_tier``, and never one of a protected class or
    within its class's guaranteed slots. With ``upstream``, only its attempts
    are chosen.
    """
    surplus = {
        name: count
        for name, count in _count_surplus_slots(
            owned_pool, catalog, total_slots
        ).items()
        if catalog.classes[name].tier > above_tier
    }
    candidates = [
        slot
        for slot in owned_pool.held.values()
        if _is_preemptible(slot)
        and upstream in {'', slot.upstream}
        and surplus.get(slot.service_class, 0) > 0
    ]
    candidates.sort(
        key=lambda slot: (
            -catalog.classes[slot.service_class].tier,
            slot.tokens,
        ),
    )
    victims = []
    for slot in candidates:
        if len(victims) >= wanted:
            break
        if surplus[slot.service_class] > 0:
            surplus[slot.service_class] -= 1
            victims.append(slot)
    return victims


def _is_preemptible(slot: HeldSlot) -> bool:
    within_limit = slot.attempt <= _LAST_PREEMPTIBLE_ATTEMPT
    return slot.resumable and within_limit and not slot.preempting


def _count_surplus_slots(
    owned_pool: OwnedPool,
    catalog: Catalog,
    total_slots: int,
) -> dict[str, int]:
    surplus = {}
    for name, running in owned_pool.running.items():
        service_class = catalog.classes.get(name)
        if service_class is None or service_class.protected:
            continue
        surplus[name] = running - count_guaranteed_slots(
            service_class, total_slots
        )
    return surplus


def _is_protected(catalog: Catalog, name: str) -> bool:
    service_class = catalog.classes.get(name)
    return service_class is not None and service_class.protected


def choose_eviction(
    owned_pool: OwnedPool,
    catalog: Catalog,
    tier: int,
) -> QueuedSlotRequest | None:
    """Return the queued request to evict for a new one, ``None`` without one.

    It is the newest of the lowest tier below ``tier``, the tier of the new
    request. Requests of protected classes, and those that may have been
    started, are never evicted.
    """
    candidates = [
        waiting
        for waiting in reversed(owned_pool.waiting.values())
        if not waiting.slot_req.may_have_started
        and _get_tier(catalog, waiting) > tier
        and not _is_protected(catalog, waiting.slot_req.service_class)
    ]
    if not candidates:
        return None
    return max(
        candidates,
        key=lambda waiting: (_get_tier(catalog, waiting), waiting.arrived_at),
    )


def _get_tier(catalog: Catalog, waiting: QueuedSlotRequest) -> int:
    service_class = catalog.classes.get(waiting.slot_req.service_class)
    return service_class.tier if service_class else 0
