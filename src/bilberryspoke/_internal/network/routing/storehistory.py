"""What the store's history tells of upstreams that a list does not show."""

from dataclasses import dataclass

import structlog

from bilberryspoke._internal.exceptions import (
    PlatformHistoryLostError,
    PlatformUnavailableError,
)
from bilberryspoke._internal.models.routing import StorePosition
from bilberryspoke._internal.network.routing.storewatch import SHORT_WAIT_S
from bilberryspoke._internal.platform.store import (
    StoreClient,
    StoredValue,
    StoredValues,
)

logger = structlog.get_logger()

# Upstreams write their entries once a second at most: so many changes of each
# go back further than most streams.
_CHANGES_PER_ENTRY = 16
_MAX_CHANGES = 4096
# If the history is shorter, fewer changes are asked for.
_MAX_TRIES = 6


@dataclass(frozen=True, slots=True)
class MissedChanges:
    """The last values of the keys that are not in a list any more.

    ``is_complete`` is whether all changes are known since the position before.
    """

    values: tuple[StoredValue, ...]
    is_complete: bool


async def read_missed_changes(
    store: StoreClient,
    prefix: str,
    before: StorePosition,
    listed: StoredValues,
) -> MissedChanges | None:
    """Return what came and went before a list, None if nothing is known of it.

    It is what has changed since ``before``, the position at which the store
    stopped to answer, or lately if that is 0 or the history is lost.
    """
    changes = None
    is_complete = False
    try:
        if before.revision:
            changes = await _read_since(store, prefix, before.revision)
            is_complete = changes is not None and before.is_continued_by(
                changes.position
            )
        if changes is None:
            changes = await _read_lately(store, prefix, listed)
    except PlatformUnavailableError as exc:
        logger.info('missed_changes_unknown', cause=str(exc))
    if changes is None:
        return None
    unlisted = _find_unlisted(changes, listed)
    logger.info(
        'missed_changes_read',
        changes=len(changes.values),
        unlisted=len(unlisted),
        is_complete=is_complete,
    )
    return MissedChanges(unlisted, is_complete)


async def _read_lately(
    store: StoreClient, prefix: str, listed: StoredValues
) -> StoredValues | None:
    """Return many of the last changes, found by bisection of the history."""
    revision = listed.position.revision
    count = min(
        _MAX_CHANGES, _CHANGES_PER_ENTRY * len(listed.values), revision - 1
    )
    found = None
    kept_count = 0
    lost_count = count + 1
    for _ in range(_MAX_TRIES):
        if count <= kept_count:
            break
        changes = await _read_since(store, prefix, revision - count)
        if changes is None:
            lost_count = count
        else:
            found = changes
            kept_count = count
        count = (kept_count + lost_count) // 2
    return found


async def _read_since(
    store: StoreClient, prefix: str, revision: int
) -> StoredValues | None:
    """Return the changes after a revision, None if the history is shorter."""
    try:
        return await store.watch(prefix, revision, SHORT_WAIT_S)
    except PlatformHistoryLostError:
        return None


def _find_unlisted(
    changes: StoredValues, listed: StoredValues
) -> tuple[StoredValue, ...]:
    last = {each.key: each for each in changes.values if each.raw is not None}
    for each in listed.values:
        last.pop(each.key, None)
    return tuple(last.values())
