"""Upstreams whose entries expired while the store was away.

They are kept for the time in which they are listed again. Times are in seconds
of the boot-time clock.
"""

from collections import Counter

from bilberryspoke._internal.core.routing.state import RoutingState
from bilberryspoke._internal.core.routing.upstreamstate import UpstreamState

# Entries that expired in an outage of the store are written again by their
# upstreams within this time after it is back.
RELIST_TIMEOUT_S = 2.0
# Entries do not expire in a shorter outage of the store.
_MIN_EXPIRY_OUTAGE_S = 2.0
# After an outage, a missing upstream is kept for the time to relist it if
# without it the service would have fewer upstreams than this fraction of their
# number when the store was lost or back, whichever is higher.
_MIN_REMAINING_FRACTION = 0.5


def expect_relisting(
    routing: RoutingState, now: float, outage_s: float
) -> None:
    """Record that the store answers about upstreams again after an outage.

    The upstreams of each service are counted to recognize afterwards whether
    their entries expired in the outage. Those that a peer's list removed since
    the store was lost may have expired too, so that they count as well.
    """
    routing.store_back_at = now
    routing.store_outage_s = outage_s
    routing.counts_around_outage |= count_upstreams(routing)


def count_upstreams(routing: RoutingState) -> Counter[str]:
    """Return the number of upstreams by service, without leaving ones."""
    return Counter(
        upstream.listed.service
        for upstream in routing.upstreams.values()
        if not upstream.is_leaving
    )


def may_be_relisted(
    routing: RoutingState,
    upstream: UpstreamState,
    now: float,
) -> bool:
    """Return whether a missing entry may have expired in a store outage.

    It may also be missing in the copy from which the store was restored.
    If only this VM was cut off from the store, few entries are missing
    afterwards: those that were really removed. If the store itself was down,
    all entries expired, so that most upstreams of a service are missing. The
    upstream in question is not counted among the remaining ones.
    """
    if upstream.is_leaving:
        return False
    if now < routing.store_restored_at + RELIST_TIMEOUT_S:
        return True
    if routing.store_outage_s < _MIN_EXPIRY_OUTAGE_S:
        return False
    if now >= routing.store_back_at + RELIST_TIMEOUT_S:
        return False
    service = upstream.listed.service
    remaining = len(routing.list_accepting_upstreams(service)) - 1
    return (
        remaining
        < routing.counts_around_outage[service] * _MIN_REMAINING_FRACTION
    )
