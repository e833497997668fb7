"""A watch of the store that can be asked to answer at once."""

import asyncio
import contextlib
from dataclasses import dataclass

from bilberryspoke._internal.network.clock import read_boottime
from bilberryspoke._internal.platform.store import StoreClient, StoredValues

# A watch whose connection goes silent is noticed when it should have ended.
WATCH_TIMEOUT_S = 1.6
# A watch that is to answer at once, with or without a change.
SHORT_WAIT_S = 0.001


@dataclass(frozen=True, slots=True)
class WatchAnswer:
    """Changes, and when they were asked for, by the boot-time clock.

    Changes of later times may lack.
    """

    changes: StoredValues
    asked_at: float


class RefreshableWatch:
    """Asks for changes of the keys with a prefix, in turn or at once."""

    def __init__(self, store: StoreClient, prefix: str) -> None:
        """Create the watch of a prefix."""
        self._store = store
        self._prefix = prefix
        self._refresh = asyncio.Event()

    def refresh(self) -> None:
        """Ask anew: an answer to an earlier question may be too old."""
        self._refresh.set()

    async def wait_for_changes(self, revision: int) -> WatchAnswer:
        """Return the changes after a revision, none if there are none yet."""
        if not self._refresh.is_set():
            asked_at = read_boottime()
            watch = asyncio.create_task(self._ask(revision, WATCH_TIMEOUT_S))
            if await self._ends_first(watch):
                return WatchAnswer(await watch, asked_at)
        self._refresh.clear()
        asked_at = read_boottime()
        return WatchAnswer(await self._ask(revision, SHORT_WAIT_S), asked_at)

    async def pause(self, seconds: float) -> None:
        """Wait for some seconds, or until the watch is to answer at once."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self._refresh.wait()

    async def _ask(self, revision: int, wait_s: float) -> StoredValues:
        return await self._store.watch(
            self._prefix, revision, wait_s, longest_wait_s=WATCH_TIMEOUT_S
        )

    async def _ends_first(self, watch: asyncio.Task[StoredValues]) -> bool:
        """Return whether a watch ends before a refresh, which cancels it."""
        refresh = asyncio.create_task(self._refresh.wait())
        try:
            await asyncio.wait(
                (watch, refresh), return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            refresh.cancel()
            ended = watch.done()
            watch.cancel()
        return ended
