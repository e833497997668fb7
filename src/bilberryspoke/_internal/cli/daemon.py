"""Entry point of the daemon ``bilberryspoked``."""

import gc
import sys
from pathlib import Path

import fire
import uvloop

from bilberryspoke._internal.config.settings import Settings, read_settings
from bilberryspoke._internal.exceptions import AddressBindError
from bilberryspoke._internal.network.daemon import Daemon
from bilberryspoke._internal.network.logs import configure_logs

EXIT_INVALID_SETTINGS = 2
EXIT_ADDRESS_UNAVAILABLE = 3
_GC_GEN0_THRESHOLD_OBJECTS = 20_000


def run_daemon(settings: str) -> None:
    """Run the router of one VM until SIGTERM or SIGINT.

    Findings about the settings are printed to standard error.

    Exit codes: 0 stopped without cutting off a request, 1 requests were cut
    off, 2 the settings have findings, 3 a listening address could not be
    bound, 4 a background task ended unexpectedly.

    Args:
        settings: settings file of the VM, JSON with comments.
    """
    read_result = read_settings(Path(str(settings)))
    if read_result.is_error():
        for finding in read_result.error:
            print(finding, file=sys.stderr)
        sys.exit(EXIT_INVALID_SETTINGS)
    configure_logs(read_result.ok.vm)
    try:
        exit_code = uvloop.run(_run(read_result.ok))
    except AddressBindError as exc:
        print(exc, file=sys.stderr)
        sys.exit(EXIT_ADDRESS_UNAVAILABLE)
    sys.exit(exit_code)


async def _run(settings: Settings) -> int:
    # Objects that exist at this point live as long as the process; freezing
    # them excludes them from later collections.
    gc.collect()
    gc.freeze()
    gc.set_threshold(_GC_GEN0_THRESHOLD_OBJECTS)
    return await Daemon(settings).run()


def main() -> None:
    """Run ``bilberryspoked`` with the arguments of the command line."""
    fire.Fire(run_daemon, name='bilberryspoked')
