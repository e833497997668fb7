"""The boot-time clock, which goes on while a VM is suspended."""

import time


def read_boottime() -> float:
    """Return seconds since boot, suspended time included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
