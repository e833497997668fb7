"""Final answer and record of a request at its entry VM."""

from bilberryspoke._internal.core.operations.table import KeyState
from bilberryspoke._internal.core.requeststate import RequestState
from bilberryspoke._internal.core.state import NodeState
from bilberryspoke._internal.models.effects import (
    Answer,
    Count,
    Record,
)
from bilberryspoke._internal.models.requests import (
    Outcome,
    RequestRecord,
)


def fail_request(
    state: NodeState,
    req_state: RequestState,
    reason: str,
    now: float,
    retry_after_s: float,
) -> None:
    """Answer a request as failed, and close it.

    The outcome is ``interrupted`` if tokens were delivered, ``unknown`` if an
    attempt may have run, and ``not_run`` otherwise. ``retry_after_s`` is the
    delay in seconds that is advised to the caller.
    """
    outcome = Outcome.not_run
    if req_state.tokens > 0:
        outcome = Outcome.interrupted
    elif req_state.may_have_run:
        outcome = Outcome.unknown
    state.emit(Answer(req_state.req.req_id, outcome, reason, retry_after_s))
    close_request(state, req_state, outcome.value, reason, now)


def _choose_key_state(req_state: RequestState, outcome: str) -> KeyState:
    if outcome == Outcome.completed.value:
        return KeyState.completed
    return KeyState.unknown if req_state.may_have_run else KeyState.ready


def close_request(
    state: NodeState,
    req_state: RequestState,
    outcome: str,
    reason: str,
    now: float,
) -> None:
    """Remove a request's state, settle its operation key, and record it.

    ``outcome`` is the value of an ``Outcome`` or ``caller_gone``. The caller
    gets no answer from here.
    """
    req = req_state.req
    state.req_states.pop(req.req_id, None)
    if req.operation:
        state.operations.end(
            req.operation, _choose_key_state(req_state, outcome)
        )
    first_token_s = None
    if req_state.first_token_at is not None:
        first_token_s = req_state.first_token_at - req.arrived_at
    req_state.add_step(now, 'ended', outcome)
    state.emit(Count(f'outcome_{outcome}', req.service_class))
    state.emit(
        Record(
            RequestRecord(
                req_id=req.req_id,
                workspace=req.workspace,
                service_class=req.service_class,
                pool=req.pool,
                outcome=outcome,
                reason=reason,
                queue_s=req_state.queue_s,
                first_token_s=first_token_s,
                total_s=now - req.arrived_at,
                tokens=req_state.tokens,
                attempts=req_state.attempt,
                trail=req_state.trail,
            ),
        ),
    )
