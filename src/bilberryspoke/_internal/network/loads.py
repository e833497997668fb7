"""Polls model engines for load reports and sends them model load orders."""

import asyncio

import aiohttp

from bilberryspoke._internal.core.orders import MAX_ORDER_DELAY_S
from bilberryspoke._internal.core.policies.registry import find_policy
from bilberryspoke._internal.models.effects import OrderModelLoad
from bilberryspoke._internal.models.events import (
    LoadReported,
    LoadReportMissed,
    ModelLoadOrderEnded,
)
from bilberryspoke._internal.network.clock import read_boottime
from bilberryspoke._internal.network.runtime import Runtime
from bilberryspoke._internal.network.upstreams import UpstreamClient

# Also the timeout of each poll.
_POLL_INTERVAL_S = 0.5


class LoadReportPoller:
    """Reads the load reports of engines and passes them to the core."""

    def __init__(self, runtime: Runtime, client: UpstreamClient) -> None:
        """Create a poller; ``run`` starts it."""
        self._runtime = runtime
        self._client = client

    async def run(self) -> None:
        """Read all reports every ``_POLL_INTERVAL_S`` until cancelled."""
        while True:
            urls = list_polled_urls(self._runtime)
            await asyncio.gather(*(self._poll(*each) for each in urls.items()))
            await asyncio.sleep(_POLL_INTERVAL_S)

    async def _poll(self, name: str, url: str) -> None:
        try:
            report = await self._client.read_load_report(url, _POLL_INTERVAL_S)
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            self._runtime.counters.add('load_report_errors', name)
            self._runtime.submit(LoadReportMissed(name))
            return
        self._runtime.submit(
            LoadReported(
                name,
                report.running,
                report.waiting,
                tuple(report.prefixes),
                None if report.models is None else tuple(report.models),
                report.fencing,
            ),
        )


class ModelLoadOrderSender:
    """Sends orders to load a model, which the core issues, to engines."""

    def __init__(self, runtime: Runtime, client: UpstreamClient) -> None:
        """Create a sender without any order."""
        self._runtime = runtime
        self._client = client
        self._tasks: set[asyncio.Task[None]] = set()

    def send_order(self, order: OrderModelLoad) -> None:
        """Send an order in the background.

        Its end is submitted as ``ModelLoadOrderEnded``.
        """
        task = asyncio.create_task(self._send_order(order))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send_order(self, order: OrderModelLoad) -> None:
        catalog = self._runtime.core.state.catalog
        upstream = catalog.upstreams.get(order.upstream)
        accepted = upstream is not None and await self._client.post_order(
            upstream.url,
            order,
            MAX_ORDER_DELAY_S,
        )
        self._runtime.submit(ModelLoadOrderEnded(order.upstream, accepted))


def list_polled_urls(runtime: Runtime) -> dict[str, str]:
    """Return the URLs of the engines whose load this VM reads, by name.

    An owner reads those of its pools; under a policy without owners every
    VM reads all.
    """
    state = runtime.core.state
    if state.catalog is None:
        return {}
    policy = find_policy(state.settings.policy)
    now = read_boottime()
    return {
        upstream.name: upstream.url
        for pool in state.catalog.pools.values()
        if pool.serves == 'model'
        and policy.find_owner(state, pool.name, now) == state.vm
        for upstream in state.catalog.list_upstreams(pool.name)
    }
