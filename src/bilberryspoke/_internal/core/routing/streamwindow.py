"""The time in which a stream that is taken up again can have begun.

Times are in seconds of the boot-time clock.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StreamWindow:
    """Service of a stream, and the time in which it can have begun."""

    service: str
    earliest_at: float
    latest_at: float

    @property
    def length_s(self) -> float:
        """Seconds between its ends."""
        return self.latest_at - self.earliest_at
