"""Counts of events in a sliding window."""

from collections.abc import Iterable


def count_busiest(times: Iterable[float], window_s: float) -> int:
    """Return the most of the given times that lie in one window."""
    at = list(times)
    return max(
        (sum(start <= each < start + window_s for each in at) for start in at),
        default=0,
    )
