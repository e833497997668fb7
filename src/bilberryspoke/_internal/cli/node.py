"""Entry point of the daemon ``bilberryspoke-node``, run by the platform.

The listening sockets are bound before most modules are imported: connections
of callers that arrive during the imports wait in the listen backlog instead
of being refused.
"""

import dataclasses
import gc
import os
import signal
import socket
import sys
from collections.abc import Sequence
from pathlib import Path

from bilberryspoke._internal.exceptions import AddressBindError
from bilberryspoke._internal.models.vmsettings import VmSettings
from bilberryspoke._internal.network.binding import (
    bind_address,
    parse_address,
)
from bilberryspoke._internal.platform.boot import (
    BOOT_VARIABLE,
    read_boot_settings,
)

EXIT_INVALID_SETTINGS = 2
EXIT_ADDRESS_UNAVAILABLE = 3
_GC_GEN0_THRESHOLD_OBJECTS = 20_000


def run_node(settings: str = '', metrics_port: int = 0) -> None:
    """Route calls between callers and upstreams until SIGTERM or SIGINT.

    Findings about the settings are printed to standard error.

    Exit codes: 0 stopped without cutting off a call, 1 calls were cut off,
    2 the settings have findings, 3 a listening address could not be bound,
    4 a background task ended unexpectedly.

    Args:
        settings: settings file (YAML) that the platform writes; by default
            the file that the environment variable BILBERRYSPOKE_BOOT names.
        metrics_port: port of the metrics on this VM's address; by default
            the last port of internal-ports in the settings.
    """
    # Until the daemon has its handler, SIGHUP would end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    path = Path(str(settings) or os.environ.get(BOOT_VARIABLE, ''))
    read_result = read_boot_settings(path)
    if read_result.is_error():
        for finding in read_result.error:
            print(finding, file=sys.stderr)
        sys.exit(EXIT_INVALID_SETTINGS)
    node = read_result.ok
    if metrics_port:
        node = dataclasses.replace(node, metrics_port=metrics_port)
    try:
        exit_code = _run_daemon(node, path, _bind_sockets(node))
    except AddressBindError as exc:
        print(exc, file=sys.stderr)
        exit_code = EXIT_ADDRESS_UNAVAILABLE
    sys.exit(exit_code)


def _bind_sockets(node: VmSettings) -> list[socket.socket]:
    sockets = [
        bind_address(*parse_address(node.entry_address)),
        bind_address(*parse_address(node.ready_address)),
        bind_address(node.ip, node.metrics_port),
    ]
    if node.handoff_port is not None:
        sockets.append(bind_address(node.ip, node.handoff_port))
    return sockets


def _run_daemon(
    node: VmSettings,
    path: Path,
    sockets: Sequence[socket.socket],
) -> int:
    import uvloop

    from bilberryspoke._internal.network.logs import configure_logs
    from bilberryspoke._internal.network.routing.daemon import RoutingDaemon

    configure_logs(node.vm)
    # Objects that exist at this point live as long as the process; freezing
    # them excludes them from later collections.
    gc.collect()
    gc.freeze()
    gc.set_threshold(_GC_GEN0_THRESHOLD_OBJECTS)
    # deploy/node.py disables collection while the modules are imported.
    gc.enable()

    async def run() -> int:
        return await RoutingDaemon(
            node,
            path,
            read_boot_settings,
            sockets,
        ).run()

    return uvloop.run(run())


def main() -> None:
    """Run ``bilberryspoke-node`` with the arguments of the command line."""
    import fire

    fire.Fire(run_node, name='bilberryspoke-node')
