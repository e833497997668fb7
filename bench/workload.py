"""Seeded workloads of both fleets."""

import math
import random
from dataclasses import dataclass

from bilberryspoke._internal.config.bundles import build_catalog
from bilberryspoke._internal.config.folder import read_folder
from bilberryspoke._internal.models.catalog import Catalog

STEP_S = 0.025
SEQ_S = 0.002
_SIGMA = 0.8
_MAX_TOKENS = 600
_PROMPT_TOKENS = 200
_PREFIXES = 12

MIXES = {
    'xelaju': {
        'election-draft': (0.25, 60),
        'shift-change': (0.15, 40),
        'rota-draft': (0.3, 80),
        'gap-list': (0.3, 60),
    },
    'maree': {
        'counter-answer': (0.35, 40),
        'phone-answer': (0.2, 50),
        'itinerary': (0.25, 80),
        'contract-reading': (0.2, 150),
    },
}
SERVICE_CLASSES = {'xelaju': 'shift-confirmation', 'maree': 'booking'}


@dataclass(frozen=True, slots=True)
class SimRequest:
    """One call as its caller makes it; ``tokens`` is known to no router."""

    req_id: str
    at: float
    service_class: str
    workspace: str
    pool: str
    tokens: int
    prompt_tokens: int
    prefix: int
    serves: str
    entry_draw: float


@dataclass(frozen=True, slots=True)
class Burst:
    """Extra arrivals of a class as a multiple of the pool's capacity."""

    service_class: str
    capacity_factor: float
    start_s: float
    end_s: float


def load_catalog(fleet: str) -> Catalog:
    """Return the catalog of a fleet's example objects."""
    return build_catalog(read_folder_of(fleet), 1, 'bench')


def read_folder_of(fleet: str):
    """Read a fleet's example objects."""
    from pathlib import Path

    return read_folder(Path(__file__).parent.parent / 'examples' / fleet)


def mean_tokens(median: float) -> float:
    """Return the mean length that belongs to a median length."""
    return median * math.exp(_SIGMA**2 / 2)


def capacity_rps(catalog: Catalog, fleet: str) -> float:
    """Return the requests a second that the model pool can carry."""
    upstreams = [
        each for each in catalog.upstreams.values() if each.serves == 'model'
    ]
    slots = sum(each.slots for each in upstreams)
    token_s = STEP_S + SEQ_S * upstreams[0].slots
    mix = MIXES[fleet].values()
    tokens = sum(part * mean_tokens(median) for part, median in mix)
    return slots / (tokens * token_s + _PROMPT_TOKENS * 0.0005)


def make_workload(
    catalog: Catalog,
    fleet: str,
    seed: int,
    duration_s: float,
    load: float,
    bursts: tuple[Burst, ...] = (),
) -> list[SimRequest]:
    """Return all requests of a run in order of arrival."""
    source = random.Random(seed)
    capacity = capacity_rps(catalog, fleet)
    planned: list[tuple[float, str]] = []
    for name, (part, _) in MIXES[fleet].items():
        rate = capacity * load * part
        planned += _arrive(source, name, rate, 0, duration_s)
    for burst in bursts:
        rate = capacity * burst.capacity_factor
        planned += _arrive(
            source,
            burst.service_class,
            rate,
            burst.start_s,
            burst.end_s,
        )
    service_class = SERVICE_CLASSES[fleet]
    planned += _arrive(source, service_class, 3, 0, duration_s)
    planned.sort()
    names = sorted(catalog.workspaces)
    return [
        _make_request(source, catalog, fleet, names, number, at, name)
        for number, (at, name) in enumerate(planned)
    ]


def _arrive(
    source: random.Random,
    name: str,
    rate: float,
    start_s: float,
    end_s: float,
) -> list[tuple[float, str]]:
    arrivals = []
    at = start_s + source.expovariate(rate)
    while at < end_s:
        arrivals.append((at, name))
        at += source.expovariate(rate)
    return arrivals


def _make_request(
    source: random.Random,
    catalog: Catalog,
    fleet: str,
    names: list[str],
    number: int,
    at: float,
    service_class: str,
) -> SimRequest:
    serves = 'model'
    tokens = 1
    if service_class == SERVICE_CLASSES[fleet]:
        serves = 'service'
    else:
        median = MIXES[fleet][service_class][1]
        drawn = source.lognormvariate(math.log(median), _SIGMA)
        tokens = max(2, min(_MAX_TOKENS, round(drawn)))
    pool = next(
        pool.name for pool in catalog.pools.values() if pool.serves == serves
    )
    # The first workspaces are the large ones.
    position = int(len(names) * source.random() ** 2.5)
    return SimRequest(
        req_id=f'r{number}',
        at=at,
        service_class=service_class,
        workspace=names[position],
        pool=pool,
        tokens=tokens,
        prompt_tokens=source.randrange(100, 2 * _PROMPT_TOKENS),
        prefix=1 + source.randrange(_PREFIXES),
        serves=serves,
        entry_draw=source.random(),
    )
