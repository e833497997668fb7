"""Load and time per token of an upstream, as estimated by one VM."""

from collections import deque
from dataclasses import dataclass, field

from bilberryspoke._internal.utils.backoff import back_off_s

_TIME_PER_TOKEN_SMOOTHING_FACTOR = 0.2
_INITIAL_S_PER_TOKEN = 0.03
# Slots taken by others are not estimated from an older report.
_MAX_REPORT_AGE_S = 5.0
_MAX_PREFIXES = 64
# A report describes a moment at most this long before it was received.
_MAX_REPORT_LAG_S = 2.5
# A little more than the maximum lag.
_FOREIGN_BOUNDS_WINDOW_S = 3.0
_MISSED_REPORT_EJECTION_S = 1.5
# Doubled with each failure, so that the first ejection takes twice as long.
_BASE_EJECTION_S = 0.25
_MAX_EJECTION_S = 8.0


@dataclass(slots=True)
class UpstreamLoad:
    """Load of an upstream: its lagging reports and this VM's own grants.

    ``running`` and ``waiting`` are requests by the last report, ``own`` the
    slots granted by this owner and ``foreign`` the estimated slots taken by
    others. ``s_per_token`` is a moving average in seconds; until
    ``time_per_token_observed`` it is a default. ``consecutive_failures`` counts
    failures since the last success, ``missed_reports`` the load reports missed
    since the last one that came. ``models`` are those that the upstream reports
    as loaded, ``None`` if it does not report them. ``prefixes`` are hashes of
    prompt prefixes that it may hold in its cache. ``own_history`` and
    ``foreign_lower_bounds`` are pairs of time and slots. All times are of the
    boot-time clock.
    """

    name: str
    running: int = 0
    waiting: int = 0
    reported_at: float = -1e9
    own: int = 0
    foreign: int = 0
    s_per_token: float = _INITIAL_S_PER_TOKEN
    time_per_token_observed: bool = False
    consecutive_failures: int = 0
    ejected_until: float = 0.0
    missed_reports: int = 0
    models: tuple[str, ...] | None = None
    prefixes: deque[int] = field(
        default_factory=lambda: deque(maxlen=_MAX_PREFIXES),
    )
    own_history: deque[tuple[float, int]] = field(default_factory=deque)
    foreign_lower_bounds: deque[tuple[float, int]] = field(
        default_factory=deque
    )

    def record_report(self, running: int, waiting: int, now: float) -> None:
        """Record a load report: requests that run and that wait."""
        self.running = running
        self.waiting = waiting
        self.reported_at = now
        self._update_foreign(now)

    def record_time_per_token(self, elapsed_s: float, tokens: int) -> None:
        """Update the time per token with the tokens that one attempt generated.

        ``elapsed_s`` is the time in seconds that they took; samples without
        tokens or time are ignored.
        """
        if tokens <= 0 or elapsed_s <= 0:
            return
        sample = elapsed_s / tokens
        if self.time_per_token_observed:
            delta = sample - self.s_per_token
            self.s_per_token += _TIME_PER_TOKEN_SMOOTHING_FACTOR * delta
        else:
            self.s_per_token = sample
            self.time_per_token_observed = True

    def add_own_slot(self, now: float) -> None:
        """Record that this owner granted a slot."""
        self.own += 1
        self._record_own(now)

    def remove_own_slot(self, now: float) -> None:
        """Record that a slot was released to this owner."""
        self.own = max(0, self.own - 1)
        self._record_own(now)

    def estimate_foreign_slots(self, now: float) -> int:
        """Return the slots taken by others, 0 without a recent report."""
        if now - self.reported_at > _MAX_REPORT_AGE_S:
            return 0
        return self.foreign

    def estimate_taken_slots(self, now: float) -> int:
        """Return the slots taken by this owner and by others."""
        return self.own + self.estimate_foreign_slots(now)

    def record_success(self) -> None:
        """Reset the failures and end the ejection."""
        self.consecutive_failures = 0
        self.ejected_until = 0.0

    def record_failure(self, now: float) -> None:
        """Eject the upstream for a time that doubles with each failure."""
        self.consecutive_failures += 1
        ejection_s = back_off_s(
            self.consecutive_failures,
            first_s=_BASE_EJECTION_S,
            factor=2,
            most_s=_MAX_EJECTION_S,
        )
        self.ejected_until = now + ejection_s

    def eject_until_next_report(self, now: float) -> None:
        """Eject the upstream for ``_MISSED_REPORT_EJECTION_S``.

        The next load report is due by then. A longer ejection is kept.
        """
        self.ejected_until = max(
            self.ejected_until, now + _MISSED_REPORT_EJECTION_S
        )

    def record_prefix(self, prefix: int) -> None:
        """Record that the upstream may have a prompt prefix in its cache.

        A ``prefix`` of 0 stands for none and is ignored.
        """
        if prefix and prefix not in self.prefixes:
            self.prefixes.append(prefix)

    def _record_own(self, now: float) -> None:
        self.own_history.append((now, self.own))
        while len(self.own_history) > 2 and (
            self.own_history[1][0] < now - 2 * _MAX_REPORT_LAG_S
        ):
            self.own_history.popleft()

    def _update_foreign(self, now: float) -> None:
        """Update the estimate of the slots that others take from a report.

        The report describes some moment within the maximum lag, at which this
        owner held no more than its maximum in that time. The rest is a lower
        bound of what others held. The estimate is the highest lower bound
        over a little more than the maximum lag.
        """
        max_own = max(self._list_own_since(now - _MAX_REPORT_LAG_S))
        min_foreign = max(0, self.running + self.waiting - max_own)
        self.foreign_lower_bounds.append((now, min_foreign))
        while self.foreign_lower_bounds[0][0] < now - _FOREIGN_BOUNDS_WINDOW_S:
            self.foreign_lower_bounds.popleft()
        self.foreign = max(bound for _, bound in self.foreign_lower_bounds)

    def _list_own_since(self, since: float) -> list[int]:
        held = [self.own]
        for at, own in reversed(self.own_history):
            held.append(own)
            if at < since:
                break
        return held
