"""Check whether an upstream accepts connections."""

import asyncio
import contextlib
from enum import StrEnum

_TIMEOUT_S = 0.4


class Reach(StrEnum):
    """What became of a connection to an address.

    ``refused``: nothing listens there. ``unknown``: no answer in time, or
    another error.
    """

    accepted = 'accepted'
    refused = 'refused'
    unknown = 'unknown'


class ListenCheck:
    """Opens connections to see whether upstreams listen.

    Checks of one address that overlap are made once.
    """

    def __init__(self) -> None:
        """Create a check without any under way."""
        self._tasks: dict[str, asyncio.Task[Reach]] = {}

    async def check(self, address: str) -> Reach:
        """Return whether a connection to ``address`` (``host:port``) opens."""
        task = self._tasks.get(address)
        if task is None:
            task = asyncio.create_task(_connect(address))
            self._tasks[address] = task
            task.add_done_callback(lambda done: self._tasks.pop(address, None))
        return await asyncio.shield(task)


async def _connect(address: str) -> Reach:
    host, _, port = address.rpartition(':')
    try:
        async with asyncio.timeout(_TIMEOUT_S):
            _, writer = await asyncio.open_connection(host, int(port))
    except ConnectionRefusedError:
        return Reach.refused
    except (TimeoutError, OSError):
        return Reach.unknown
    writer.close()
    with contextlib.suppress(OSError):
        await writer.wait_closed()
    return Reach.accepted
