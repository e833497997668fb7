"""Handlers of a routed call's events, from its arrival to its end."""

from bilberryspoke._internal.core.reducer import on_event
from bilberryspoke._internal.core.routing.backlog import record_first_event
from bilberryspoke._internal.core.routing.brittleness import has_fallen_over
from bilberryspoke._internal.core.routing.callstate import CallStage, CallState
from bilberryspoke._internal.core.routing.completion import (
    FINISHED,
    close_call,
    fail_call,
)
from bilberryspoke._internal.core.routing.crashes import (
    may_retry_after_crash,
    record_crash,
    record_progress_proof,
)
from bilberryspoke._internal.core.routing.dispatch import (
    dispatch_or_queue,
    dispatch_waiting,
    ensure_budget,
)
from bilberryspoke._internal.core.routing.fingerprints import (
    describe_content,
    list_fingerprints,
)
from bilberryspoke._internal.core.routing.groups import note_tight_arrival
from bilberryspoke._internal.core.routing.handoff import (
    may_hand_off_again,
    record_helper_end,
)
from bilberryspoke._internal.core.routing.links import (
    check_upstream,
    suspect_link,
)
from bilberryspoke._internal.core.routing.origins import record_stream_begin
from bilberryspoke._internal.core.routing.peers import publish_backlog_change
from bilberryspoke._internal.core.routing.resumption import resume_stream
from bilberryspoke._internal.core.routing.retries import may_retry
from bilberryspoke._internal.core.routing.unprovenends import (
    end_unproven_answer,
)
from bilberryspoke._internal.core.routing.upstreamstate import UpstreamState
from bilberryspoke._internal.core.state import VmState
from bilberryspoke._internal.models.effects import Count
from bilberryspoke._internal.models.requests import ROUTER_FAULT
from bilberryspoke._internal.models.routing import (
    ANSWERED_SEND_STATUSES,
    NOT_RECEIVED_SEND_STATUSES,
    NOT_RUN_SEND_STATUSES,
    SendStatus,
)
from bilberryspoke._internal.models.routing_effects import (
    CancelSend,
    LogDecision,
)
from bilberryspoke._internal.models.routing_events import (
    CallAbandoned,
    CallArrived,
    CallCrashed,
    SendEnded,
    SendProgressed,
)
from bilberryspoke._internal.models.routing_messages import BacklogChange


@on_event(CallArrived)
def accept_call(state: VmState, event: CallArrived, now: float) -> None:
    """Register a new call and send or queue it."""
    call = event.call
    call_state = CallState(
        call,
        queued_at=now,
        last_event_id=call.last_event_id,
        fingerprints=list_fingerprints(call),
    )
    state.routing.calls[call.call_id] = call_state
    state.emit(Count('calls', call.route.name))
    note_tight_arrival(state.routing, call, now)
    if call.last_event_id is None:
        dispatch_or_queue(state, call_state, now)
    else:
        resume_stream(state, call_state, now)


@on_event(CallAbandoned)
def close_abandoned_call(
    state: VmState, event: CallAbandoned, now: float
) -> None:
    """Close a call whose caller has gone, and cancel its send."""
    _drop_call(state, event.call_id, 'caller_gone', now)


@on_event(CallCrashed)
def close_crashed_call(state: VmState, event: CallCrashed, now: float) -> None:
    """Close a call that this VM failed to serve, and cancel its send."""
    _drop_call(state, event.call_id, ROUTER_FAULT, now)


def _drop_call(state: VmState, call_id: str, outcome: str, now: float) -> None:
    call_state = state.routing.calls.get(call_id)
    if call_state is None:
        return
    if call_state.stage is CallStage.sent:
        state.emit(CancelSend(call_id, call_state.attempt))
    close_call(state, call_state, outcome, now)


@on_event(SendProgressed)
def record_progress(state: VmState, event: SendProgressed, now: float) -> None:
    """Record that a part of an answer arrived.

    The first part of a send ends the reading of its prompt: the backlog
    shrinks, and waiting calls may be sent.
    """
    call_state = state.routing.calls.get(event.call_id)
    if call_state is None or call_state.attempt != event.attempt:
        return
    is_first = call_state.last_progress_at is None
    upstream = state.routing.upstreams.get(call_state.instance)
    if upstream is not None:
        upstream.last_heard_at = now
        if is_first:
            record_first_event(state.routing, upstream, call_state, now)
            change = BacklogChange(
                call_state.instance, -call_state.prefill_tokens, calls=0
            )
            publish_backlog_change(state, change, now)
    if call_state.first_event_at is not None:
        gap_s = now - (call_state.last_progress_at or call_state.sent_at)
        call_state.longest_gap_s = max(call_state.longest_gap_s, gap_s)
    call_state.last_progress_at = now
    record_progress_proof(state, call_state, now)
    call_state.first_event_at = call_state.first_event_at or now
    if is_first and not call_state.helper:
        record_stream_begin(state, call_state, now)
    if event.last_event_id is not None:
        call_state.last_event_id = event.last_event_id
        call_state.is_unproven = False
    if is_first and state.routing.waiting:
        dispatch_waiting(state, now)


@on_event(SendEnded)
def finish_or_retry_call(state: VmState, event: SendEnded, now: float) -> None:
    """Finish, retry or fail a call whose send ended."""
    call_state = state.routing.calls.get(event.call_id)
    if call_state is None or call_state.attempt != event.attempt:
        return
    call_state.connection = event.connection
    call_state.framing = event.framing
    _record_send_end(state, call_state, event, now)
    if event.last_event_id is not None:
        call_state.last_event_id = event.last_event_id
    if event.status is SendStatus.finished:
        close_call(state, call_state, FINISHED, now)
        _use_free_slot(state, call_state, now)
        return
    call_state.note_send_end(event.status, now)
    if event.status is SendStatus.unproven:
        end_unproven_answer(state, call_state, event, now)
        _use_free_slot(state, call_state, now)
        return
    if event.status not in NOT_RUN_SEND_STATUSES:
        call_state.may_have_run = True
    if call_state.is_unproven:
        # A question that failed is not repeated.
        fail_call(state, call_state, event, now)
        return
    if _acquire_retry(state, call_state, event, now):
        state.emit(Count('repeats', call_state.call.service))
        dispatch_or_queue(state, call_state, now, event)
        return
    fail_call(state, call_state, event, now)


def _use_free_slot(state: VmState, call_state: CallState, now: float) -> None:
    """Send a waiting call to a brittle upstream whose slot is free again."""
    upstream = state.routing.upstreams.get(call_state.instance)
    if upstream is not None and upstream.is_brittle and state.routing.waiting:
        dispatch_waiting(state, now)


def _record_send_end(
    state: VmState,
    call_state: CallState,
    event: SendEnded,
    now: float,
) -> None:
    if call_state.helper:
        record_helper_end(state, call_state, event, now)
        return
    upstream = state.routing.upstreams.get(call_state.instance)
    if event.status in NOT_RECEIVED_SEND_STATUSES:
        _log_undelivered_send(state, call_state, event, now)
    else:
        call_state.sends += 1
    call_state.tried_instances.append(call_state.instance)
    if event.status is SendStatus.broken:
        _log_broken_send(state, call_state, event, now)
    if event.upstream_crashed and not has_fallen_over(upstream, now):
        record_crash(state, call_state, now)
    if upstream is None:
        return
    # If the upstream restarted under its name meanwhile, this send belongs to
    # its previous incarnation.
    if upstream.sends.pop(call_state.call.call_id, None) is None:
        return
    if event.status is SendStatus.refused:
        upstream.refused_at = now
    _record_reach(upstream, call_state, event, now)
    if _is_link_lost(call_state, event):
        suspect_link(state, upstream, now)
    if event.upstream_crashed:
        check_upstream(state, upstream, now)


def _is_link_lost(call_state: CallState, event: SendEnded) -> bool:
    """Return whether a send ended without any answer of the upstream."""
    if event.status is SendStatus.unsent or event.upstream_crashed:
        return True
    return event.connection_lost and call_state.last_progress_at is None


def _record_reach(
    upstream: UpstreamState,
    call_state: CallState,
    event: SendEnded,
    now: float,
) -> None:
    """Record what the end of a send says of the upstream's health."""
    health = upstream.health
    if event.status is SendStatus.unsent:
        health.record_unreachable(now)
        return
    if event.upstream_crashed and not health.is_unresponsive(now):
        health.record_unreachable(now)
    elif _is_link_lost(call_state, event):
        health.record_lost_link(now)
    if event.status is SendStatus.misdirected:
        health.record_misdirected(now)
    elif event.status is not SendStatus.cancelled:
        succeeded = event.status in ANSWERED_SEND_STATUSES
        health.record_outcome(now, succeeded=succeeded)


def _log_undelivered_send(
    state: VmState,
    call_state: CallState,
    event: SendEnded,
    now: float,
) -> None:
    fields = {
        'req_id': call_state.call.req_id,
        'upstream': call_state.instance,
        'attempt': call_state.attempt,
        'sent_s': round(now - call_state.sent_at, 3),
        'detail': event.detail,
    }
    state.emit(LogDecision('send_undelivered', fields, important=False))


def _log_broken_send(
    state: VmState,
    call_state: CallState,
    event: SendEnded,
    now: float,
) -> None:
    upstream = state.routing.upstreams.get(call_state.instance)
    call = call_state.call
    fields = {
        'req_id': call.req_id,
        'route': call.route.name,
        'upstream': call_state.instance,
        'attempt': call_state.attempt,
        'sent_s': round(now - call_state.sent_at, 3),
        'answer_began': call_state.last_progress_at is not None,
        'calls': 0 if upstream is None else len(upstream.sends),
        **describe_content(call),
        'connection': event.connection,
        'framing': event.framing,
        'connection_lost': event.connection_lost,
        'crashed': event.upstream_crashed,
        'detail': event.detail,
    }
    state.emit(Count('sends_broken', call.service))
    state.emit(LogDecision('send_broken', fields))


def _acquire_retry(
    state: VmState,
    call_state: CallState,
    event: SendEnded,
    now: float,
) -> bool:
    """Return whether to retry a call, and consume a retry of the budget.

    None is consumed if no byte of the failed send left this VM.
    """
    if (
        event.status is SendStatus.cancelled
        or now >= call_state.call.deadline_at
    ):
        return False
    if call_state.helper and not may_hand_off_again(event):
        return False
    if not may_retry(call_state, event, sends=call_state.sends):
        return False
    service = call_state.call.service
    if event.upstream_crashed and not may_retry_after_crash(state, call_state):
        state.emit(Count('retries_withheld', service))
        return False
    if event.status is SendStatus.unsent:
        state.emit(Count('retries_outside_budget', service))
        return True
    if ensure_budget(state, service, now).try_consume(now):
        return True
    state.emit(Count('retries_denied', service))
    return False
