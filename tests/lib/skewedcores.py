"""Cores of several VMs whose lists of upstreams differ for a while.

Each VM watches a simulated store, which may not answer it. VMs may be cut off
from one another, or stand still and find on waking what has arrived meanwhile.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from bilberryspoke._internal.models.effects import SendPeerMessage
from bilberryspoke._internal.models.events import PeerMessageReceived
from bilberryspoke._internal.models.routing import (
    ListedUpstream,
    RoutedCall,
    StorePosition,
)
from bilberryspoke._internal.models.routing_events import (
    DiscoverySynced,
    StoreReachReported,
    StoreWatch,
    UpstreamChanged,
    UpstreamsListed,
)
from tests.lib.corefleet import MESSAGE_DELAY_S
from tests.lib.streamcores import StreamCores

# Upstreams rewrite their entries so often that each watch is answered at once.
WATCH_INTERVAL_S = 0.6
WATCH_TIMEOUT_S = 2.1
RETRY_INTERVAL_S = 0.25
STORE_DELAY_S = 0.004


@dataclass(frozen=True, slots=True)
class StoreAnswer:
    """What a store answers: a complete list, or what has changed."""

    position: StorePosition
    asked_at: float
    changes: tuple[UpstreamChanged, ...]
    entries: tuple[ListedUpstream, ...] | None


class SkewedCores(StreamCores):
    """A fleet whose VMs learn of upstreams from a store.

    The store does not answer the VMs of ``store_cut``. No message passes
    between the two VMs of a pair of ``peers_cut``.
    """

    def __init__(self, vms: int, **settings: object) -> None:
        """Run the fleet until its VMs know each other."""
        self.store_cut: set[str] = set()
        self.peers_cut: set[frozenset[str]] = set()
        self._log: list[tuple[int, UpstreamChanged]] = []
        self._entries: dict[str, ListedUpstream] = {}
        self._held: dict[str, list[Callable[[], object]]] = {}
        self._known: dict[str, int] = {}
        super().__init__(vms, **settings)

    def put(self, listed: ListedUpstream) -> None:
        """Write an upstream's entry to the store."""
        self.version_of[listed.instance] = listed.software_version
        self._entries[listed.instance] = listed
        self._record(UpstreamChanged(listed.instance, listed))

    def remove(self, instance: str) -> None:
        """Remove an upstream's entry from the store."""
        self._entries.pop(instance)
        self._record(UpstreamChanged(instance, None))

    def cut_from_all(self, name: str) -> None:
        """Cut a VM off from the store and all other VMs."""
        self.store_cut.add(name)
        self.cut_from(name, self.data_centre_of)

    def cut_from(self, name: str, others: Iterable[str]) -> None:
        """Cut a VM off from other VMs."""
        for other in others:
            self.peers_cut.add(frozenset((name, other)))

    def heal(self) -> None:
        """End all cuts."""
        self.store_cut.clear()
        self.peers_cut.clear()

    def thaw(self, name: str) -> None:
        """Let a VM go on that stood still, with what has arrived meanwhile."""
        self.frozen.discard(name)
        for action in self._held.pop(name, []):
            action()

    def later(self, seconds: float, action: Callable[[], object]) -> None:
        """Carry an action out after some seconds."""
        self._at(self.now + seconds, action)

    def arrive(self, name: str, call: RoutedCall) -> None:
        """Let a call arrive at a VM, which reads it when it is awake."""
        self._deliver(name, lambda: super(SkewedCores, self).arrive(name, call))

    def _record(self, change: UpstreamChanged) -> None:
        self._log.append((len(self._log) + 2, change))
        # What a VM that starts from now on reads first.
        self._upstreams = tuple(self._entries.values())

    def _deliver(self, name: str, action: Callable[[], object]) -> None:
        if name not in self.cores:
            return
        if name in self.frozen:
            self._held.setdefault(name, []).append(
                lambda: name in self.cores and action()
            )
        else:
            action()

    def _answer_from_store(self, name: str, incarnation: int) -> None:
        if not self._entries:
            self._entries = {each.instance: each for each in self._upstreams}
        self._known[name] = len(self._log) + 1
        self.later(WATCH_INTERVAL_S, lambda: self._ask(name, incarnation))

    def _is_gone(self, name: str, incarnation: int) -> bool:
        return name not in self.cores or self._incarnations[name] != incarnation

    def _ask(self, name: str, incarnation: int) -> None:
        """Let a VM ask the store, and again after the answer."""
        if self._is_gone(name, incarnation):
            return
        if name in self.frozen:
            self._deliver(name, lambda: self._ask(name, incarnation))
            return
        asked_at = self.now
        if name in self.store_cut:
            self.later(
                WATCH_TIMEOUT_S,
                lambda: self._deliver(
                    name, lambda: self._fail(name, incarnation)
                ),
            )
            return
        self.later(
            STORE_DELAY_S, lambda: self._answer(name, incarnation, asked_at)
        )

    def _fail(self, name: str, incarnation: int) -> None:
        if self._is_gone(name, incarnation):
            return
        self._known[name] = 0
        lost = StoreReachReported(False, StoreWatch.upstreams, 'cut')
        self.handle(name, lost)
        self.later(RETRY_INTERVAL_S, lambda: self._ask(name, incarnation))

    def _answer(self, name: str, incarnation: int, asked_at: float) -> None:
        known = self._known.get(name, 0)
        answer = StoreAnswer(
            StorePosition(0, len(self._log) + 1),
            asked_at,
            tuple(each for at, each in self._log if at > known),
            None if known else tuple(self._entries.values()),
        )
        self.later(
            STORE_DELAY_S,
            lambda: self._deliver(
                name, lambda: self._receive(name, incarnation, answer)
            ),
        )

    def _receive(
        self, name: str, incarnation: int, answer: StoreAnswer
    ) -> None:
        if self._is_gone(name, incarnation):
            return
        position = answer.position
        self._known[name] = position.revision
        reached = StoreReachReported(
            True, StoreWatch.upstreams, position=position
        )
        self.handle(name, reached)
        if answer.entries is None:
            for change in answer.changes:
                self.handle(name, change)
            self.handle(name, DiscoverySynced(position, answer.asked_at))
        else:
            listed = UpstreamsListed(answer.entries, position, answer.asked_at)
            self.handle(name, listed)
        self.later(WATCH_INTERVAL_S, lambda: self._ask(name, incarnation))

    def _send(self, name: str, effect: SendPeerMessage) -> None:
        link = (name, effect.peer)
        receiver = self._address_of.get(link)
        if receiver not in self.cores or self._is_cut(name, receiver):
            return
        if name in self.frozen or frozenset((name, receiver)) in self.peers_cut:
            return
        if self.now < self._open_at.setdefault(
            link, self.now + self.connect_delay_s
        ):
            return
        message = PeerMessageReceived(
            name, self._incarnations[name], effect.message
        )
        self.later(
            MESSAGE_DELAY_S,
            lambda: self._deliver(
                receiver, lambda: self.handle(receiver, message)
            ),
        )
