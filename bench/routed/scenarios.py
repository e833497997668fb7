"""Troubles of a run, by name: rushes of callers and faults of engines."""

from collections.abc import Callable
from dataclasses import dataclass

from bench.routed.load import ENGINES, FLEETS, Rush
from bench.routed.simulation import Simulation

_START_S = 6.0
_END_S = 18.0


@dataclass(frozen=True, slots=True)
class Scenario:
    """A plan over a run: extra callers, and what befalls engines."""

    name: str
    rushes: Callable[[str], tuple[Rush, ...]]
    plan: Callable[[Simulation], None]


_SCENARIOS: dict[str, Scenario] = {}


def list_scenarios() -> list[str]:
    """Return the names of all scenarios."""
    return list(_SCENARIOS)


def find_scenario(name: str) -> Scenario:
    """Return a scenario by its name."""
    return _SCENARIOS[name]


def _no_rush(fleet: str) -> tuple[Rush, ...]:
    return ()


def _no_fault(simulation: Simulation) -> None:
    """Leave the engines alone."""


def _rush(
    place: int,
    factor: float,
    **changes: str,
) -> Callable[[str], tuple[Rush, ...]]:
    def build(fleet: str) -> tuple[Rush, ...]:
        route = FLEETS[fleet][place].route.name
        return (Rush(route, factor, _START_S, _END_S, **changes),)

    return build


def _rush_of_all(fleet: str) -> tuple[Rush, ...]:
    return tuple(
        Rush(kind.route.name, 2.0, _START_S, _END_S) for kind in FLEETS[fleet]
    )


def _empty_most(simulation: Simulation) -> None:
    """Empty all engines but two, one after the other."""
    number = ENGINES[simulation.settings.fleet]
    for place in range(number - 2):
        simulation.at(
            _START_S + place * 2.0,
            lambda each=place: simulation.empty_engine(f'engine-{each}'),
        )


def _crash_two(simulation: Simulation) -> None:
    for place in (1, 4):
        simulation.at(
            _START_S + place * 0.1,
            lambda each=place: simulation.crash_engine(f'engine-{each}'),
        )


def _slow_one(simulation: Simulation) -> None:
    simulation.at(
        _START_S,
        lambda: simulation.slow_engine('engine-2', 4.0),
    )
    simulation.at(
        _END_S,
        lambda: simulation.slow_engine('engine-2', 1.0),
    )


for _scenario in (
    Scenario('calm', _no_rush, _no_fault),
    Scenario('rush_of_drafts', _rush(0, 3.0), _no_fault),
    Scenario('rush_of_short', _rush(1, 4.0), _no_fault),
    Scenario('rush_of_tight', _rush(2, 4.0), _no_fault),
    Scenario('rush_of_all', _rush_of_all, _no_fault),
    Scenario('hot_part', _rush(0, 1.0, shared='hot'), _no_fault),
    Scenario('hot_workspace', _rush(0, 3.0, workspace='hot'), _no_fault),
    Scenario('engines_emptied', _no_rush, _empty_most),
    Scenario('engines_crash', _no_rush, _crash_two),
    Scenario('rush_and_crash', _rush(0, 2.0), _crash_two),
    Scenario('engine_slow', _no_rush, _slow_one),
):
    _SCENARIOS[_scenario.name] = _scenario
