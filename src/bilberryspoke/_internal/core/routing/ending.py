"""The end of a routed call: its final answer and what is noted of it."""

from bilberryspoke._internal.core.routing.placing import list_usable
from bilberryspoke._internal.core.routing.state import OpenCall, Stage
from bilberryspoke._internal.core.routing.waiting import choose_return
from bilberryspoke._internal.core.routing.work import list_heard, measure_all
from bilberryspoke._internal.core.state import NodeState
from bilberryspoke._internal.models.effects import Count
from bilberryspoke._internal.models.routing import SendStatus
from bilberryspoke._internal.models.routing_effects import (
    Measure,
    Note,
    PassOn,
    Refuse,
    StopSend,
)
from bilberryspoke._internal.models.routing_events import SendEnded

FINISHED = 'finished'
# Outcomes whose lines are left out first.
_ROUTINE = frozenset((FINISHED, 'caller_gone'))


def give_up(
    state: NodeState,
    opened: OpenCall,
    event: SendEnded,
    now: float,
) -> None:
    """End a call that is not sent again, with what its upstream said if any."""
    if event.status is SendStatus.failed:
        state.emit(PassOn(opened.call.call_id))
        close_call(state, opened, 'upstream_failed', now)
        return
    refuse_call(state, opened, f'upstream_{event.status.value}', now, event)


def time_out(state: NodeState, opened: OpenCall, now: float) -> None:
    """End a call whose time is over."""
    if opened.stage is Stage.sent:
        opened.may_have_run = True
        state.emit(StopSend(opened.call.call_id, opened.attempt))
    refuse_call(state, opened, 'timeout', now, timed_out=True)


def refuse_call(
    state: NodeState,
    opened: OpenCall,
    reason: str,
    now: float,
    event: SendEnded | None = None,
    *,
    timed_out: bool = False,
) -> None:
    """Answer a call without its upstream, truly about whether it ran."""
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
        'priority': call.priority,
        'reason': reason,
        'not_run': not_run,
        'attempts': opened.attempt,
        'upstream': opened.instance,
        'age_s': round(now - call.arrived_at, 3),
        'last_event': opened.last_event,
    }
    if event is not None:
        facts['detail'] = event.detail
    if opened.stage is Stage.waiting:
        facts.update(_describe_room(state, opened, now))
    state.emit(Note('call_refused', facts))
    close_call(state, opened, reason, now)


def close_call(
    state: NodeState,
    opened: OpenCall,
    outcome: str,
    now: float,
) -> None:
    """Forget a call and note what became of it."""
    call = opened.call
    state.routing.calls.pop(call.call_id, None)
    state.routing.waiting.discard(opened)
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
                'on_time': outcome == FINISHED and _is_on_time(opened, first_s),
            },
            urgent=outcome not in _ROUTINE,
        ),
    )


def _describe_room(
    state: NodeState,
    opened: OpenCall,
    now: float,
) -> dict[str, object]:
    """Return what a call waited for: how full the upstreams are."""
    routing = state.routing
    work = [
        measure_all(routing, upstream, now)
        for upstream in list_usable(routing, opened, now)
    ]
    return {
        'usable': len(work),
        'least_owed': min((each.owed for each in work), default=None),
        'least_calls': min((each.calls for each in work), default=None),
        'waiting': len(routing.waiting),
        'vms_heard': len(list_heard(routing, now)),
    }


def _is_on_time(opened: OpenCall, first_s: float | None) -> bool:
    route = opened.call.route
    if first_s is None or first_s > route.target_s:
        return False
    return (
        route.event_gap_s is None or opened.longest_gap_s <= route.event_gap_s
    )
