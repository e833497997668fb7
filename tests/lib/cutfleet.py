"""Fleets of routing processes whose links to upstreams can be cut."""

import asyncio
import contextlib
import itertools
from collections.abc import AsyncIterator, Iterable, Sequence
from dataclasses import dataclass

from fakes.links import Link
from fakes.store import StoreStandIn
from fakes.upstream import UpstreamStandIn
from tests.lib.platformdata import build_config, build_server_entry
from tests.lib.routedfleet import (
    CallerResponse,
    RoutedFleet,
    run_routed_fleet,
    wait_until,
)


@dataclass(slots=True)
class CutFleet:
    """A fleet whose processes reach each upstream by a link of their own.

    ``links`` and ``stores`` hold those of each process.
    """

    fleet: RoutedFleet
    upstreams: list[UpstreamStandIn]
    links: list[list[Link]]
    stores: list[StoreStandIn]

    def cut(self, nodes: Iterable[int], how: str) -> None:
        """Cut processes off from all upstreams, by a method of the link."""
        for node in nodes:
            for link in self.links[node]:
                getattr(link, how)()

    async def mend(self, nodes: Iterable[int]) -> None:
        """End the cut of processes."""
        for node in nodes:
            for link in self.links[node]:
                await link.start()

    async def send_calls(
        self, seconds: float, *, per_s: float, prefix: str, path: str = '/safe/'
    ) -> list[list[CallerResponse]]:
        """Send calls to each process; return the responses by process.

        ``per_s`` is the rate at each process.
        """
        tasks: list[list[asyncio.Task]] = [[] for _ in self.links]
        for number in range(round(seconds * per_s)):
            for node, sent in enumerate(tasks):
                req_id = f'{prefix}{node}-{number}'
                call = self.fleet.call(path, req_id, node=node, method='POST')
                sent.append(asyncio.create_task(call))
            await asyncio.sleep(1 / per_s)
        return [await asyncio.gather(*sent) for sent in tasks]


@contextlib.asynccontextmanager
async def run_cut_fleet(
    *,
    nodes: int,
    upstreams: int = 4,
    service: str = 'app',
    versions: Sequence[str] = ('v1',),
) -> AsyncIterator[CutFleet]:
    """Run processes and upstreams of one service, with links between them.

    The upstreams run the software ``versions`` in turn.
    """
    script = 'whole' if service == 'app' else 'stream'
    async with contextlib.AsyncExitStack() as stack:
        standins = [
            UpstreamStandIn(f'i-{number}', script)
            for number in range(upstreams)
        ]
        for upstream in standins:
            await upstream.start()
            stack.push_async_callback(upstream.stop)
        stores = []
        links = []
        for _ in range(nodes):
            store = StoreStandIn()
            await store.start()
            stack.push_async_callback(store.stop)
            stores.append(store)
            linked = await _link_upstreams(
                stack, store, standins, service, versions
            )
            links.append(linked)
        fleet = await stack.enter_async_context(
            run_routed_fleet(
                nodes=nodes, app_upstreams=0, scripted_engines=0, stores=stores
            )
        )
        await wait_until(lambda: all(map(_knows_peers, fleet.nodes)))
        yield CutFleet(fleet, standins, links, stores)


def _knows_peers(node) -> bool:
    return bool(node.list_events('peer_discovered'))


async def _link_upstreams(
    stack: contextlib.AsyncExitStack,
    store: StoreStandIn,
    upstreams: Iterable[UpstreamStandIn],
    service: str,
    versions: Sequence[str],
) -> list[Link]:
    """Start a process's links and list them as the upstreams' addresses."""
    store.put('op/config', build_config())
    links = []
    for upstream, version in zip(
        upstreams, itertools.cycle(versions), strict=False
    ):
        link = Link(upstream.address)
        await link.start()
        stack.push_async_callback(link.stop)
        entry = build_server_entry(
            service=service, address=link.address, slots=64, version=version
        )
        store.put(f'servers/{upstream.instance}', entry)
        links.append(link)
    return links
