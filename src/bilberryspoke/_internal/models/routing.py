"""Routes, upstreams found by discovery, and calls that follow a route.

``platform.records`` decodes routes and upstreams from the platform's store;
``network.routing.ingress`` makes the calls. The core reads them all.
"""

from dataclasses import dataclass, replace
from enum import StrEnum
from typing import NamedTuple

# Number of route priorities that ``RoutedCall.rank`` tells apart; those from
# the last one on count as equal.
_ROUTE_PRIORITY_LEVELS = 100


# Reason of the refusal of a call that waited too long for capacity.
NO_ROOM = 'no_room'


class StorePosition(NamedTuple):
    """Position in the sequence of changes of the store.

    Positions compare by era first: the store gives revisions out again after
    it was restored from a copy, which starts a new era.

    ``era``: how often the store was restored, 0 if it does not say.
    ``revision``: number of the last change.
    """

    era: int
    revision: int

    def is_continued_by(self, later: 'StorePosition') -> bool:
        """Return whether the changes from here to ``later`` are in sequence.

        They are not if the store was restored between the two.
        """
        return later.era == self.era and later.revision >= self.revision


NO_POSITION = StorePosition(0, 0)


class RetrySafety(StrEnum):
    """Whether a call of a route may be retried after it may have run.

    ``any_time``: yes, as the call is idempotent.
    ``resumed``: yes; its stream is resumed after the last delivered event.
    ``never``: no, as it must run at most once.
    """

    any_time = 'any_time'
    resumed = 'resumed'
    never = 'never'


@dataclass(frozen=True, slots=True)
class Target:
    """A service that gets a share of a route's calls.

    ``weight``: share relative to the other targets of the route; the weights
    need not add up to 100.
    """

    service: str
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class Route:
    """Services, limits and latency targets for calls of a host and path.

    ``targets``: services that share the calls.
    ``repeats``: whether and how a call may be retried after it may have run.
    ``streams``: whether the answer is a stream of events.
    ``timeout_s``: maximum time from the arrival to the end, in seconds.
    ``latency_target_s``: latency target in seconds, up to the complete answer
    or to the first event of a stream.
    ``priority``: 0 is the most urgent.
    ``max_attempts``: maximum number of sends that reach an upstream.
    ``needs_key``: whether callers must send an API key.
    ``max_event_gap_s``: longest inter-token gap, between two events of a
    stream, that meets the target, in seconds; ``None`` if there is no such
    target.
    """

    name: str
    host: str
    path_prefix: str
    targets: tuple[Target, ...]
    repeats: RetrySafety
    streams: bool
    timeout_s: float
    latency_target_s: float
    priority: int
    max_attempts: int
    needs_key: bool = True
    max_event_gap_s: float | None = None


@dataclass(frozen=True, slots=True)
class EngineLimits:
    """Capacity of each model engine of a service.

    ``slots``: number of calls it works on at the same time.
    ``kv_tokens``: size of its key-value cache, in tokens.
    """

    slots: int
    kv_tokens: int


@dataclass(frozen=True, slots=True)
class Service:
    """A service that routes send calls to.

    ``max_connections``: maximum number of connections to one upstream, those
    of all callers together.
    ``engine``: ``None`` if its upstreams are not model engines.
    """

    name: str
    max_connections: int
    engine: EngineLimits | None = None


@dataclass(frozen=True, slots=True)
class IngressLimits:
    """Limits on a caller's request and on its idle connection.

    ``header_bytes``, ``body_bytes``: maximum sizes.
    ``header_timeout_s``: maximum time until the headers are complete.
    ``idle_timeout_s``: maximum time without a request.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class ApiKeyHolder:
    """Workspace that holds an API key.

    ``priority``: replaces the priority of the route unless it is ``None``.
    """

    workspace: str
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class ListedUpstream:
    """One incarnation of an upstream as discovery lists it.

    ``instance``: id of the incarnation, from its key in the store.
    ``address``: ``host:port``.
    ``slots``: number of calls it works on at the same time.
    ``leaving``: must receive no new calls.
    ``warmup_remaining_s``: seconds for which it is still slow after its start.
    ``created_ms``: Unix time of its creation, in milliseconds; another value
    under the same id means another incarnation.
    ``sequence``: number of the entry within the incarnation; a higher one was
    written later. 0 if the entry does not say.
    ``software_version``: names the version of its software, without an order;
    a stream can be resumed only at upstreams of the same one.
    """

    instance: str
    service: str
    address: str
    data_centre: str
    slots: int
    leaving: bool = False
    warmup_remaining_s: float = 0.0
    created_ms: int = 0
    sequence: int = 0
    software_version: str = ''

    def is_older_than(self, other: 'ListedUpstream') -> bool:
        """Return whether this entry was written before ``other``.

        Both are entries of one id. It is false if the entries do not tell.
        """
        if self.created_ms != other.created_ms:
            return self.created_ms < other.created_ms
        return 0 < self.sequence < other.sequence

    def is_heartbeat_after(self, earlier: 'ListedUpstream') -> bool:
        """Return whether nothing but the number changed since an entry."""
        return (
            self.sequence > earlier.sequence
            and replace(self, sequence=earlier.sequence) == earlier
        )

    def may_follow(self, removed: 'ListedUpstream') -> bool:
        """Return whether this entry may be later than a removed one.

        It is false for the same entry, and for an older one.
        """
        if self.created_ms != removed.created_ms:
            return self.created_ms > removed.created_ms
        return not self.sequence or self.sequence > removed.sequence


@dataclass(frozen=True, slots=True)
class PromptPart:
    """One part of a prompt, as stated by the caller.

    ``name``: parts of different calls with the same name have the same text,
    so that an engine that has it cached need not process it again.
    ``tokens``: length of the part.
    """

    name: str
    tokens: int


@dataclass(frozen=True, slots=True)
class RoutedCall:
    """One call that the ingress accepted.

    ``call_id``: id given by this VM, ``req_id``: id given by the caller.
    ``priority``: that of the workspace or, without one, that of the route; 0
    is the most urgent.
    ``arrived_at``, ``deadline_at``: when it arrived and when its answer must
    be complete, in seconds of this VM's boot-time clock.
    ``prompt_tokens``: length of the prompt, as stated by the caller.
    ``parts``: parts of the prompt in order; empty if not stated.
    ``last_event_id``: id of the event after which the caller wants the stream
    to be resumed; ``None`` for a new stream.
    ``resumed_req_id``: ``req_id`` of the call that brought the first event of
    the stream to be resumed; empty if the caller does not say.
    ``content_hash``: hash of method, path, query and body; 0 if not known.
    ``handed_off``: whether another VM handed it off to this one.
    ``counted_before``: whether that VM counted it for its retry budget.
    """

    call_id: str
    req_id: str
    route: Route
    service: str
    workspace: str
    priority: int
    arrived_at: float
    deadline_at: float
    prompt_tokens: int = 0
    parts: tuple[PromptPart, ...] = ()
    last_event_id: int | None = None
    resumed_req_id: str = ''
    content_hash: int = 0
    handed_off: bool = False
    counted_before: bool = False

    @property
    def stream_req_id(self) -> str:
        """``req_id`` of the call that brought, or brings, the first event.

        It stays the same each time that the stream is taken up again.
        """
        return self.resumed_req_id or self.req_id

    @property
    def rank(self) -> int:
        """Position in the order of urgency; the lowest is the most urgent.

        Calls are ordered by ``priority``, which a workspace may set, and
        among equal ones by the priority of their routes.
        """
        return self.priority * _ROUTE_PRIORITY_LEVELS + min(
            _ROUTE_PRIORITY_LEVELS - 1, self.route.priority
        )

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """Parts of the prompt but the last; other calls may have them too."""
        return self.parts[:-1]

    @property
    def allows_retry_after_run(self) -> bool:
        """Whether the call may be retried after it may have run.

        Only applies as long as the caller has no part of an answer.
        """
        return self.route.repeats is not RetrySafety.never


class SendStatus(StrEnum):
    """How one send to an upstream ended.

    ``finished``: the answer is complete.
    ``unproven``: all events of the answer were relayed, and the upstream
    lives; the answer did not say that this was its end.
    ``failed``: the upstream answered completely with a failure.
    ``refused``: did not run; the upstream said so.
    ``unsent``: did not run; no byte left this VM.
    ``misdirected``: did not run; another upstream has the address by now.
    ``broken``: failed on the way; it may have run.
    ``cancelled``: cancelled by this VM; it may have run.
    """

    finished = 'finished'
    unproven = 'unproven'
    failed = 'failed'
    refused = 'refused'
    unsent = 'unsent'
    misdirected = 'misdirected'
    broken = 'broken'
    cancelled = 'cancelled'


class Framing(StrEnum):
    """What tells where the body of an answer ends.

    ``length``, ``chunks``: the answer itself. ``connection``: nothing but the
    end of its connection.
    """

    length = 'length'
    chunks = 'chunks'
    connection = 'connection'


# Statuses of sends whose upstream answered the call.
ANSWERED_SEND_STATUSES = frozenset((SendStatus.finished, SendStatus.unproven))
# Statuses of sends whose call the intended upstream did not receive.
NOT_RECEIVED_SEND_STATUSES = frozenset(
    (SendStatus.unsent, SendStatus.misdirected)
)
# Statuses of sends whose call certainly did not run.
NOT_RUN_SEND_STATUSES = NOT_RECEIVED_SEND_STATUSES | {SendStatus.refused}
