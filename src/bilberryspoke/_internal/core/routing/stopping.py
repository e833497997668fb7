"""Whether a VM that stops still has the time for a call.

Callers keep coming to a stopping VM until the load balancer has seen that it is
not ready. A call that would not end before the process does would be cut off
within its answer; it is refused instead, so that its caller goes to another VM.
Times are in seconds of the boot-time clock.
"""

from bilberryspoke._internal.core.routing.callstate import CallState
from bilberryspoke._internal.core.routing.state import RoutingState
from bilberryspoke._internal.core.state import VmState
from bilberryspoke._internal.models.routing import Route

# Reason of the refusal of a call for which a stopping VM has no time.
STOPPING = 'stopping'
# Open calls are aborted after this fraction of
# ``DeploymentBounds.stop_timeout_s``.
DRAIN_TIMEOUT_FRACTION = 0.95
# The next answer may take this multiple of the longest recent one.
_DURATION_MARGIN_RATIO = 1.5
# A stream is expected to take at least this fraction of its timeout: the
# longest ones have not ended yet when the load is young.
_MIN_TIMEOUT_FRACTION = 0.4
# Calls that come later than this after the begin of the stop must have the time
# until their deadline: nothing is sent to this VM any more by then but on
# connections that were idle, and their answers may be longer than those before.
_UNCERTAIN_ANSWERS_S = 2.9
# Fraction by which the longest duration of a route is lowered at each shorter
# one, so that it follows the load.
_DURATION_DECAY = 0.02


def record_duration(
    routing: RoutingState, route: Route, total_s: float
) -> None:
    """Record how long a complete answer of a route took from its arrival."""
    longest_s = routing.longest_answer_s.get(route.name, 0)
    longest_s *= 1 - _DURATION_DECAY
    routing.longest_answer_s[route.name] = max(total_s, longest_s)


def lacks_time(state: VmState, call_state: CallState, now: float) -> bool:
    """Return whether a call would not end before this VM has stopped.

    It is false for a call that was sent before: it is finished or retried as
    long as there is time.
    """
    if not state.stopping or call_state.attempt:
        return False
    limit_s = state.settings.bounds.stop_timeout_s * DRAIN_TIMEOUT_FRACTION
    call = call_state.call
    ends_at = now + _expect_duration_s(state.routing, call.route, now)
    stopped_for_s = now - state.stopping_since
    if stopped_for_s > _UNCERTAIN_ANSWERS_S:
        ends_at = call.deadline_at
    return ends_at > state.stopping_since + limit_s


def _expect_duration_s(
    routing: RoutingState, route: Route, now: float
) -> float:
    """Return the seconds that an answer of a route takes at most, as a rule.

    Before the first answer they are its timeout, or its latency target if that
    bounds the complete answer. Calls that are open count with their age.
    """
    longest_s = routing.longest_answer_s.get(route.name)
    if longest_s is None:
        longest_s = route.timeout_s if route.streams else route.latency_target_s
    ages_s = [
        now - each.call.arrived_at
        for each in routing.calls.values()
        if each.call.route.name == route.name and each.attempt
    ]
    longest_s = max((longest_s, *ages_s))
    expected_s = longest_s * _DURATION_MARGIN_RATIO
    if route.streams:
        expected_s = max(expected_s, route.timeout_s * _MIN_TIMEOUT_FRACTION)
    return min(route.timeout_s, expected_s)
