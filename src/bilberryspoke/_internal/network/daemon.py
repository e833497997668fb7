"""The daemon: creates the components, runs them and stops gracefully."""

import asyncio
import signal
import time
from dataclasses import dataclass
from typing import Any

import aiohttp
import structlog

from bilberryspoke._internal.config.settings import Settings
from bilberryspoke._internal.core import Core, CoreSettings
from bilberryspoke._internal.core.membership import Member
from bilberryspoke._internal.models.events import StopRequested, Tick
from bilberryspoke._internal.network.admin import make_admin_app
from bilberryspoke._internal.network.backgroundtasks import BackgroundTasks
from bilberryspoke._internal.network.calldriver import CallDriver
from bilberryspoke._internal.network.configuration import ConfigurationUpdater
from bilberryspoke._internal.network.endpointbase import EndpointContext
from bilberryspoke._internal.network.endpoints import make_entry_app
from bilberryspoke._internal.network.listeners import (
    EmbeddedServer,
    ListeningSockets,
    bind_listener,
    make_server,
)
from bilberryspoke._internal.network.loads import (
    LoadReportPoller,
    ModelLoadOrderSender,
)
from bilberryspoke._internal.network.peers import PeerTransport
from bilberryspoke._internal.network.platformclient import PlatformClient
from bilberryspoke._internal.network.runtime import Runtime
from bilberryspoke._internal.network.upstreams import UpstreamClient
from bilberryspoke._internal.utils.boundedprotocol import BoundedConnector

logger = structlog.get_logger()

_TICK_INTERVAL_S = 0.05
_CALL_CHECK_INTERVAL_S = 0.25
_SERVER_STOP_TIMEOUT_S = 5.0


@dataclass(slots=True)
class Components:
    """The components of a running process."""

    runtime: Runtime
    client: UpstreamClient
    platform_session: aiohttp.ClientSession
    updater: ConfigurationUpdater
    servers: tuple[EmbeddedServer, EmbeddedServer]
    sockets: ListeningSockets

    async def close(self) -> None:
        """Close all connections to peers, upstreams and the platform."""
        self.runtime.peers.close()
        await self.client.close()
        await self.platform_session.close()


def assemble_components(settings: Settings, incarnation: int) -> Components:
    """Bind all addresses and create all components.

    Must run inside the event loop. ``incarnation`` is the start time of the
    process, as Unix time in milliseconds. Raises ``AddressBindError`` if an
    address cannot be bound.
    """
    sockets = ListeningSockets(
        bind_listener(settings.entry),
        bind_listener(settings.admin),
    )
    runtime = _make_runtime(settings, sockets, incarnation)
    client = UpstreamClient(settings.limits, runtime.answers)
    call_driver = CallDriver(runtime, client, settings.limits)
    front = EndpointContext(runtime, call_driver, settings.limits)
    platform_session = aiohttp.ClientSession(connector=BoundedConnector())
    platform = PlatformClient(settings.platform, platform_session)
    updater = ConfigurationUpdater(runtime, platform)
    runtime.on_push = updater.handle_push
    runtime.on_order = ModelLoadOrderSender(runtime, client).send_order
    servers = (
        make_server(make_entry_app(front), settings, tls=True),
        make_server(make_admin_app(runtime), settings, tls=False),
    )
    return Components(
        runtime, client, platform_session, updater, servers, sockets
    )


class Daemon:
    """One VM's process, from its start to its graceful stop.

    SIGTERM or SIGINT starts the stop; a second one aborts open requests.
    """

    def __init__(self, settings: Settings) -> None:
        """Create a daemon with validated settings."""
        self._settings = settings
        self._stop = asyncio.Event()
        self._abort = asyncio.Event()
        self._background_tasks = BackgroundTasks(self._stop)

    async def run(self) -> int:
        """Run until stopped; return the exit code.

        It is 1 if requests were aborted, 4 if a background task ended by
        itself, otherwise 0. Raises ``AddressBindError`` if an address cannot be
        bound.
        """
        components = assemble_components(
            self._settings, time.time_ns() // 1_000_000
        )
        self._install_signals()
        server_tasks = self._start(components)
        logger.info(
            'started',
            entry=components.sockets.entry_address,
            admin=components.sockets.admin_address,
        )
        await self._stop.wait()
        aborted = await self._drain(components.runtime)
        for server in components.servers:
            server.should_exit = True
        await asyncio.wait(server_tasks, timeout=_SERVER_STOP_TIMEOUT_S)
        await self._background_tasks.cancel()
        await components.close()
        logger.info('stopped', requests_aborted=aborted)
        return self._background_tasks.choose_exit_code(aborted=aborted)

    def _start(self, components: Components) -> list[asyncio.Task[Any]]:
        sockets = (components.sockets.entry, components.sockets.admin)
        server_tasks = [
            asyncio.create_task(server.serve(sockets=[sock]))
            for server, sock in zip(components.servers, sockets, strict=True)
        ]
        coroutines = (
            self._tick(components.runtime),
            self._watch_calls(components.runtime),
            LoadReportPoller(components.runtime, components.client).run(),
            components.updater.poll_manifest(),
            components.updater.poll_vm_list(),
        )
        self._background_tasks.start(coroutines)
        return server_tasks

    def _install_signals(self) -> None:
        loop = asyncio.get_running_loop()
        for signum in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signum, self._handle_signal)

    def _handle_signal(self) -> None:
        if self._stop.is_set():
            self._abort.set()
        self._stop.set()

    async def _drain(self, runtime: Runtime) -> int:
        """Wait for open requests to end; return how many have not ended.

        Waits for at least ``settle_s`` seconds, in which new requests still
        arrive, and for at most ``limit_s`` seconds or until a second signal.
        """
        settings = self._settings.stop
        runtime.submit(StopRequested())
        settled_at = time.monotonic() + settings.settle_s
        deadline_at = time.monotonic() + settings.limit_s
        while not self._abort.is_set() and time.monotonic() < deadline_at:
            settled = time.monotonic() >= settled_at
            if settled and not runtime.calls:
                return 0
            await asyncio.sleep(_TICK_INTERVAL_S)
        return len(runtime.calls)

    async def _tick(self, runtime: Runtime) -> None:
        while True:
            _connect_peers(runtime)
            runtime.submit(Tick())
            await asyncio.sleep(_TICK_INTERVAL_S)

    async def _watch_calls(self, runtime: Runtime) -> None:
        limits = self._settings.limits
        while True:
            runtime.report_progress()
            runtime.abort_stalled_calls(
                limits.send_timeout_s,
                limits.upstream_idle_s,
            )
            await asyncio.sleep(_CALL_CHECK_INTERVAL_S)


def _make_runtime(
    settings: Settings,
    sockets: ListeningSockets,
    incarnation: int,
) -> Runtime:
    peers = PeerTransport(settings.vm, incarnation)
    peer_address = peers.bind(settings.peers.host, settings.peers.port)
    scheme = 'https' if settings.tls else 'http'
    core = Core(
        CoreSettings(
            vm=settings.vm,
            data_centre=settings.data_centre,
            incarnation=incarnation,
            policy=settings.policy,
            peer_address=peer_address,
            entry_url=f'{scheme}://{sockets.entry_address}',
            admin_url=f'http://{sockets.admin_address}',
            max_queued_requests=settings.limits.queue_length,
            retry_share=settings.limits.retry_share,
            weights_per_s=settings.platform.weights_per_s,
        ),
    )
    members = core.state.membership.members
    for seed in settings.peers.seeds:
        if seed.name != settings.vm:
            members[seed.name] = Member(seed.name, peer_address=seed.address)
            peers.connect_peer(seed.name, seed.address)
    runtime = Runtime(core, peers=peers)
    peers.start_receiving(runtime.handle_envelope, runtime.handle_peer_loss)
    return runtime


def _connect_peers(runtime: Runtime) -> None:
    state = runtime.core.state
    for name, member in state.membership.members.items():
        if member.peer_address:
            runtime.peers.connect_peer(name, member.peer_address)
