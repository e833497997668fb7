"""Runs the routing process from a checkout, without an installed package."""

import gc
import signal
import sys
from pathlib import Path

# A SIGHUP during the imports would end the process; run_node does the same,
# but they come before it.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

# Imports create no garbage, so collection would only delay the start.
# run_node turns it on again.
gc.disable()
sys.path.insert(0, str(Path(__file__).resolve().parent.parent / 'src'))

from bilberryspoke._internal.cli.node import run_node  # noqa: E402

# The port of ``metrics`` in system.toml, where the platform reads the metrics.
_METRICS_PORT = 9464

run_node(metrics_port=_METRICS_PORT)
