"""Times that upstreams tell, by the clock of this VM."""

from bilberryspoke._internal.core.state import VmState

_MS_PER_S = 1000


def find_boottime(state: VmState, unix_ms: float) -> float:
    """Return when a Unix time was, in seconds of the boot-time clock.

    Goes by the time of day at which the process started.
    """
    since_start_ms = unix_ms - state.settings.incarnation
    return state.started_at + since_start_ms / _MS_PER_S
