"""Entry point of the process that routes calls on the users' platform."""

import dataclasses
import gc
import os
import sys
from pathlib import Path

import fire
import uvloop

from bilberryspoke._internal.exceptions import AddressInUseError
from bilberryspoke._internal.models.node import NodeSettings
from bilberryspoke._internal.network.logs import configure_logs
from bilberryspoke._internal.network.routing.daemon import RoutingDaemon
from bilberryspoke._internal.platform.boot import (
    BOOT_VARIABLE,
    read_boot_settings,
)

EXIT_SETTINGS = 2
EXIT_ADDRESS = 3
_GC_YOUNG_OBJECTS = 20_000


def run_node(settings: str = '', metrics_port: int = 0) -> None:
    """Route calls on the users' platform until SIGTERM or SIGINT.

    Exit codes: 0 stopped with nothing cut off, 1 calls were cut off,
    2 the settings have findings, 3 an address is in use.

    Args:
        settings: file of settings; by default the one that the environment
            variable BILBERRYSPOKE_BOOT names.
        metrics_port: port of the metrics on this VM's address; by default
            the last of the ports that are free between VMs.
    """
    path = Path(str(settings) or os.environ.get(BOOT_VARIABLE, ''))
    found = read_boot_settings(path)
    if found.is_error():
        for finding in found.error:
            print(finding, file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    node = found.ok
    if metrics_port:
        node = dataclasses.replace(node, metrics_port=metrics_port)
    configure_logs(node.vm)
    try:
        code = uvloop.run(_run(node, path))
    except AddressInUseError as exc:
        print(exc, file=sys.stderr)
        sys.exit(EXIT_ADDRESS)
    sys.exit(code)


async def _run(node: NodeSettings, path: Path) -> int:
    # What lives as long as the process need not be looked through again.
    gc.collect()
    gc.freeze()
    gc.set_threshold(_GC_YOUNG_OBJECTS)
    return await RoutingDaemon(node, path, read_boot_settings).run()


def main() -> None:
    """Run the command line."""
    fire.Fire(run_node, name='bilberryspoke-node')
