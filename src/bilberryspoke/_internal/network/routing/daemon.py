"""Daemon that routes calls on the users' platform."""

import asyncio
import signal
import socket
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import structlog
from expression import Result

from bilberryspoke._internal.core import Core, CoreSettings
from bilberryspoke._internal.core.routing.stopping import (
    DRAIN_TIMEOUT_FRACTION,
)
from bilberryspoke._internal.models.events import (
    StopRequested,
    Tick,
)
from bilberryspoke._internal.models.findings import Finding
from bilberryspoke._internal.models.routing_events import SeedsConfigured
from bilberryspoke._internal.models.vmsettings import VmSettings
from bilberryspoke._internal.network.backgroundtasks import BackgroundTasks
from bilberryspoke._internal.network.intake import Intake, IntakeBounds
from bilberryspoke._internal.network.listeners import (
    EmbeddedServer,
    make_routing_server,
)
from bilberryspoke._internal.network.peers import PeerTransport
from bilberryspoke._internal.network.routing.discovery import (
    DiscoveryWatcher,
)
from bilberryspoke._internal.network.routing.ingress import Ingress
from bilberryspoke._internal.network.routing.probes import (
    make_metrics_app,
    make_probe_app,
)
from bilberryspoke._internal.network.routing.sending import CallSender
from bilberryspoke._internal.network.runtime import Runtime
from bilberryspoke._internal.platform.store import StoreClient

logger = structlog.get_logger()

_TICK_INTERVAL_S = 0.05
# Callers' connections get ``IngressLimits.idle_timeout_s`` of the route table
# instead, set by IngressProtocol.
_KEEP_ALIVE_TIMEOUT_S = 15.0
# Routes have at most 1 MB, and the upstreams of a large fleet less.
_MAX_ENVELOPE_BYTES = 4_194_304
# The load balancer removes a VM after two failed probes, one second apart, and
# sends new connections until then.
_DEREGISTRATION_DELAY_S = 3.0

# Share of the memory for requests of callers. The process uses about half of a
# small machine's at rest.
_REQUEST_MEMORY_SHARE = 0.3
# Share of the descriptors for connections of callers. Others are for
# upstreams, VMs and files.
_CALLER_SHARE = 0.4

SettingsReader = Callable[[Path], Result[VmSettings, list[Finding]]]


@dataclass(slots=True)
class _Components:
    runtime: Runtime
    sender: CallSender
    store: StoreClient
    ingresses: tuple[Ingress, ...]
    servers: tuple[EmbeddedServer, ...]


class RoutingDaemon:
    """Routing daemon of one VM, from its start to its graceful shutdown."""

    def __init__(
        self,
        settings: VmSettings,
        settings_path: Path,
        read_settings: SettingsReader,
        sockets: Sequence[socket.socket],
    ) -> None:
        """Create a daemon.

        ``read_settings`` reads and checks the settings file on SIGHUP.
        ``sockets`` listen for callers, for probes, for metrics and, if other
        VMs can hand off calls, for these, in this order.
        """
        self._settings = settings
        self._sockets = tuple(sockets)
        self._settings_path = settings_path
        self._read_settings = read_settings
        self._stop = asyncio.Event()
        self._background_tasks = BackgroundTasks(self._stop)

    async def run(self) -> int:
        """Run until SIGTERM or SIGINT; return the exit code.

        The exit code is 1 if calls were aborted, 4 if a background task ended
        by itself, otherwise 0. Raises ``AddressBindError`` if the address for
        other VMs cannot be bound.
        """
        components = self._create_components()
        self._install_signal_handlers()
        server_tasks = self._start(components)
        logger.info(
            'started',
            entry=self._settings.entry_address,
            data_centre=self._settings.data_centre,
            store=self._settings.store_address,
            cpu_s=round(time.process_time(), 3),
        )
        await self._stop.wait()
        aborted = await self._drain(components, server_tasks)
        logger.info('stopped', calls_aborted=aborted)
        return self._background_tasks.choose_exit_code(aborted=aborted)

    def _create_components(self) -> _Components:
        settings = self._settings
        incarnation = time.time_ns() // 1_000_000
        peers = PeerTransport(
            settings.vm, incarnation, max_envelope_bytes=_MAX_ENVELOPE_BYTES
        )
        peer_address = peers.bind(settings.ip, settings.peer_port)
        core = Core(
            CoreSettings(
                vm=settings.vm,
                data_centre=settings.data_centre,
                incarnation=incarnation,
                peer_address=peer_address,
                bounds=settings.bounds,
                shares_slots=False,
                handoff_port=settings.handoff_port,
            ),
        )
        runtime = Runtime(core, peers=peers)
        peers.start_receiving(runtime.handle_envelope, runtime.handle_peer_loss)
        seeds = tuple(
            f'{host}:{settings.peer_port}' for host in settings.seed_hosts
        )
        runtime.submit(SeedsConfigured(seeds))
        sender = CallSender(runtime.submit)
        runtime.on_probe = sender.prober.start
        ingress = Ingress(runtime, sender)
        intake = Intake(
            IntakeBounds(
                memory_bytes=int(settings.memory_bytes * _REQUEST_MEMORY_SHARE),
                connections=int(settings.max_descriptors * _CALLER_SHARE),
            ),
            runtime.report_overload,
        )
        helper_ingresses = []
        if settings.handoff_port is not None:
            helper_ingresses.append(
                Ingress(runtime, sender, takes_handoffs=True)
            )
        return _Components(
            runtime=runtime,
            sender=sender,
            store=StoreClient(settings.store_address, settings.ip),
            ingresses=(ingress, *helper_ingresses),
            servers=(
                _make_call_server(ingress, intake),
                make_routing_server(
                    make_probe_app(runtime), keep_alive_s=_KEEP_ALIVE_TIMEOUT_S
                ),
                make_routing_server(
                    make_metrics_app(runtime),
                    keep_alive_s=_KEEP_ALIVE_TIMEOUT_S,
                ),
                *(_make_call_server(each) for each in helper_ingresses),
            ),
        )

    def _start(self, components: _Components) -> list[asyncio.Task[Any]]:
        server_tasks = [
            asyncio.create_task(server.serve(sockets=[sock]))
            for server, sock in zip(
                components.servers, self._sockets, strict=True
            )
        ]
        watcher = DiscoveryWatcher(components.runtime, components.store)
        components.runtime.on_refresh = watcher.refresh_upstreams
        loops = (
            self._tick(components.runtime),
            watcher.watch_routes(),
            watcher.watch_upstreams(),
        )
        self._background_tasks.start(loops)
        return server_tasks

    def _install_signal_handlers(self) -> None:
        loop = asyncio.get_running_loop()
        for signum in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signum, self._stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._check_settings)

    def _check_settings(self) -> None:
        """Check the settings file and log whether it differs.

        Changes are not applied before the next start, which is also when the
        addresses are bound.
        """
        result = self._read_settings(self._settings_path)
        if result.is_error():
            findings = [str(finding) for finding in result.error]
            logger.error('settings_invalid', findings=findings)
            return
        changed = result.ok != self._settings
        logger.info('settings_checked', changed=changed)

    async def _drain(
        self,
        components: _Components,
        server_tasks: list[asyncio.Task[Any]],
    ) -> int:
        """Serve open and new calls until the servers stop or time runs out.

        Returns how many calls were aborted.
        """
        limit_s = self._settings.bounds.stop_timeout_s * DRAIN_TIMEOUT_FRACTION
        deadline_at = time.monotonic() + limit_s
        logger.info('stopping', calls_open=len(components.runtime.calls))
        for ingress in components.ingresses:
            ingress.stopping = True
        for exchange in components.runtime.calls.values():
            exchange.close_connection = True
        components.runtime.submit(StopRequested())
        await asyncio.sleep(min(_DEREGISTRATION_DELAY_S, limit_s))
        for server in components.servers:
            server.should_exit = True
        remaining_s = max(0, deadline_at - time.monotonic())
        await asyncio.wait(server_tasks, timeout=remaining_s)
        # Those whose connections are closed now end before this returns.
        aborted = len(components.runtime.calls)
        await self._background_tasks.cancel()
        components.runtime.peers.close()
        await components.sender.close()
        await components.store.close()
        return aborted

    async def _tick(self, runtime: Runtime) -> None:
        while True:
            runtime.submit(Tick())
            await asyncio.sleep(_TICK_INTERVAL_S)


def _make_call_server(
    ingress: Ingress, intake: Intake | None = None
) -> EmbeddedServer:
    return make_routing_server(
        ingress,
        keep_alive_s=_KEEP_ALIVE_TIMEOUT_S,
        get_limits=ingress.get_limits,
        intake=intake,
    )
