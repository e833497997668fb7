"""Routes, upstreams found by discovery, and calls that follow a route.

``platform.records`` decodes routes and upstreams from the platform's store;
``network.routing.ingress`` makes the calls. The core reads them all.
"""

import bisect
from dataclasses import dataclass, field
from enum import StrEnum

# Number of route priorities that ``RoutedCall.rank`` tells apart; those from
# the last one on count as equal.
_ROUTE_PRIORITY_LEVELS = 100
# Engines take priorities from 0, the most urgent, to this one.
_MAX_ENGINE_PRIORITY = 9


def make_rank(priority: int, route_priority: int) -> int:
    """Return the position of a call in the order of urgency.

    The lowest is the most urgent. Calls are ordered by ``priority``, which a
    workspace may set, and among equal ones by the priority of their routes.
    """
    return priority * _ROUTE_PRIORITY_LEVELS + min(
        _ROUTE_PRIORITY_LEVELS - 1, route_priority
    )


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


@dataclass(slots=True)
class RouteTable:
    """One complete configuration of routes.

    ``version``: number of the configuration; a higher one is newer.
    ``services``: services by name.
    ``api_key_holders``: workspaces by API key.
    ``uses_keys``: whether workspaces are configured; otherwise callers need
    no API key.
    ``encoded``: the record it was decoded from, to be sent to other VMs.
    ``routes_of_host``: routes by host, those with longer prefixes first.
    ``max_event_gaps_of_service``: for each service, the different maximum
    inter-token gaps of its routes, in seconds.
    ``latency_targets_of_service``: for each service, the longest latency
    target in seconds by the priority of the route.
    ``ranks_of_service``: for each service, the ranks that its calls may have,
    in order.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: IngressLimits
    api_key_holders: dict[str, ApiKeyHolder]
    uses_keys: bool
    encoded: bytes = b''
    routes_of_host: dict[str, list[Route]] = field(default_factory=dict)
    max_event_gaps_of_service: dict[str, set[float]] = field(
        default_factory=dict
    )
    latency_targets_of_service: dict[str, dict[int, float]] = field(
        default_factory=dict,
    )
    ranks_of_service: dict[str, list[int]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Build the indexes of routes by host and of targets by service."""
        for route in self.routes:
            self.routes_of_host.setdefault(route.host, []).append(route)
            for target in route.targets:
                self._index_service(target.service, route)
        for routes in self.routes_of_host.values():
            routes.sort(key=_get_prefix_length, reverse=True)
        self._index_ranks()

    def choose_engine_priority(self, service: str, rank: int) -> int:
        """Return the priority of a call at the engines of a service.

        Engines preempt by it, so that it follows the rank of the calls. If
        there are more ranks than priorities, those of equal workspace
        priority share one.
        """
        ranks = self.ranks_of_service.get(service, [])
        position = bisect.bisect_left(ranks, rank)
        if len(ranks) > _MAX_ENGINE_PRIORITY + 1:
            priorities = {each // _ROUTE_PRIORITY_LEVELS for each in ranks}
            position = bisect.bisect_left(
                sorted(priorities), rank // _ROUTE_PRIORITY_LEVELS
            )
        return min(_MAX_ENGINE_PRIORITY, position)

    def find_longest_latency_target(self, service: str, priority: int) -> float:
        """Return the longest latency target of less urgent routes, in seconds.

        These are the routes to ``service`` whose priority is a higher number
        than ``priority``. Returns 0 if there are none.
        """
        latency_targets = self.latency_targets_of_service.get(service, {})
        return max(
            (
                latency_targets[other_priority]
                for other_priority in latency_targets
                if other_priority > priority
            ),
            default=0.0,
        )

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix, or ``None``."""
        for route in self.routes_of_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def _index_service(self, service: str, route: Route) -> None:
        if route.max_event_gap_s is not None:
            gaps = self.max_event_gaps_of_service.setdefault(service, set())
            gaps.add(route.max_event_gap_s)
        latency_targets = self.latency_targets_of_service.setdefault(
            service, {}
        )
        longest_s = latency_targets.get(route.priority, 0.0)
        latency_targets[route.priority] = max(longest_s, route.latency_target_s)

    def _index_ranks(self) -> None:
        """Index the ranks of the calls of all holders of API keys.

        A call without a workspace's priority has that of its route.
        """
        own_priorities = {
            holder.priority for holder in self.api_key_holders.values()
        }
        ranks: dict[str, set[int]] = {}
        for route in self.routes:
            priorities = {
                route.priority if each is None else each
                for each in (None, *own_priorities)
            }
            for target in route.targets:
                ranks.setdefault(target.service, set()).update(
                    make_rank(each, route.priority) for each in priorities
                )
        self.ranks_of_service = {
            service: sorted(each) for service, each in ranks.items()
        }


def _get_prefix_length(route: Route) -> int:
    return len(route.path_prefix)


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
    """

    instance: str
    service: str
    address: str
    data_centre: str
    slots: int
    leaving: bool = False
    warmup_remaining_s: float = 0.0
    created_ms: int = 0


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

    @property
    def rank(self) -> int:
        """Position in the order of urgency, see ``make_rank``."""
        return make_rank(self.priority, self.route.priority)

    @property
    def allows_retry_after_run(self) -> bool:
        """Whether the call may be retried after it may have run.

        Only applies as long as the caller has no part of an answer.
        """
        return self.route.repeats is not RetrySafety.never


class SendStatus(StrEnum):
    """How one send to an upstream ended.

    ``finished``: the answer is complete.
    ``failed``: the upstream answered completely with a failure.
    ``refused``: did not run; the upstream said so.
    ``unsent``: did not run; no byte left this VM.
    ``misdirected``: did not run; another upstream has the address by now.
    ``broken``: failed on the way; it may have run.
    ``cancelled``: cancelled by this VM; it may have run.
    """

    finished = 'finished'
    failed = 'failed'
    refused = 'refused'
    unsent = 'unsent'
    misdirected = 'misdirected'
    broken = 'broken'
    cancelled = 'cancelled'


# Statuses of sends whose call the intended upstream did not receive.
NOT_RECEIVED_SEND_STATUSES = frozenset(
    (SendStatus.unsent, SendStatus.misdirected)
)
# Statuses of sends whose call certainly did not run.
NOT_RUN_SEND_STATUSES = NOT_RECEIVED_SEND_STATUSES | {SendStatus.refused}
