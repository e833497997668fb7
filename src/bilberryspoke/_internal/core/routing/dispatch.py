"""Dispatch of a call: send it, queue it, or end it without an upstream."""

from bilberryspoke._internal.core.routing.callstate import CallStage, CallState
from bilberryspoke._internal.core.routing.candidates import Placement
from bilberryspoke._internal.core.routing.completion import (
    Refusal,
    fail_call,
    refuse_call,
)
from bilberryspoke._internal.core.routing.crashes import (
    find_block,
    get_next_trial_at,
)
from bilberryspoke._internal.core.routing.crashledger import Block
from bilberryspoke._internal.core.routing.fingerprints import describe_content
from bilberryspoke._internal.core.routing.groups import get_group_name
from bilberryspoke._internal.core.routing.handoff import (
    MIN_REACHED_FRACTION,
    choose_helper,
    exceeds_share,
    get_reached_fraction,
    hand_off,
)
from bilberryspoke._internal.core.routing.links import hasten_probes
from bilberryspoke._internal.core.routing.peers import publish_backlog_change
from bilberryspoke._internal.core.routing.promptcache import record_sent_parts
from bilberryspoke._internal.core.routing.retrybudget import SlidingRetryBudget
from bilberryspoke._internal.core.routing.selection import (
    choose_placement,
    has_prefix_affinity,
    list_usable_upstreams,
)
from bilberryspoke._internal.core.routing.stopping import STOPPING, lacks_time
from bilberryspoke._internal.core.routing.waitqueue import (
    must_refuse,
    must_yield,
    sort_waiting,
)
from bilberryspoke._internal.core.state import VmState
from bilberryspoke._internal.models.effects import Count
from bilberryspoke._internal.models.routing import NO_ROOM
from bilberryspoke._internal.models.routing_effects import LogDecision, Send
from bilberryspoke._internal.models.routing_events import SendEnded
from bilberryspoke._internal.models.routing_messages import BacklogChange

# Fraction of the retry budget that is used. The rest is a margin for times at
# which VMs do not know of one another.
_USED_BUDGET_FRACTION = 0.8
# The reserve of the retry budget is divided among at least this many VMs.
_MIN_BUDGET_VMS = 3


def dispatch_or_queue(
    state: VmState,
    call_state: CallState,
    now: float,
    before: SendEnded | None = None,
) -> None:
    """Send a call now, queue it, or end it if no upstream is usable.

    ``before`` is the end of the call's previous send, if there was one.
    """
    if call_state.stage is not CallStage.waiting:
        call_state.stage = CallStage.waiting
        call_state.queued_at = now
    if lacks_time(state, call_state, now):
        refuse_call(state, call_state, Refusal(STOPPING, elsewhere=True), now)
        return
    blocked = find_block(state, call_state, now)
    if blocked is not None:
        _refuse_blocked(state, call_state, *blocked, now)
        return
    routing = state.routing
    usable = list_usable_upstreams(routing, call_state, now)
    reached_fraction = get_reached_fraction(routing, call_state, now)
    must_leave = exceeds_share(call_state, reached_fraction) or (
        reached_fraction < MIN_REACHED_FRACTION
        and all(each.health.is_out_of_reach for each in usable)
    )
    if must_leave and _hand_off_if_possible(state, call_state, now):
        return
    if not usable or (not reached_fraction and call_state.call.handed_off):
        hasten_probes(routing, call_state.call.service, now)
        _end_without_upstream(state, call_state, before, now)
        return
    placement = None
    if not must_yield(routing, call_state, now):
        placement = choose_placement(routing, call_state, now)
    if placement is not None:
        _dispatch(state, call_state, placement, now)
        return
    # A call that waits for the few upstreams that this VM reaches would hold
    # up those of other VMs, which have room.
    if reached_fraction < MIN_REACHED_FRACTION and (
        _hand_off_if_possible(state, call_state, now)
    ):
        return
    group = None
    if not has_prefix_affinity(call_state.call, now):
        group = get_group_name(routing, call_state.call)
    routing.waiting.add(call_state, group)


def _hand_off_if_possible(
    state: VmState, call_state: CallState, now: float
) -> bool:
    """Hand a call off if another VM may serve it; return whether it was."""
    helper = choose_helper(state, call_state, now)
    if helper is None:
        return False
    if not call_state.call.allows_retry_after_run:
        # Its retries are made here, the helper makes those of other calls.
        _count_first_attempt(state, call_state, now)
    hand_off(state, call_state, helper, now)
    return True


def ensure_budget(
    state: VmState, service: str, now: float
) -> SlidingRetryBudget:
    """Return the retry budget of a service, created on first use.

    This VM's part of the reserve follows the number of known VMs. A new process
    has none until a window has passed: the one before it may have used it, and
    it does not know the other VMs yet.
    """
    routing = state.routing
    bounds = state.settings.bounds
    budget = routing.budgets.get(service)
    if budget is None:
        budget = SlidingRetryBudget(
            share=bounds.retry_share * _USED_BUDGET_FRACTION,
            reserve=0,
            window_s=bounds.retry_window_s,
        )
        routing.budgets[service] = budget
    vms = max(_MIN_BUDGET_VMS, len(routing.peers) + 1)
    budget.reserve = 0
    if now >= state.started_at + budget.window_s:
        budget.reserve = bounds.retry_reserve * _USED_BUDGET_FRACTION / vms
    return budget


def _dispatch(
    state: VmState,
    call_state: CallState,
    placement: Placement,
    now: float,
) -> None:
    call = call_state.call
    chosen = placement.upstream
    listed = chosen.listed
    _count_first_attempt(state, call_state, now)
    call_state.begin_send(now)
    call_state.instance = listed.instance
    call_state.helper = ''
    call_state.created_ms = listed.created_ms
    call_state.sent_version = listed.software_version
    call_state.prefill_tokens = placement.prefill_tokens
    call_state.backlog_tokens = placement.backlog.prefill_tokens
    call_state.expected_first_event_s = placement.first_event_s
    chosen.sends[call.call_id] = call_state
    chosen.limit.count_call()
    names = [part.name for part in call.shared_parts]
    change = BacklogChange(
        listed.instance,
        placement.prefill_tokens,
        calls=1,
        parts=record_sent_parts(state.routing, chosen, names, now),
    )
    publish_backlog_change(state, change, now)
    if call_state.last_event_id is not None:
        state.emit(Count('streams_resumed', call.service))
    table = state.routing.table
    service = table.services.get(call.service)
    is_engine = service is not None and service.engine is not None
    state.emit(
        LogDecision(
            'call_placed',
            {
                'req_id': call.req_id,
                'route': call.route.name,
                'priority': call.priority,
                'upstream': listed.instance,
                'attempt': call_state.attempt,
                'prefill_tokens': placement.prefill_tokens,
                'backlog_tokens': placement.backlog.prefill_tokens,
                'calls': placement.backlog.calls,
                'waited_s': round(call_state.waited_s, 3),
                'expected_first_event_s': round(placement.first_event_s, 3),
                'version': table.version,
                'software_version': listed.software_version,
                'last_event_id': call_state.last_event_id,
                'resumed_req_id': call.resumed_req_id,
                'limit_per_s': chosen.limit.per_s,
                **describe_content(call),
            },
            important=False,
        ),
    )
    # Engines take priorities from 0 (most urgent) to 9.
    state.emit(
        Send(
            call_id=call.call_id,
            attempt=call_state.attempt,
            instance=listed.instance,
            address=listed.address,
            priority=min(9, max(0, call.priority)) if is_engine else None,
            upstream_deadline_at=call.deadline_at,
            last_event_id=call_state.last_event_id,
            rate_limited=chosen.limit.per_s is not None,
            created_ms=listed.created_ms,
            is_brittle=chosen.is_brittle,
        ),
    )


def _count_first_attempt(
    state: VmState, call_state: CallState, now: float
) -> None:
    """Count a call for the retry budget, at the VM that makes its retries."""
    call = call_state.call
    if not call_state.counted and not call.counted_before:
        call_state.counted = True
        ensure_budget(state, call.service, now).record_first_send(now)


def _end_without_upstream(
    state: VmState,
    call_state: CallState,
    before: SendEnded | None,
    now: float,
) -> None:
    if before is not None:
        fail_call(state, call_state, before, now)
        return
    refuse_call(state, call_state, Refusal('no_upstream'), now)


def _refuse_blocked(
    state: VmState,
    call_state: CallState,
    fingerprint: int,
    block: Block,
    now: float,
) -> None:
    """Refuse a call that would crash its upstream."""
    state.emit(Count('calls_blocked', call_state.call.route.name))
    refusal = Refusal(
        'crashes_upstreams',
        retry_after_s=max(0, get_next_trial_at(block) - now),
        blocked_by=call_state.fingerprints[fingerprint],
    )
    refuse_call(state, call_state, refusal, now)


def dispatch_waiting(state: VmState, now: float) -> None:
    """Send the waiting calls that have an upstream now; refuse overdue ones."""
    for call_state in sort_waiting(state.routing, now):
        if must_refuse(state.routing, call_state, now):
            refusal = Refusal(
                NO_ROOM,
                retry_after_s=_get_shortest_pause_s(state, call_state, now),
            )
            refuse_call(state, call_state, refusal, now)
            continue
        state.routing.waiting.discard(call_state)
        dispatch_or_queue(state, call_state, now)


def _get_shortest_pause_s(
    state: VmState, call_state: CallState, now: float
) -> float:
    """Return the seconds until an upstream wants calls of this VM again."""
    usable = list_usable_upstreams(state.routing, call_state, now)
    paused_until = min((each.paused_until for each in usable), default=now)
    return max(0, paused_until - now)
