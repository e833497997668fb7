"""The endless tasks of a daemon; the end of one stops the daemon."""

import asyncio
from collections.abc import Coroutine, Iterable
from typing import Any

import structlog

logger = structlog.get_logger()


class Loops:
    """Tasks that run until the daemon stops; ``stop`` is set if one ends."""

    def __init__(self, stop: asyncio.Event) -> None:
        """Create without any task."""
        self._stop = stop
        self._tasks: list[asyncio.Task[Any]] = []

    def start(self, loops: Iterable[Coroutine[Any, Any, None]]) -> None:
        """Start a task for each loop."""
        for loop in loops:
            task = asyncio.create_task(loop)
            task.add_done_callback(self._notice_end)
            self._tasks.append(task)

    async def cancel(self) -> None:
        """End all tasks."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _notice_end(self, task: asyncio.Task[Any]) -> None:
        if task.cancelled() or self._stop.is_set():
            return
        logger.error('task_ended', cause=repr(task.exception()))
        self._stop.set()
