"""Membership of the fleet, as one VM knows it.

It comes from the platform's list of VMs and from heartbeats of peers.
"""

from dataclasses import dataclass, field

from bilberryspoke._internal.models.messages import Heartbeat
from bilberryspoke._internal.utils.hashing import hash_parts, rank_members

_LARGE_FLEET_INTERVAL_FACTOR = 6.0


@dataclass(slots=True)
class Member:
    """State of a peer, as this VM knows it.

    Times are in seconds of this VM's boot-time clock; -1e9 stands for never.
    ``last_heard_at`` is also set to it when the peer's connection breaks.
    ``last_acknowledged_at`` is the time of the peer's last heartbeat that
    named this VM among those the peer hears. ``listed`` and
    ``listed_leaving`` come from the platform's list. The peer is no candidate
    for owner until ``owner_ejected_until``.
    ``leaving`` names the upstreams that the peer reports as leaving.
    """

    name: str
    data_centre: str = ''
    incarnation: int = 0
    last_heard_at: float = -1e9
    last_acknowledged_at: float = -1e9
    stopping: bool = False
    listed: bool = False
    listed_leaving: bool = False
    owner_ejected_until: float = -1e9
    revision: int = 0
    digest: str = ''
    entry_url: str = ''
    admin_url: str = ''
    peer_address: str = ''
    leaving: frozenset[str] = frozenset()


@dataclass(slots=True)
class Membership:
    """Membership of the fleet in the view of one VM.

    A member counts as alive while its last heartbeat is no older than
    ``scaled_heartbeat_timeout_s``. Messages of an incarnation older than the
    newest one seen are dropped: incarnations of a VM grow with its start
    time. ``members`` holds the other VMs by name. A fleet of up to
    ``max_full_mesh_peers`` peers exchanges heartbeats all with all; in a
    larger one each VM has ``large_fleet_neighbours`` neighbours. ``listed`` is
    whether a list of VMs was read.
    """

    own_name: str
    heartbeat_timeout_s: float
    max_full_mesh_peers: int = 12
    large_fleet_neighbours: int = 6
    members: dict[str, Member] = field(default_factory=dict)
    ring: tuple[str, ...] = ()
    neighbours: frozenset[str] = frozenset()
    listed: bool = False

    @property
    def interval_factor(self) -> float:
        """Factor on intervals and timeouts: large fleets report less often."""
        large = len(self.members) > self.max_full_mesh_peers
        return _LARGE_FLEET_INTERVAL_FACTOR if large else 1.0

    @property
    def scaled_heartbeat_timeout_s(self) -> float:
        """Seconds without a heartbeat after which a peer counts as dead."""
        return self.heartbeat_timeout_s * self.interval_factor

    def list_neighbours(self) -> frozenset[str]:
        """Return the VMs to exchange heartbeats with.

        In a large fleet they are the nearest ones on both sides of a ring
        ordered by hash, so that the relation is mutual. In a small fleet they
        are all other VMs.
        """
        if len(self.ring) != len(self.members) + 1:
            self._update_neighbours()
        return self.neighbours

    def clear_listed(self) -> None:
        """Mark all members as not listed, before a newer list is applied."""
        self.listed = True
        for member in self.members.values():
            member.listed = False

    def eject_owner(self, name: str, until: float) -> None:
        """Exclude a VM that did not answer as an owner from owning pools.

        ``until`` is in seconds of the boot-time clock.
        """
        member = self.members.get(name)
        if member is not None:
            member.owner_ejected_until = until

    def accept_incarnation(self, sender: str, incarnation: int) -> bool:
        """Record a sender's incarnation and return whether it is the newest.

        Messages of an older incarnation must not be accepted.
        """
        member = self.members.get(sender)
        if member is None:
            self.members[sender] = Member(sender, incarnation=incarnation)
            return True
        if incarnation < member.incarnation:
            return False
        if incarnation > member.incarnation:
            member.incarnation = incarnation
            member.stopping = False
        return True

    def record_heartbeat(
        self, sender: str, beat: Heartbeat, now: float
    ) -> None:
        """Record a heartbeat of an accepted incarnation."""
        member = self.members.setdefault(sender, Member(sender))
        member.last_heard_at = now
        if self.own_name in beat.heard:
            member.last_acknowledged_at = now
        member.data_centre = beat.data_centre
        member.stopping = beat.stopping
        member.revision = beat.revision
        member.digest = beat.digest
        member.entry_url = beat.entry_url
        member.admin_url = beat.admin_url
        member.leaving = frozenset(beat.leaving)
        if beat.peer_address:
            member.peer_address = beat.peer_address

    def find_newest_revision(self, now: float) -> int:
        """Return the newest revision of a live peer, 0 if there is none."""
        return max(
            (self.members[name].revision for name in self.list_alive(now)),
            default=0,
        )

    def mark_lost(self, name: str) -> None:
        """Count a VM as dead until its next heartbeat: its connection broke."""
        member = self.members.get(name)
        if member is not None:
            member.last_heard_at = -1e9

    def is_alive(self, name: str, now: float) -> bool:
        """Return whether a VM's last heartbeat is within the timeout."""
        if name == self.own_name:
            return True
        member = self.members.get(name)
        if member is None:
            return False
        return now - member.last_heard_at <= self.scaled_heartbeat_timeout_s

    def list_alive(self, now: float) -> list[str]:
        """Return the live other VMs, including those that are stopping."""
        return [name for name in self.members if self.is_alive(name, now)]

    def list_leaving_upstreams(self, now: float) -> frozenset[str]:
        """Return the upstreams that live peers report as leaving."""
        reported = [self.members[name].leaving for name in self.list_alive(now)]
        return frozenset().union(*reported)

    def choose_owner(
        self, subject: str, now: float, *, self_stopping: bool
    ) -> str:
        """Return the VM that owns a subject, such as a pool, in this VM's view.

        This VM is no candidate while it stops (``self_stopping``), but owns the
        subject if there is no other candidate.
        """
        candidates = [name for name in self.members if self._may_own(name, now)]
        if not self_stopping:
            candidates.append(self.own_name)
        if not candidates:
            return self.own_name
        return rank_members(subject, candidates)[0]

    def is_watcher(
        self,
        data_centre: str,
        now: float,
        *,
        watchers: int,
    ) -> bool:
        """Return whether this VM reads the platform for its data centre.

        The first ``watchers`` of the data centre's live VMs do, by rendezvous
        hashing.
        """
        names = [
            name
            for name in self.list_alive(now)
            if self.members[name].data_centre == data_centre
        ]
        names.append(self.own_name)
        ranked = rank_members(f'watch:{data_centre}', names)
        return self.own_name in ranked[:watchers]

    def _may_own(self, name: str, now: float) -> bool:
        member = self.members[name]
        if member.stopping or member.listed_leaving:
            return False
        if member.owner_ejected_until > now:
            return False
        if name not in self.list_neighbours():
            # It sends no heartbeats here, so the platform's list counts until
            # the VM fails to answer as an owner and is ejected.
            return member.listed
        # A VM that is heard but does not hear this VM would never receive this
        # VM's slot requests.
        acknowledges_us = (
            now - member.last_acknowledged_at <= self.scaled_heartbeat_timeout_s
        )
        return acknowledges_us and self.is_alive(name, now)

    def _update_neighbours(self) -> None:
        names = [self.own_name, *self.members]
        self.ring = tuple(sorted(names, key=_compute_ring_position))
        if len(self.members) <= self.max_full_mesh_peers:
            self.neighbours = frozenset(self.members)
            return
        position = self.ring.index(self.own_name)
        per_side = self.large_fleet_neighbours // 2
        nearest = [
            self.ring[(position + step) % len(self.ring)]
            for step in range(-per_side, per_side + 1)
            if step
        ]
        self.neighbours = frozenset(nearest)


def _compute_ring_position(name: str) -> int:
    return hash_parts('ring', name)
