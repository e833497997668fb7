"""Seeded load of the fleets in ``FLEETS``: arrival times, callers, prompts."""

import dataclasses
import math
import random
from dataclasses import dataclass

from bilberryspoke._internal.models.routetable import RouteTable
from bilberryspoke._internal.models.routing import (
    ApiKeyHolder,
    EngineLimits,
    PromptPart,
    RetrySafety,
    Route,
    Service,
    Target,
)

SERVICE = 'model'
# Equal to the default of ``BatchEngine``.
_KV_CAPACITY_TOKENS = 232_000
_MAX_CONNECTIONS_PER_ENGINE = 370
_SIZE_LOG_SIGMA = 1.0
_MAX_SIZE_TO_MEAN_RATIO = 10.0
_WORKSPACE_COUNT = 10
# Number of different priorities of workspaces, as in both fleets.
WORKSPACE_PRIORITY_COUNT = 2


_PartCounts = tuple[tuple[int, int], tuple[int, int], tuple[int, int]]
# Number of different parts of each level, for each kind of call.
_SMALL_PART_COUNTS: _PartCounts = ((4, 85), (40, 108), (8, 199))
_GROWN_PART_COUNTS: _PartCounts = ((4, 940), (80, 1160), (16, 943))


@dataclass(frozen=True, slots=True)
class FleetSize:
    """Number of VMs, data centres and engines of a fleet.

    ``slots`` are those of each engine. The VMs are spread over the data
    centres; the first ``seeds`` of them are the seeds of all.
    ``retry_reserve`` is as in ``DeploymentBounds``.
    """

    vms: int
    data_centres: int
    engines: int
    slots: int
    retry_reserve: int
    seeds: int = 3


@dataclass(frozen=True, slots=True)
class CallKind:
    """One kind of call, with the figures of the users' specification.

    ``shared`` has, for each level of shared prompt parts, the tokens of a part
    and the number of different parts. ``own_tokens`` is the mean size of the
    last part of a prompt, which no other prompt shares, and ``events`` the mean
    number of events of an answer. An answer is worth ``worth`` to its caller if
    it meets its targets, else ``late_worth``; only the ratios of worths matter.
    """

    route: Route
    calls_per_s: float
    shared: tuple[tuple[int, int], ...]
    own_tokens: int
    events: int
    worth: float
    late_worth: float


@dataclass(frozen=True, slots=True)
class Arrival:
    """One call as its caller makes it, at ``at`` seconds of the run.

    ``events`` is the number of events of the answer, which routers do not
    know. ``priority`` is the workspace's and takes precedence over the route's.
    ``vm`` selects the VM: its position in the list of VMs, as a fraction of
    the list's length.
    """

    req_id: str
    at: float
    kind: CallKind
    workspace: str
    priority: int
    parts: tuple[PromptPart, ...]
    events: int
    vm: float

    @property
    def tokens(self) -> int:
        """Tokens of the whole prompt."""
        return sum(part.tokens for part in self.parts)


@dataclass(frozen=True, slots=True)
class LoadSpike:
    """Calls of a route at ``factor`` times its usual rate, between two times.

    They come in addition to the base load, which is itself drawn as a spike of
    factor 1 for as long as calls arrive. If given, ``shared`` names the last
    shared part of all their prompts and ``workspace`` the workspace of all
    callers.
    """

    route: str
    factor: float
    start_s: float
    end_s: float
    shared: str | None = None
    workspace: str | None = None


def _build_kind(
    name: str,
    calls_per_s: float,
    *,
    priority: int,
    latency_target_s: float,
    max_gap_s: float,
    timeout_s: float,
    shared: tuple[tuple[int, int], ...],
    own_tokens: int,
    events: int,
    worths: tuple[float, float],
) -> CallKind:
    # Calls of the kind with priority 1 must run at most once.
    is_resumable = priority != 1
    route = Route(
        name=name,
        host='calls.example',
        path_prefix=f'/{name}/',
        targets=(Target(SERVICE),),
        repeats=RetrySafety.resumed if is_resumable else RetrySafety.never,
        streams=True,
        timeout_s=timeout_s,
        latency_target_s=latency_target_s,
        priority=priority,
        max_attempts=2 if is_resumable else 1,
        max_event_gap_s=max_gap_s,
    )
    return CallKind(route, calls_per_s, shared, own_tokens, events, *worths)


def _make_parts(
    tokens: tuple[int, int], counts: tuple[int, int]
) -> tuple[tuple[int, int], ...]:
    return tuple(zip(tokens, counts, strict=True))


def _build_fleet(
    names: tuple[str, str, str],
    call_rates_per_s: tuple[float, float, float],
    late_worths: tuple[float, float, float],
    part_counts: _PartCounts = _SMALL_PART_COUNTS,
) -> tuple[CallKind, CallKind, CallKind]:
    return (
        _build_kind(
            names[0],
            call_rates_per_s[0],
            priority=2,
            latency_target_s=2.0,
            max_gap_s=0.8,
            timeout_s=6.0,
            shared=_make_parts((2520, 3780), part_counts[0]),
            own_tokens=2890,
            events=17,
            worths=(2.5, late_worths[0]),
        ),
        _build_kind(
            names[1],
            call_rates_per_s[1],
            priority=1,
            latency_target_s=0.5,
            max_gap_s=0.3,
            timeout_s=4.0,
            shared=_make_parts((341, 227), part_counts[1]),
            own_tokens=1800,
            events=8,
            worths=(1.9, late_worths[1]),
        ),
        _build_kind(
            names[2],
            call_rates_per_s[2],
            priority=0,
            latency_target_s=0.3,
            max_gap_s=0.2,
            timeout_s=15.0,
            shared=_make_parts((103, 69), part_counts[2]),
            own_tokens=543,
            events=93,
            worths=(2.0, late_worths[2]),
        ),
    )


FLEETS = {
    'xelaju': _build_fleet(
        ('weekly-draft', 'shift-reshuffle', 'gap-stream'),
        (12.4, 15.7, 12.8),
        (0.72, 0.55, 0.17),
    ),
    'maree': _build_fleet(
        ('contract-review', 'counter-answer', 'school-itinerary'),
        (9.07, 11.5, 9.35),
        (1.2, 0.92, 0.29),
    ),
    'xelaju-grown': _build_fleet(
        ('weekly-draft', 'shift-reshuffle', 'gap-stream'),
        (160, 126, 59.2),
        (0.83, 0.58, 0.19),
        _GROWN_PART_COUNTS,
    ),
    'maree-grown': _build_fleet(
        ('contract-review', 'counter-answer', 'school-itinerary'),
        (172, 133, 48),
        (1.3, 1.0, 0.33),
        _GROWN_PART_COUNTS,
    ),
}
# Runs of the others take minutes.
SMALL_FLEETS = ('maree', 'xelaju')
FLEET_SIZES = {
    'xelaju': FleetSize(8, 4, 9, slots=64, retry_reserve=56),
    'maree': FleetSize(6, 4, 6, slots=64, retry_reserve=52),
    'xelaju-grown': FleetSize(60, 4, 70, slots=24, retry_reserve=160),
    'maree-grown': FleetSize(63, 5, 70, slots=16, retry_reserve=166),
}


def build_route_table(fleet: str) -> RouteTable:
    """Return the routes to the engines of a fleet, without ingress limits."""
    routes = tuple(kind.route for kind in FLEETS[fleet])
    limits = EngineLimits(FLEET_SIZES[fleet].slots, _KV_CAPACITY_TOKENS)
    return RouteTable(
        version=1,
        routes=routes,
        services={
            SERVICE: Service(SERVICE, _MAX_CONNECTIONS_PER_ENGINE, limits)
        },
        limits=None,
        api_key_holders={'key': ApiKeyHolder('workspace-0')},
        uses_keys=True,
    )


def draw_arrivals(
    fleet: str,
    spikes: tuple[LoadSpike, ...],
    *,
    duration_s: float,
    seed: int,
) -> list[Arrival]:
    """Draw the calls of a run; return them in the order of arrival.

    Calls arrive as Poisson processes, from 0 to ``duration_s`` seconds of the
    run. The same arguments give the same calls.
    """
    rng = random.Random(f'{fleet} {seed}')
    arrivals: list[Arrival] = []
    for kind in FLEETS[fleet]:
        base_load = LoadSpike(kind.route.name, 1.0, 0.0, duration_s)
        for spike in (base_load, *spikes):
            if spike.route == kind.route.name:
                arrivals += _draw_spike(kind, spike, rng)
    arrivals.sort(key=lambda each: each.at)
    return [
        dataclasses.replace(each, req_id=f'call-{number}')
        for number, each in enumerate(arrivals)
    ]


def _draw_spike(
    kind: CallKind,
    spike: LoadSpike,
    rng: random.Random,
) -> list[Arrival]:
    drawn = []
    at = spike.start_s
    while True:
        at += rng.expovariate(kind.calls_per_s * spike.factor)
        if at >= spike.end_s:
            return drawn
        drawn.append(_draw_arrival(kind, spike, at, rng))


def _draw_arrival(
    kind: CallKind,
    spike: LoadSpike,
    at: float,
    rng: random.Random,
) -> Arrival:
    name = kind.route.name
    parts = []
    for level, (tokens, number) in enumerate(kind.shared):
        drawn = rng.randrange(number)
        parts.append(PromptPart(f'{name}-{level}-{drawn}', tokens))
    if spike.shared is not None:
        parts[-1] = PromptPart(f'{name}-{spike.shared}', parts[-1].tokens)
    own_tokens = _draw_size(kind.own_tokens, rng)
    parts.append(PromptPart(f'{name}-{rng.random()}', own_tokens))
    number = rng.randrange(_WORKSPACE_COUNT)
    return Arrival(
        req_id='',
        at=at,
        kind=kind,
        workspace=spike.workspace or f'workspace-{number}',
        priority=number % WORKSPACE_PRIORITY_COUNT,
        parts=tuple(parts),
        events=_draw_size(kind.events, rng),
        vm=rng.random(),
    )


def _draw_size(mean: int, rng: random.Random) -> int:
    """Draw a size from a log-normal distribution with the given mean.

    Many sizes are small and a few large; those above
    ``_MAX_SIZE_TO_MEAN_RATIO`` times the mean are reduced to it.
    """
    log_mean = math.log(mean) - _SIZE_LOG_SIGMA * _SIZE_LOG_SIGMA / 2
    drawn = rng.lognormvariate(log_mean, _SIZE_LOG_SIGMA)
    return max(1, round(min(drawn, mean * _MAX_SIZE_TO_MEAN_RATIO)))
