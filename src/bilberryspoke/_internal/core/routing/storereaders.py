"""Which VMs of a large fleet read the store, and how the others follow.

The relay of a data centre names a reader; the other VMs do not call the store.
While the reader of one data centre is lost, those of the others tell of
changes. A VM reads by itself as long as it is new, hears no relay, or has heard
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
# A new process reads the store for this long, until the others know it.
_START_READING_S = 2.0
# A named reader has this time to reach the store, and one that did not is not
# named again for the time after it.
_REACH_TIMEOUT_S = 1.0
_FAILED_READER_PAUSE_S = 5.0
# A VM that has heard of no reader that reaches the store for this long reads.
_NEWS_TIMEOUT_S = 0.8


def review_reading(state: VmState, now: float) -> None:
    """Decide whether this VM reads the store; as the relay, name a reader."""
    routing = state.routing
    if routing.relays and is_relay(state):
        _name_reader(state, now)
    elif not routing.relays:
        routing.store_reader = ''
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
        'reader': routing.store_reader,
        'relay': routing.relays.get(state.settings.data_centre, ''),
        'heard_s': round(now - routing.reader_heard_at, 3),
    }
    state.emit(LogDecision(name, fields))


def record_reader(
    state: VmState, sender: str, message: RoutingHeartbeat, now: float
) -> None:
    """Record which reader the relay of this data centre names."""
    routing = state.routing
    if sender != routing.relays.get(state.settings.data_centre):
        return
    routing.store_reader = message.named_reader or routing.store_reader
    if message.store_reachable:
        routing.reader_heard_at = now


def choose_source(state: VmState, fallback: str) -> str:
    """Return the VM to ask for a snapshot.

    It is the reader of this data centre and ``fallback`` in turn, in case that
    the reader lags behind.
    """
    routing = state.routing
    routing.asks_reader = not routing.asks_reader
    if routing.asks_reader and routing.store_reader in routing.peers:
        return routing.store_reader
    return fallback


def _must_read(state: VmState, now: float) -> bool:
    routing = state.routing
    if not routing.relays or not routing.ready:
        return True
    if now < state.started_at + _START_READING_S:
        return True
    if state.vm == routing.store_reader:
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


def _name_reader(state: VmState, now: float) -> None:
    """Keep the reader while it reaches the store, or name the next one."""
    routing = state.routing
    own = state.settings.data_centre
    members = {
        peer.name: peer.store_reachable
        for peer in list_live_peers(routing, now)
        if peer.data_centre == own
    }
    members[state.vm] = routing.is_store_reader
    named_at = routing.reader_named_at
    reader = routing.store_reader
    is_new = now - named_at.get(reader, _NEVER) < _REACH_TIMEOUT_S
    if reader in members and (is_new or members[reader]):
        return
    routing.store_reader = ''
    paused_since = now - _FAILED_READER_PAUSE_S
    for name in rank_members(f'store reader {own}', members):
        if named_at.get(name, _NEVER) < paused_since:
            routing.store_reader = name
            named_at[name] = now
            return
