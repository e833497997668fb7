"""Choice of an upstream for one ask among those with a free slot."""

from dataclasses import dataclass
from statistics import median

from bilberryspoke._internal.core.poolqueue import PoolOwner
from bilberryspoke._internal.core.state import NodeState
from bilberryspoke._internal.models.catalog import ServiceClass, Upstream
from bilberryspoke._internal.models.messages import Ask

_SLOW_FACTOR = 2.5
_SLOW_PATIENCE = 0.3
_PREFIX_SAVING = 0.8
_S_PER_PROMPT_TOKEN = 0.0005
_REMOTE_S = 0.003


@dataclass(frozen=True, slots=True)
class FreeUpstream:
    """An upstream with free slots; ``load`` is a fraction of its slots."""

    upstream: Upstream
    free: int
    load: float
    s_per_token: float
    slow: bool


def list_free(
    state: NodeState,
    pool_name: str,
    now: float,
    *,
    share: float = 1.0,
) -> list[FreeUpstream]:
    """Return the upstreams of a pool that can take work at once.

    ``share`` is the part of each upstream's slots this VM may use.
    """
    upstreams = list_usable(state, pool_name, now)
    if not upstreams:
        return []
    typical = median(
        state.find_load(upstream.name).s_per_token for upstream in upstreams
    )
    found = []
    for upstream in upstreams:
        load = state.find_load(upstream.name)
        capacity = max(1, int(upstream.slots * share))
        # With a share of its own a VM leaves the others theirs.
        taken = load.own if share < 1 else load.estimate_load(now)
        if taken >= capacity:
            continue
        found.append(
            FreeUpstream(
                upstream=upstream,
                free=capacity - taken,
                load=taken / capacity,
                s_per_token=load.s_per_token,
                slow=load.s_per_token > _SLOW_FACTOR * typical,
            ),
        )
    return found


def list_usable(
    state: NodeState,
    pool_name: str,
    now: float,
) -> list[Upstream]:
    """Return the upstreams that may receive new work.

    When all of them failed lately, the failures are disregarded: a doubtful
    upstream is better than none.
    """
    if state.catalog is None:
        return []
    staying = [
        upstream
        for upstream in state.catalog.list_upstreams(pool_name)
        if not state.is_leaving(upstream)
        and _has_model(state, upstream, pool_name)
    ]
    healthy = [
        upstream
        for upstream in staying
        if state.find_load(upstream.name).avoid_until <= now
    ]
    return healthy or staying


def _has_model(state: NodeState, upstream: Upstream, pool_name: str) -> bool:
    models = state.find_load(upstream.name).models
    pool = state.catalog.pools[pool_name]
    return models is None or pool.offers in models


def choose_upstream(
    state: NodeState,
    owner: PoolOwner,
    ask: Ask,
    free: list[FreeUpstream],
) -> FreeUpstream | None:
    """Return the free upstream with the shortest estimated service time."""
    allowed = [
        candidate
        for candidate in free
        if candidate.upstream.name not in ask.excluded
    ]
    candidates = allowed or free
    if not candidates:
        return None
    tokens = owner.find_stats(ask.service_class).tokens
    return min(
        candidates,
        key=lambda candidate: estimate_service_s(
            state,
            ask,
            candidate,
            tokens=tokens,
        ),
    )


def estimate_service_s(
    state: NodeState,
    ask: Ask,
    candidate: FreeUpstream,
    *,
    tokens: float,
) -> float:
    """Estimate prefill and decode time in seconds on an upstream."""
    load = state.find_load(candidate.upstream.name)
    prefill_s = (ask.prompt_tokens + ask.offset) * _S_PER_PROMPT_TOKEN
    if ask.prefix and ask.prefix in load.prefixes:
        prefill_s *= 1 - _PREFIX_SAVING
    remote = candidate.upstream.data_centre != state.settings.data_centre
    decode_s = tokens * candidate.s_per_token * (0.5 + candidate.load)
    distance_s = _REMOTE_S if remote else 0
    return prefill_s + decode_s + distance_s


def should_wait_for_faster(
    service_class: ServiceClass,
    candidate: FreeUpstream,
    *,
    waited_s: float,
    all_slow: bool,
) -> bool:
    """Tell whether an ask should pass over a slow upstream for now."""
    target_ms = service_class.target_ms
    if not candidate.slow or all_slow or target_ms is None:
        return False
    return waited_s * 1000 < target_ms * _SLOW_PATIENCE
