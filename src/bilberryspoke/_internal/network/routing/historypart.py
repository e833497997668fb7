"""A part of the store's history, and how far back it tells of upstreams.

Nothing in the store says when a revision was. Where it records each heartbeat
of the upstreams, their number tells how long a part is. Where it records only
what changes besides, an entry tells when it was written: upstreams number
their heartbeats since their start.
"""

import math
from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from statistics import median_low

from bilberryspoke._internal.models.routing import ListedUpstream
from bilberryspoke._internal.platform.records import decode_upstream
from bilberryspoke._internal.platform.store import StoredValue, StoredValues

# Heartbeats come later than their number tells by a fraction of so much.
_MAX_HEARTBEAT_DELAY = 0.25
_MS_PER_S = 1000


@dataclass(frozen=True, slots=True)
class HistoryPart:
    """A part of the history in which no change is missing.

    ``entries`` are the last of each software version that an upstream had.
    ``reach_s`` is how many seconds the part goes back at least by the number of
    heartbeats, by service, infinite if it is all that ever was.
    ``known_after`` is the revision after which no change is unknown.
    ``written`` are the entries by revision. ``has_heartbeats`` is whether a
    change was a heartbeat only.
    """

    entries: tuple[ListedUpstream, ...] = ()
    reach_s: Mapping[str, float] = field(default_factory=dict)
    known_after: float = math.inf
    written: Mapping[int, ListedUpstream] = field(default_factory=dict)
    has_heartbeats: bool = False

    @property
    def shortest_reach_s(self) -> float:
        """How far the part goes back for each service that it tells of."""
        return min(self.reach_s.values(), default=0)


def summarize_changes(
    changes: StoredValues, heartbeat_s: float, *, after: int, is_whole: bool
) -> HistoryPart:
    """Return what the changes after a revision tell.

    Upstreams write their entries about every ``heartbeat_s`` seconds.
    ``is_whole`` is whether nothing ever changed before the part.
    """
    summary = _Summary(after=after, is_whole=is_whole)
    for value in changes.values:
        summary.add(value)
    return HistoryPart(
        tuple(summary.entries.values()),
        summary.measure_reach(heartbeat_s),
        summary.known_after,
        summary.written,
        summary.has_heartbeats,
    )


def find_known_since_ms(
    part: HistoryPart, current: Sequence[StoredValue], heartbeat_s: float
) -> float:
    """Return since when no change is missing, as Unix time in milliseconds.

    ``current`` are the values that the store has now. Each is the last change
    of its key, which is known also if the history begins later. It is infinite
    if no upstream tells when it wrote what is known.
    """
    if part.has_heartbeats:
        return math.inf
    by_revision = {value.revision: value for value in current}
    known_after = part.known_after
    while known_after in by_revision:
        known_after -= 1
    written = {**part.written, **_decode_written(current)}
    times_ms = [
        _get_latest_write_ms(written[revision], heartbeat_s)
        for revision in written
        if revision > known_after
    ]
    return min(times_ms, default=math.inf)


def _decode_written(
    current: Sequence[StoredValue],
) -> dict[int, ListedUpstream]:
    """Return the entries among values, by revision."""
    written = {}
    for value in current:
        decoded = decode_upstream(value.key, value.raw or b'')
        if decoded.is_ok():
            written[value.revision] = decoded.ok
    return written


def _get_latest_write_ms(listed: ListedUpstream, heartbeat_s: float) -> float:
    """Return when an entry was written at the latest."""
    if not listed.created_ms or not listed.sequence:
        return math.inf
    longest_s = heartbeat_s * (1 + _MAX_HEARTBEAT_DELAY)
    return listed.created_ms + listed.sequence * longest_s * _MS_PER_S


class _Summary:
    """Sums changes up, in the order in which they happened."""

    def __init__(self, *, after: int, is_whole: bool) -> None:
        self.entries: dict[tuple[str, str], ListedUpstream] = {}
        self.written: dict[int, ListedUpstream] = {}
        self.known_after = after
        self.has_heartbeats = False
        self._is_whole = is_whole
        self._seen: set[str] = set()
        self._present: dict[str, ListedUpstream] = {}
        self._writes: Counter[str] = Counter()

    def add(self, value: StoredValue) -> None:
        if value.raw is None:
            self._remove(value)
            return
        self._seen.add(value.key)
        decoded = decode_upstream(value.key, value.raw)
        if decoded.is_ok():
            self._put(value, decoded.ok)

    def measure_reach(self, heartbeat_s: float) -> dict[str, float]:
        by_service = defaultdict(list)
        for key, listed in self._present.items():
            by_service[listed.service].append(self._writes[key])
        return {
            service: self._get_reach(writes, heartbeat_s)
            for service, writes in by_service.items()
        }

    def _put(self, value: StoredValue, listed: ListedUpstream) -> None:
        known = self._present.get(value.key)
        if known is not None and listed.is_heartbeat_after(known):
            self.has_heartbeats = True
        self.entries[value.key, listed.software_version] = listed
        self.written[value.revision] = listed
        self._present[value.key] = listed
        self._writes[value.key] += 1

    def _remove(self, value: StoredValue) -> None:
        self._present.pop(value.key, None)
        self._writes.pop(value.key, None)
        if value.key not in self._seen and not self._is_whole:
            # It is not known what left: the part tells all only from here on.
            self._writes.clear()
            self.known_after = value.revision

    def _get_reach(self, writes: Iterable[int], heartbeat_s: float) -> float:
        """Return for how long a typical upstream of a service was writing."""
        if self._is_whole:
            return math.inf
        return max(0, median_low(writes) - 1) * heartbeat_s
