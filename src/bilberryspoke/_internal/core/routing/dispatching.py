"""Placing of a call: it is sent, waits for room, or finds no upstream."""

from bilberryspoke._internal.core.routing.budget import RepeatBudget
from bilberryspoke._internal.core.routing.ending import give_up, refuse_call
from bilberryspoke._internal.core.routing.peers import tell_work
from bilberryspoke._internal.core.routing.placing import (
    Placement,
    is_loyal,
    list_usable,
    place_call,
)
from bilberryspoke._internal.core.routing.state import OpenCall, Stage
from bilberryspoke._internal.core.routing.waiting import (
    gives_way,
    is_overdue,
    list_in_order,
    name_group,
)
from bilberryspoke._internal.core.routing.work import note_sent
from bilberryspoke._internal.core.state import NodeState
from bilberryspoke._internal.models.routing_effects import Note, Send
from bilberryspoke._internal.models.routing_events import SendEnded

# Part of the budget of repeats that is used: VMs do not know of one another
# at every moment.
_BUDGET_PART = 0.8
# Number of VMs that share the budget at the least.
_LEAST_VMS = 3


def place_or_wait(
    state: NodeState,
    opened: OpenCall,
    now: float,
    before: SendEnded | None = None,
) -> None:
    """Send a call now, let it wait, or end it where no upstream is left.

    ``before`` is how its last send ended, if it had one.
    """
    if opened.stage is not Stage.waiting:
        opened.stage = Stage.waiting
        opened.asked_at = now
    if not list_usable(state.routing, opened, now):
        _find_none(state, opened, before, now)
        return
    placement = None
    if not gives_way(state.routing, opened, now):
        placement = place_call(state.routing, opened, now)
    if placement is None:
        group = None
        if not is_loyal(opened.call, now):
            group = name_group(state.routing, opened.call)
        state.routing.waiting.add(opened, group)
        return
    _dispatch(state, opened, placement, now)


def find_budget(state: NodeState, service: str) -> RepeatBudget:
    """Return the budget of repeated sends to a service."""
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
    tell_work(state, listed.instance, placement.owed, now, calls=1)
    if opened.sends == 0:
        find_budget(state, call.service).count_first(now)
    service = state.routing.table.services.get(call.service)
    is_engine = service is not None and service.engine is not None
    state.emit(
        Note(
            'call_placed',
            {
                'req_id': call.req_id,
                'route': call.route.name,
                'priority': call.priority,
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
            priority=min(9, max(0, call.priority)) if is_engine else None,
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
        give_up(state, opened, before, now)
        return
    refuse_call(state, opened, 'no_upstream', now)


def serve_waiting(state: NodeState, now: float) -> None:
    """Place the waiting calls for which there is room by now."""
    for opened in list_in_order(state.routing, now):
        if is_overdue(state.routing, opened, now):
            refuse_call(state, opened, 'no_room', now)
            continue
        state.routing.waiting.discard(opened)
        place_or_wait(state, opened, now)
