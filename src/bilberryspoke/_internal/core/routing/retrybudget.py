"""Retry budget that bounds the retries of all VMs without coordination."""

from collections import deque
from dataclasses import dataclass, field


@dataclass(slots=True)
class SlidingRetryBudget:
    """Bounds the retries of calls to one service within a sliding window.

    ``share`` retries are allowed for each first send of this VM in the window,
    in addition to ``reserve`` retries, which are this VM's part of the reserve
    of all VMs. ``window_s`` is in seconds. ``first_sends`` and ``repeats`` hold
    the times of first sends and of retries in the window, in seconds of the
    boot-time clock.
    """

    share: float
    reserve: float
    window_s: float
    first_sends: deque[float] = field(default_factory=deque)
    repeats: deque[float] = field(default_factory=deque)

    def record_first_send(self, now: float) -> None:
        """Record the first send of a call."""
        self.first_sends.append(now)
        self._discard_expired(now)

    def allows(self, now: float, *, used_fraction: float = 1) -> bool:
        """Return whether the budget allows one more retry.

        At most ``used_fraction`` of it is used.
        """
        self._discard_expired(now)
        allowed = self.share * len(self.first_sends) + self.reserve
        return len(self.repeats) + 1 <= used_fraction * allowed

    def try_consume(self, now: float, *, used_fraction: float = 1) -> bool:
        """Consume one retry and return whether the budget allowed it.

        At most ``used_fraction`` of it is used.
        """
        if not self.allows(now, used_fraction=used_fraction):
            return False
        self.repeats.append(now)
        return True

    def _discard_expired(self, now: float) -> None:
        since = now - self.window_s
        for times in (self.first_sends, self.repeats):
            while times and times[0] < since:
                times.popleft()
