"""The fleet of the soak: stores, links, upstreams, machines and callers."""

import asyncio
import contextlib
import json
import random
import tempfile
import time
from collections import Counter
from collections.abc import AsyncIterator, Sequence
from dataclasses import dataclass, field
from pathlib import Path

from fakes.links import Link
from fakes.store import StoreStandIn
from tests.lib.platformdata import (
    build_boot_settings,
    build_config,
    build_route_entries,
    build_server_entry,
)
from tests.lib.routedfleet import LOOPBACK_NET, find_ports
from tests.soak.callers import Callers
from tests.soak.machines import Machine
from tests.soak.upstreams import SoakUpstream, WorkRecord

_READY_TIMEOUT_S = 120.0
_MS_PER_S = 1000
# A new process takes no list for the truth while its upstreams are new too.
_AGE_S = 3600.0
_SLOTS = {'app': 6, 'llm': 16}


@dataclass(frozen=True, slots=True)
class SoakSize:
    """How large a fleet is; machines of a data centre share their links.

    ``refusing``, ``copying`` and ``late`` are fractions for all upstreams:
    calls that they refuse, answers that they copy, refusals that come late.
    ``resuming`` is the fraction of the calls that are streams that callers
    take up again, in addition to those of the usual mix.
    ``same_id`` is the fraction of the repeated calls that keep their id,
    ``stuttering`` that of the answers that stutter, ``crossing`` that of these
    whose second one is an earlier answer of any connection, ``unframed`` that
    of the streams that end with their connection.
    """

    machines: int = 6
    data_centres: int = 2
    app_upstreams: int = 4
    engines: int = 4
    refusing: float = 0.0
    copying: float = 0.0
    late: float = 0.0
    same_id: float = 0.0
    stuttering: float = 0.0
    crossing: float = 0.0
    resuming: float = 0.0
    unframed: float = 0.0


@dataclass(slots=True)
class SoakFleet:
    """A running fleet; ``links`` are those of each data centre, by upstream.

    ``records`` holds all runs of calls at upstreams, ``counts`` what they did,
    ``left_at`` when the first engine of a software version left for good.
    """

    stores: list[StoreStandIn]
    links: list[dict[str, Link]]
    upstreams: list[SoakUpstream] = field(default_factory=list)
    services: dict[str, str] = field(default_factory=dict)
    machines: list[Machine] = field(default_factory=list)
    records: list[WorkRecord] = field(default_factory=list)
    counts: Counter[str] = field(default_factory=Counter)
    callers: Callers | None = None
    size: SoakSize = field(default_factory=SoakSize)
    burst_per_s: float = 100.0
    version: int = 1
    releases: int = 0
    in_release: bool = False
    left_at: dict[str, float] = field(default_factory=dict)
    stack: contextlib.AsyncExitStack | None = None

    def relist(self, upstream: SoakUpstream, before: str) -> None:
        """Write the entry of an upstream that is back, at its address now."""
        upstream.born_s = time.time()
        key = before.partition('.')[0]
        for links, store in zip(self.links, self.stores, strict=True):
            links[key].target = upstream.address
            if before != upstream.instance:
                store.values.pop(f'servers/{upstream.instance}', None)
                with contextlib.suppress(KeyError):
                    store.delete(f'servers/{before}')
            self._write_entry(store, links[key], upstream)

    async def add_upstream(
        self,
        service: str,
        number: int,
        version: str = 'v1',
        age_s: float = 0.0,
    ) -> SoakUpstream:
        """Start an upstream of a software version and write its entry.

        It says that it began ``age_s`` ago.
        """
        name = f'i-{service}{number}'
        upstream = SoakUpstream(
            name,
            records=self.records,
            source=self.callers.source,
            counts=self.counts,
            slots=_SLOTS[service],
            version=version,
            born_s=time.time() - age_s,
        )
        self.calm(upstream)
        await upstream.start()
        self.stack.push_async_callback(upstream.stop)
        self.upstreams.append(upstream)
        self.services[name] = service
        for links in self.links:
            links[name] = Link(upstream.address)
            await links[name].start()
            self.stack.push_async_callback(links[name].stop)
        self.list_beside(upstream)
        return upstream

    async def release(self, count: int) -> list[SoakUpstream]:
        """Let engines of the next software version join."""
        self.releases += 1
        self.counts['releases'] += 1
        version = f'v{self.releases + 1}'
        return [
            await self.add_upstream('llm', len(self.services), version)
            for _ in range(count)
        ]

    def is_engine(self, upstream: SoakUpstream) -> bool:
        """Whether an upstream is an engine, which serves streams."""
        key = upstream.instance.partition('.')[0]
        return self.services[key] == 'llm'

    async def retire(self, upstream: SoakUpstream, seconds: float) -> None:
        """Let an upstream leave, some seconds after its entry is deleted.

        One without which its service would have none stays.
        """
        key = upstream.instance.partition('.')[0]
        rest = [each for each in self.upstreams if each is not upstream]
        left = {self.services[each.instance.partition('.')[0]] for each in rest}
        if self.services[key] not in left:
            return
        self.left_at.setdefault(upstream.version, time.monotonic())
        self.upstreams = rest
        self.delist(upstream.instance)
        await asyncio.sleep(seconds)
        await upstream.stop()

    def calm(self, upstream: SoakUpstream) -> None:
        """Let an upstream refuse and copy as often as all upstreams do."""
        upstream.refusing = self.size.refusing
        upstream.late = self.size.late
        upstream.unframed = self.size.unframed
        upstream.copier.fraction = self.size.copying
        upstream.copier.stuttering = self.size.stuttering
        upstream.stutterer.fraction = self.size.stuttering
        upstream.stutterer.crossing = self.size.crossing

    def list_beside(self, upstream: SoakUpstream) -> None:
        """Write the entry of an upstream under its id now, and leave others."""
        key = upstream.instance.partition('.')[0]
        for links, store in zip(self.links, self.stores, strict=True):
            self._write_entry(store, links[key], upstream)

    def delist(self, instance: str) -> None:
        """Delete the entry of an id that is gone, if it is still there."""
        for store in self.stores:
            if store.values.get(f'servers/{instance}') is not None:
                store.delete(f'servers/{instance}')

    def write_config(self) -> None:
        """Write the next version of the configuration to all stores."""
        self.version += 1
        config = _make_config(self.version)
        for store in self.stores:
            store.put('op/config', config)

    def _write_entry(
        self, store: StoreStandIn, link: Link, upstream: SoakUpstream
    ) -> None:
        if not any(each is upstream for each in self.upstreams):
            return  # It has left.
        entry = build_server_entry(
            service=self.services[upstream.instance.partition('.')[0]],
            address=link.address,
            slots=upstream.slots,
            version=upstream.version,
            born=int(upstream.born_s * _MS_PER_S),
        )
        store.put(f'servers/{upstream.instance}', entry)


def _make_config(version: int) -> dict:
    routes = build_route_entries()
    for route in routes:
        if route['name'] == 'once':
            route['timeout-ms'] = 800
            route['target-latency-ms'] = 150
    return build_config(version, routes=routes)


@contextlib.asynccontextmanager
async def run_soak_fleet(
    size: SoakSize,
    source: random.Random,
    log_folder: Path | None = None,
    build_roots: Sequence[Path] = (),
) -> AsyncIterator[SoakFleet]:
    """Run a fleet whose machines are all in rotation.

    ``build_roots`` are checkouts of other builds; machines run them in turn.
    """
    async with contextlib.AsyncExitStack() as stack:
        folder = Path(
            stack.enter_context(tempfile.TemporaryDirectory())
            if log_folder is None
            else log_folder
        )
        stores = []
        for _ in range(size.data_centres):
            store = StoreStandIn()
            await store.start()
            stack.push_async_callback(store.stop)
            store.put('op/config', _make_config(1))
            stores.append(store)
        fleet = SoakFleet(stores, [{} for _ in stores], size=size, stack=stack)
        fleet.machines = _make_machines(fleet, size, folder, build_roots)
        fleet.callers = Callers(
            fleet.machines,
            source,
            same_id=size.same_id,
            resuming=size.resuming,
        )
        stack.callback(fleet.callers.close)
        for service, count in (
            ('app', size.app_upstreams),
            ('llm', size.engines),
        ):
            for number in range(count):
                await fleet.add_upstream(service, number, age_s=_AGE_S)
        for machine in fleet.machines:
            stack.push_async_callback(machine.close)
            machine.start()
        async with asyncio.timeout(_READY_TIMEOUT_S):
            while not all(each.in_rotation for each in fleet.machines):
                await asyncio.sleep(0.1)
        yield fleet


def _make_machines(
    fleet: SoakFleet,
    size: SoakSize,
    folder: Path,
    build_roots: Sequence[Path],
) -> list[Machine]:
    ips = [f'{LOOPBACK_NET}.{number + 1}' for number in range(size.machines)]
    ports = find_ports(ips)
    machines = []
    for number, ip in enumerate(ips):
        group = number % size.data_centres
        name = f'front-{group}-{number}'
        boot = build_boot_settings(
            node=name,
            ip=ip,
            ports=ports,
            seeds=ips[:3],
            store=fleet.stores[group].address,
            zone=f'zone-{group}',
        )
        path = folder / f'{name}.yaml'
        path.write_text(json.dumps(boot), encoding='utf-8')
        machine = Machine(
            name, ip, ports[0], ports[1], path, folder / f'{name}.log'
        )
        if build_roots:
            machine.build_root = build_roots[number % len(build_roots)]
        machines.append(machine)
    return machines
