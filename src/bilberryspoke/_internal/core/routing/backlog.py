"""Estimates of the backlog at an engine, from the calls of all VMs there.

The estimates rest on this VM's own calls and on what other VMs reported. All
times are in seconds of the boot-time clock.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from bilberryspoke._internal.core.routing.callstate import CallState
from bilberryspoke._internal.core.routing.enginespeed import PrefillSpeed
from bilberryspoke._internal.core.routing.peerstate import PeerView
from bilberryspoke._internal.core.routing.state import RoutingState
from bilberryspoke._internal.core.routing.upstreamstate import UpstreamState

# Time to the first event at an engine, apart from the time to read prompts.
_IDLE_FIRST_EVENT_S = 0.02
# With a prefill backlog above the threshold, the engine reads as many tokens of
# other prompts as below before the tokens of the first event are complete.
_BUSY_FIRST_EVENT_TOKENS = 4500
_BUSY_THRESHOLD_TOKENS = 2048
# The backlog and waiting calls of a peer that was last heard from longer ago
# are ignored.
PEER_TIMEOUT_S = 1.0
_LATENCY_RATIO_SMOOTHING_FACTOR = 0.15
_MAX_LATENCY_RATIO = 8.0
# Shorter times depend more on the network than on the engine, so the latency
# ratio is not updated from them.
_MIN_EXPECTED_FIRST_EVENT_S = 0.03


@dataclass(frozen=True, slots=True)
class EngineBacklog:
    """Prefill tokens and calls under way at an upstream.

    ``prefill_tokens`` are the prompt tokens that the engine still has to read.
    """

    prefill_tokens: int
    calls: int


_NO_BACKLOG = EngineBacklog(0, 0)


def measure_own_backlog(upstream: UpstreamState) -> EngineBacklog:
    """Return the backlog of this VM's own calls at an upstream."""
    if not upstream.sends:
        return _NO_BACKLOG
    prefill_tokens = sum(
        call_state.prefill_tokens
        for call_state in upstream.sends.values()
        if call_state.last_progress_at is None
    )
    return EngineBacklog(prefill_tokens, len(upstream.sends))


def measure_backlog(
    routing: RoutingState,
    upstream: UpstreamState,
    now: float,
) -> EngineBacklog:
    """Return the backlog of the calls of all VMs at an upstream.

    Peers not heard from within the last ``PEER_TIMEOUT_S`` are left out.
    """
    return add_peer_backlogs(upstream, list_live_peers(routing, now))


def add_peer_backlogs(
    upstream: UpstreamState, peers: Iterable[PeerView]
) -> EngineBacklog:
    """Return the backlog of this VM's calls and those of peers' reports."""
    own = measure_own_backlog(upstream)
    prefill_tokens = own.prefill_tokens
    calls = own.calls
    for peer in peers:
        backlog = peer.backlog.get(upstream.listed.instance)
        if backlog is not None:
            prefill_tokens += backlog.prefill_tokens
            calls += backlog.calls
    return EngineBacklog(prefill_tokens, calls)


def estimate_first_event_s(
    upstream: UpstreamState,
    speed: PrefillSpeed,
    backlog: EngineBacklog,
    uncached_tokens: int,
) -> float:
    """Estimate the seconds to the first event of a call sent now.

    ``uncached_tokens`` are the prompt tokens that the call adds to ``backlog``.
    """
    tokens = backlog.prefill_tokens + uncached_tokens
    first_event_s = _IDLE_FIRST_EVENT_S
    if backlog.prefill_tokens > _BUSY_THRESHOLD_TOKENS:
        first_event_s = speed.get_prefill_s(_BUSY_FIRST_EVENT_TOKENS)
    prefill_s = speed.get_prefill_s(tokens)
    return (first_event_s + prefill_s) * upstream.latency_ratio


def record_first_event(
    routing: RoutingState,
    upstream: UpstreamState,
    call_state: CallState,
    now: float,
) -> None:
    """Learn from the time to the first event of a call.

    The prefill speed of the service follows it, and so does the latency ratio
    of the upstream, a moving average of measured to expected times, at least 1.
    """
    speed = routing.prefill_speeds[call_state.call.service]
    speed.record(
        call_state.backlog_tokens + call_state.prefill_tokens,
        now - call_state.sent_at - _IDLE_FIRST_EVENT_S,
    )
    # The estimate of the call includes the latency ratio; this one does not.
    expected_first_event_s = (
        call_state.expected_first_event_s / upstream.latency_ratio
    )
    if expected_first_event_s < _MIN_EXPECTED_FIRST_EVENT_S:
        return
    sample = min(
        _MAX_LATENCY_RATIO, (now - call_state.sent_at) / expected_first_event_s
    )
    delta = max(1.0, sample) - upstream.latency_ratio
    upstream.latency_ratio += _LATENCY_RATIO_SMOOTHING_FACTOR * delta


def list_live_peers(routing: RoutingState, now: float) -> list[PeerView]:
    """Return the peers whose reports were heard lately.

    Those are the ones within the last ``PEER_TIMEOUT_S``. Together they cover
    all other VMs that are alive, each once.
    """
    since = now - PEER_TIMEOUT_S
    return [
        peer
        for peer in routing.reporters.values()
        if peer.last_heard_at >= since
    ]


def count_live_vms(routing: RoutingState, now: float) -> int:
    """Return how many other VMs the reports heard lately cover."""
    return sum(peer.vms for peer in list_live_peers(routing, now))
