"""Check whether an upstream still listens after it closed a connection."""

import asyncio
import contextlib

_TIMEOUT_S = 0.4


class ListenCheck:
    """Tells an upstream that crashed from one that closed a connection."""

    def __init__(self) -> None:
        """Create a check without any under way."""
        self._tasks: dict[str, asyncio.Task[bool]] = {}

    async def refuses(self, address: str) -> bool:
        """Return whether nothing listens at ``address`` (``host:port``).

        It is false if there is no answer in time. Calls that lose their
        connections together share one check.
        """
        task = self._tasks.get(address)
        if task is None:
            task = asyncio.create_task(_is_refused(address))
            self._tasks[address] = task
            task.add_done_callback(lambda done: self._tasks.pop(address, None))
        return await asyncio.shield(task)


async def _is_refused(address: str) -> bool:
    host, _, port = address.rpartition(':')
    try:
        async with asyncio.timeout(_TIMEOUT_S):
            _, writer = await asyncio.open_connection(host, int(port))
    except ConnectionRefusedError:
        return True
    except (TimeoutError, OSError):
        return False
    writer.close()
    with contextlib.suppress(OSError):
        await writer.wait_closed()
    return False
