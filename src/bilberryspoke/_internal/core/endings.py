"""The end of a request at its entry VM."""

from bilberryspoke._internal.core.operations.table import KeyState
from bilberryspoke._internal.core.state import NodeState
from bilberryspoke._internal.core.tickets import Ticket
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
    ticket: Ticket,
    reason: str,
    now: float,
    retry_after_s: float,
) -> None:
    outcome = Outcome.not_run
    if ticket.tokens > 0:
        outcome = Outcome.interrupted
    elif ticket.may_have_run:
        outcome = Outcome.unknown
    state.emit(Answer(ticket.req.req_id, outcome, reason, retry_after_s))
    close_ticket(state, ticket, outcome.value, reason, now)


def _key_state(ticket: Ticket, outcome: str) -> KeyState:
    if outcome == Outcome.completed.value:
        return KeyState.completed
    return KeyState.unknown if ticket.may_have_run else KeyState.ready


def close_ticket(
    state: NodeState,
    ticket: Ticket,
    outcome: str,
    reason: str,
    now: float,
) -> None:
    req = ticket.req
    state.tickets.pop(req.req_id, None)
    if req.operation:
        state.operations.end(req.operation, _key_state(ticket, outcome))
    first_token_s = None
    if ticket.first_token_at is not None:
        first_token_s = ticket.first_token_at - req.arrived_at
    ticket.note(now, 'ended', outcome)
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
                queue_s=ticket.queue_s,
                first_token_s=first_token_s,
                total_s=now - req.arrived_at,
                tokens=ticket.tokens,
                attempts=ticket.attempt,
                trail=ticket.trail,
            ),
        ),
    )
