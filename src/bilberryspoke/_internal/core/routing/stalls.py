"""Detection of silent upstreams and stalled calls.

Times are in seconds of the boot-time clock.
"""

from bilberryspoke._internal.core.routing.callstate import CallState
from bilberryspoke._internal.core.routing.state import RoutingState
from bilberryspoke._internal.core.routing.upstreamstate import UpstreamState

# An upstream is silent after this time without a response, in addition to a
# multiple of the longest expected time to a first event.
_SILENCE_TIMEOUT_S = 0.5
_EXPECTED_TIME_FACTOR = 2.0
# A call is stalled after this multiple of its latency target before the first
# event, or of its gap limit after that, in addition to
# ``_EXPECTED_TIME_FACTOR`` times its expected time to the first event. It is
# sent elsewhere if it may run again.
_STALL_TARGET_RATIO = 1.5
_STALL_GAP_RATIO = 4.0
_MIN_STALL_TIMEOUT_S = 0.25
# A longer time between two reviews means that this VM was paused.
_PAUSE_THRESHOLD_S = 0.5
# After a pause this VM reads within this time what arrived during it.
_READ_LATE_S = 1.0
# Time of what has not happened yet, in seconds of the boot-time clock.
_NEVER = -1e9


def record_review(routing: RoutingState, now: float) -> None:
    """Record the time of a review, and when this VM resumed after a pause.

    Silence is measured from when this VM resumed, if that is later, because it
    could receive nothing during the pause.
    """
    if was_paused(routing, now):
        routing.last_pause_s = get_pause_s(routing, now)
        routing.resumed_at = now
    routing.reviewed_at = now


def was_paused(routing: RoutingState, now: float) -> bool:
    """Return whether this VM stood still since its last review."""
    return now - routing.reviewed_at > _PAUSE_THRESHOLD_S


def get_pause_s(routing: RoutingState, now: float) -> float:
    """Return for how long this VM stood still just before, in seconds.

    What it reads now may have been sent at the begin of that time.
    """
    if routing.reviewed_at <= _NEVER:
        return 0.0
    if was_paused(routing, now):
        return now - routing.reviewed_at
    if now - routing.resumed_at < _READ_LATE_S:
        return routing.last_pause_s
    return 0.0


def is_silent(
    routing: RoutingState,
    upstream: UpstreamState,
    now: float,
) -> bool:
    """Return whether an upstream gives no response to any call under way."""
    if not upstream.sends:
        return False
    expected_first_event_s = max(
        each.expected_first_event_s for each in upstream.sends.values()
    )
    limit_s = (
        _SILENCE_TIMEOUT_S + _EXPECTED_TIME_FACTOR * expected_first_event_s
    )
    return get_silence_s(routing, upstream, now) > limit_s


def get_silence_s(
    routing: RoutingState,
    upstream: UpstreamState,
    now: float,
) -> float:
    """Return the seconds without a response from an upstream.

    It must have calls under way.
    """
    sent_at = min(each.sent_at for each in upstream.sends.values())
    return now - max(upstream.last_heard_at, routing.resumed_at, sent_at)


def is_stalled(
    routing: RoutingState, call_state: CallState, now: float
) -> bool:
    """Return whether a call has waited too long for its next event."""
    route = call_state.call.route
    if call_state.last_progress_at is None:
        limit_s = route.latency_target_s * _STALL_TARGET_RATIO
    elif route.max_event_gap_s is None:
        return False
    else:
        limit_s = route.max_event_gap_s * _STALL_GAP_RATIO
    limit_s += _EXPECTED_TIME_FACTOR * call_state.expected_first_event_s
    since = max(
        call_state.last_progress_at or call_state.sent_at, routing.resumed_at
    )
    return now - since > max(_MIN_STALL_TIMEOUT_S, limit_s)
