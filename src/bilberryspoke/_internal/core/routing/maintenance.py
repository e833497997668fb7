"""Periodic review of open calls: timeouts, stalls and waiting calls."""

from bilberryspoke._internal.core.routing.brittleness import (
    review_brittle_upstreams,
)
from bilberryspoke._internal.core.routing.callstate import CallState
from bilberryspoke._internal.core.routing.completion import time_out_call
from bilberryspoke._internal.core.routing.crashes import review_crashes
from bilberryspoke._internal.core.routing.discovery import (
    drop_missing_upstreams,
)
from bilberryspoke._internal.core.routing.dispatch import (
    dispatch_waiting,
    ensure_budget,
)
from bilberryspoke._internal.core.routing.handoff import (
    choose_helper,
    get_reached_fraction,
)
from bilberryspoke._internal.core.routing.lifecycle import finish_or_retry_call
from bilberryspoke._internal.core.routing.links import (
    review_links,
    suspect_link,
)
from bilberryspoke._internal.core.routing.origins import review_keepers
from bilberryspoke._internal.core.routing.ratelimits import review_limits
from bilberryspoke._internal.core.routing.reach import (
    review_reach,
    send_probes,
)
from bilberryspoke._internal.core.routing.resumption import review_lookups
from bilberryspoke._internal.core.routing.retries import may_retry
from bilberryspoke._internal.core.routing.selection import list_usable_upstreams
from bilberryspoke._internal.core.routing.stalls import (
    get_silence_s,
    is_silent,
    is_stalled,
    record_review,
)
from bilberryspoke._internal.core.routing.unprovenends import (
    finish_slow_questions,
)
from bilberryspoke._internal.core.routing.upstreamstate import UpstreamState
from bilberryspoke._internal.core.state import VmState
from bilberryspoke._internal.models.routing import SendStatus
from bilberryspoke._internal.models.routing_effects import (
    CancelSend,
    LogDecision,
)
from bilberryspoke._internal.models.routing_events import SendEnded


def review_calls(state: VmState, now: float) -> None:
    """Time out calls, retry stalled ones, and send those that wait.

    Upstreams that were not listed again after a store outage are dropped.
    """
    record_review(state.routing, now)
    _review_upstreams(state, now)
    review_crashes(state, now)
    review_keepers(state, now)
    review_lookups(state, now)
    finish_slow_questions(state, now)
    _retry_stalled_calls(state, now)
    for call_state in list(state.routing.calls.values()):
        if now >= call_state.call.deadline_at:
            time_out_call(state, call_state, now)
    dispatch_waiting(state, now)


def _review_upstreams(state: VmState, now: float) -> None:
    drop_missing_upstreams(state, now)
    review_limits(state, now)
    review_brittle_upstreams(state, now)
    review_links(state, now)
    review_reach(state, now)
    send_probes(state, now)


def _retry_stalled_calls(state: VmState, now: float) -> None:
    """Retry calls elsewhere that stalled or whose upstream is silent."""
    routing = state.routing
    in_use = [each for each in routing.upstreams.values() if each.sends]
    for upstream in in_use:
        silent = is_silent(routing, upstream, now)
        if silent:
            _record_silence(state, upstream, now)
        for call_state in list(upstream.sends.values()):
            if silent or is_stalled(routing, call_state, now):
                _retry_elsewhere(state, call_state, now)


def _record_silence(
    state: VmState,
    upstream: UpstreamState,
    now: float,
) -> None:
    routing = state.routing
    if not upstream.health.is_ejected(now):
        fields = {
            'upstream': upstream.listed.instance,
            'calls': len(upstream.sends),
            'no_response_s': round(get_silence_s(routing, upstream, now), 3),
        }
        state.emit(LogDecision('upstream_silent', fields))
        suspect_link(state, upstream, now)
    upstream.health.record_silence(now)


def _retry_elsewhere(state: VmState, call_state: CallState, now: float) -> None:
    """Cancel a call's send and retry the call at another upstream.

    Nothing is done unless the route and the retry budget allow a retry and
    another upstream is usable.
    """
    call = call_state.call
    ending = SendEnded(
        call_id=call.call_id,
        attempt=call_state.attempt,
        status=SendStatus.broken,
        detail='no response within the stall timeout',
        delivered=call_state.first_event_at is not None,
    )
    if not may_retry(call_state, ending, sends=call_state.sends + 1):
        return
    if not ensure_budget(state, call.service, now).allows(now):
        return
    usable = list_usable_upstreams(state.routing, call_state, now)
    has_other = any(
        each.listed.instance != call_state.instance for each in usable
    )
    if not get_reached_fraction(state.routing, call_state, now):
        has_other = choose_helper(state, call_state, now) is not None
    if has_other:
        state.emit(CancelSend(call.call_id, call_state.attempt))
        finish_or_retry_call(state, ending, now)
