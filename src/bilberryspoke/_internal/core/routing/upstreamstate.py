"""State of an upstream, as this VM knows it.

Times are in seconds of the boot-time clock.
"""

from dataclasses import dataclass, field

from bilberryspoke._internal.core.routing.callstate import CallState
from bilberryspoke._internal.core.routing.passivehealth import PassiveHealth
from bilberryspoke._internal.models.routing import ListedUpstream

# Time of what has not happened yet, in seconds of the boot-time clock.
_NEVER = -1e9


@dataclass(slots=True)
class RateLimit:
    """Limit that an upstream names for the calls of all VMs together.

    ``per_s`` is in calls per second, None without a limit, and ``stated_at``
    when the upstream last said so, to any VM. ``part_per_s`` is the part of it
    that this VM takes, ``balance`` the number of calls that it may send as of
    ``refilled_at``.
    """

    per_s: float | None = None
    stated_at: float = _NEVER
    part_per_s: float = 0.0
    balance: float = 0.0
    refilled_at: float = _NEVER

    @property
    def allows_call(self) -> bool:
        """Whether this VM may send a call now."""
        return self.per_s is None or self.balance >= 1

    def count_call(self) -> None:
        """Count a call that was sent."""
        self.balance -= 1


@dataclass(slots=True)
class UpstreamState:
    """One incarnation of an upstream, and this VM's calls there.

    ``sends`` holds the calls under way there by their id. ``parts_sent_at``
    holds the time at which a VM last sent each shared part of a prompt there,
    as far as this VM knows. ``latency_ratio`` is the ratio of measured to
    expected times to the first event. ``last_heard_at`` is when bytes of any
    answer last arrived,
    -1e9 if never. ``drop_at`` is set if its entry is missing after a store
    outage; it is dropped then unless it is listed again before. ``limit`` is
    what it said of the calls that it takes. ``said_leaving`` is whether it said
    itself that it leaves. It asked for no calls of this VM until
    ``paused_until``, -1e9 if it never did. ``is_brittle`` is whether it said
    that it falls over if it has to refuse many calls, ``slot_share`` the number
    of calls that this VM may then have there, and ``refused_at`` when it last
    refused one of this VM.
    """

    listed: ListedUpstream
    sends: dict[str, CallState] = field(default_factory=dict)
    health: PassiveHealth = field(default_factory=PassiveHealth)
    parts_sent_at: dict[str, float] = field(default_factory=dict)
    latency_ratio: float = 1.0
    last_heard_at: float = -1e9
    drop_at: float | None = None
    limit: RateLimit = field(default_factory=RateLimit)
    said_leaving: bool = False
    paused_until: float = _NEVER
    is_brittle: bool = False
    slot_share: int = 0
    refused_at: float = _NEVER

    @property
    def is_leaving(self) -> bool:
        """Whether it must get no new calls, by its entry or its answers."""
        return self.listed.leaving or self.said_leaving

    def is_open(self, now: float) -> bool:
        """Return whether it wants a call of this VM now.

        Otherwise calls wait until it does, or go to others.
        """
        if self.is_brittle and len(self.sends) >= self.slot_share:
            return False
        return self.limit.allows_call and now >= self.paused_until

    def relist(self, listed: ListedUpstream) -> 'UpstreamState':
        """Return the state of the same incarnation under a new entry.

        What it said of itself holds on, whatever became of its entry.
        """
        return UpstreamState(
            listed,
            limit=self.limit,
            said_leaving=self.said_leaving,
            paused_until=self.paused_until,
            is_brittle=self.is_brittle,
            slot_share=self.slot_share,
            refused_at=self.refused_at,
        )


@dataclass(frozen=True, slots=True)
class RemovedUpstream:
    """An upstream that was dropped, as it was then without its calls."""

    upstream: UpstreamState
    removed_at: float

    @property
    def listed(self) -> ListedUpstream:
        """Its last entry."""
        return self.upstream.listed

    def make_successor(self, listed: ListedUpstream) -> UpstreamState:
        """Return the state of the upstream that has its id now."""
        if listed.created_ms == self.listed.created_ms:
            return self.upstream.relist(listed)
        return UpstreamState(listed)
