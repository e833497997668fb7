"""Choice of an upstream with a free slot for a slot request."""

from dataclasses import dataclass
from statistics import median

from bilberryspoke._internal.core.poolqueue import OwnedPool
from bilberryspoke._internal.core.state import VmState
from bilberryspoke._internal.models.catalog import ServiceClass, Upstream
from bilberryspoke._internal.models.messages import SlotRequest

# An upstream is slow if a token takes this many times the pool's median.
_SLOW_TO_MEDIAN_RATIO = 2.5
# As a fraction of the class's target latency.
_MAX_WAIT_FOR_FASTER_FRACTION = 0.3
_MEDIAN_UPDATE_INTERVAL_S = 0.5
# Fraction of the prefill time that a cached prompt prefix saves.
_CACHED_PREFIX_SAVED_FRACTION = 0.8
_PREFILL_S_PER_TOKEN = 0.0005
_REMOTE_DATA_CENTRE_DELAY_S = 0.003


@dataclass(slots=True)
class UpstreamCandidate:
    """An upstream at which a slot may be granted.

    ``allowed_slots`` is the number that this VM may use, ``taken_slots`` the
    number in use. ``s_per_token`` is in seconds; ``slow`` is set if it is far
    above the pool's median.
    """

    upstream: Upstream
    allowed_slots: int
    taken_slots: int
    s_per_token: float
    slow: bool

    @property
    def load(self) -> float:
        """Fraction of the allowed slots that are taken."""
        return self.taken_slots / self.allowed_slots


@dataclass(slots=True)
class PoolCapacity:
    """Slots of a pool at one moment.

    ``free`` are the upstreams with a free slot. ``total_slots`` and
    ``usable_count`` are the slots and the number of all usable upstreams.
    """

    free: list[UpstreamCandidate]
    total_slots: int
    usable_count: int

    @property
    def all_slow(self) -> bool:
        """Whether all usable upstreams have free slots, but each is slow.

        Waiting for a faster one is then pointless.
        """
        return len(self.free) == self.usable_count and all(
            candidate.slow for candidate in self.free
        )

    def record_grant(self, chosen: UpstreamCandidate) -> None:
        """Count one slot of an upstream as taken."""
        chosen.taken_slots += 1
        if chosen.taken_slots >= chosen.allowed_slots:
            self.free.remove(chosen)


def measure_pool_capacity(
    state: VmState,
    owned_pool: OwnedPool,
    now: float,
    *,
    share: float = 1.0,
) -> PoolCapacity:
    """Return the free slots of a pool's usable upstreams.

    ``share`` is the fraction of each upstream's slots that this VM may use.
    """
    usable = list_usable_in_pool(state, owned_pool.pool, now)
    slow_s_per_token = _SLOW_TO_MEDIAN_RATIO * _update_median_s_per_token(
        state, owned_pool, usable, now
    )
    free = []
    for upstream in usable:
        load = state.ensure_load(upstream.name)
        allowed_slots = max(1, int(upstream.slots * share))
        # Other VMs keep to their own share of the slots, so that only this
        # VM's grants count against its share.
        taken_slots = load.own if share < 1 else load.estimate_taken_slots(now)
        if taken_slots < allowed_slots:
            slow = load.s_per_token > slow_s_per_token
            free.append(
                UpstreamCandidate(
                    upstream, allowed_slots, taken_slots, load.s_per_token, slow
                ),
            )
    slots = sum(each.slots for each in usable)
    return PoolCapacity(free, slots, len(usable))


def _update_median_s_per_token(
    state: VmState,
    owned_pool: OwnedPool,
    usable: list[Upstream],
    now: float,
) -> float:
    """Return a pool's median time per token in seconds.

    It is computed anew at most once in ``_MEDIAN_UPDATE_INTERVAL_S``.
    """
    if (
        usable
        and now - owned_pool.median_updated_at > _MEDIAN_UPDATE_INTERVAL_S
    ):
        owned_pool.median_updated_at = now
        owned_pool.median_s_per_token = median(
            state.ensure_load(each.name).s_per_token for each in usable
        )
    return owned_pool.median_s_per_token


def list_usable_in_pool(
    state: VmState,
    pool_name: str,
    now: float,
) -> list[Upstream]:
    """Return the upstreams of a pool that may receive new attempts.

    Upstreams that are leaving, or whose reported models lack the pool's, are
    left out, and so are ejected ones. If all the others are ejected, they are
    returned nevertheless: an upstream that may fail is better than none.
    Returns an empty list without a configuration. Raises ``KeyError`` if the
    configuration has no such pool.
    """
    if state.catalog is None:
        return []
    offers = state.catalog.pools[pool_name].offers
    eligible = []
    healthy = []
    for upstream in state.catalog.list_upstreams(pool_name):
        load = state.ensure_load(upstream.name)
        missing = load.models is not None and offers not in load.models
        if missing or state.is_leaving(upstream):
            continue
        eligible.append(upstream)
        if load.ejected_until <= now:
            healthy.append(upstream)
    return healthy or eligible


def choose_upstream(
    state: VmState,
    owned_pool: OwnedPool,
    slot_req: SlotRequest,
    free: list[UpstreamCandidate],
) -> UpstreamCandidate | None:
    """Return the free upstream with the shortest estimated service time.

    Upstreams that the request excludes are used only if no other is free.
    Returns ``None`` if none is free.
    """
    allowed = [
        candidate
        for candidate in free
        if candidate.upstream.name not in slot_req.excluded
    ]
    candidates = allowed or free
    if not candidates:
        return None
    tokens = owned_pool.ensure_stats(slot_req.service_class).tokens
    return min(
        candidates,
        key=lambda candidate: estimate_service_s(
            state,
            slot_req,
            candidate,
            tokens=tokens,
        ),
    )


def estimate_service_s(
    state: VmState,
    slot_req: SlotRequest,
    candidate: UpstreamCandidate,
    *,
    tokens: float,
) -> float:
    """Return the estimated service time of an attempt in seconds.

    It is the sum of the prefill time of the prompt and of the ``offset``
    tokens already generated, the decode time of ``tokens`` and the delay to
    another data centre. The decode time is ``tokens * s_per_token`` times a
    factor that grows linearly with the fraction of the allowed slots that are
    taken, from 0.5 if none is taken to 1.5 if all are.
    """
    load = state.ensure_load(candidate.upstream.name)
    prefill_s = (
        slot_req.prompt_tokens + slot_req.offset
    ) * _PREFILL_S_PER_TOKEN
    if slot_req.prefix and slot_req.prefix in load.prefixes:
        prefill_s *= 1 - _CACHED_PREFIX_SAVED_FRACTION
    remote = candidate.upstream.data_centre != state.settings.data_centre
    decode_s = tokens * candidate.s_per_token * (0.5 + candidate.load)
    remote_delay_s = _REMOTE_DATA_CENTRE_DELAY_S if remote else 0
    return prefill_s + decode_s + remote_delay_s


def should_wait_for_faster(
    service_class: ServiceClass,
    candidate: UpstreamCandidate,
    *,
    waited_s: float,
    all_slow: bool,
) -> bool:
    """Return whether a request should wait for a faster upstream for now.

    It should if the upstream is slow, a faster one may become free, and the
    class has a target of which only a small part has passed in ``waited_s``.
    """
    latency_target_ms = service_class.latency_target_ms
    if not candidate.slow or all_slow or latency_target_ms is None:
        return False
    return waited_s * 1000 < latency_target_ms * _MAX_WAIT_FOR_FASTER_FRACTION
