"""Stand-in for an upstream that falls over if it has to refuse many calls."""

import asyncio
import time
from collections import deque
from dataclasses import dataclass, field

from fakes.upstream import (
    Run,
    UpstreamStandIn,
    make_body,
    register_script,
    write_whole,
)

_RUN_S = 0.1
_WINDOW_S = 1.0


@dataclass(slots=True)
class BrittleUpstream(UpstreamStandIn):
    """An upstream that says how brittle it is.

    It runs ``slots`` calls at a time. ``queue`` others may wait, but none later
    than ``notice_s`` after its first answer. With more than ``max_refusals``
    refusals in a second it falls over, and is back after ``downtime_s``.
    ``fell_at`` holds when it did, in seconds of the monotonic clock.
    """

    slots: int = 4
    queue: int = 24
    notice_s: float = 3.0
    max_refusals: int = 5
    downtime_s: float = 1.0
    fell_at: list[float] = field(default_factory=list)
    _accepted: int = 0
    _free: asyncio.Semaphore | None = None
    _answered_at: float | None = None
    _refused_at: deque[float] = field(default_factory=deque)
    _return_task: asyncio.Task[None] | None = None

    def __post_init__(self) -> None:
        """Answer by its room, and say in each answer that it is brittle."""
        self.default = 'run_if_room'
        self.stated['Server-Brittle'] = str(self.max_refusals)
        self._free = asyncio.Semaphore(self.slots)

    async def stop(self) -> None:
        """Stop for good."""
        if self._return_task is not None:
            self._return_task.cancel()
        await UpstreamStandIn.stop(self)

    async def answer(self, run: Run, writer: asyncio.StreamWriter) -> None:
        """Run a call, or refuse it for lack of room."""
        now = time.monotonic()
        if self._answered_at is None:
            self._answered_at = now
        has_queue = now < self._answered_at + self.notice_s
        if self._accepted >= self.slots + has_queue * self.queue:
            extra_headers = {'X-Not-Executed': '1'}
            write_whole(writer, run, 503, b'', extra_headers, sealed=False)
            await writer.drain()
            await self._count_refusal()
            return
        self._accepted += 1
        try:
            async with self._free:
                await asyncio.sleep(_RUN_S)
        finally:
            self._accepted -= 1
        write_whole(writer, run, 200, make_body(run))

    async def _count_refusal(self) -> None:
        now = time.monotonic()
        self._refused_at.append(now)
        while self._refused_at[0] < now - _WINDOW_S:
            self._refused_at.popleft()
        if len(self._refused_at) > self.max_refusals and not self.is_down:
            self._refused_at.clear()
            self.fell_at.append(now)
            await UpstreamStandIn.stop(self)
            self._return_task = asyncio.create_task(self._return())

    async def _return(self) -> None:
        await asyncio.sleep(self.downtime_s)
        await self.start()


@register_script('run_if_room')
async def answer_if_room(
    upstream: BrittleUpstream,
    run: Run,
    writer: asyncio.StreamWriter,
) -> None:
    """Answer as the upstream's room allows."""
    await upstream.answer(run, writer)
