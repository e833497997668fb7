"""What VMs tell one another.

Signs of life, work under way at upstreams, and the store's picture for a VM
that does not reach the store.
"""

from bilberryspoke._internal.core.reducer import on_event, on_message
from bilberryspoke._internal.core.routing.discovery import replace_upstreams
from bilberryspoke._internal.core.routing.state import (
    PeerView,
    PeerWork,
)
from bilberryspoke._internal.core.routing.work import list_heard, measure_own
from bilberryspoke._internal.core.state import NodeState
from bilberryspoke._internal.models.effects import SendPeer
from bilberryspoke._internal.models.messages import (
    Introduction,
    PassedUpstream,
    Picture,
    PictureWanted,
    RoutingBeat,
    UpstreamWork,
    WorkChanged,
)
from bilberryspoke._internal.models.routing import ListedUpstream
from bilberryspoke._internal.models.routing_effects import (
    Connect,
    Decode,
    Note,
)
from bilberryspoke._internal.models.routing_events import SeedsNamed

_BEAT_S = 0.1
_WANTED_S = 0.3
# VMs up to which each change of work is told to the others at once.
_TOLD_VMS = 16
# Time without the store after which a peer is asked.
_PATIENCE_S = 0.4
# A VM that is silent for so long is forgotten.
_FORGET_S = 60.0
_SEED_PREFIX = 'seed/'


@on_event(SeedsNamed)
def name_seeds(state: NodeState, event: SeedsNamed, now: float) -> None:
    """Connect to the VMs that the settings name."""
    for address in event.addresses:
        if address != state.settings.peer_address:
            state.routing.seeds.add(address)
            state.emit(Connect(_SEED_PREFIX + address, address))


@on_message(RoutingBeat)
def take_beat(
    state: NodeState,
    sender: str,
    message: RoutingBeat,
    now: float,
) -> None:
    """Take a sign of life; introduce a VM that was not known."""
    routing = state.routing
    known = routing.peers.get(sender)
    if known is None or known.address != message.address:
        _meet(state, sender, message.address)
    routing.peers[sender] = PeerView(
        name=sender,
        address=message.address,
        heard_at=now,
        version=message.version,
        revision=message.revision,
        reached=message.reached,
        work={
            each.instance: PeerWork(each.owed, each.calls)
            for each in message.work
        },
        waiting=message.waiting,
    )


@on_message(WorkChanged)
def take_work(
    state: NodeState,
    sender: str,
    message: WorkChanged,
    now: float,
) -> None:
    """Count what has just changed at another VM."""
    peer = state.routing.peers.get(sender)
    if peer is None:
        return
    work = peer.work.setdefault(message.instance, PeerWork(0, 0))
    work.owed = max(0, work.owed + message.owed)
    work.calls += message.calls


@on_message(Introduction)
def take_introduction(
    state: NodeState,
    sender: str,
    message: Introduction,
    now: float,
) -> None:
    """Connect to VMs that another one knows."""
    for name, address in message.addresses.items():
        if name == state.vm or name in state.routing.peers:
            continue
        state.routing.peers[name] = PeerView(name, address, heard_at=now)
        state.routing.seeds.discard(address)
        state.emit(Connect(name, address))


@on_message(PictureWanted)
def pass_picture(
    state: NodeState,
    sender: str,
    message: PictureWanted,
    now: float,
) -> None:
    """Tell a VM that does not reach the store what this one knows."""
    routing = state.routing
    table = routing.table
    if not routing.ready or not routing.reached or table is None:
        return
    newer = table.version > message.version
    if not newer and routing.revision <= message.revision:
        return
    upstreams = [
        _encode(upstream.listed) for upstream in routing.upstreams.values()
    ]
    picture = Picture(
        version=table.version,
        revision=routing.revision,
        table=table.encoded if newer else b'',
        upstreams=upstreams,
    )
    state.emit(SendPeer(sender, picture))


@on_message(Picture)
def take_picture(
    state: NodeState,
    sender: str,
    message: Picture,
    now: float,
) -> None:
    """Believe a picture of the store that is newer than the own one."""
    routing = state.routing
    current = routing.table.version if routing.table else None
    if message.table and (current is None or message.version > current):
        state.emit(Decode(message.table, f'peer {sender}'))
    if routing.reached or message.revision <= routing.revision:
        return
    facts = {
        'peer': sender,
        'version': message.version,
        'revision': message.revision,
        'own_revision': routing.revision,
    }
    state.emit(Note('picture_taken', facts, urgent=False))
    routing.revision = message.revision
    upstreams = [_decode(each) for each in message.upstreams]
    replace_upstreams(state, upstreams, now)


def tell_work(
    state: NodeState,
    instance: str,
    owed: int,
    now: float,
    *,
    calls: int = 0,
) -> None:
    """Tell the others at once what has changed at an upstream.

    They neither all pile up there nor leave it idle until the next beat. In a
    large fleet that would be too many messages; beats must do there.
    """
    heard = list_heard(state.routing, now)
    if not owed or len(heard) > _TOLD_VMS:
        return
    for peer in heard:
        state.emit(SendPeer(peer.name, WorkChanged(instance, owed, calls)))


def review_peers(state: NodeState, now: float) -> None:
    """Send what is due to the other VMs and forget those long gone."""
    routing = state.routing
    if now - routing.beat_at >= _BEAT_S:
        routing.beat_at = now
        _send_beats(state, now)
        for peer in list(routing.peers.values()):
            if peer.heard_at < now - _FORGET_S:
                routing.peers.pop(peer.name)
    lacking = not routing.reached and now - routing.lost_at >= _PATIENCE_S
    if lacking and now - routing.wanted_at >= _WANTED_S:
        routing.wanted_at = now
        _want_picture(state, now)


def _meet(state: NodeState, sender: str, address: str) -> None:
    routing = state.routing
    routing.seeds.discard(address)
    state.emit(Connect(sender, address))
    addresses = {peer.name: peer.address for peer in routing.peers.values()}
    state.emit(SendPeer(sender, Introduction(addresses)))
    state.emit(Note('vm_met', {'peer': sender, 'address': address}))


def _send_beats(state: NodeState, now: float) -> None:
    beat = _make_beat(state)
    for address in sorted(state.routing.seeds):
        state.emit(SendPeer(_SEED_PREFIX + address, beat))
    for name in sorted(state.routing.peers):
        state.emit(SendPeer(name, beat))


def _make_beat(state: NodeState) -> RoutingBeat:
    routing = state.routing
    work = []
    for instance, upstream in routing.upstreams.items():
        own = measure_own(upstream)
        if own.calls:
            work.append(UpstreamWork(instance, own.owed, own.calls))
    return RoutingBeat(
        address=state.settings.peer_address,
        version=routing.table.version if routing.table else 0,
        revision=routing.revision,
        reached=routing.reached,
        work=work,
        waiting=routing.waiting.find_most_urgent(),
    )


def _want_picture(state: NodeState, now: float) -> None:
    """Ask the VM that knows the newest picture."""
    routing = state.routing
    version = routing.table.version if routing.table else 0
    heard = [peer for peer in list_heard(routing, now) if peer.reached]
    heard.sort(key=_newest_first)
    for peer in heard[:1]:
        wanted = PictureWanted(version, routing.revision)
        state.emit(SendPeer(peer.name, wanted))


def _newest_first(peer: PeerView) -> tuple[int, int, str]:
    return (-peer.version, -peer.revision, peer.name)


def _encode(listed: ListedUpstream) -> PassedUpstream:
    return PassedUpstream(
        instance=listed.instance,
        service=listed.service,
        address=listed.address,
        data_centre=listed.data_centre,
        slots=listed.slots,
        leaving=listed.leaving,
        cold_s=max(0, listed.cold_s),
        born_ms=listed.born_ms,
    )


def _decode(passed: PassedUpstream) -> ListedUpstream:
    return ListedUpstream(
        instance=passed.instance,
        service=passed.service,
        address=passed.address,
        data_centre=passed.data_centre,
        slots=max(1, passed.slots),
        leaving=passed.leaving,
        cold_s=passed.cold_s,
        born_ms=passed.born_ms,
    )
