"""Processes of the soak, their load balancer and the signals that they get."""

import asyncio
import contextlib
import os
import signal
import sys
import time
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path

from tests.soak import cutnode

_PROBE_INTERVAL_S = 1.0
_PROBE_TIMEOUT_S = 1.0
_MISSES_OUT_OF_ROTATION = 2
_RESTART_DELAY_S = 0.5
_OWN_BUILD = Path(__file__).resolve().parents[2]


@dataclass(slots=True)
class Machine:
    """A VM, whose process is started again whenever it ends.

    ``ended_alone`` holds the exit codes of processes that ended without a
    signal to end. ``in_rotation`` is whether it gets new connections.
    ``build_root`` is the checkout whose program it runs. ``skews`` counts the
    disturbances under way by which it is out of step.
    """

    name: str
    ip: str
    entry_port: int
    ready_port: int
    boot_path: Path
    log_path: Path
    ended_alone: list[int] = field(default_factory=list)
    in_rotation: bool = False
    starts: int = 0
    last_signal_at: float = 0.0
    skews: int = 0
    build_root: Path = _OWN_BUILD
    _process: asyncio.subprocess.Process | None = None
    _ending: bool = False
    _closed: bool = False
    _tasks: list[asyncio.Task] = field(default_factory=list)

    def start(self) -> None:
        """Start the process, and probe whether it is ready."""
        self._tasks = [
            asyncio.create_task(self._keep_running()),
            asyncio.create_task(self._probe()),
        ]

    @property
    def is_running(self) -> bool:
        """Whether its process runs."""
        return self._process is not None and self._process.returncode is None

    def signal(self, number: int) -> None:
        """Send a signal to the process, if it runs."""
        if not self.is_running:
            return
        self.last_signal_at = time.monotonic()
        if number in {signal.SIGTERM, signal.SIGKILL}:
            self._ending = True
        with contextlib.suppress(ProcessLookupError):
            self._process.send_signal(number)

    async def stop_as_planned(self, grace_s: float) -> None:
        """Send SIGTERM, and SIGKILL if it still runs after the grace."""
        process = self._process
        self.signal(signal.SIGTERM)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(grace_s):
                await process.wait()
                return
        if process is self._process:
            self.signal(signal.SIGKILL)

    async def freeze(self, seconds: float) -> None:
        """Let the process stand still for a while."""
        process = self._process
        self.signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        if process is self._process:
            self.signal(signal.SIGCONT)

    def cut_from(self, others: Iterable['Machine']) -> None:
        """Drop the messages between this VM and others."""
        words = [f'{each.name} {each.ip}' for each in others]
        path = cutnode.name_cut_file(self.boot_path)
        path.write_text('\n'.join(words), encoding='utf-8')

    def mend(self) -> None:
        """End the cut from other VMs."""
        path = cutnode.name_cut_file(self.boot_path)
        path.unlink(missing_ok=True)

    async def close(self) -> None:
        """End the process for good."""
        self._closed = True
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        for task in self._tasks[1:]:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _keep_running(self) -> None:
        env = {**os.environ, 'BILBERRYSPOKE_BOOT': str(self.boot_path)}
        while not self._closed:
            self._ending = False
            with self.log_path.open('ab') as log:
                self._process = await asyncio.create_subprocess_exec(
                    sys.executable,
                    # Without the folder of the program among the modules.
                    '-P',
                    cutnode.__file__,
                    cwd=self.build_root,
                    env=env,
                    stdin=asyncio.subprocess.DEVNULL,
                    stdout=log,
                    stderr=log,
                )
            self.starts += 1
            code = await self._process.wait()
            if not self._ending:
                self.ended_alone.append(code)
            await asyncio.sleep(_RESTART_DELAY_S)

    async def _probe(self) -> None:
        misses = _MISSES_OUT_OF_ROTATION
        while True:
            misses = 0 if await self._is_ready() else misses + 1
            self.in_rotation = misses < _MISSES_OUT_OF_ROTATION
            await asyncio.sleep(_PROBE_INTERVAL_S)

    async def _is_ready(self) -> bool:
        writer = None
        try:
            async with asyncio.timeout(_PROBE_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(
                    self.ip, self.ready_port
                )
                writer.write(
                    b'GET /-/ready HTTP/1.1\r\nHost: x\r\n'
                    b'Connection: close\r\n\r\n'
                )
                return b' 200 ' in await reader.readline()
        except (OSError, TimeoutError):
            return False
        finally:
            if writer is not None:
                writer.close()
