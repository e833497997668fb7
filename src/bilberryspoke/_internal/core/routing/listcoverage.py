"""The time for which a VM knows each change of the upstreams.

A VM learns of changes late, and of none while it is cut off or stands still.
What it has not heard of proves nothing about times outside of this one. Times
are in seconds of the boot-time clock.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

# Time of what has not happened yet, in seconds of the boot-time clock.
_NEVER = -1e9


@dataclass(frozen=True, slots=True)
class HistoryRead:
    """What was read of the store's history, on request.

    ``is_answered`` is whether the store answered, which it also does if it has
    nothing left. ``since`` is since when no change of a service's upstreams is
    missing, by service; nothing is known of the others. ``dated_since`` is the
    same for all services by what upstreams say of themselves, which holds only
    where the store does not record each heartbeat.
    """

    is_answered: bool = False
    since: Mapping[str, float] = field(default_factory=dict)
    dated_since: float = math.inf


NOT_READ = HistoryRead()


@dataclass(slots=True)
class ListCoverage:
    """The span in which this VM knows each change, without a gap.

    It begins at ``since``, when the store was asked for a complete list, and
    ends at ``until``, when it was last asked for what has changed: an answer
    tells at least what had happened as it was asked for. Both are -1e9 without
    a list of the store. ``lists`` counts the complete lists of this process
    before which changes were missed. ``history`` tells of the time before
    ``since``. ``since_before`` and ``history_before`` are those of the span
    before that. ``has_heartbeats`` is whether a change was seen that was a
    heartbeat only.
    """

    since: float = _NEVER
    until: float = _NEVER
    lists: int = 0
    since_before: float = _NEVER
    history: HistoryRead = NOT_READ
    history_before: HistoryRead = NOT_READ
    has_heartbeats: bool = False

    @property
    def is_known(self) -> bool:
        """Whether the upstreams are those of the store."""
        return self.until > _NEVER

    @property
    def is_gapless(self) -> bool:
        """Whether this process has missed nothing since its first list."""
        return self.is_known and self.lists == 1

    def find_since(self, service: str) -> float:
        """Return since when each change of a service's upstreams is known."""
        since = min(self.since, self.history.since.get(service, math.inf))
        if self.has_heartbeats:
            return since
        return min(since, self.history.dated_since)

    def begin(self, asked_at: float) -> None:
        """Begin with a complete list; what happened before it is not known."""
        if self.is_known:
            self.since_before = self.since
            self.history_before = self.history
        self.since = asked_at
        self.until = asked_at
        self.lists += 1
        self.history = NOT_READ

    def extend(self, asked_at: float) -> None:
        """Go on, after all changes since the answer before were applied.

        Also if the upstreams were those of another VM meanwhile: the changes
        of the watch are without a gap.
        """
        if not self.is_known:
            self.since = self.since_before
        if self.since > _NEVER:
            self.until = max(self.until, asked_at)

    def close_gap(self) -> None:
        """Go on with the span before the last list: no change is missing."""
        if self.since_before > _NEVER:
            self.since = self.since_before
            self.since_before = _NEVER
            self.history = self.history_before
            self.lists -= 1

    def end(self) -> None:
        """End it, as the upstreams are now those that another VM knows."""
        if self.is_known:
            self.since_before = self.since
            self.history_before = self.history
        self.since = _NEVER
        self.until = _NEVER
