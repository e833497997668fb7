"""Effects of decisions on routed calls.

The core's handlers return them, and ``network.routing.effects`` carries them
out. ``attempt`` numbers the sends of a call from 1.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Send:
    """Send a call to an upstream.

    ``instance``: id of the upstream's incarnation; any other incarnation must
    refuse the call.
    ``address``: ``host:port`` of the upstream.
    ``priority``: priority for a model engine, 0 (most urgent) to 9; ``None``
    for other upstreams.
    ``upstream_deadline_at``: when the upstream must stop work, in seconds of
    the boot-time clock.
    ``last_event_id``: id of the event after which the stream is resumed;
    ``None`` to start from the beginning.
    ``rate_limited``: whether the upstream was known to limit calls.
    ``created_ms``: names the incarnation, as in ``ListedUpstream``.
    ``is_brittle``: whether the upstream was known to be brittle.
    """

    call_id: str
    attempt: int
    instance: str
    address: str
    priority: int | None
    upstream_deadline_at: float
    last_event_id: int | None = None
    rate_limited: bool = False
    created_ms: int = 0
    is_brittle: bool = False


@dataclass(frozen=True, slots=True)
class HandOff:
    """Hand a call off to another VM, which serves it and answers this VM.

    ``helper``: the other VM.
    ``address``: ``host:port`` where it takes such calls.
    ``deadline_at``: when the answer must be complete, in seconds of the
    boot-time clock.
    ``max_attempts``: maximum number of its sends that reach an upstream.
    ``counted``: whether this VM counted the call for its retry budget.
    ``last_event_id``: as in ``Send``.
    """

    call_id: str
    attempt: int
    helper: str
    address: str
    deadline_at: float
    max_attempts: int
    last_event_id: int | None = None
    counted: bool = True


@dataclass(frozen=True, slots=True)
class ProbeUpstream:
    """Find out whether an upstream answers this VM.

    An ``UpstreamProbed`` event follows. ``created_ms`` names the incarnation,
    as in ``ListedUpstream``, ``address`` is ``host:port``.
    """

    instance: str
    created_ms: int
    address: str


@dataclass(frozen=True, slots=True)
class RefreshUpstreams:
    """Ask the store at once for what has changed, if it is watched.

    ``reads_history``: whether to ask as well what had left before the last
    list; ``MissedUpstreamsRead`` follows.
    """

    reads_history: bool = False


@dataclass(frozen=True, slots=True)
class CancelSend:
    """Cancel a send by closing its connection, which the upstream notices."""

    call_id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class RelayFailure:
    """Relay to the caller the failure that its upstream answered with."""

    call_id: str


@dataclass(frozen=True, slots=True)
class FinishStream:
    """Tell the caller that its stream is whole, if no more events came."""

    call_id: str


@dataclass(frozen=True, slots=True)
class RefuseCall:
    """Refuse a call that has no answer from an upstream.

    ``reason``: cause as one word.
    ``not_run``: whether it is certain that the call did not and will not run,
    which the answer's status tells the caller.
    ``timed_out``: whether its deadline has passed.
    ``retry_after_s``: seconds after which the caller should retry; ``None``
    leaves the header out.
    """

    call_id: str
    reason: str
    not_run: bool
    timed_out: bool = False
    retry_after_s: float | None = None


@dataclass(frozen=True, slots=True)
class LogDecision:
    """Log a decision; ``fields`` are the inputs that it is based on.

    ``important``: whether it is a failure, a refusal or a change of state;
    these have a rate limit of their own, so that routine lines are dropped
    first.
    """

    event: str
    fields: dict[str, object]
    important: bool = True


@dataclass(frozen=True, slots=True)
class RecordDurations:
    """Record the durations of an ended call in the histograms.

    ``total_s``, ``first_event_s``: seconds from the arrival to the end and to
    the first part of the answer; ``first_event_s`` is ``None`` without any
    answer.
    """

    route: str
    workspace: str
    total_s: float
    first_event_s: float | None


@dataclass(frozen=True, slots=True)
class ConnectPeer:
    """Connect to another VM at ``address``, which is ``host:port``."""

    peer: str
    address: str


@dataclass(frozen=True, slots=True)
class DecodeRoutes:
    """Decode routes received from another VM.

    A ``RoutesOffered`` event with this ``source`` follows if they are valid.
    ``compressed``: the encoded routes, as in ``StoreSnapshot``.
    """

    compressed: bytes
    source: str


RoutingEffect = (
    Send
    | HandOff
    | ProbeUpstream
    | RefreshUpstreams
    | CancelSend
    | RelayFailure
    | FinishStream
    | RefuseCall
    | LogDecision
    | RecordDurations
    | ConnectPeer
    | DecodeRoutes
)
