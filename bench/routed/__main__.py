"""Compare routing policies: ``python -m bench.routed``.

Each policy gets the same seeded load, on a virtual clock.
"""

import argparse
import concurrent.futures
import statistics
import sys
from dataclasses import dataclass

from bench.routed.load import FLEETS, SMALL_FLEETS, draw_arrivals
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
_LOAD_DURATION_S = 24.0
_MAX_WORKERS = 3
_KILO = 1000


@dataclass(frozen=True, slots=True)
class RunKey:
    """Everything that determines a run."""

    fleet: str
    scenario: str
    policy: str
    seed: int


@dataclass(frozen=True, slots=True)
class RunMetrics:
    """Results of a run.

    ``goodput`` is the worth of all answers as a fraction of that offered.
    ``attainment`` and ``served`` are the fractions of calls that met their
    latency and event gap targets and that were served, one for each kind of
    call in the order of the fleet. ``wasted_events`` counts events generated
    for calls that had ended. ``priority_inversions`` counts windows in which
    less urgent calls were sent before more urgent ones, see ``ledger``; the
    table lists it as "priority inversions", ``attainment`` as "on time" and
    ``recomputed_tokens``, in thousands, as "recomputed ktokens".
    """

    goodput: float
    attainment: tuple[float, ...]
    served: tuple[float, ...]
    wasted_events: int
    recomputed_tokens: int
    priority_inversions: int


def run_simulation(key: RunKey) -> RunMetrics:
    """Simulate one run and return its results."""
    scenario = find_scenario(key.scenario)
    settings = SimulationSettings(
        key.fleet,
        key.policy,
        key.seed,
        _LOAD_DURATION_S,
    )
    simulation = Simulation(settings)
    scenario.schedule_faults(simulation)
    arrivals = draw_arrivals(
        key.fleet,
        scenario.spikes(key.fleet),
        duration_s=_LOAD_DURATION_S,
        seed=key.seed,
    )
    ledger = simulation.run(arrivals)
    kinds = FLEETS[key.fleet]
    served = []
    for kind in kinds:
        entries = ledger.list_calls(kind)
        count = sum(entry.outcome == 'served' for entry in entries)
        served.append(count / max(1, len(entries)))
    return RunMetrics(
        goodput=ledger.goodput(),
        attainment=tuple(ledger.attainment(kind) for kind in kinds),
        served=tuple(served),
        wasted_events=ledger.wasted_events,
        recomputed_tokens=ledger.recomputed_tokens,
        priority_inversions=ledger.count_priority_inversions(kinds),
    )


def format_summary(runs: list[RunMetrics]) -> list[str]:
    """Return the metrics of runs that differ in the seed, as table cells.

    The cells follow the order of the fields of ``RunMetrics``. They are medians
    over the runs, but priority inversions are the maximum.
    """
    attainment = zip(*(r.attainment for r in runs), strict=True)
    served = zip(*(r.served for r in runs), strict=True)
    return [
        f'{statistics.median(r.goodput for r in runs):.3f}',
        ' '.join(f'{statistics.median(each):.2f}' for each in attainment),
        ' '.join(f'{statistics.median(each):.2f}' for each in served),
        f'{statistics.median(r.wasted_events for r in runs):.0f}',
        f'{statistics.median(r.recomputed_tokens for r in runs) / _KILO:.0f}',
        f'{max(r.priority_inversions for r in runs)}',
    ]


def main() -> int:
    """Simulate the selected runs and print a table; return the exit code.

    ``--seeds`` is the number of seeds of each combination; they count from 1.
    """
    parser = argparse.ArgumentParser(prog='python -m bench.routed')
    parser.add_argument('--fleets', nargs='+', default=sorted(SMALL_FLEETS))
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
    with concurrent.futures.ProcessPoolExecutor(_MAX_WORKERS) as pool:
        run_metrics = dict(
            zip(keys, pool.map(run_simulation, keys), strict=True)
        )
    rows = []
    for start in range(0, len(keys), options.seeds):
        key = keys[start]
        runs = [
            run_metrics[each] for each in keys[start : start + options.seeds]
        ]
        rows.append(
            [key.fleet, key.scenario, key.policy, *format_summary(runs)]
        )
    header = [
        'fleet',
        'scenario',
        'policy',
        'goodput',
        'on time',
        'served',
        'wasted',
        'recomputed ktokens',
        'priority inversions',
    ]
    print_table(header, rows)
    return 0


if __name__ == '__main__':
    sys.exit(main())
