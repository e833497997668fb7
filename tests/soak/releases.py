"""Disturbances of the soak: new software versions, and VMs out of step."""

import asyncio
import random
import signal
from collections.abc import Sequence

from tests.soak.disturbances import Disturber, disturbance
from tests.soak.fleet import SoakFleet
from tests.soak.machines import Machine

_JOINING = (2, 4)
_SKEW_S = (0.3, 4.0)
_LONG_CUT_S = (2.0, 4.0)
_JOIN_S = (0.05, 0.3)
# From when the engines join to the kill of other VMs.
_KILL_S = (0.7, 1.6)
_STAY_S = (0.5, 4.0)
_GO_ON_S = (0.3, 1.5)
# By then all VMs know the engines that have joined.
_KNOWN_S = 1.3
# Fractions of the releases that are taken back, or end the old versions. A VM
# that knows one version is the one to be deceived, so few stay side by side.
_TAKEN_BACK = 0.35
_REPLACING = 0.5
_KILLING = 0.8
_MAX_KILLED = 2
_SKEWS = ('freeze', 'cut from all', 'cut from all', 'cut from some', 'store')


@disturbance('release')
async def release(disturber: Disturber) -> None:
    """Engines of a newer version join; they go again, or the old ones do.

    One release at a time.
    """
    fleet = disturber.fleet
    if fleet.in_release:
        return
    fleet.in_release = True
    await _release(fleet, disturber.source)
    fleet.in_release = False


async def _release(fleet: SoakFleet, source: random.Random) -> None:
    before = [each for each in fleet.upstreams if fleet.is_engine(each)]
    joined = await fleet.release(source.randint(*_JOINING))
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
    how = disturber.source.choice(_SKEWS)
    await _skew(disturber, _draw_some(disturber), how, _SKEW_S)


@disturbance('skewed-release')
async def release_beside_skew(disturber: Disturber) -> None:
    """A version joins while VMs are out of step; other VMs are killed."""
    how = disturber.source.choice(_SKEWS)
    await _release_beside(disturber, how, _SKEW_S)


@disturbance('cut-release')
async def release_beside_cut(disturber: Disturber) -> None:
    """As ``skewed-release``, with VMs that are cut off until after the kill."""
    await _release_beside(disturber, 'cut from all', _LONG_CUT_S)


@disturbance('withdrawn-release')
async def withdraw_release(disturber: Disturber) -> None:
    """A version joins and goes again; all VMs but one, cut off, restart.

    Only the VM that is cut off knows at which version the streams began.
    """
    fleet = disturber.fleet
    if fleet.in_release:
        return
    fleet.in_release = True
    joined = await fleet.release(max(_JOINING))
    await asyncio.sleep(_KNOWN_S)
    left = disturber.source.choice(fleet.machines)
    others = [each for each in fleet.machines if each is not left]
    left.cut_from(others)
    leaving = asyncio.gather(*(fleet.retire(each, 1.0) for each in joined))
    await asyncio.sleep(min(_SKEW_S))
    for machine in others:
        machine.signal(signal.SIGKILL)
    await leaving
    await asyncio.sleep(max(_SKEW_S) - 1)
    left.mend()
    fleet.in_release = False


async def _release_beside(
    disturber: Disturber, how: str, bounds_s: tuple[float, float]
) -> None:
    if disturber.fleet.in_release:
        return
    skewed = _draw_some(disturber)
    await asyncio.gather(
        _skew(disturber, skewed, how, bounds_s),
        _release_later(disturber),
        _kill_others(disturber, skewed),
    )


async def _release_later(disturber: Disturber) -> None:
    await asyncio.sleep(disturber.source.uniform(*_JOIN_S))
    await release(disturber)


async def _kill_others(disturber: Disturber, skewed: Sequence[Machine]) -> None:
    source = disturber.source
    others = [each for each in disturber.fleet.machines if each not in skewed]
    if not others or source.random() >= _KILLING:
        return
    await asyncio.sleep(source.uniform(*_JOIN_S) + source.uniform(*_KILL_S))
    count = min(len(others), source.randint(1, _MAX_KILLED))
    for machine in source.sample(others, count):
        machine.signal(signal.SIGKILL)


def _draw_some(disturber: Disturber) -> list[Machine]:
    count = disturber.source.choice((1, 1, 2))
    return disturber.source.sample(disturber.fleet.machines, count)


async def _skew(
    disturber: Disturber,
    machines: Sequence[Machine],
    how: str,
    bounds_s: tuple[float, float],
) -> None:
    """Put VMs out of step for a while, all in the same way."""
    source = disturber.source
    seconds = source.uniform(*bounds_s)
    disturber.fleet.counts[f'skew: {how}'] += len(machines)
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
    # A store that is silent is noticed last.
    status = source.choice((0, 0, 0, 503))
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
