"""Disturbances of the soak, drawn by a seed, which overlap."""

import asyncio
import random
import signal
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from tests.soak.fleet import SoakFleet
    from tests.soak.upstreams import SoakUpstream

_GRACE_S = 8.0
_DISTURBANCES: dict[str, Callable[['Disturber'], Awaitable[None]]] = {}
_REFUSING = 0.45
_LATE = 0.5
_FAULTS = ('lose', 'fail', 'extra', 'mute', 'cut')


def disturbance(name: str):
    """Register the decorated function as a disturbance."""

    def register(function):
        _DISTURBANCES[name] = function
        return function

    return register


@dataclass(slots=True)
class Disturber:
    """Begins disturbances of a fleet; ``noted`` is when each began."""

    fleet: 'SoakFleet'
    source: random.Random
    names: tuple[str, ...] = ()
    noted: list[tuple[float, str]] = field(default_factory=list)
    _tasks: set[asyncio.Task] = field(default_factory=set)

    async def run(self, seconds: float, mean_gap_s: float) -> None:
        """Begin disturbances for some seconds, and wait for their ends."""
        names = self.names or tuple(_DISTURBANCES)
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            await asyncio.sleep(self.source.expovariate(1 / mean_gap_s))
            name = self.source.choice(names)
            self.noted.append((time.monotonic(), name))
            task = asyncio.create_task(_DISTURBANCES[name](self))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        if self._tasks:
            await asyncio.wait(set(self._tasks), timeout=_GRACE_S + 4)

    def draw_machines(self, fraction: float):
        """Return some machines, one at least."""
        machines = self.fleet.machines
        count = max(1, round(len(machines) * self.source.uniform(0, fraction)))
        return self.source.sample(machines, count)

    def draw_upstream(self) -> 'SoakUpstream':
        """Return an upstream."""
        return self.source.choice(self.fleet.upstreams)


@disturbance('freeze')
async def freeze(disturber: Disturber) -> None:
    """Some processes stand still."""
    seconds = disturber.source.uniform(0.1, 4)
    await asyncio.gather(
        *(each.freeze(seconds) for each in disturber.draw_machines(0.2))
    )


@disturbance('kill')
async def kill(disturber: Disturber) -> None:
    """Some processes are killed."""
    for machine in disturber.draw_machines(0.2):
        machine.signal(signal.SIGKILL)


@disturbance('stop')
async def stop(disturber: Disturber) -> None:
    """Some processes are stopped as planned."""
    await asyncio.gather(
        *(
            each.stop_as_planned(_GRACE_S)
            for each in disturber.draw_machines(0.1)
        )
    )


@disturbance('hup')
async def hang_up(disturber: Disturber) -> None:
    """Some processes get SIGHUP, which must not end them."""
    for machine in disturber.draw_machines(0.5):
        machine.signal(signal.SIGHUP)
        await asyncio.sleep(0.01)


@disturbance('crash')
async def crash(disturber: Disturber) -> None:
    """An upstream is down for a while, and is back as it was or anew."""
    upstream = disturber.draw_upstream()
    if upstream.is_down:
        return
    await upstream.stop()
    await asyncio.sleep(disturber.source.uniform(0.1, 2))
    before = upstream.instance
    if disturber.source.random() < 0.5:
        upstream.instance = f'{before.partition(".")[0]}.{time.monotonic_ns()}'
    await upstream.start()
    disturber.fleet.relist(upstream, before)


@disturbance('end')
async def end(disturber: Disturber) -> None:
    """The process of an upstream ends, and another takes its place."""
    upstream = disturber.draw_upstream()
    if upstream.is_down:
        return
    disturber.fleet.counts['upstreams that ended'] += 1
    upstream.end_process()
    await asyncio.sleep(disturber.source.uniform(0.3, 2))
    before = upstream.instance
    upstream.instance = f'{before.partition(".")[0]}.{time.monotonic_ns()}'
    await upstream.start()
    disturber.fleet.relist(upstream, before)


@disturbance('rename')
async def rename(disturber: Disturber) -> None:
    """An upstream takes a new id; its process and connections live on.

    The entry of its old id stays listed for a while, beside the new one.
    """
    upstream = disturber.draw_upstream()
    if upstream.is_down:
        return
    before = upstream.instance
    upstream.instance = f'{before.partition(".")[0]}.{time.monotonic_ns()}'
    upstream.born_s = time.time()
    await asyncio.sleep(disturber.source.uniform(0, 0.6))
    disturber.fleet.list_beside(upstream)
    await asyncio.sleep(disturber.source.uniform(0.1, 3))
    disturber.fleet.delist(before)


@disturbance('copies')
async def make_copy(disturber: Disturber) -> None:
    """An upstream refuses many calls and copies many of its answers."""
    upstream = disturber.draw_upstream()
    upstream.refusing = _REFUSING
    upstream.late = _LATE
    upstream.copier.fraction = disturber.source.uniform(0.2, 1)
    await asyncio.sleep(disturber.source.uniform(1, 5))
    disturber.fleet.calm(upstream)


@disturbance('move')
async def move(disturber: Disturber) -> None:
    """Two upstreams of different services change addresses."""
    first, second = disturber.source.sample(disturber.fleet.upstreams, 2)
    if first.is_down or second.is_down:
        return
    await first.stop()
    await second.stop()
    await asyncio.sleep(disturber.source.uniform(0, 0.5))
    first.address, second.address = second.address, first.address
    await first.start()
    await second.start()
    await asyncio.sleep(disturber.source.uniform(0, 1))
    for upstream in (first, second):
        name = upstream.instance
        upstream.instance = f'{name.partition(".")[0]}.{time.monotonic_ns()}'
        disturber.fleet.relist(upstream, name)


@disturbance('faults')
async def make_faulty(disturber: Disturber) -> None:
    """An upstream spoils part of its answers."""
    upstream = disturber.draw_upstream()
    fault = disturber.source.choice(_FAULTS)
    upstream.faults[fault] = disturber.source.uniform(0.02, 0.3)
    await asyncio.sleep(disturber.source.uniform(1, 5))
    upstream.faults.pop(fault, None)


@disturbance('idle')
async def forget_idle(disturber: Disturber) -> None:
    """Upstreams reset connections when they are next used."""
    for upstream in disturber.fleet.upstreams:
        if disturber.source.random() < 0.5:
            upstream.reset_on_next_use()


@disturbance('cut')
async def cut(disturber: Disturber) -> None:
    """A group of machines loses its links to most or all upstreams."""
    group = disturber.source.randrange(len(disturber.fleet.links))
    how = disturber.source.choice(
        ('reset', 'refuse', 'hang', 'accept_and_hang', 'accept_and_reset')
    )
    fraction = disturber.source.choice((0.5, 1, 1))
    links = [
        each
        for each in disturber.fleet.links[group].values()
        if disturber.source.random() < fraction
    ]
    for link in links:
        getattr(link, how)()
    await asyncio.sleep(disturber.source.uniform(0.5, 5))
    for link in links:
        await link.start()


@disturbance('store')
async def hinder_store(disturber: Disturber) -> None:
    """The store turns all away for a while."""
    store = disturber.source.choice(disturber.fleet.stores)
    status = disturber.source.choice((503, 429, 0))
    for machine in disturber.fleet.machines:
        store.refused[machine.ip] = status
    await asyncio.sleep(disturber.source.uniform(0.5, 5))
    store.refused.clear()


@disturbance('config')
async def change_config(disturber: Disturber) -> None:
    """A new version of the configuration is written."""
    disturber.fleet.write_config()
    await asyncio.sleep(0)


@disturbance('burst')
async def burst(disturber: Disturber) -> None:
    """Many calls come at once."""
    fleet = disturber.fleet
    await fleet.callers.send_calls(
        disturber.source.uniform(0.5, 3), fleet.burst_per_s
    )
