"""Log lines about decisions, limited in rate, on a non-blocking output."""

import os
import sys
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

import structlog

from bilberryspoke._internal.metrics.counters import Counters
from bilberryspoke._internal.utils.bucket import TokenBucket

# Each is also the burst size of its token bucket. Important lines have a limit
# of their own, so that routine ones cannot use it up.
_MAX_ROUTINE_LINES_PER_S = 60
_MAX_IMPORTANT_LINES_PER_S = 200
_MAX_PENDING_LINES = 2000


@dataclass(slots=True)
class DecisionLog:
    """Writes a line for each decision, within limits on the rate.

    ``routine`` and ``important`` are the token buckets of the two limits.
    Lines about failures are important, all others routine; routine lines have
    the lower limit. Suppressed lines are counted, and their count is logged
    before the next line that is written.
    """

    counters: Counters
    routine: TokenBucket = field(
        default_factory=lambda: TokenBucket(
            _MAX_ROUTINE_LINES_PER_S,
            _MAX_ROUTINE_LINES_PER_S,
        ),
    )
    important: TokenBucket = field(
        default_factory=lambda: TokenBucket(
            _MAX_IMPORTANT_LINES_PER_S,
            _MAX_IMPORTANT_LINES_PER_S,
        ),
    )
    suppressed: int = 0

    def write(
        self,
        event: str,
        fields: Mapping[str, object],
        now: float,
        *,
        important: bool,
    ) -> None:
        """Write a line, or count it as suppressed if over the limit.

        ``now`` is in seconds of the boot-time clock.
        """
        # ``take`` returns 0 if it took a token, else the seconds to the next.
        bucket = self.important if important else self.routine
        if bucket.take(now):
            self.suppressed += 1
            self.counters.add('log_lines_left_out')
            return
        logger = structlog.get_logger()
        if self.suppressed:
            logger.info('log_lines_suppressed', count=self.suppressed)
            self.suppressed = 0
        logger.info(event, **fields)


class LineWriter:
    """File-like output that never blocks.

    Lines that cannot be written yet, since the output's reader is slow, are
    held in memory, up to ``_MAX_PENDING_LINES``. Further lines are dropped
    and counted in ``dropped``.
    """

    def __init__(self, descriptor: int) -> None:
        """Create an output on a file descriptor in non-blocking mode."""
        self.dropped = 0
        self._descriptor = descriptor
        self._pending: deque[bytes] = deque()

    def write(self, text: str) -> None:
        """Queue a line and write as much as possible without blocking."""
        if len(self._pending) >= _MAX_PENDING_LINES:
            self.dropped += 1
            return
        self._pending.append(text.encode())
        self.flush()

    def flush(self) -> None:
        """Write pending lines as far as possible without blocking."""
        while self._pending:
            line = self._pending[0]
            try:
                written = os.write(self._descriptor, line)
            except OSError:
                return
            if written < len(line):
                self._pending[0] = line[written:]
                return
            self._pending.popleft()


def open_standard_output() -> Any:
    """Set standard output to non-blocking mode and return a writer to it."""
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    return LineWriter(descriptor)
