"""Memory of the software versions at which streams began.

Times are in seconds of the boot-time clock.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field

from bilberryspoke._internal.core.routing.streamwindow import StreamWindow
from bilberryspoke._internal.models.routing import ListedUpstream

# An origin is forgotten so long after it was last recorded.
_RETENTION_S = 600.0
_MAX_ORIGINS = 20_000


@dataclass(frozen=True, slots=True)
class StreamOrigin:
    """Software version of the upstream that began a stream.

    ``software_version`` is None if the upstream may have been replaced by one
    of another version just before, so that the stream can't be resumed.
    """

    software_version: str | None


@dataclass(slots=True)
class OriginLookup:
    """A question to other VMs about the origin of a stream.

    ``window`` is when the stream can have begun. ``call_ids`` are the calls
    that wait for its origin. VMs that may know it have until ``asks_until`` to
    answer, and until ``ends_at`` one has to prove which version there was.
    ``asked_at`` is when the other VMs were last asked, ``denied_by`` are those
    that do not know the stream, ``answered_by`` all that answered, and
    ``proven_by`` holds what those say that have followed all changes of the
    window. ``verdicts`` are the last ones of other VMs on their lists, by VM.
    """

    window: StreamWindow
    asks_until: float
    ends_at: float
    asked_at: float = -1e9
    call_ids: list[str] = field(default_factory=list)
    denied_by: set[str] = field(default_factory=set)
    answered_by: set[str] = field(default_factory=set)
    proven_by: dict[str, str] = field(default_factory=dict)
    verdicts: dict[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class OriginFound:
    """What was found of a stream's origin.

    ``basis`` is what it rests on, for the log, and ``lookup`` the question to
    other VMs, None if none was asked.
    """

    origin: StreamOrigin
    basis: str
    lookup: OriginLookup | None = None


@dataclass(slots=True)
class OriginLedger:
    """What a VM knows of the software versions of streams and upstreams.

    ``lookups`` are the open questions to other VMs, by the key of the stream.
    ``withdrawn_versions`` holds when an upstream of each service and version
    was last removed or replaced. ``keepers`` are the VMs of each data centre
    that keep origins, as of ``keepers_chosen_at``.
    """

    lookups: dict[int, OriginLookup] = field(default_factory=dict)
    withdrawn_versions: dict[tuple[str, str], float] = field(
        default_factory=dict
    )
    keepers: dict[str, list[str]] = field(default_factory=dict)
    keepers_chosen_at: float = -1e9
    _origins: dict[int, tuple[StreamOrigin, float]] = field(
        default_factory=dict
    )

    def find(self, key: int) -> StreamOrigin | None:
        """Return the origin of a stream, None if it is not known."""
        found = self._origins.get(key)
        return None if found is None else found[0]

    def record(self, key: int, origin: StreamOrigin, now: float) -> None:
        """Record an origin; a stream keeps the first version that is recorded.

        An ambiguous one replaces it.
        """
        known = self.find(key)
        if known is not None and origin.software_version is not None:
            origin = known
        # The oldest ones are the first.
        self._origins.pop(key, None)
        self._origins[key] = (origin, now)
        self._forget_old(now)

    def note_withdrawn(self, listed: ListedUpstream, now: float) -> None:
        """Note that an upstream no longer runs the version of an entry."""
        key = (listed.service, listed.software_version)
        self.withdrawn_versions[key] = now

    def list_withdrawn(self, service: str, since: float) -> Iterator[str]:
        """Return the versions of upstreams that were removed since a time."""
        for (owner, version), at in self.withdrawn_versions.items():
            if owner == service and at >= since:
                yield version

    def _forget_old(self, now: float) -> None:
        while self._origins:
            oldest = next(iter(self._origins))
            _, recorded_at = self._origins[oldest]
            recent = recorded_at >= now - _RETENTION_S
            if recent and len(self._origins) <= _MAX_ORIGINS:
                return
            self._origins.pop(oldest)
