"""Which VMs of a large fleet read the store, and how the others follow.

The relay of a data centre names a few readers; the other VMs do not call the
store. A VM reads by itself as long as it is new, hears no relay, or has heard
of no VM that reaches the store for a while. In a small fleet all VMs read.
Times are in seconds of the boot-time clock.
"""

from bilberryspoke._internal.core.routing.backlog import list_live_peers
from bilberryspoke._internal.core.routing.relays import is_relay
from bilberryspoke._internal.core.state import VmState
from bilberryspoke._internal.models.effects import Count
from bilberryspoke._internal.models.routing_effects import LogDecision
from bilberryspoke._internal.models.routing_messages import RoutingHeartbeat
from bilberryspoke._internal.utils.hashing import rank_members

# Time of what has not happened yet, in seconds of the boot-time clock.
_NEVER = -1e9
# While the reader of one data centre is lost, those of the others tell of
# changes.
_READERS = 1
# A new process reads the store for this long, until the others know it.
_START_READING_S = 2.0
# A named reader has this time to reach the store, and one that did not is not
# named again for the time after it.
_REACH_TIMEOUT_S = 1.0
_FAILED_READER_PAUSE_S = 5.0
# A VM that has heard of no reader that reaches the store for this long reads.
_NEWS_TIMEOUT_S = 0.8


def review_reading(state: VmState, now: float) -> None:
    """Decide whether this VM reads the store, and name readers as the relay."""
    routing = state.routing
    if routing.relays and is_relay(state):
        _name_readers(state, now)
    elif not routing.relays:
        routing.store_readers = ()
    reads = _must_read(state, now)
    if reads == routing.reads_store:
        return
    routing.reads_store = reads
    if not reads:
        # Without watches none of them is lost.
        routing.lost_watches.clear()
    name = 'store_reading_begun' if reads else 'store_reading_ended'
    state.emit(Count(name))
    fields = {
        'readers': list(routing.store_readers),
        'relay': routing.relays.get(state.settings.data_centre, ''),
        'heard_s': round(now - routing.reader_heard_at, 3),
    }
    state.emit(LogDecision(name, fields))


def record_readers(
    state: VmState, sender: str, message: RoutingHeartbeat, now: float
) -> None:
    """Record which readers the relay of this data centre names."""
    routing = state.routing
    if sender != routing.relays.get(state.settings.data_centre):
        return
    if message.store_readers:
        routing.store_readers = tuple(message.store_readers)
    if message.store_reachable:
        routing.reader_heard_at = now


def choose_source(state: VmState, fallback: str) -> str:
    """Return the reader to ask for a snapshot.

    It is one of this data centre and ``fallback`` in turn, in case that those
    lag behind.
    """
    routing = state.routing
    routing.snapshot_requests += 1
    turn = routing.snapshot_requests % (_READERS + 1)
    others = [each for each in routing.store_readers if each != state.vm]
    if turn < len(others) and others[turn] in routing.peers:
        return others[turn]
    return fallback


def _must_read(state: VmState, now: float) -> bool:
    routing = state.routing
    if not routing.relays or not routing.ready:
        return True
    if now < state.started_at + _START_READING_S:
        return True
    if state.vm in routing.store_readers:
        return True
    if is_relay(state):
        return _lacks_reader(state, now)
    return now - routing.reader_heard_at > _NEWS_TIMEOUT_S


def _lacks_reader(state: VmState, now: float) -> bool:
    """Return whether the relay hears of no reader that reaches the store."""
    peers = list_live_peers(state.routing, now)
    if any(each.store_reachable for each in peers):
        state.routing.reader_heard_at = now
    return now - state.routing.reader_heard_at > _NEWS_TIMEOUT_S


def _name_readers(state: VmState, now: float) -> None:
    """Keep the readers that reach the store, and replace the others."""
    routing = state.routing
    own = state.settings.data_centre
    members = {
        peer.name: peer.store_reachable
        for peer in list_live_peers(routing, now)
        if peer.data_centre == own
    }
    members[state.vm] = routing.is_store_reader
    named_at = routing.reader_named_at
    kept = []
    for name in routing.store_readers:
        is_new = now - named_at.get(name, _NEVER) < _REACH_TIMEOUT_S
        if name in members and (members[name] or is_new):
            kept.append(name)
    kept = kept[:_READERS]
    ranked = rank_members(f'store reader {own}', members)
    paused_since = now - _FAILED_READER_PAUSE_S
    for name in ranked:
        if len(kept) >= _READERS:
            break
        if name not in kept and named_at.get(name, _NEVER) < paused_since:
            kept.append(name)
            named_at[name] = now
    routing.store_readers = tuple(kept)
