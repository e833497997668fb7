"""One run: a fleet, a policy, a scenario and a seed."""

from dataclasses import dataclass

from bench.driver import SimSettings, Simulation
from bench.measures import Measures, measure
from bench.omniscient import OmniscientSimulation
from bench.scenarios import find_scenario, make_bursts
from bench.workload import MIXES, load_catalog, make_workload

DURATION_S = 90.0
OMNISCIENT = 'omniscient'
_TAIL_S = 30.0
_FOREIGN_EVERY_S = 7.0


@dataclass(frozen=True, slots=True)
class RunKey:
    """What identifies a run."""

    fleet: str
    policy: str
    scenario: str
    seed: int


def run_once(key: RunKey) -> Measures:
    """Run once and measure."""
    catalog = load_catalog(key.fleet)
    chosen = find_scenario(key.scenario)
    classes = sorted(
        MIXES[key.fleet],
        key=lambda name: catalog.classes[name].tier,
    )
    requests = make_workload(
        catalog,
        key.fleet,
        key.seed,
        DURATION_S,
        chosen.load,
        make_bursts(chosen.burst, classes),
    )
    settings = SimSettings(
        catalog=catalog,
        policy='slot_owner' if key.policy == OMNISCIENT else key.policy,
        seed=key.seed,
        duration_s=DURATION_S + _TAIL_S,
        lag_s=chosen.lag_s,
    )
    if key.policy == OMNISCIENT:
        sim: Simulation = OmniscientSimulation(settings)
    else:
        sim = Simulation(settings)
    plan_foreign_load(sim)
    chosen.plan(sim)
    ledger = sim.run(requests)
    return measure(ledger, DURATION_S)


def plan_foreign_load(sim: Simulation) -> None:
    """Let other users of some engines take up to a quarter of the slots."""
    for engine in list(sim.engines.values())[::2]:
        when = 0.0
        while when < DURATION_S:
            foreign = sim.source.randrange(engine.slots // 4 + 1)
            sim.at(
                when,
                lambda name=engine.name, count=foreign: sim.change_engine(
                    name,
                    foreign=count,
                ),
            )
            when += _FOREIGN_EVERY_S
