"""Entry side: a request from its arrival to its final word."""

from bilberryspoke._internal.core.endings import close_ticket, fail_request
from bilberryspoke._internal.core.policies.registry import find_policy
from bilberryspoke._internal.core.reducer import on_event, on_message
from bilberryspoke._internal.core.returning import (
    give_back_slot,
    hand_back_grant,
)
from bilberryspoke._internal.core.sending import send
from bilberryspoke._internal.core.state import NodeState
from bilberryspoke._internal.core.tickets import Stage, Ticket
from bilberryspoke._internal.models.effects import (
    Answer,
    CancelAttempt,
    Count,
    Dispatch,
)
from bilberryspoke._internal.models.events import (
    AttemptEnded,
    AttemptProgressed,
    CallerGone,
    RequestArrived,
)
from bilberryspoke._internal.models.messages import (
    Granted,
    Missing,
    Preempted,
    Refused,
    Withdraw,
)
from bilberryspoke._internal.models.requests import (
    CERTAINLY_NOT_RUN,
    AttemptStatus,
    Outcome,
)

_MAX_ATTEMPTS = 8

_EXCLUDED_LIMIT = 3

_RETRY_AFTER_S = 1.0


@on_event(RequestArrived)
def accept_request(
    state: NodeState,
    event: RequestArrived,
    now: float,
) -> None:
    """Open a ticket and ask for a slot."""
    req = event.req
    if req.req_id in state.tickets:
        state.emit(
            Answer(req.req_id, Outcome.not_run, 'duplicate_request_id'),
        )
        return
    ticket = Ticket(req)
    state.tickets[req.req_id] = ticket
    state.retries.earn()
    state.emit(Count('requests', req.service_class))
    seek_slot(state, ticket, now)


@on_event(CallerGone)
def abandon_request(state: NodeState, event: CallerGone, now: float) -> None:
    """Stop all work for a caller that has gone."""
    ticket = state.tickets.get(event.req_id)
    if ticket is None or ticket.caller_gone:
        return
    ticket.caller_gone = True
    ticket.note(now, 'caller_gone')
    if ticket.stage is Stage.running:
        # An operation that may have begun goes on to its end, so that the
        # caller's retry finds its recorded answer.
        if not ticket.req.operation:
            state.emit(CancelAttempt(event.req_id, ticket.attempt))
        return
    send(state, ticket.owner, Withdraw(event.req_id, ticket.req.pool))
    close_ticket(state, ticket, 'caller_gone', 'caller_gone', now)


@on_message(Granted)
def start_attempt(
    state: NodeState,
    sender: str,
    message: Granted,
    now: float,
) -> None:
    """Dispatch a granted attempt, or hand the grant back if it is stale."""
    ticket = state.tickets.get(message.req_id)
    if not _awaits(ticket, sender, message.attempt):
        hand_back_grant(state, sender, message, ticket)
        return
    upstream = state.catalog.upstreams.get(message.upstream)
    if upstream is None or state.is_leaving(upstream):
        hand_back_grant(state, sender, message, ticket)
        ticket.excluded = [*ticket.excluded, message.upstream]
        seek_slot(state, ticket, now)
        return
    ticket.stage = Stage.running
    ticket.upstream = message.upstream
    ticket.started_at = now
    ticket.queue_s += now - ticket.asked_at
    ticket.note(now, 'granted', message.upstream)
    service_class = state.catalog.classes.get(ticket.req.service_class)
    state.emit(
        Dispatch(
            req_id=message.req_id,
            attempt=message.attempt,
            upstream=message.upstream,
            offset=ticket.offset,
            priority=service_class.tier if service_class else 0,
            lease_until=now + message.lease_s,
        ),
    )


@on_message(Refused)
def refuse_request(
    state: NodeState,
    sender: str,
    message: Refused,
    now: float,
) -> None:
    """Give the caller the final word on a request the owner refused."""
    ticket = state.tickets.get(message.req_id)
    if _awaits(ticket, sender, message.attempt):
        state.emit(Count('shed', ticket.req.service_class))
        fail_request(state, ticket, message.reason, now, message.retry_after_s)


@on_message(Preempted)
def preempt_attempt(
    state: NodeState,
    sender: str,
    message: Preempted,
    now: float,
) -> None:
    """Cancel a running attempt to resume it later at its offset."""
    ticket = state.tickets.get(message.req_id)
    if ticket is None or ticket.stage is not Stage.running:
        return
    if ticket.attempt != message.attempt or not ticket.req.resumable:
        return
    ticket.requeue = True
    ticket.note(now, 'preempted', message.reason)
    state.emit(CancelAttempt(message.req_id, message.attempt))


@on_message(Missing)
def repeat_asks(
    state: NodeState,
    sender: str,
    message: Missing,
    now: float,
) -> None:
    """Ask again for requests whose ask the owner does not have."""
    contact = state.owner_heard.get(message.pool)
    if contact is not None and contact.owner == sender:
        contact.unanswered_since = None
    for req_id in message.req_ids:
        ticket = state.tickets.get(req_id)
        if ticket is not None and ticket.stage is Stage.asking:
            if ticket.owner == sender:
                find_policy(state.settings.policy).seek(state, ticket, now)


@on_event(AttemptProgressed)
def note_progress(
    state: NodeState,
    event: AttemptProgressed,
    now: float,
) -> None:
    """Remember how far the answer has come."""
    ticket = state.tickets.get(event.req_id)
    if ticket is None or ticket.attempt != event.attempt:
        return
    ticket.tokens = event.tokens
    if ticket.first_token_at is None and event.tokens > 0:
        ticket.first_token_at = now
        ticket.note(now, 'first_token')


@on_event(AttemptEnded)
def end_attempt(state: NodeState, event: AttemptEnded, now: float) -> None:
    """Decide what follows the end of an attempt."""
    ticket = state.tickets.get(event.req_id)
    if ticket is None or ticket.attempt != event.attempt:
        return
    if ticket.stage is not Stage.running:
        return
    ticket.tokens = max(ticket.tokens, event.tokens)
    if ticket.first_token_at is None and ticket.tokens > 0:
        ticket.first_token_at = now
    ticket.note(now, event.status.value, event.detail)
    give_back_slot(state, ticket, event.status, now)
    if event.status not in CERTAINLY_NOT_RUN:
        ticket.may_have_run = True
    if event.status is AttemptStatus.finished:
        close_ticket(state, ticket, Outcome.completed.value, '', now)
    elif ticket.caller_gone:
        close_ticket(state, ticket, 'caller_gone', 'caller_gone', now)
    else:
        _continue(state, ticket, event, now)


def seek_slot(state: NodeState, ticket: Ticket, now: float) -> None:
    """Ask for a slot for the next attempt of a request."""
    ticket.stage = Stage.asking
    ticket.attempt += 1
    ticket.asked_at = now
    ticket.offset = ticket.tokens
    ticket.requeue = False
    find_policy(state.settings.policy).seek(state, ticket, now)


def _continue(
    state: NodeState,
    ticket: Ticket,
    event: AttemptEnded,
    now: float,
) -> None:
    if ticket.requeue and event.status is AttemptStatus.cancelled:
        seek_slot(state, ticket, now)
        return
    if event.status is AttemptStatus.lapsed:
        seek_slot(state, ticket, now)
        return
    if not _may_retry(state, ticket, event.status):
        fail_request(state, ticket, event.status.value, now, _RETRY_AFTER_S)
        return
    ticket.excluded = [*ticket.excluded, ticket.upstream][-_EXCLUDED_LIMIT:]
    state.emit(Count('retries', ticket.req.service_class))
    seek_slot(state, ticket, now)


def _may_retry(
    state: NodeState,
    ticket: Ticket,
    status: AttemptStatus,
) -> bool:
    if ticket.attempt >= _MAX_ATTEMPTS:
        return False
    if status not in CERTAINLY_NOT_RUN and not ticket.req.repeatable:
        return False
    if ticket.tokens > 0 and not ticket.req.resumable:
        return False
    # Protected work is never shed for want of budget, but draws on it.
    service_class = state.catalog.classes.get(ticket.req.service_class)
    protected = service_class is not None and service_class.protected
    return state.retries.spend() or protected


def _awaits(ticket: Ticket | None, sender: str, attempt: int) -> bool:
    return (
        ticket is not None
        and ticket.stage is Stage.asking
        and ticket.owner == sender
        and ticket.attempt == attempt
    )
