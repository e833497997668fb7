"""``python -m bench.routed``: decisions beside baselines, on the same seeds."""

import argparse
import concurrent.futures
import statistics
import sys
from dataclasses import dataclass

from bench.routed.load import FLEETS, draw_arrivals
from bench.routed.scenarios import find_scenario, list_scenarios
from bench.routed.simulation import (
    OWN_POLICY,
    Simulation,
    SimulationSettings,
)
from bilberryspoke._internal.commands.output import print_table

POLICIES = (
    OWN_POLICY,
    'hash_apart',
    'prefix_hash',
    'least_in_flight',
    'random',
)
_DURATION_S = 24.0
_WORKERS = 3
_THOUSAND = 1000


@dataclass(frozen=True, slots=True)
class RunKey:
    """One run, reproducible by itself."""

    fleet: str
    scenario: str
    policy: str
    seed: int


@dataclass(frozen=True, slots=True)
class RunFigures:
    """``attainment`` and ``served`` are parts, in the order of the kinds.

    ``put_behind`` counts windows in which an urgent kind got less than a less
    urgent one.
    """

    goodput: float
    attainment: tuple[float, ...]
    served: tuple[float, ...]
    wasted_events: int
    read_again: int
    put_behind: int


def play(key: RunKey) -> RunFigures:
    """Play one run."""
    scenario = find_scenario(key.scenario)
    settings = SimulationSettings(
        key.fleet,
        key.policy,
        key.seed,
        _DURATION_S,
    )
    simulation = Simulation(settings)
    scenario.plan(simulation)
    arrivals = draw_arrivals(
        key.fleet,
        scenario.rushes(key.fleet),
        duration_s=_DURATION_S,
        seed=key.seed,
    )
    ledger = simulation.run(arrivals)
    kinds = FLEETS[key.fleet]
    served = []
    for kind in kinds:
        entries = ledger.list_of(kind)
        count = sum(entry.outcome == 'served' for entry in entries)
        served.append(count / max(1, len(entries)))
    return RunFigures(
        goodput=ledger.goodput(),
        attainment=tuple(ledger.attainment(kind) for kind in kinds),
        served=tuple(served),
        wasted_events=ledger.wasted_events,
        read_again=ledger.read_again,
        put_behind=ledger.count_put_behind(kinds),
    )


def summarize(runs: list[RunFigures]) -> list[str]:
    """Return the medians of several seeds as cells of a table."""
    attainment = zip(*(run.attainment for run in runs), strict=True)
    served = zip(*(run.served for run in runs), strict=True)
    return [
        f'{statistics.median(run.goodput for run in runs):.3f}',
        ' '.join(f'{statistics.median(each):.2f}' for each in attainment),
        ' '.join(f'{statistics.median(each):.2f}' for each in served),
        f'{statistics.median(run.wasted_events for run in runs):.0f}',
        f'{statistics.median(run.read_again for run in runs) / _THOUSAND:.0f}',
        f'{max(run.put_behind for run in runs)}',
    ]


def main() -> int:
    """Play the chosen runs and print a table; return the exit code."""
    parser = argparse.ArgumentParser(prog='python -m bench.routed')
    parser.add_argument('--fleets', nargs='+', default=sorted(FLEETS))
    parser.add_argument('--scenarios', nargs='+', default=list_scenarios())
    parser.add_argument('--policies', nargs='+', default=list(POLICIES))
    parser.add_argument('--seeds', type=int, default=3)
    options = parser.parse_args()
    keys = [
        RunKey(fleet, scenario, policy, seed)
        for fleet in options.fleets
        for scenario in options.scenarios
        for policy in options.policies
        for seed in range(1, options.seeds + 1)
    ]
    with concurrent.futures.ProcessPoolExecutor(_WORKERS) as pool:
        figures = dict(zip(keys, pool.map(play, keys), strict=True))
    rows = []
    for start in range(0, len(keys), options.seeds):
        key = keys[start]
        runs = [figures[each] for each in keys[start : start + options.seeds]]
        rows.append([key.fleet, key.scenario, key.policy, *summarize(runs)])
    header = [
        'fleet',
        'scenario',
        'policy',
        'goodput',
        'on time',
        'served',
        'wasted',
        'read again k',
        'put behind',
    ]
    print_table(header, rows)
    return 0


if __name__ == '__main__':
    sys.exit(main())
