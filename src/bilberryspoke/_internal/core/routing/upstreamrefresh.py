"""Questions to the store out of turn, for the upstreams as they are now.

Times are in seconds of the boot-time clock.
"""

from bilberryspoke._internal.core.state import VmState
from bilberryspoke._internal.models.routing_effects import RefreshUpstreams

_REFRESH_INTERVAL_S = 0.1


def refresh_upstreams(state: VmState, now: float) -> None:
    """Ask for changes at once if this VM reads the store."""
    routing = state.routing
    is_due = now - routing.refresh_asked_at >= _REFRESH_INTERVAL_S
    if routing.reads_store and is_due:
        routing.refresh_asked_at = now
        reads_history = not routing.coverage.history.is_answered
        state.emit(RefreshUpstreams(reads_history))
