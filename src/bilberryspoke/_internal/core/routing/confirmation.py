"""Comparison of the routes in force with the versions of other VMs.

A new process may read the routes from a store that serves an older copy. It is
not ready before a peer has confirmed that there is no newer version. Times are
in seconds of the boot-time clock.
"""

from collections.abc import Iterable

from bilberryspoke._internal.core.routing.backlog import PEER_TIMEOUT_S
from bilberryspoke._internal.core.routing.peerstate import PeerView
from bilberryspoke._internal.core.routing.state import RoutingState
from bilberryspoke._internal.core.state import VmState
from bilberryspoke._internal.models.routing_effects import LogDecision

# A new process that hears no peer is ready after this time.
_CONFIRMATION_TIMEOUT_S = 0.5
# One that hears of newer routes is ready without them after this time.
_ADOPTION_TIMEOUT_S = 1.5
# A change usually arrives from the store within this time after it has arrived
# at a peer.
_MAX_VERSION_LAG_S = 0.3


def confirm_routes(state: VmState, now: float) -> None:
    """Confirm the routes of a new process, once no peer has newer ones.

    It is enough that one peer with confirmed routes says so. Without such a
    peer all known VMs have to be heard, as after a restart of the whole fleet,
    or the time for it has to pass.
    """
    routing = state.routing
    if routing.confirmed or routing.table is None:
        return
    newest = find_newest_version(routing, now)
    if newest > routing.table.version:
        in_time = now < state.started_at + _ADOPTION_TIMEOUT_S
    else:
        in_time = not newest and _may_hear_more(state, now)
    if in_time:
        return
    routing.confirmed = True
    fields = {
        'version': routing.table.version,
        'newest_of_peers': newest,
        'after_s': round(now - state.started_at, 3),
    }
    state.emit(LogDecision('routes_confirmed', fields))


def review_version_lag(routing: RoutingState, now: float) -> bool:
    """Return whether a peer has to be asked for newer routes.

    That is so if it has had them for a while, if this process is new, or if it
    does not read the store.
    """
    version = routing.table.version if routing.table else 0
    if find_newest_version(routing, now) <= version:
        routing.behind_since = None
        return False
    if routing.behind_since is None:
        routing.behind_since = now
    return (
        not routing.confirmed
        or not routing.reads_store
        or now - routing.behind_since >= _MAX_VERSION_LAG_S
    )


def find_newest_version(routing: RoutingState, now: float) -> int:
    """Return the newest version that a live peer has, 0 if none has any."""
    heard = _list_heard_peers(routing, now)
    return max((peer.version for peer in heard), default=0)


def _may_hear_more(state: VmState, now: float) -> bool:
    """Return whether a known VM may still say which version it has."""
    routing = state.routing
    if now >= state.started_at + _CONFIRMATION_TIMEOUT_S:
        return False
    heard = list(_list_heard_peers(routing, now))
    return bool(routing.seeds) or len(heard) < len(routing.peers)


def _list_heard_peers(routing: RoutingState, now: float) -> Iterable[PeerView]:
    since = now - PEER_TIMEOUT_S
    return (
        peer for peer in routing.peers.values() if peer.last_heard_at >= since
    )
