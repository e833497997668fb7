"""Rules on whether a call may be retried after a send failed."""

from bilberryspoke._internal.core.routing.callstate import CallState
from bilberryspoke._internal.models.routing import (
    NOT_RUN_SEND_STATUSES,
    RetrySafety,
    SendStatus,
)
from bilberryspoke._internal.models.routing_events import SendEnded


def may_retry(
    call_state: CallState,
    event: SendEnded,
    *,
    sends: int,
) -> bool:
    """Return whether the route allows one more send of a call.

    ``sends`` counts those that reached an upstream, the ended one included.
    A call that may have run is retried only if its route says that running
    twice is harmless. After a part of the answer was delivered, it is retried
    only if its stream can be resumed after the last delivered event.
    """
    call = call_state.call
    if sends >= call.route.max_attempts:
        return False
    if event.status is SendStatus.cancelled:
        return False
    if (
        event.status not in NOT_RUN_SEND_STATUSES
        and not call.allows_retry_after_run
    ):
        return False
    return not event.delivered or call.route.repeats is RetrySafety.resumed
