"""What the store's history tells of upstreams that a list does not show.

Only a part of it may be read: the store may have dropped the rest, and changes
of other keys count as well. Whoever goes by it must know how far back it was
read. Times are in seconds of the boot-time clock.
"""

import math
from dataclasses import dataclass

import structlog

from bilberryspoke._internal.exceptions import (
    PlatformHistoryLostError,
    PlatformUnavailableError,
)
from bilberryspoke._internal.models.routing import StorePosition
from bilberryspoke._internal.models.routing_events import MissedUpstreamsRead
from bilberryspoke._internal.network.clock import read_boottime
from bilberryspoke._internal.network.routing.historypart import (
    HistoryPart,
    find_known_since_ms,
    summarize_changes,
)
from bilberryspoke._internal.network.routing.storewatch import SHORT_WAIT_S
from bilberryspoke._internal.platform.records import CONFIG_KEY
from bilberryspoke._internal.platform.store import StoreClient

logger = structlog.get_logger()

# If no other keys change, so many changes of each upstream go back further
# than most streams.
_CHANGES_PER_ENTRY = 16
# If the part is too short, so many times as many changes are asked for.
_GROWTH_RATIO = 4
_MAX_TRIES = 10
# The store's revisions start above 0.
_FIRST_REVISION = 1


@dataclass(frozen=True, slots=True)
class HistoryWanted:
    """Which part of the history is wanted.

    It ends at ``position``, and begins at ``before``, where the store stopped
    to answer. If that is 0 or not in the history any more, it is as long as the
    history allows, up to ``span_s`` seconds; it is looked for first as for so
    many ``entries``. Upstreams write theirs every ``heartbeat_s``, about.
    """

    before: StorePosition
    position: StorePosition
    entries: int
    span_s: float
    heartbeat_s: float


async def read_missed_changes(
    store: StoreClient, prefix: str, wanted: HistoryWanted
) -> MissedUpstreamsRead:
    """Return what changed before, and since when that is all."""
    reader = _HistoryReader(store, prefix, wanted)
    is_complete = False
    dated_ms = math.inf
    cause = 'not in the history'
    is_answered = True
    try:
        is_complete = await reader.read_since_before()
        if not is_complete:
            await reader.read_lately()
            dated_ms = await reader.find_known_since_ms()
    except PlatformUnavailableError as exc:
        is_answered = False
        cause = str(exc)
    if not is_complete and not (is_answered and reader.revisions):
        logger.info('missed_changes_unknown', cause=cause)
    part = reader.part
    logger.info(
        'missed_changes_read',
        entries=len(part.entries),
        reach_s=_describe_reach(part),
        revisions=reader.revisions,
        calls=reader.calls,
        is_complete=is_complete,
        dated_ms=None if math.isinf(dated_ms) else round(dated_ms),
    )
    return MissedUpstreamsRead(
        part.entries,
        is_complete,
        {name: reader.read_at - each for name, each in part.reach_s.items()},
        is_answered,
        dated_ms,
    )


def _describe_reach(part: HistoryPart) -> dict[str, float | None]:
    """Return how far a part goes back, None if it is all that ever was."""
    return {
        service: None if math.isinf(reach_s) else round(reach_s, 3)
        for service, reach_s in part.reach_s.items()
    }


class _HistoryReader:
    """Reads parts of the history that end now, and keeps the longest.

    ``revisions`` is how many of them ``part`` goes back, ``read_at`` when it
    was read. ``calls`` counts the calls of the store.
    """

    def __init__(
        self, store: StoreClient, prefix: str, wanted: HistoryWanted
    ) -> None:
        self.part = HistoryPart(known_after=wanted.position.revision)
        self.revisions = 0
        self.read_at = 0.0
        self.calls = 0
        self._store = store
        self._prefix = prefix
        self._wanted = wanted

    async def read_since_before(self) -> bool:
        """Read from where the store stopped to answer, if it still can."""
        before = self._wanted.before
        count = self._wanted.position.revision - before.revision
        is_continued = before.is_continued_by(self._wanted.position)
        return (
            bool(before.revision)
            and is_continued
            and await self._read_back(count)
        )

    async def read_lately(self) -> None:
        """Read as far back as wanted, or as the history goes."""
        most = self._wanted.position.revision - _FIRST_REVISION
        count = min(most, _CHANGES_PER_ENTRY * self._wanted.entries)
        lost_count = most + 1
        for _ in range(_MAX_TRIES):
            if count <= self.revisions:
                return
            if not await self._read_back(count):
                lost_count = count
            elif self.part.shortest_reach_s >= self._wanted.span_s:
                return
            if lost_count > most:
                count = min(most, _GROWTH_RATIO * count)
            else:
                count = (self.revisions + lost_count) // 2

    async def find_known_since_ms(self) -> float:
        """Return since when no change is missing, by what upstreams say."""
        if self.part.has_heartbeats:
            return math.inf
        listed = await self._store.read_prefix(self._prefix)
        if not self._wanted.position.is_continued_by(listed.position):
            return math.inf
        config = await self._store.read(CONFIG_KEY)
        return find_known_since_ms(
            self.part,
            (*listed.values, *config.values),
            self._wanted.heartbeat_s,
        )

    async def _read_back(self, count: int) -> bool:
        """Read the changes of so many revisions, if the store has them."""
        after = self._wanted.position.revision - count
        self.calls += 1
        try:
            changes = await self._store.watch(self._prefix, after, SHORT_WAIT_S)
        except PlatformHistoryLostError:
            return False
        if not self._wanted.position.is_continued_by(changes.position):
            return False
        self.read_at = read_boottime()
        self.revisions = count
        self.part = summarize_changes(
            changes,
            self._wanted.heartbeat_s,
            after=after,
            is_whole=after <= _FIRST_REVISION,
        )
        return True
