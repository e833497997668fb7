"""Fleets of routing processes with stand-ins for store and upstreams."""

import asyncio
import contextlib
import json
import os
import signal
import sys
import tempfile
from collections.abc import AsyncIterator, Callable, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import aiohttp
from yarl import URL

from demo.processes import find_free_ports

# These register the scripted answers.
from fakes import scripts as scripts
from fakes import unframedstreams as unframedstreams
from fakes.addresses import LOOPBACK_NET as LOOPBACK_NET
from fakes.modelengine import ModelEngine
from fakes.store import StoreStandIn
from fakes.upstream import UpstreamStandIn
from tests.lib.platformdata import (
    build_boot_settings,
    build_config,
    build_server_entry,
)

WAIT_TIMEOUT_S = 20
_POLL_INTERVAL_S = 0.02


@dataclass(slots=True)
class CallerResponse:
    """A response as received.

    ``whole`` is False if the connection broke within the body.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    whole: bool = True


@dataclass(slots=True)
class RouterProcess:
    """A routing process; ``log_lines`` are the lines of its stdout."""

    ip: str
    entry_port: int
    ready_port: int
    metrics_port: int
    boot_path: Path
    process: asyncio.subprocess.Process | None = None
    log_lines: list[str] = field(default_factory=list)
    reader_task: asyncio.Task[None] | None = None

    @property
    def url(self) -> str:
        """Base address for callers."""
        return f'http://{self.ip}:{self.entry_port}'

    async def start(self) -> None:
        """Start the process."""
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-c',
            'from bilberryspoke._internal.cli.node import main; main()',
            env={**os.environ, 'BILBERRYSPOKE_BOOT': str(self.boot_path)},
            stdout=asyncio.subprocess.PIPE,
        )
        self.reader_task = asyncio.create_task(self._read_lines())

    async def _read_lines(self) -> None:
        async for line in self.process.stdout:
            self.log_lines.append(line.decode())

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        self.process.send_signal(number)

    def list_events(self, name: str) -> list[dict]:
        """Return the decoded log lines of an event."""
        decoded = [json.loads(line) for line in self.log_lines]
        return [line for line in decoded if line.get('event') == name]

    async def is_ready(self, session: aiohttp.ClientSession) -> bool:
        """Probe readiness as the platform's load balancer does."""
        url = f'http://{self.ip}:{self.ready_port}/-/ready'
        try:
            async with session.get(url) as resp:
                return resp.status == 200
        except aiohttp.ClientError:
            return False

    async def read_metrics(self, session: aiohttp.ClientSession) -> list[str]:
        """Return the lines of the process's metrics."""
        url = f'http://{self.ip}:{self.metrics_port}/metrics'
        async with session.get(url) as resp:
            return (await resp.text()).splitlines()

    async def stop(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


@dataclass(slots=True)
class RoutedFleet:
    """A store, upstreams by instance name, and routing processes."""

    store: StoreStandIn
    session: aiohttp.ClientSession
    upstreams: dict[str, UpstreamStandIn] = field(default_factory=dict)
    nodes: list[RouterProcess] = field(default_factory=list)

    async def add_upstream(
        self,
        upstream: UpstreamStandIn,
        service: str,
        **changes: str | int,
    ) -> None:
        """Start an upstream and write its store entry.

        ``changes`` replace fields of the entry.
        """
        await upstream.start()
        self.upstreams[upstream.instance] = upstream
        self.write_upstream_entry(upstream.instance, service, **changes)

    def write_upstream_entry(
        self, instance: str, service: str, **changes
    ) -> None:
        """Write an upstream's store entry; ``changes`` replace its fields."""
        address = self.upstreams[instance].address
        server = build_server_entry(service=service, address=address, **changes)
        self.store.put(f'servers/{instance}', server)

    async def call(
        self,
        path: str,
        req_id: str,
        *,
        node: int = 0,
        method: str = 'GET',
        key: str | None = 'key-1',
        body: bytes | None = None,
        received: bytearray | None = None,
        **headers: str,
    ) -> CallerResponse:
        """Send a call to a routing process and return the response.

        ``key`` is the API key, or None for none; underscores in the names of
        ``headers`` become dashes. ``received`` gets the body as it arrives.
        ``whole`` of the response is False if the connection broke within the
        body.
        """
        req_headers = {
            'Host': 'calls.example',
            'X-Attempt-Id': req_id,
            'X-Deadline-Ms': '5000',
        }
        if key is not None:
            req_headers['Authorization'] = f'Bearer {key}'
        for name, text in headers.items():
            req_headers[name.replace('_', '-')] = text
        url = URL(self.nodes[node].url + path, encoded=True)
        async with self.session.request(
            method,
            url,
            data=body,
            headers=req_headers,
        ) as resp:
            received = bytearray() if received is None else received
            resp_headers = {
                name.lower(): text for name, text in resp.headers.items()
            }
            try:
                async for chunk in resp.content.iter_any():
                    received += chunk
            except aiohttp.ClientError:
                return CallerResponse(
                    resp.status, resp_headers, bytes(received), whole=False
                )
            return CallerResponse(resp.status, resp_headers, bytes(received))

    async def send_calls(
        self, seconds: float, *, per_s: int, prefix: str
    ) -> list[CallerResponse]:
        """Send safe calls to all processes in turn; return their responses.

        ``prefix`` begins their request ids.
        """
        tasks = []
        for number in range(round(seconds * per_s)):
            node = number % len(self.nodes)
            call = self.call('/safe/', f'{prefix}{number}', node=node)
            tasks.append(asyncio.create_task(call))
            await asyncio.sleep(1 / per_s)
        return await asyncio.gather(*tasks)

    def count_runs(self, req_id: str) -> int:
        """Return how often a call ran, over all upstreams."""
        upstreams = self.upstreams.values()
        return sum(upstream.count_runs(req_id) for upstream in upstreams)

    async def wait_ready(self) -> None:
        """Wait until all processes are ready."""
        for node in self.nodes:
            await self._wait_node(node)

    async def _wait_node(self, node: RouterProcess) -> None:
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while not await node.is_ready(self.session):
                await asyncio.sleep(_POLL_INTERVAL_S)


async def wait_until(condition: Callable[[], object]) -> None:
    """Poll until a condition holds.

    Raises TimeoutError after ``WAIT_TIMEOUT_S``.
    """
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while not condition():
            await asyncio.sleep(_POLL_INTERVAL_S)


def list_adopted_versions(node: RouterProcess) -> list[int]:
    """Return the versions of the routes that a process has adopted."""
    return [line['version'] for line in node.list_events('routes_adopted')]


@contextlib.asynccontextmanager
async def run_routed_fleet(
    *,
    nodes: int = 1,
    app_upstreams: int = 2,
    scripted_engines: int = 2,
    models: int = 0,
    retry_reserve: int = 56,
    retry_window_s: float = 0.5,
    grace_s: float = 8,
    seeds: int | None = None,
    stores: Sequence[StoreStandIn] = (),
    limits: dict[str, int] | None = None,
) -> AsyncIterator[RoutedFleet]:
    """Run a store, upstreams and ready routing processes.

    ``nodes`` is the number of routing processes, ``app_upstreams`` that of
    scripted upstreams of the service ``app``. The service ``llm`` gets
    ``scripted_engines``, which answer by script, and ``models``, which behave
    as batching model engines. ``retry_reserve``, ``retry_window_s`` and
    ``grace_s`` are as in ``build_boot_settings``. The settings of each process
    name the first ``seeds`` processes, or all of them if it is None. Each
    process reads its own one of ``stores``, which run already, if there are
    any. ``limits`` are those of a machine, as the settings name them.
    """
    store = StoreStandIn()
    await store.start()
    store.put('op/config', build_config())
    connector = aiohttp.TCPConnector(limit=0)
    async with contextlib.AsyncExitStack() as stack:
        stack.push_async_callback(store.stop)
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        session = await stack.enter_async_context(
            aiohttp.ClientSession(
                connector=connector,
                auto_decompress=False,
                timeout=aiohttp.ClientTimeout(total=WAIT_TIMEOUT_S),
            ),
        )
        fleet = RoutedFleet(store, session)
        for number in range(app_upstreams):
            app_upstream = UpstreamStandIn(f'i-app{number}', 'whole')
            await fleet.add_upstream(app_upstream, 'app')
        for number in range(scripted_engines):
            scripted = UpstreamStandIn(f'i-llm{number}', 'stream')
            await fleet.add_upstream(scripted, 'llm')
        for number in range(models):
            await fleet.add_upstream(ModelEngine(f'i-model{number}'), 'llm')
        for upstream in fleet.upstreams.values():
            stack.push_async_callback(upstream.stop)
        fleet.nodes = _make_nodes(
            stores or [store] * nodes,
            Path(folder),
            seeds,
            retry_reserve=retry_reserve,
            retry_window_s=retry_window_s,
            grace_s=grace_s,
            **({} if limits is None else {'limits': limits}),
        )
        for node in fleet.nodes:
            stack.push_async_callback(node.stop)
            await node.start()
        await fleet.wait_ready()
        # A new process has no part of the retry reserve before.
        await asyncio.sleep(retry_window_s)
        yield fleet


def find_ports(ips: Sequence[str]) -> list[int]:
    """Return free ports; the last three are the range between processes."""
    while True:
        ports = find_free_ports(6, ips)
        if ports[3:] == [*range(ports[3], ports[3] + 3)]:
            return [*ports[:4], ports[5]]


def _make_nodes(
    stores: Sequence[StoreStandIn],
    folder: Path,
    seeds: int | None,
    **changes: Any,
) -> list[RouterProcess]:
    ips = [f'{LOOPBACK_NET}.{number + 1}' for number in range(len(stores))]
    ports = find_ports(ips)
    nodes = []
    for number, ip in enumerate(ips):
        boot = build_boot_settings(
            node=f'front-{number}',
            ip=ip,
            ports=ports,
            seeds=ips[:seeds],
            store=stores[number].address,
            **changes,
        )
        path = folder / f'settings-{number}.yaml'
        path.write_text(json.dumps(boot), encoding='utf-8')
        nodes.append(RouterProcess(ip, ports[0], ports[1], ports[-1], path))
    return nodes


TERM = signal.SIGTERM
HUP = signal.SIGHUP
