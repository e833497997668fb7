"""Stand-in for an upstream that certain calls crash, and that returns."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from fakes.upstream import Run, UpstreamStandIn, register_script

# From the begin of a run to the crash under it.
_CRASH_DELAY_S = 0.05


@dataclass(slots=True)
class CrashingUpstream(UpstreamStandIn):
    """An upstream whose process ends when it runs a call that is deadly.

    ``is_deadly`` tells whether a call is. It returns at its address after
    ``downtime_s`` with a new instance id, and calls ``on_return`` with the
    instance ids of before and now. ``arrived_at`` holds when deadly calls
    began to run, ``crashed_at`` when it crashed, both in seconds of the
    monotonic clock. ``healthy`` names the script of all other calls.
    """

    is_deadly: Callable[[Run], bool] = lambda run: False
    on_return: Callable[[str, str], None] = lambda before, now: None
    downtime_s: float = 0.4
    healthy: str = 'whole'
    arrived_at: list[float] = field(default_factory=list)
    crashed_at: list[float] = field(default_factory=list)
    _return_task: asyncio.Task[None] | None = None

    def __post_init__(self) -> None:
        """Answer each call by the script that tells deadly calls apart."""
        self.default = 'crash_if_deadly'

    async def stop(self) -> None:
        """Stop for good."""
        if self._return_task is not None:
            self._return_task.cancel()
        await UpstreamStandIn.stop(self)

    async def crash(self) -> None:
        """Reset all connections, and return after the downtime."""
        self.crashed_at.append(time.monotonic())
        await UpstreamStandIn.stop(self)
        self._return_task = asyncio.create_task(self._return())

    async def _return(self) -> None:
        await asyncio.sleep(self.downtime_s)
        before = self.instance
        name, _, _ = before.partition('.')
        self.instance = f'{name}.{len(self.crashed_at)}'
        await self.start()
        self.on_return(before, self.instance)


@register_script('crash_if_deadly')
async def answer_unless_deadly(
    upstream: CrashingUpstream,
    run: Run,
    writer: asyncio.StreamWriter,
) -> None:
    """Crash under a deadly call, and answer any other one."""
    if not upstream.is_deadly(run):
        await upstream.run_script(upstream.healthy, run, writer)
        return
    upstream.arrived_at.append(time.monotonic())
    await asyncio.sleep(_CRASH_DELAY_S)
    if run in upstream.runs and not upstream.is_down:
        await upstream.crash()
