"""Delays that grow with each failure in a row."""

# Larger counts would overflow; every delay has reached its maximum by then.
_MAX_COUNT = 64


def back_off_s(
    failures: int, *, first_s: float, factor: float, most_s: float
) -> float:
    """Return the seconds to wait after some failures in a row.

    It is ``first_s`` after none before, ``factor`` times as long after each
    further one, and ``most_s`` at most.
    """
    return min(most_s, first_s * factor ** min(failures, _MAX_COUNT))
