"""Scenarios by name: load spikes and faults of engines.

A ``rush`` in a name is a load spike.
"""

from collections.abc import Callable
from dataclasses import dataclass

from bench.routed.load import FLEET_SIZES, FLEETS, LoadSpike
from bench.routed.simulation import Simulation

# Load spikes last from the start to the end, in seconds of the run. Faults
# begin at the start.
_DISTURBANCE_START_S = 6.0
_DISTURBANCE_END_S = 18.0


@dataclass(frozen=True, slots=True)
class Scenario:
    """Load spikes and faults of engines.

    ``spikes`` builds the load spikes for the name of a fleet;
    ``schedule_faults`` schedules the faults in a simulation.
    """

    name: str
    spikes: Callable[[str], tuple[LoadSpike, ...]]
    schedule_faults: Callable[[Simulation], None]


_SCENARIOS: dict[str, Scenario] = {}


def list_scenarios() -> list[str]:
    """Return the names of all scenarios."""
    return list(_SCENARIOS)


def find_scenario(name: str) -> Scenario:
    """Return a scenario by its name; raise ``KeyError`` if there is none."""
    return _SCENARIOS[name]


def _build_no_spikes(fleet: str) -> tuple[LoadSpike, ...]:
    return ()


def _schedule_no_faults(simulation: Simulation) -> None:
    """Schedule nothing."""


def _make_spike_builder(
    index: int,
    factor: float,
    **changes: str,
) -> Callable[[str], tuple[LoadSpike, ...]]:
    """Return a function that builds the spike of one kind of call of a fleet.

    ``index`` is the position of the kind in the fleet; ``changes`` sets further
    fields of the ``LoadSpike``.
    """

    def build(fleet: str) -> tuple[LoadSpike, ...]:
        route = FLEETS[fleet][index].route.name
        return (
            LoadSpike(
                route,
                factor,
                _DISTURBANCE_START_S,
                _DISTURBANCE_END_S,
                **changes,
            ),
        )

    return build


def _build_spikes_of_all_kinds(fleet: str) -> tuple[LoadSpike, ...]:
    return tuple(
        LoadSpike(
            kind.route.name, 2.0, _DISTURBANCE_START_S, _DISTURBANCE_END_S
        )
        for kind in FLEETS[fleet]
    )


def _drain_most_engines(simulation: Simulation) -> None:
    """Drain all engines but two, one every 2 s."""
    engine_count = FLEET_SIZES[simulation.settings.fleet].engines
    for index in range(engine_count - 2):
        simulation.at(
            _DISTURBANCE_START_S + index * 2.0,
            lambda each=index: simulation.drain_engine(f'engine-{each}'),
        )


def _crash_two_engines(simulation: Simulation) -> None:
    for index in (1, 4):
        simulation.at(
            _DISTURBANCE_START_S + index * 0.1,
            lambda each=index: simulation.crash_engine(f'engine-{each}'),
        )


def _slow_one_engine(simulation: Simulation) -> None:
    simulation.at(
        _DISTURBANCE_START_S,
        lambda: simulation.set_engine_slowdown('engine-2', 4.0),
    )
    simulation.at(
        _DISTURBANCE_END_S,
        lambda: simulation.set_engine_slowdown('engine-2', 1.0),
    )


for _scenario in (
    Scenario('calm', _build_no_spikes, _schedule_no_faults),
    Scenario(
        'rush_of_drafts', _make_spike_builder(0, 3.0), _schedule_no_faults
    ),
    Scenario('rush_of_short', _make_spike_builder(1, 4.0), _schedule_no_faults),
    Scenario('rush_of_tight', _make_spike_builder(2, 4.0), _schedule_no_faults),
    Scenario('rush_of_all', _build_spikes_of_all_kinds, _schedule_no_faults),
    Scenario(
        'hot_part',
        _make_spike_builder(0, 1.0, shared='hot'),
        _schedule_no_faults,
    ),
    Scenario(
        'hot_workspace',
        _make_spike_builder(0, 3.0, workspace='hot'),
        _schedule_no_faults,
    ),
    Scenario('engines_emptied', _build_no_spikes, _drain_most_engines),
    Scenario('engines_crash', _build_no_spikes, _crash_two_engines),
    Scenario('rush_and_crash', _make_spike_builder(0, 2.0), _crash_two_engines),
    Scenario('engine_slow', _build_no_spikes, _slow_one_engine),
):
    _SCENARIOS[_scenario.name] = _scenario
