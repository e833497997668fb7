"""Reading of answers that end a send by their head alone."""

import asyncio

import aiohttp
import structlog

from bilberryspoke._internal.utils.boundedreads import skip_body

logger = structlog.get_logger()

# Limits for a body that is read only to use its connection again.
_MAX_BYTES = 65_536
_TIMEOUT_S = 1.0
_MAX_BODIES = 32


class BodyDrains:
    """Reads bodies to their end in the background, while no call waits.

    Their connections are then used again. The connection of a body that does
    not end within the limits is closed.
    """

    def __init__(self) -> None:
        """Create without any body."""
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, resp: aiohttp.ClientResponse) -> None:
        """Take over a response whose body does not matter."""
        if resp.content.is_eof():
            # Its connection is free already.
            resp.release()
        elif _is_too_long(resp) or len(self._tasks) >= _MAX_BODIES:
            resp.close()
        else:
            task = asyncio.create_task(_drain(resp))
            self._tasks.add(task)
            task.add_done_callback(self._handle_end)

    async def close(self) -> None:
        """Close the connections of bodies that have not ended."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _handle_end(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logger.error('drain_failed', cause=repr(task.exception()))


def _is_too_long(resp: aiohttp.ClientResponse) -> bool:
    return (resp.content_length or 0) > _MAX_BYTES


async def _drain(resp: aiohttp.ClientResponse) -> None:
    try:
        await skip_body(
            resp.content, max_bytes=_MAX_BYTES, timeout_s=_TIMEOUT_S
        )
    finally:
        # Keeps a connection whose body was read to its end.
        resp.close()
