"""Passive health check of an upstream, from the results of its calls."""

from collections import deque
from dataclasses import dataclass, field

from bilberryspoke._internal.utils.backoff import back_off_s

_MIN_BACKOFF_S = 0.3
_MAX_BACKOFF_S = 2.0
_SILENCE_EJECTION_S = 0.3
# An upstream stays unresponsive for this long after its ejection ended, unless
# a call succeeds there.
_PROBATION_S = 0.5
_MAX_RECORDED_OUTCOMES = 16
_MIN_OUTCOMES_FOR_EJECTION = 4
# An upstream is ejected for half the window if at least this fraction of its
# calls in the window failed, and there were enough of them.
_FAILURE_FRACTION_THRESHOLD = 0.34
_OUTCOME_WINDOW_S = 2.0


@dataclass(slots=True)
class PassiveHealth:
    """Passive health of one upstream, by which it is ejected for a while.

    After each send that could not reach it, and while it gives no response, it
    is ejected until a probe connects to it. The time to the next probe doubles
    up to a maximum. An upstream that fails a large fraction of its recent calls
    is ejected while others are usable, and tried again afterwards.

    ``consecutive_unreachable`` counts the sends and probes in a row that could
    not reach it. ``probe_at`` is when the next probe is due, None while one is
    under way or if none is needed, and ``unreachable`` whether none has
    connected since. ``ejected_until`` and ``unresponsive_until`` are in seconds
    of the boot-time clock; -1e9 means never. ``outcomes`` holds the time of
    each recent answer and whether it succeeded.
    """

    consecutive_unreachable: int = 0
    ejected_until: float = -1e9
    unresponsive_until: float = -1e9
    unreachable: bool = False
    probe_at: float | None = None
    outcomes: deque[tuple[float, bool]] = field(
        default_factory=lambda: deque(maxlen=_MAX_RECORDED_OUTCOMES),
    )

    def is_ejected(self, now: float) -> bool:
        """Return whether new calls should go to other upstreams."""
        return self.unreachable or now < self.ejected_until

    def is_unresponsive(self, now: float) -> bool:
        """Return whether it gave no response at all when it was last tried.

        This holds until a call succeeds there or the probation is over.
        """
        return self.unreachable or now < self.unresponsive_until

    @property
    def is_out_of_reach(self) -> bool:
        """Whether a send or a probe was last known not to reach it.

        A connection that was lost, or silence, shows it only once a probe
        failed as well.
        """
        return self.unreachable and self.consecutive_unreachable > 0

    def hasten_probe(self, due_at: float) -> None:
        """Probe at this time already, unless a probe is under way."""
        if self.probe_at is not None:
            self.probe_at = min(self.probe_at, due_at)

    def record_unreachable(self, now: float) -> None:
        """Record a send or a probe that did not reach the upstream."""
        self.record_misdirected(now)
        self.expect_probe(self.ejected_until)

    def expect_probe(self, due_at: float) -> None:
        """Give the upstream no calls until a probe finds it in reach."""
        self.unreachable = True
        self.probe_at = due_at

    def record_lost_link(self, now: float) -> None:
        """Record a send whose connection was lost before any answer."""
        if not self.unreachable:
            self.expect_probe(now)

    def record_misdirected(self, now: float) -> None:
        """Record a send that another upstream got, at the same address."""
        backoff_s = back_off_s(
            self.consecutive_unreachable,
            first_s=_MIN_BACKOFF_S,
            factor=2,
            most_s=_MAX_BACKOFF_S,
        )
        self.consecutive_unreachable += 1
        self.ejected_until = now + backoff_s
        self.unresponsive_until = self.ejected_until + _PROBATION_S

    def record_silence(self, now: float) -> None:
        """Record that the upstream gives no response to any call."""
        self.ejected_until = max(self.ejected_until, now + _SILENCE_EJECTION_S)
        self.unresponsive_until = self.ejected_until + _PROBATION_S
        if not self.unreachable:
            self.expect_probe(self.ejected_until)

    def record_connected(self, now: float) -> None:
        """Record that a probe connected to the upstream."""
        self.consecutive_unreachable = 0
        self.unreachable = False
        self.probe_at = None
        self.unresponsive_until = now

    def record_outcome(self, now: float, *, succeeded: bool) -> None:
        """Record a call that reached the upstream, and whether it succeeded.

        A refusal, a failure and an answer that broke off are no success.
        """
        if succeeded or not self.unreachable:
            self.consecutive_unreachable = 0
        if succeeded:
            self.unresponsive_until = now
            self.unreachable = False
            self.probe_at = None
        self.outcomes.append((now, succeeded))
        if succeeded:
            return
        recent = [
            each for at, each in self.outcomes if at > now - _OUTCOME_WINDOW_S
        ]
        failures = recent.count(False)
        if len(recent) >= _MIN_OUTCOMES_FOR_EJECTION and (
            failures >= _FAILURE_FRACTION_THRESHOLD * len(recent)
        ):
            self.ejected_until = max(
                self.ejected_until, now + _OUTCOME_WINDOW_S / 2
            )
