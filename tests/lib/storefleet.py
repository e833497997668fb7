"""Fleets of cores whose VMs read a simulated store when they want to."""

from bilberryspoke._internal.models.routing import StorePosition
from bilberryspoke._internal.models.routing_effects import DecodeRoutes
from bilberryspoke._internal.models.routing_events import (
    RoutesOffered,
    StoreReachReported,
    StoreWatch,
    UpstreamsListed,
)
from bilberryspoke._internal.utils.compression import decompress
from tests.lib.corefleet import CoreFleet
from tests.lib.routedcore import build_table, build_upstream

READ_INTERVAL_S = 0.2


class StoreFleet(CoreFleet):
    """A fleet with a store that may turn VMs away.

    ``turned_away`` are the VMs that the store does not answer, ``behind`` those
    that it answers with its first state, as an older copy. ``paused`` are VMs
    that handle nothing. ``reads`` counts the reads of all VMs.
    """

    def __init__(self, vms: int, *, data_centres: int) -> None:
        """Start the fleet; VMs read the store from their start on."""
        self.turned_away: set[str] = set()
        self.behind: set[str] = set()
        self.paused: set[str] = set()
        self.reads = 0
        self._version = 1
        self._revision = 1
        self._listed = tuple(
            build_upstream(f'engine-{number}') for number in range(8)
        )
        self._first_listed = self._listed
        super().__init__(vms, data_centres=data_centres)
        self._at(READ_INTERVAL_S, self._read_all)

    def change(self) -> None:
        """Write a newer version of the routes and let an engine leave."""
        self._version += 1
        self._revision += 1
        self._listed = (
            build_upstream(f'engine-new-{self._revision}'),
            *self._listed[:-1],
        )

    def rewrite(self) -> None:
        """Let engines write their entries again without a change."""
        self._revision += 1

    def find_outdated(self) -> set[str]:
        """Return the VMs that do not know the last change."""
        instances = {each.instance for each in self._listed}
        return {
            name
            for name, core in self.cores.items()
            if core.state.routing.table.version != self._version
            or set(core.state.routing.upstreams) != instances
        }

    def find_readers(self) -> dict[str, list[str]]:
        """Return the VMs that read the store, by data centre."""
        readers: dict[str, list[str]] = {}
        for name, core in self.cores.items():
            if core.state.routing.reads_store:
                readers.setdefault(self.data_centre_of[name], []).append(name)
        return readers

    def handle(self, name: str, event: object) -> list[object]:
        """Submit an event; decode the routes that a peer has sent."""
        if name in self.paused:
            return []
        effects = super().handle(name, event)
        for effect in effects:
            if isinstance(effect, DecodeRoutes):
                encoded = decompress(effect.compressed).decode()
                version = int(encoded.removeprefix('encoded-'))
                super().handle(name, RoutesOffered(build_table(version)))
        return effects

    def _read_all(self) -> None:
        for name, core in list(self.cores.items()):
            if core.state.routing.reads_store:
                self._read(name)
        self._at(self.now + READ_INTERVAL_S, self._read_all)

    def _read(self, name: str) -> None:
        self.reads += 1
        reached = name not in self.turned_away
        version, revision, listed = self._version, self._revision, self._listed
        if name in self.behind:
            version, revision, listed = 1, 1, self._first_listed
        position = StorePosition(0, revision)
        for watch in StoreWatch:
            report = StoreReachReported(reached, watch, position=position)
            self.handle(name, report)
        if reached:
            self.handle(name, RoutesOffered(build_table(version)))
            self.handle(name, UpstreamsListed(listed, position))
