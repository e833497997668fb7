"""A routed call from its arrival to its final answer."""

from bilberryspoke._internal.core.reducer import on_event
from bilberryspoke._internal.core.routing.budget import RepeatBudget
from bilberryspoke._internal.core.routing.discovery import drop_unlisted
from bilberryspoke._internal.core.routing.peers import tell_work
from bilberryspoke._internal.core.routing.placing import (
    Placement,
    list_usable,
    place_call,
)
from bilberryspoke._internal.core.routing.repeating import may_send_again
from bilberryspoke._internal.core.routing.silence import (
    is_silent,
    is_stuck,
    note_review,
)
from bilberryspoke._internal.core.routing.state import (
    OpenCall,
    Stage,
    UpstreamState,
)
from bilberryspoke._internal.core.routing.waiting import (
    await_room,
    choose_return,
    is_overdue,
    list_in_order,
)
from bilberryspoke._internal.core.routing.work import (
    learn_slowness,
    note_sent,
)
from bilberryspoke._internal.core.state import NodeState
from bilberryspoke._internal.models.effects import (
    Count,
)
from bilberryspoke._internal.models.routing import (
    NOT_RUN,
    SendStatus,
)
from bilberryspoke._internal.models.routing_effects import (
    Measure,
    Note,
    PassOn,
    Refuse,
    Send,
    StopSend,
)
from bilberryspoke._internal.models.routing_events import (
    CallAbandoned,
    CallArrived,
    SendEnded,
    SendProgressed,
)

# Part of the budget of repeats that is used: VMs do not know of one another
# at every moment.
_BUDGET_PART = 0.8
# Number of VMs that share the budget at the least.
_LEAST_VMS = 3


@on_event(CallArrived)
def accept_call(state: NodeState, event: CallArrived, now: float) -> None:
    """Open a call and place it."""
    call = event.call
    opened = OpenCall(call, asked_at=now, last_event=call.last_event)
    state.routing.calls[call.call_id] = opened
    state.emit(Count('calls', call.route.name))
    _place(state, opened, now)


@on_event(CallAbandoned)
def abandon_call(state: NodeState, event: CallAbandoned, now: float) -> None:
    """Stop all work for a caller that has gone."""
    opened = state.routing.calls.get(event.call_id)
    if opened is None:
        return
    if opened.stage is Stage.sent:
        state.emit(StopSend(event.call_id, opened.attempt))
    _close(state, opened, 'caller_gone', now)


@on_event(SendProgressed)
def note_progress(state: NodeState, event: SendProgressed, now: float) -> None:
    """Remember that an upstream is answering, and how far it has come."""
    opened = state.routing.calls.get(event.call_id)
    if opened is None or opened.attempt != event.attempt:
        return
    first = opened.moved_at is None
    upstream = state.routing.upstreams.get(opened.instance)
    if upstream is not None:
        upstream.heard_at = now
        if first:
            learn_slowness(upstream, opened, now)
    if opened.first_at is not None:
        gap_s = now - (opened.moved_at or opened.sent_at)
        opened.longest_gap_s = max(opened.longest_gap_s, gap_s)
    opened.moved_at = now
    opened.first_at = opened.first_at or now
    if event.last_event is not None:
        opened.last_event = event.last_event
    if first and state.routing.waiting:
        serve_waiting(state, now)


@on_event(SendEnded)
def end_send(state: NodeState, event: SendEnded, now: float) -> None:
    """Decide what follows the end of a send."""
    opened = state.routing.calls.get(event.call_id)
    if opened is None or opened.attempt != event.attempt:
        return
    _leave_upstream(state, opened, event, now)
    if event.last_event is not None:
        opened.last_event = event.last_event
    if event.status is SendStatus.finished:
        _close(state, opened, 'finished', now)
        return
    if event.status not in NOT_RUN:
        opened.may_have_run = True
    if _may_repeat(state, opened, event, now):
        state.emit(Count('repeats', opened.call.service))
        _place(state, opened, now, event)
        return
    _give_up(state, opened, event, now)


def review_calls(state: NodeState, now: float) -> None:
    """End the calls whose time is over and drop upstreams that stay away."""
    drop_unlisted(state, now)
    note_review(state.routing, now)
    _review_silence(state, now)
    for opened in list(state.routing.calls.values()):
        if now >= opened.call.answer_by:
            _time_out(state, opened, now)
    serve_waiting(state, now)


def _review_silence(state: NodeState, now: float) -> None:
    """Send calls elsewhere that may run again and got stuck."""
    routing = state.routing
    for upstream in list(routing.upstreams.values()):
        silent = is_silent(routing, upstream, now)
        if silent:
            _note_silent(state, upstream, now)
        for opened in list(upstream.sends.values()):
            if silent or is_stuck(routing, opened, now):
                _move_call(state, opened, now)


def _note_silent(
    state: NodeState,
    upstream: UpstreamState,
    now: float,
) -> None:
    if not upstream.suspicion.is_avoided(now):
        facts = {
            'upstream': upstream.listed.instance,
            'calls': len(upstream.sends),
            'heard_s': round(now - upstream.heard_at, 3),
        }
        state.emit(Note('upstream_silent', facts))
    upstream.suspicion.note_silent(now)


def _move_call(state: NodeState, opened: OpenCall, now: float) -> None:
    call = opened.call
    ending = SendEnded(
        call_id=call.call_id,
        attempt=opened.attempt,
        status=SendStatus.broken,
        detail='nothing was heard for too long',
        delivered=opened.first_at is not None,
    )
    if not may_send_again(opened, ending, sends=opened.sends + 1):
        return
    if not _find_budget(state, call.service).allows(now):
        return
    others = list_usable(state.routing, opened, now)
    if any(other.listed.instance != opened.instance for other in others):
        state.emit(StopSend(call.call_id, opened.attempt))
        end_send(state, ending, now)


def serve_waiting(state: NodeState, now: float) -> None:
    """Place the waiting calls for which there is room by now."""
    for opened in list_in_order(state.routing, now):
        if is_overdue(opened, now):
            _refuse(state, opened, 'no_room', now)
            continue
        state.routing.waiting.remove(opened)
        _place(state, opened, now)


def _place(
    state: NodeState,
    opened: OpenCall,
    now: float,
    before: SendEnded | None = None,
) -> None:
    if opened.stage is not Stage.waiting:
        opened.stage = Stage.waiting
        opened.asked_at = now
    if not list_usable(state.routing, opened, now):
        _find_none(state, opened, before, now)
        return
    placement = place_call(state.routing, opened, now)
    if placement is None:
        await_room(state.routing, opened)
        return
    _dispatch(state, opened, placement, now)


def _dispatch(
    state: NodeState,
    opened: OpenCall,
    placement: Placement,
    now: float,
) -> None:
    call = opened.call
    chosen = placement.upstream
    listed = chosen.listed
    opened.stage = Stage.sent
    opened.waited_s += now - opened.asked_at
    opened.attempt += 1
    opened.instance = listed.instance
    opened.sent_at = now
    opened.moved_at = None
    opened.owed = placement.owed
    opened.expected_s = placement.first_s
    chosen.sends[call.call_id] = opened
    note_sent(chosen, opened, now)
    tell_work(state, listed.instance, placement.owed, now)
    if opened.sends == 0:
        _find_budget(state, call.service).count_first(now)
    service = state.routing.table.services.get(call.service)
    is_engine = service is not None and service.engine is not None
    state.emit(
        Note(
            'call_placed',
            {
                'req_id': call.req_id,
                'route': call.route.name,
                'upstream': listed.instance,
                'attempt': opened.attempt,
                'uncached': placement.owed,
                'owed': placement.work.owed,
                'calls': placement.work.calls,
                'waited_s': round(opened.waited_s, 3),
                'expected_s': round(placement.first_s, 3),
                'version': state.routing.table.version,
            },
            urgent=False,
        ),
    )
    state.emit(
        Send(
            call_id=call.call_id,
            attempt=opened.attempt,
            instance=listed.instance,
            address=listed.address,
            priority=min(9, max(0, call.priority)) if is_engine else -1,
            stop_at=call.answer_by,
            last_event=opened.last_event,
        ),
    )


def _find_none(
    state: NodeState,
    opened: OpenCall,
    before: SendEnded | None,
    now: float,
) -> None:
    if before is not None:
        _give_up(state, opened, before, now)
        return
    _refuse(state, opened, 'no_upstream', now)


def _leave_upstream(
    state: NodeState,
    opened: OpenCall,
    event: SendEnded,
    now: float,
) -> None:
    upstream = state.routing.upstreams.get(opened.instance)
    if event.status is not SendStatus.unsent:
        opened.sends += 1
    opened.tried.append(opened.instance)
    if upstream is None:
        return
    # The upstream may have started again under its name meanwhile.
    if upstream.sends.pop(opened.call.call_id, None) is None:
        return
    if event.status is SendStatus.unsent:
        upstream.suspicion.note_unreached(now)
    elif event.status is not SendStatus.cancelled:
        good = event.status is SendStatus.finished
        upstream.suspicion.note_outcome(now, good=good)


def _may_repeat(
    state: NodeState,
    opened: OpenCall,
    event: SendEnded,
    now: float,
) -> bool:
    if event.status is SendStatus.cancelled or now >= opened.call.answer_by:
        return False
    if not may_send_again(opened, event, sends=opened.sends):
        return False
    if event.status is SendStatus.unsent:
        return True
    return _find_budget(state, opened.call.service).take(now)


def _give_up(
    state: NodeState,
    opened: OpenCall,
    event: SendEnded,
    now: float,
) -> None:
    if event.status is SendStatus.failed:
        state.emit(PassOn(opened.call.call_id))
        _close(state, opened, 'upstream_failed', now)
        return
    _refuse(state, opened, f'upstream_{event.status.value}', now, event)


def _time_out(state: NodeState, opened: OpenCall, now: float) -> None:
    if opened.stage is Stage.sent:
        opened.may_have_run = True
        state.emit(StopSend(opened.call.call_id, opened.attempt))
        upstream = state.routing.upstreams.get(opened.instance)
        if upstream is not None:
            upstream.sends.pop(opened.call.call_id, None)
    _refuse(state, opened, 'timeout', now, timed_out=True)


def _refuse(
    state: NodeState,
    opened: OpenCall,
    reason: str,
    now: float,
    event: SendEnded | None = None,
    *,
    timed_out: bool = False,
) -> None:
    call = opened.call
    not_run = not opened.may_have_run
    state.emit(
        Refuse(
            call.call_id,
            reason,
            not_run=not_run,
            timed_out=timed_out,
            retry_after_s=choose_return(call) if not_run else None,
        ),
    )
    facts: dict[str, object] = {
        'req_id': call.req_id,
        'route': call.route.name,
        'reason': reason,
        'not_run': not_run,
        'attempts': opened.attempt,
        'upstream': opened.instance,
        'age_s': round(now - call.arrived_at, 3),
        'last_event': opened.last_event,
    }
    if event is not None:
        facts['detail'] = event.detail
    state.emit(Note('call_refused', facts))
    _close(state, opened, reason, now)


def _close(
    state: NodeState,
    opened: OpenCall,
    outcome: str,
    now: float,
) -> None:
    call = opened.call
    state.routing.calls.pop(call.call_id, None)
    if opened in state.routing.waiting:
        state.routing.waiting.remove(opened)
    upstream = state.routing.upstreams.get(opened.instance)
    if upstream is not None:
        upstream.sends.pop(call.call_id, None)
    first_s = None
    if opened.first_at is not None:
        first_s = opened.first_at - call.arrived_at
    total_s = now - call.arrived_at
    state.emit(Count(f'calls_{outcome}', call.route.name))
    state.emit(Measure(call.route.name, call.workspace, total_s, first_s))
    state.emit(
        Note(
            'call_ended',
            {
                'req_id': call.req_id,
                'route': call.route.name,
                'workspace': call.workspace,
                'outcome': outcome,
                'upstream': opened.instance,
                'attempts': opened.attempt,
                'first_s': None if first_s is None else round(first_s, 3),
                'gap_s': round(opened.longest_gap_s, 3),
                'waited_s': round(opened.waited_s, 3),
                'total_s': round(total_s, 3),
                'on_time': _is_on_time(opened, first_s),
            },
            urgent=outcome not in {'finished', 'caller_gone'},
        ),
    )


def _is_on_time(opened: OpenCall, first_s: float | None) -> bool:
    route = opened.call.route
    if first_s is None or first_s > route.target_s:
        return False
    return (
        route.event_gap_s is None or opened.longest_gap_s <= route.event_gap_s
    )


def _find_budget(state: NodeState, service: str) -> RepeatBudget:
    routing = state.routing
    bounds = state.settings.bounds
    budget = routing.budgets.get(service)
    if budget is None:
        budget = RepeatBudget(
            share=bounds.retry_share * _BUDGET_PART,
            reserve=0,
            window_s=bounds.retry_window_s,
        )
        routing.budgets[service] = budget
    vms = max(_LEAST_VMS, len(routing.peers) + 1)
    budget.reserve = bounds.retry_reserve * _BUDGET_PART / vms
    return budget
