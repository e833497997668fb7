"""The boot-time clock, which also counts the time a VM is suspended."""

import time


def read_boottime() -> float:
    """Return seconds since boot, suspended time included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
