"""The time in which a stream that is taken up again can have begun.

Times are in seconds of the boot-time clock.
"""

from dataclasses import dataclass

from bilberryspoke._internal.models.routing import RoutedCall

# Callers take a stream up again within this multiple of its route's timeout.
_STREAM_LIFETIME_TIMEOUT_RATIO = 2


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


def make_window(call: RoutedCall) -> StreamWindow:
    """Return when the stream that a call takes up can have begun."""
    lifetime_s = call.route.timeout_s * _STREAM_LIFETIME_TIMEOUT_RATIO
    return StreamWindow(
        call.service, call.arrived_at - lifetime_s, call.arrived_at
    )
