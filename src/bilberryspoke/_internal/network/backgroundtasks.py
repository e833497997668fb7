"""Background tasks of a daemon; the end of one stops the daemon."""

import asyncio
from collections.abc import Coroutine, Iterable
from typing import Any

import structlog

logger = structlog.get_logger()


# Exit code of a daemon that a background task has stopped by its end.
EXIT_TASK_ENDED = 4


class BackgroundTasks:
    """Background tasks; ``stop`` is set if one ends before ``cancel``."""

    def __init__(self, stop: asyncio.Event) -> None:
        """Create without any task; ``stop`` is the daemon's stop event."""
        self._stop = stop
        self._any_ended = False
        self._tasks: list[asyncio.Task[Any]] = []

    def start(self, coroutines: Iterable[Coroutine[Any, Any, None]]) -> None:
        """Start a task for each coroutine."""
        for coroutine in coroutines:
            task = asyncio.create_task(coroutine)
            task.add_done_callback(self._handle_task_end)
            self._tasks.append(task)

    async def cancel(self) -> None:
        """Cancel all tasks and wait for their end."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def choose_exit_code(self, *, aborted: int) -> int:
        """Return the daemon's exit code, by what stopped it.

        ``aborted`` is the number of requests that the stop cut off.
        """
        if self._any_ended:
            return EXIT_TASK_ENDED
        return 1 if aborted else 0

    def _handle_task_end(self, task: asyncio.Task[Any]) -> None:
        if task.cancelled() or self._stop.is_set():
            return
        cause = task.exception()
        logger.error(
            'task_ended_unexpectedly',
            task=task.get_coro().__qualname__,
            cause=repr(cause),
            exc_info=cause,
        )
        self._any_ended = True
        self._stop.set()
