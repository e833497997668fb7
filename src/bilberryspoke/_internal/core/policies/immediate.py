"""Policies without a queue: each VM chooses an upstream at once."""

from abc import abstractmethod

from bilberryspoke._internal.core.placement import list_usable_in_pool
from bilberryspoke._internal.core.policies.registry import (
    SharingPolicy,
    register_policy,
)
from bilberryspoke._internal.core.requeststate import RequestState
from bilberryspoke._internal.core.sending import send
from bilberryspoke._internal.core.state import VmState
from bilberryspoke._internal.models.catalog import Upstream
from bilberryspoke._internal.models.messages import (
    SlotGrant,
    SlotRefusal,
    SlotRelease,
)
from bilberryspoke._internal.models.requests import AttemptStatus
from bilberryspoke._internal.utils.hashing import hash_parts

# The upper half of the 64-bit hash draws the second upstream.
_HALF_HASH_BITS = 32
_FAILURE_STATUSES = frozenset((AttemptStatus.broken, AttemptStatus.unreachable))


class ImmediatePolicy(SharingPolicy):
    """Grants slots to its own VM at once; the upstream queues by priority."""

    def acquire_slot(
        self, state: VmState, req_state: RequestState, now: float
    ) -> None:
        """Choose an upstream and grant a slot of it to this VM."""
        req = req_state.req
        req_state.owner = state.vm
        usable = list_usable_in_pool(state, req.pool, now)
        candidates = [
            upstream
            for upstream in usable
            if upstream.name not in req_state.excluded
        ]
        candidates = candidates or usable
        if not candidates:
            message = SlotRefusal(
                req.req_id, req_state.attempt, 'no_upstream', 1.0
            )
            send(state, state.vm, message)
            return
        chosen = self.choose(state, candidates, now)
        state.ensure_load(chosen.name).add_own_slot(now)
        lease_s = state.settings.lease_s
        send(
            state,
            state.vm,
            SlotGrant(req.req_id, req_state.attempt, chosen.name, lease_s),
        )

    def release_slot(
        self,
        state: VmState,
        req_state: RequestState,
        release: SlotRelease,
        now: float,
    ) -> None:
        """Record the end of an attempt in this VM's estimate of the load."""
        load = state.ensure_load(release.upstream)
        load.remove_own_slot(now)
        if release.status in _FAILURE_STATUSES:
            load.record_failure(now)

    @abstractmethod
    def choose(
        self,
        state: VmState,
        candidates: list[Upstream],
        now: float,
    ) -> Upstream:
        """Return the upstream for the next attempt."""


@register_policy('round_robin')
class RoundRobin(ImmediatePolicy):
    """Chooses the upstreams in turn."""

    def choose(
        self,
        state: VmState,
        candidates: list[Upstream],
        now: float,
    ) -> Upstream:
        """Return the next upstream in turn."""
        state.choice_count += 1
        return candidates[state.choice_count % len(candidates)]


@register_policy('least_load')
class LeastLoad(ImmediatePolicy):
    """Chooses the upstream with the least reported load.

    The grants of this VM since the last report are not counted.
    """

    def choose(
        self,
        state: VmState,
        candidates: list[Upstream],
        now: float,
    ) -> Upstream:
        """Return the upstream with the least load by the last reports."""
        return min(
            candidates, key=lambda each: _get_reported_fraction(state, each)
        )


@register_policy('two_choices')
class TwoChoices(ImmediatePolicy):
    """Chooses the less loaded of two upstreams drawn by a hash."""

    def choose(
        self,
        state: VmState,
        candidates: list[Upstream],
        now: float,
    ) -> Upstream:
        """Return the less loaded of two upstreams drawn by a hash."""
        state.choice_count += 1
        drawn = hash_parts(state.vm, state.choice_count)
        first = candidates[drawn % len(candidates)]
        second = candidates[(drawn >> _HALF_HASH_BITS) % len(candidates)]
        return min(
            first,
            second,
            key=lambda each: _estimate_taken_fraction(state, each, now),
        )


def _get_reported_fraction(state: VmState, upstream: Upstream) -> float:
    load = state.ensure_load(upstream.name)
    return (load.running + load.waiting) / upstream.slots


def _estimate_taken_fraction(
    state: VmState, upstream: Upstream, now: float
) -> float:
    load = state.ensure_load(upstream.name)
    return load.estimate_taken_slots(now) / upstream.slots
