"""Runs the routing process from a checkout, without an installed package."""

import signal

# A SIGHUP before the daemon has its handler would end the process, also during
# the imports.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

import gc  # noqa: E402
import sys  # noqa: E402
from pathlib import Path  # noqa: E402

# Imports create no garbage, so collection would only delay the start.
# run_node turns it on again.
gc.disable()
_ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(_ROOT / 'src'))
sys.path.append(str(_ROOT / 'target' / 'deps'))

from bilberryspoke._internal.cli.node import run_node  # noqa: E402

# The port of ``metrics`` in system.toml, where the platform reads the metrics.
_METRICS_PORT = 9464

run_node(metrics_port=_METRICS_PORT)
