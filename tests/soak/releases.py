"""Disturbances of the soak: new software versions, and VMs out of step."""

import asyncio
import random
import signal
from collections.abc import Sequence

from tests.soak.disturbances import Disturber, disturbance
from tests.soak.fleet import SoakFleet
from tests.soak.machines import Machine

_MAX_JOINING = 3
_SKEW_S = (0.3, 4.0)
_JOIN_S = (0.05, 0.4)
# From when the engines have joined to the kill of another VM.
_KILL_S = (0.2, 1.5)
_STAY_S = (0.5, 4.0)
_GO_ON_S = (0.3, 1.5)
# Fractions of the releases that are taken back, or end the old versions.
_TAKEN_BACK = 0.3
_REPLACING = 0.4
_KILLING = 0.7
_SKEWS = ('freeze', 'cut from all', 'cut from all', 'cut from some', 'store')


@disturbance('release')
async def release(disturber: Disturber) -> None:
    """Engines of a newer version join; they go again, or the old ones do."""
    fleet = disturber.fleet
    source = disturber.source
    before = [each for each in fleet.upstreams if fleet.is_engine(each)]
    joined = await fleet.release(source.randint(1, _MAX_JOINING))
    await asyncio.sleep(source.uniform(*_STAY_S))
    drawn = source.random()
    leaving = []
    if drawn < _TAKEN_BACK:
        leaving = joined
    elif drawn < _TAKEN_BACK + _REPLACING:
        leaving = before
    await asyncio.gather(
        *(fleet.retire(each, source.uniform(*_GO_ON_S)) for each in leaving)
    )


@disturbance('skew')
async def skew(disturber: Disturber) -> None:
    """One or two VMs are out of step: cut off, or they stand still."""
    await _skew(disturber, _draw_some(disturber))


@disturbance('skewed-release')
async def release_beside_skew(disturber: Disturber) -> None:
    """A version joins while VMs are out of step; another VM is killed."""
    skewed = _draw_some(disturber)
    await asyncio.gather(
        _skew(disturber, skewed),
        _release_later(disturber),
        _kill_another(disturber, skewed),
    )


async def _release_later(disturber: Disturber) -> None:
    await asyncio.sleep(disturber.source.uniform(*_JOIN_S))
    await release(disturber)


async def _kill_another(
    disturber: Disturber, skewed: Sequence[Machine]
) -> None:
    source = disturber.source
    others = [each for each in disturber.fleet.machines if each not in skewed]
    if not others or source.random() >= _KILLING:
        return
    await asyncio.sleep(source.uniform(*_JOIN_S) + source.uniform(*_KILL_S))
    source.choice(others).signal(signal.SIGKILL)


def _draw_some(disturber: Disturber) -> list[Machine]:
    count = disturber.source.choice((1, 1, 2))
    return disturber.source.sample(disturber.fleet.machines, count)


async def _skew(disturber: Disturber, machines: Sequence[Machine]) -> None:
    """Put VMs out of step for a while, all in the same way."""
    source = disturber.source
    how = source.choice(_SKEWS)
    seconds = source.uniform(*_SKEW_S)
    for machine in machines:
        machine.skews += 1
    if how == 'freeze':
        await asyncio.gather(*(each.freeze(seconds) for each in machines))
    else:
        await _cut(disturber.fleet, source, machines, how, seconds)
    for machine in machines:
        machine.skews -= 1


async def _cut(
    fleet: SoakFleet,
    source: random.Random,
    machines: Sequence[Machine],
    how: str,
    seconds: float,
) -> None:
    """Cut VMs off from the store, and from all, some or no other VMs."""
    status = source.choice((0, 0, 503))
    for machine in machines:
        others = [each for each in fleet.machines if each is not machine]
        if how == 'cut from some':
            others = source.sample(others, max(1, len(others) * 3 // 4))
        if how != 'store':
            machine.cut_from(others)
        for store in fleet.stores:
            store.refused[machine.ip] = status
    await asyncio.sleep(seconds)
    for machine in machines:
        machine.mend()
        for store in fleet.stores:
            store.refused.pop(machine.ip, None)
