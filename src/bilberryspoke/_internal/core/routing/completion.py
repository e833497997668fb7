"""End of a routed call: its final answer, counters and log lines."""

from dataclasses import dataclass

from bilberryspoke._internal.core.routing.backlog import (
    count_live_vms,
    measure_backlog,
)
from bilberryspoke._internal.core.routing.callstate import CallStage, CallState
from bilberryspoke._internal.core.routing.crashes import record_proof
from bilberryspoke._internal.core.routing.groups import note_call_end
from bilberryspoke._internal.core.routing.selection import list_usable_upstreams
from bilberryspoke._internal.core.routing.stopping import record_duration
from bilberryspoke._internal.core.routing.waitqueue import (
    choose_retry_after_s,
    find_more_urgent,
)
from bilberryspoke._internal.core.state import VmState
from bilberryspoke._internal.models.effects import Count
from bilberryspoke._internal.models.routing import SendStatus
from bilberryspoke._internal.models.routing_effects import (
    CancelSend,
    FinishStream,
    LogDecision,
    RecordDurations,
    RefuseCall,
    RelayFailure,
)
from bilberryspoke._internal.models.routing_events import SendEnded

FINISHED = 'finished'
# The caller's stream was ended as whole, though nothing shows that it was.
_FINISHED_UNPROVEN = 'finished_unproven'
# Outcomes whose log lines are left out first when there are too many lines.
_ROUTINE_OUTCOMES = frozenset((FINISHED, 'caller_gone'))


def fail_call(
    state: VmState,
    call_state: CallState,
    event: SendEnded,
    now: float,
) -> None:
    """End a call that is not retried after its last send ended with ``event``.

    The failure that the upstream answered with is relayed, if there is one. A
    stream that may be whole ends as one that is.
    """
    if call_state.may_be_whole:
        finish_stream(state, call_state, now)
        return
    if event.status is SendStatus.failed:
        state.emit(RelayFailure(call_state.call.call_id))
        close_call(state, call_state, 'upstream_failed', now)
        return
    refusal = Refusal(f'upstream_{event.status.value}', event)
    refuse_call(state, call_state, refusal, now)


def finish_stream(state: VmState, call_state: CallState, now: float) -> None:
    """End a stream that may be whole as one that is."""
    state.emit(FinishStream(call_state.call.call_id))
    close_call(state, call_state, _FINISHED_UNPROVEN, now)


def time_out_call(state: VmState, call_state: CallState, now: float) -> None:
    """End a call whose deadline has passed and cancel its send."""
    if call_state.stage is CallStage.sent:
        call_state.may_have_run = True
        state.emit(CancelSend(call_state.call.call_id, call_state.attempt))
    refuse_call(state, call_state, Refusal('timeout', timed_out=True), now)


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why a call ends without an upstream's answer.

    ``reason`` is the cause as one word, which is also the call's outcome.
    ``event`` is the end of the last send, if that is the cause. The caller is
    told to wait for at least ``retry_after_s``, or to retry at once if
    ``elsewhere`` is true, because other VMs have room. ``blocked_by`` describes
    what the call has in common with others that crash upstreams, if it is
    refused for that.
    """

    reason: str
    event: SendEnded | None = None
    timed_out: bool = False
    retry_after_s: float = 0
    blocked_by: str = ''
    elsewhere: bool = False


def refuse_call(
    state: VmState, call_state: CallState, refusal: Refusal, now: float
) -> None:
    """Answer a call without an upstream's answer and log the refusal.

    The answer states that the call did not run, and when to retry, only if it
    is certain that it did not run. A stream that may be whole ends as one that
    is.
    """
    if call_state.may_be_whole:
        finish_stream(state, call_state, now)
        return
    call = call_state.call
    not_run = not call_state.may_have_run
    retry_after_s = refusal.retry_after_s
    if not refusal.elsewhere:
        retry_after_s = max(retry_after_s, choose_retry_after_s(call))
    state.emit(
        RefuseCall(
            call.call_id,
            refusal.reason,
            not_run=not_run,
            timed_out=refusal.timed_out,
            retry_after_s=retry_after_s if not_run else None,
        ),
    )
    fields: dict[str, object] = {
        'req_id': call.req_id,
        'route': call.route.name,
        'priority': call.priority,
        'reason': refusal.reason,
        'not_run': not_run,
        'attempts': call_state.attempt,
        'ended_sends': call_state.ended_sends,
        'upstream': call_state.instance,
        'age_s': round(now - call.arrived_at, 3),
        'last_event_id': call_state.last_event_id,
    }
    if refusal.blocked_by:
        fields['blocked_by'] = refusal.blocked_by
    if refusal.event is not None:
        fields['detail'] = refusal.event.detail
    if call_state.stage is CallStage.waiting:
        fields.update(_describe_capacity(state, call_state, now))
    state.emit(LogDecision('call_refused', fields))
    close_call(state, call_state, refusal.reason, now)


def close_call(
    state: VmState,
    call_state: CallState,
    outcome: str,
    now: float,
) -> None:
    """Remove a call and record its outcome, durations and log line.

    ``outcome`` is ``FINISHED`` or the cause of another end as one word. It is
    part of the name of a counter.
    """
    call = call_state.call
    if outcome == FINISHED:
        record_proof(state, call_state, now)
        record_duration(state.routing, call.route, now - call.arrived_at)
    note_call_end(state.routing, call)
    state.routing.calls.pop(call.call_id, None)
    state.routing.waiting.discard(call_state)
    upstream = state.routing.upstreams.get(call_state.instance)
    if upstream is not None:
        upstream.sends.pop(call.call_id, None)
    first_event_s = None
    if call_state.first_event_at is not None:
        first_event_s = call_state.first_event_at - call.arrived_at
    total_s = now - call.arrived_at
    state.emit(Count(f'calls_{outcome}', call.route.name))
    state.emit(
        RecordDurations(call.route.name, call.workspace, total_s, first_event_s)
    )
    state.emit(
        LogDecision(
            'call_ended',
            {
                'req_id': call.req_id,
                'route': call.route.name,
                'workspace': call.workspace,
                'outcome': outcome,
                'upstream': call_state.instance,
                'attempts': call_state.attempt,
                'ended_sends': call_state.ended_sends,
                'connection': call_state.connection,
                'framing': call_state.framing,
                'last_event_id': call_state.last_event_id,
                'first_event_s': None
                if first_event_s is None
                else round(first_event_s, 3),
                'longest_gap_s': round(call_state.longest_gap_s, 3),
                'waited_s': round(call_state.waited_s, 3),
                'total_s': round(total_s, 3),
                'on_time': outcome == FINISHED
                and _is_on_time(call_state, first_event_s),
            },
            important=outcome not in _ROUTINE_OUTCOMES
            or _rests_on_ended_sends(call_state),
        ),
    )


def _rests_on_ended_sends(call_state: CallState) -> bool:
    """Return whether a call that must run once was sent more than once."""
    return bool(
        call_state.ended_sends and not call_state.call.allows_retry_after_run
    )


def _describe_capacity(
    state: VmState,
    call_state: CallState,
    now: float,
) -> dict[str, object]:
    """Return log fields on the capacity that a waiting call was refused for.

    They are the number of usable upstreams, how many upstreams of the service
    this VM reaches as far as it knows, the fewest prefill tokens and the
    fewest calls under way at one of the usable ones, the number of calls that
    wait at this VM, where a more urgent call waits, and the number of other
    VMs heard from lately.
    """
    routing = state.routing
    usable = list_usable_upstreams(routing, call_state, now)
    backlogs = [measure_backlog(routing, each, now) for each in usable]
    service = call_state.call.service
    return {
        'usable_upstreams': len(backlogs),
        'reached_upstreams': len(routing.list_reached_upstreams(service, now)),
        'min_backlog_tokens': min(
            (each.prefill_tokens for each in backlogs), default=None
        ),
        'min_calls': min((each.calls for each in backlogs), default=None),
        'waiting': len(routing.waiting),
        'yields_to': find_more_urgent(routing, call_state, now),
        'live_peers': count_live_vms(routing, now),
    }


def _is_on_time(call_state: CallState, first_event_s: float | None) -> bool:
    route = call_state.call.route
    if first_event_s is None or first_event_s > route.latency_target_s:
        return False
    return (
        route.max_event_gap_s is None
        or call_state.longest_gap_s <= route.max_event_gap_s
    )
