"""Whether this VM knows the upstreams as they are now.

Times are in seconds of the boot-time clock.
"""

from bilberryspoke._internal.core.routing.stalls import was_paused
from bilberryspoke._internal.core.state import VmState
from bilberryspoke._internal.models.routing_events import StoreWatch

# The store answers each watch, with or without a change, within this time.
_MAX_ANSWER_AGE_S = 3.0
# So does the relay of a VM that does not read the store.
_MAX_NEWS_AGE_S = 1.0
# A VM that stood still knows again within this time what it has missed.
_CATCH_UP_S = 3.0


def knows_current_upstreams(state: VmState, now: float) -> bool:
    """Return whether this VM has heard of upstreams lately, without a pause."""
    routing = state.routing
    # The first review of a new process is no end of a pause.
    is_new = now - state.started_at < _CATCH_UP_S
    resumed_lately = now - routing.resumed_at < _CATCH_UP_S
    if was_paused(routing, now) or (resumed_lately and not is_new):
        return False
    if not routing.reads_store:
        heard_s = now - routing.reader_heard_at
        return heard_s <= _MAX_NEWS_AGE_S and routing.differs_since is None
    if not routing.store_reachable:
        return False
    answered_at = routing.store_answered_at.get(StoreWatch.upstreams)
    return answered_at is not None and now - answered_at <= _MAX_ANSWER_AGE_S
