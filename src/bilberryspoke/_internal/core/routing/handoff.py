"""Calls that this VM hands off to another VM, as it reaches no upstream.

The other VM, the helper, serves such a call like one of its own callers', but
does not hand it off again. Times are in seconds of the boot-time clock.
"""

from bilberryspoke._internal.core.routing.backlog import count_live_vms
from bilberryspoke._internal.core.routing.callstate import CallState
from bilberryspoke._internal.core.routing.links import is_doubted
from bilberryspoke._internal.core.routing.members import is_alive
from bilberryspoke._internal.core.routing.peerstate import PeerView
from bilberryspoke._internal.core.routing.state import RoutingState
from bilberryspoke._internal.core.state import VmState
from bilberryspoke._internal.models.effects import Count
from bilberryspoke._internal.models.helperends import EndCause
from bilberryspoke._internal.models.routing import (
    NOT_RECEIVED_SEND_STATUSES,
    SendStatus,
)
from bilberryspoke._internal.models.routing_effects import HandOff, LogDecision
from bilberryspoke._internal.models.routing_events import SendEnded
from bilberryspoke._internal.utils.hashing import hash_parts

_MAX_HELPERS_PER_CALL = 3
# With fewer proven helpers, one call in the interval goes to another VM.
_ENOUGH_HELPERS = 3
_EXPLORATION_INTERVAL = 4
# A VM that reaches less than this fraction of a service's upstreams hands off
# the calls that go beyond its share of them.
MIN_REACHED_FRACTION = 0.5
_SHARE_STEPS = 1000


def get_reached_fraction(
    routing: RoutingState, call_state: CallState, now: float
) -> float:
    """Return the fraction of the upstreams for a call that this VM reaches.

    It is 1 if there is no upstream for it at all, and 0 while all links to
    them are in doubt. A VM that does not hear most of the others is cut off
    together with its data centre, where no other reaches more: it uses what it
    reaches, so that the fraction is 1 unless it reaches none.
    """
    service = call_state.call.service
    suitable = [
        each.health
        for each in routing.list_accepting_upstreams(service)
        if call_state.may_use(each.listed)
    ]
    if not suitable:
        return 1.0
    reached = [each for each in suitable if not each.is_unresponsive(now)]
    if not reached:
        return 0.0
    if 2 * count_live_vms(routing, now) < len(routing.peers):
        return 1.0
    if is_doubted(routing, service):
        return 0.0
    return len(reached) / len(suitable)


def exceeds_share(call_state: CallState, reached_fraction: float) -> bool:
    """Return whether a call goes beyond what is left to a VM of few upstreams.

    These would get all of its calls, beside those of the other VMs. It keeps
    the fraction of its calls that it reaches of the upstreams.
    """
    if reached_fraction >= MIN_REACHED_FRACTION:
        return False
    drawn = hash_parts('share', call_state.call.call_id, call_state.attempt)
    return drawn % _SHARE_STEPS >= reached_fraction * _SHARE_STEPS


def choose_helper(
    state: VmState, call_state: CallState, now: float
) -> PeerView | None:
    """Return the VM that a call is handed off to, None if there is none.

    Those that served a call lately are preferred. So are those in this data
    centre, unless another there could not help lately: the links of a whole
    data centre may be cut. One that could not help lately gets a call only if
    there is no other, and the next one a while later.
    """
    call = call_state.call
    if call.handed_off or state.settings.handoff_port is None:
        return None
    if len(call_state.tried_helpers) >= _MAX_HELPERS_PER_CALL:
        return None
    memory = state.routing.helpers[call.service]
    failed = memory.list_failed(now)
    untried = [
        peer
        for peer in state.routing.peers.values()
        if peer.name not in call_state.tried_helpers
        and is_alive(state, peer, now)
    ]
    able = [peer for peer in untried if peer.name not in failed]
    if not able:
        able = [peer for peer in untried if memory.is_due(peer.name, now)]
    proven = memory.list_proven(now)
    if not _explores(call_state, proven):
        able = [each for each in able if each.name in proven] or able
    own = state.settings.data_centre
    peers = state.routing.peers
    prefers_own = own not in {
        peers[name].data_centre for name in failed if name in peers
    }

    def rank(peer: PeerView) -> tuple[bool, int]:
        drawn = hash_parts(call.call_id, peer.name)
        return ((peer.data_centre == own) != prefers_own, drawn)

    return min(able, key=rank, default=None)


def _explores(call_state: CallState, proven: set[str]) -> bool:
    """Return whether a call may go to a helper that is not proven.

    Few of them would get all calls of this VM otherwise.
    """
    if len(proven) >= _ENOUGH_HELPERS or call_state.tried_helpers:
        return False
    drawn = hash_parts('helper', call_state.call.call_id)
    return not drawn % _EXPLORATION_INTERVAL


def hand_off(
    state: VmState, call_state: CallState, helper: PeerView, now: float
) -> None:
    """Hand a call off to another VM."""
    call = call_state.call
    state.routing.helpers[call.service].begin_trial(helper.name, now)
    call_state.begin_send(now)
    call_state.instance = ''
    call_state.helper = helper.name
    call_state.prefill_tokens = 0
    call_state.expected_first_event_s = 0
    state.emit(Count('handoffs', call.service))
    fields = {
        'req_id': call.req_id,
        'route': call.route.name,
        'helper': helper.name,
        'attempt': call_state.attempt,
        'last_event_id': call_state.last_event_id,
        'age_s': round(now - call.arrived_at, 3),
    }
    state.emit(LogDecision('call_handed_off', fields, important=False))
    host = helper.address.rpartition(':')[0]
    state.emit(
        HandOff(
            call_id=call.call_id,
            attempt=call_state.attempt,
            helper=helper.name,
            address=f'{host}:{state.settings.handoff_port}',
            deadline_at=call.deadline_at,
            max_attempts=_count_sends_left(call_state),
            last_event_id=call_state.last_event_id,
            counted=call_state.counted,
        ),
    )
    # The helper may have counted it, also if it could not serve it.
    call_state.counted = True


def _count_sends_left(call_state: CallState) -> int:
    """Return how many upstreams may receive a call through the helper.

    It is one for a call that must run at most once: the helper may have other
    routes, by which the call could be repeated.
    """
    call = call_state.call
    if call.allows_retry_after_run:
        return call.route.max_attempts - call_state.sends
    return 1


def record_helper_end(
    state: VmState, call_state: CallState, event: SendEnded, now: float
) -> None:
    """Record what the end of a handed-off call says of its helper.

    One that passes on an upstream's answer or refusal reached it.
    """
    service = call_state.call.service
    memory = state.routing.helpers[service]
    helper = call_state.helper
    if event.status in NOT_RECEIVED_SEND_STATUSES:
        call_state.tried_helpers.append(helper)
        state.emit(Count('handoffs_refused', service))
    else:
        call_state.sends += _count_sends_left(call_state)
    if _says_that_upstream_is_reached(event):
        memory.record_service(helper, now)
    elif _says_that_helper_fails(call_state, event):
        memory.record_failure(helper, now)


def may_hand_off_again(event: SendEnded) -> bool:
    """Return whether the end of a handed-off call leaves it sends to make.

    Other ends than these may have run, or are the same at any other VM. How
    many upstreams may get the call is checked besides: the helper has made all
    of these sends unless the call must run at most once.
    """
    return event.status is SendStatus.unsent or (
        event.status is SendStatus.refused and event.cause is EndCause.upstream
    )


def _says_that_upstream_is_reached(event: SendEnded) -> bool:
    return event.cause is EndCause.upstream or event.status in {
        SendStatus.finished,
        SendStatus.unproven,
        SendStatus.failed,
    }


def _says_that_helper_fails(call_state: CallState, event: SendEnded) -> bool:
    """Return whether a helper can't help, as far as the end of a call shows.

    A connection that ends within an answer may be the upstream's end, which
    the helper passes on in this way.
    """
    if event.cause is EndCause.unstated:
        is_lost = event.status in {SendStatus.unsent, SendStatus.broken}
        return is_lost and call_state.last_progress_at is None
    return event.cause is EndCause.helper
