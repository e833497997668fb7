"""What the store's history tells of upstreams that a list does not show."""

from dataclasses import dataclass

import structlog

from bilberryspoke._internal.exceptions import (
    PlatformHistoryLostError,
    PlatformUnavailableError,
)
from bilberryspoke._internal.models.routing import (
    NO_POSITION,
    StorePosition,
)
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
_SHORTER_HISTORY_DIVISOR = 4
_MAX_TRIES = 4


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
    stopped to answer, or lately if that is 0.
    """
    revision = listed.position.revision
    count = min(
        _MAX_CHANGES, _CHANGES_PER_ENTRY * len(listed.values), revision - 1
    )
    for _ in range(_MAX_TRIES):
        after = before.revision or revision - count
        try:
            changes = await store.watch(prefix, after, SHORT_WAIT_S)
        except PlatformHistoryLostError:
            before = NO_POSITION
            count //= _SHORTER_HISTORY_DIVISOR
            continue
        except PlatformUnavailableError as exc:
            logger.info('missed_changes_unknown', cause=str(exc))
            return None
        is_complete = before.revision > 0 and before.is_continued_by(
            changes.position
        )
        return MissedChanges(_find_unlisted(changes, listed), is_complete)
    logger.info('missed_changes_unknown', cause='history lost')
    return None


def _find_unlisted(
    changes: StoredValues, listed: StoredValues
) -> tuple[StoredValue, ...]:
    last = {each.key: each for each in changes.values if each.raw is not None}
    for each in listed.values:
        last.pop(each.key, None)
    return tuple(last.values())
