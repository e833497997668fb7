"""Release of slots by an entry VM."""

from bilberryspoke._internal.core.policies.registry import find_policy
from bilberryspoke._internal.core.requeststate import RequestState
from bilberryspoke._internal.core.sending import send
from bilberryspoke._internal.core.state import VmState
from bilberryspoke._internal.models.messages import (
    SlotGrant,
    SlotRelease,
)
from bilberryspoke._internal.models.requests import AttemptStatus


def release_attempt_slot(
    state: VmState,
    req_state: RequestState,
    status: AttemptStatus,
    now: float,
) -> None:
    """Release the slot of an ended attempt through the sharing policy.

    The report has the attempt's status, its own tokens and its durations in
    seconds. ``first_token_s`` is 0 if no token came, or if the request's first
    token came in an earlier attempt.
    """
    first_token_s = 0.0
    if req_state.first_token_at is not None:
        first_token_s = max(
            0.0, req_state.first_token_at - req_state.started_at
        )
    release = SlotRelease(
        req_id=req_state.req.req_id,
        attempt=req_state.attempt,
        pool=req_state.req.pool,
        upstream=req_state.upstream,
        status=status,
        tokens=req_state.tokens - req_state.offset,
        run_s=now - req_state.started_at,
        first_token_s=first_token_s,
    )
    policy = find_policy(state.settings.policy)
    policy.release_slot(state, req_state, release, now)


def decline_grant(
    state: VmState,
    sender: str,
    message: SlotGrant,
    req_state: RequestState | None,
) -> None:
    """Release the slot of a grant that this VM cannot use.

    Without a request state the pool is looked up by the grant's upstream; it
    is empty if no pool has that upstream.
    """
    pool = (
        req_state.req.pool if req_state else _find_pool(state, message.upstream)
    )
    release = SlotRelease(
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


def _find_pool(state: VmState, upstream: str) -> str:
    if state.catalog is not None:
        for pool in state.catalog.pools.values():
            if upstream in pool.upstreams:
                return pool.name
    return ''
