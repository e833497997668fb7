"""Handling of requests at their entry VM, from arrival to final answer."""

from bilberryspoke._internal.core.completion import close_request, fail_request
from bilberryspoke._internal.core.policies.registry import find_policy
from bilberryspoke._internal.core.reducer import on_event, on_message
from bilberryspoke._internal.core.release import (
    decline_grant,
    release_attempt_slot,
)
from bilberryspoke._internal.core.requeststate import RequestStage, RequestState
from bilberryspoke._internal.core.sending import send
from bilberryspoke._internal.core.state import VmState
from bilberryspoke._internal.models.effects import (
    AnswerFailure,
    CancelAttempt,
    Count,
    Dispatch,
)
from bilberryspoke._internal.models.events import (
    AttemptEnded,
    AttemptProgressed,
    CallerGone,
    RequestArrived,
    RequestCrashed,
)
from bilberryspoke._internal.models.messages import (
    Preemption,
    SlotGrant,
    SlotRefusal,
    SlotWithdrawal,
    UnknownRequests,
)
from bilberryspoke._internal.models.requests import (
    NOT_RUN_ATTEMPT_STATUSES,
    ROUTER_FAULT,
    AttemptStatus,
    Outcome,
)

_MAX_ATTEMPTS = 8
# A request under which this many upstreams crashed gets no further one.
_MAX_CRASHES = 2

_MAX_EXCLUDED_UPSTREAMS = 3

_RETRY_AFTER_S = 1.0


@on_event(RequestArrived)
def accept_request(
    state: VmState,
    event: RequestArrived,
    now: float,
) -> None:
    """Create the state of a new request and request a slot for it.

    A request with the id of one that is still open is answered as not run.
    """
    req = event.req
    if req.req_id in state.req_states:
        state.emit(
            AnswerFailure(req.req_id, Outcome.not_run, 'duplicate_request_id'),
        )
        return
    req_state = RequestState(req)
    state.req_states[req.req_id] = req_state
    state.retries.record_first_attempt()
    state.emit(Count('requests', req.service_class))
    request_slot(state, req_state, now)


@on_event(CallerGone)
def cancel_request(state: VmState, event: CallerGone, now: float) -> None:
    """Cancel a request whose caller has closed its connection.

    A running attempt is cancelled, and the request closed when it has ended;
    a slot request is withdrawn and the request closed at once.
    """
    req_state = state.req_states.get(event.req_id)
    if req_state is None or req_state.caller_gone:
        return
    req_state.caller_gone = True
    req_state.add_step(now, 'caller_gone')
    if req_state.stage is RequestStage.running:
        # An operation that may have begun runs to completion, so that the
        # caller's retry finds its recorded answer.
        if not req_state.req.operation_key:
            state.emit(CancelAttempt(event.req_id, req_state.attempt))
        return
    _withdraw_slot_request(state, req_state)
    close_request(state, req_state, 'caller_gone', 'caller_gone', now)


@on_event(RequestCrashed)
def close_crashed_request(
    state: VmState, event: RequestCrashed, now: float
) -> None:
    """Close a request that this VM failed to serve, and release its slot.

    It has no answer but that of the failure, and may have run.
    """
    req_state = state.req_states.get(event.req_id)
    if req_state is None:
        return
    req_state.add_step(now, ROUTER_FAULT)
    if req_state.stage is RequestStage.running:
        req_state.may_have_run = True
        release_attempt_slot(state, req_state, AttemptStatus.cancelled, now)
    else:
        _withdraw_slot_request(state, req_state)
    close_request(state, req_state, Outcome.unknown.value, ROUTER_FAULT, now)


def _withdraw_slot_request(state: VmState, req_state: RequestState) -> None:
    withdrawal = SlotWithdrawal(req_state.req.req_id, req_state.req.pool)
    send(state, req_state.owner, withdrawal)


@on_message(SlotGrant)
def handle_slot_grant(
    state: VmState,
    sender: str,
    message: SlotGrant,
    now: float,
) -> None:
    """Dispatch the granted attempt, or decline a grant that is stale.

    If the upstream has been removed or is leaving, the grant is declined and
    another slot requested.
    """
    req_state = state.req_states.get(message.req_id)
    if not _awaits_reply(req_state, sender, message.attempt):
        decline_grant(state, sender, message, req_state)
        return
    upstream = state.catalog.upstreams.get(message.upstream)
    if upstream is None or state.is_leaving(upstream):
        decline_grant(state, sender, message, req_state)
        req_state.excluded = [*req_state.excluded, message.upstream]
        request_slot(state, req_state, now)
        return
    req_state.stage = RequestStage.running
    req_state.upstream = message.upstream
    req_state.started_at = now
    req_state.queue_s += now - req_state.slot_requested_at
    req_state.add_step(now, 'granted', message.upstream)
    service_class = state.catalog.classes.get(req_state.req.service_class)
    state.emit(
        Dispatch(
            req_id=message.req_id,
            attempt=message.attempt,
            upstream=message.upstream,
            offset=req_state.offset,
            priority=service_class.tier if service_class else 0,
            lease_until=now + message.lease_s,
        ),
    )


@on_message(SlotRefusal)
def handle_slot_refusal(
    state: VmState,
    sender: str,
    message: SlotRefusal,
    now: float,
) -> None:
    """Fail a request whose slot request the owner refused."""
    req_state = state.req_states.get(message.req_id)
    if _awaits_reply(req_state, sender, message.attempt):
        state.emit(Count('shed', req_state.req.service_class))
        fail_request(
            state, req_state, message.reason, now, message.retry_after_s
        )


@on_message(Preemption)
def handle_preemption(
    state: VmState,
    sender: str,
    message: Preemption,
    now: float,
) -> None:
    """Cancel a running attempt that can be resumed later.

    It is resumed after the tokens already delivered. The preemption is ignored
    if its attempt is not the running one or cannot be resumed.
    """
    req_state = state.req_states.get(message.req_id)
    if req_state is None or req_state.stage is not RequestStage.running:
        return
    if req_state.attempt != message.attempt or not req_state.req.resumable:
        return
    req_state.requeue_when_cancelled = True
    req_state.add_step(now, 'preempted', message.reason)
    state.emit(CancelAttempt(message.req_id, message.attempt))


@on_message(UnknownRequests)
def handle_unknown_requests(
    state: VmState,
    sender: str,
    message: UnknownRequests,
    now: float,
) -> None:
    """Resend the slot requests that the owner does not have.

    The message answers a holding report, so the owner counts as responsive.
    """
    contact = state.owner_contacts.get(message.pool)
    if contact is not None and contact.owner == sender:
        contact.unanswered_since = None
    for req_id in message.req_ids:
        req_state = state.req_states.get(req_id)
        if (
            req_state is not None
            and req_state.stage is RequestStage.awaiting_slot
        ):
            if req_state.owner == sender:
                find_policy(state.settings.policy).acquire_slot(
                    state, req_state, now
                )


@on_event(AttemptProgressed)
def record_progress(
    state: VmState,
    event: AttemptProgressed,
    now: float,
) -> None:
    """Record the number of tokens delivered by the running attempt."""
    req_state = state.req_states.get(event.req_id)
    if req_state is None or req_state.attempt != event.attempt:
        return
    req_state.tokens = event.tokens
    if req_state.first_token_at is None and event.tokens > 0:
        req_state.first_token_at = now
        req_state.add_step(now, 'first_token')


@on_event(AttemptEnded)
def handle_attempt_end(state: VmState, event: AttemptEnded, now: float) -> None:
    """Release the slot of an ended attempt, then close or retry its request.

    The event's ``tokens`` counts the tokens of all attempts so far.
    """
    req_state = state.req_states.get(event.req_id)
    if req_state is None or req_state.attempt != event.attempt:
        return
    if req_state.stage is not RequestStage.running:
        return
    req_state.tokens = max(req_state.tokens, event.tokens)
    if req_state.first_token_at is None and req_state.tokens > 0:
        req_state.first_token_at = now
    req_state.add_step(now, event.status.value, event.detail)
    release_attempt_slot(state, req_state, event.status, now)
    if event.status not in NOT_RUN_ATTEMPT_STATUSES:
        req_state.may_have_run = True
    if event.status is AttemptStatus.finished:
        close_request(state, req_state, Outcome.completed.value, '', now)
    elif req_state.caller_gone:
        close_request(state, req_state, 'caller_gone', 'caller_gone', now)
    else:
        _retry_or_fail(state, req_state, event, now)


def request_slot(state: VmState, req_state: RequestState, now: float) -> None:
    """Request a slot for the next attempt of a request."""
    req_state.stage = RequestStage.awaiting_slot
    req_state.attempt += 1
    req_state.slot_requested_at = now
    req_state.offset = req_state.tokens
    req_state.requeue_when_cancelled = False
    find_policy(state.settings.policy).acquire_slot(state, req_state, now)


def _retry_or_fail(
    state: VmState,
    req_state: RequestState,
    event: AttemptEnded,
    now: float,
) -> None:
    if (
        req_state.requeue_when_cancelled
        and event.status is AttemptStatus.cancelled
    ):
        request_slot(state, req_state, now)
        return
    if event.status is AttemptStatus.lapsed:
        request_slot(state, req_state, now)
        return
    if event.upstream_crashed and req_state.tokens == req_state.offset:
        req_state.crashes += 1
    if not _may_retry(state, req_state, event.status):
        fail_request(state, req_state, event.status.value, now, _RETRY_AFTER_S)
        return
    req_state.excluded = [*req_state.excluded, req_state.upstream][
        -_MAX_EXCLUDED_UPSTREAMS:
    ]
    state.emit(Count('retries', req_state.req.service_class))
    request_slot(state, req_state, now)


def _may_retry(
    state: VmState,
    req_state: RequestState,
    status: AttemptStatus,
) -> bool:
    if req_state.attempt >= _MAX_ATTEMPTS:
        return False
    if req_state.crashes >= _MAX_CRASHES:
        return False
    if status not in NOT_RUN_ATTEMPT_STATUSES and not req_state.req.repeatable:
        return False
    if req_state.tokens > 0 and not req_state.req.resumable:
        return False
    # A protected class is retried even if the retry budget is empty, but its
    # retries are charged to the budget.
    service_class = state.catalog.classes.get(req_state.req.service_class)
    protected = service_class is not None and service_class.protected
    return state.retries.try_consume() or protected


def _awaits_reply(
    req_state: RequestState | None, sender: str, attempt: int
) -> bool:
    return (
        req_state is not None
        and req_state.stage is RequestStage.awaiting_slot
        and req_state.owner == sender
        and req_state.attempt == attempt
    )
