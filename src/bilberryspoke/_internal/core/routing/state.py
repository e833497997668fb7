"""State of one VM: routes, upstreams, peers and open calls.

Times are in seconds of the boot-time clock.
"""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import StrEnum

from bilberryspoke._internal.core.routing.crashledger import CrashLedger
from bilberryspoke._internal.core.routing.passivehealth import PassiveHealth
from bilberryspoke._internal.core.routing.retrybudget import SlidingRetryBudget
from bilberryspoke._internal.models.routetable import RouteTable
from bilberryspoke._internal.models.routing import (
    NO_POSITION,
    ListedUpstream,
    RoutedCall,
    StorePosition,
)
from bilberryspoke._internal.models.routing_events import StoreWatch
from bilberryspoke._internal.models.routing_messages import ReportScope

# Time of what has not happened yet, in seconds of the boot-time clock.
_NEVER = -1e9


class CallStage(StrEnum):
    """Whether an open call waits to be sent or is under way."""

    waiting = 'waiting'
    sent = 'sent'


@dataclass(slots=True)
class CallState:
    """A call from its arrival to its final answer.

    ``attempt`` numbers the sends, ``sends`` is the number of ended ones that
    reached an upstream, and ``tried_instances`` lists the upstreams of all
    ended ones. ``queued_at`` is when the call began to wait for its next send,
    ``waited_s`` the total of such waits. ``instance``, ``sent_at``,
    ``last_progress_at``, ``prefill_tokens`` (prompt tokens that the engine has
    to read) and ``expected_first_event_s`` (seconds from the send to the first
    event) belong to the current send. ``first_event_at`` is when the first part
    of an answer arrived, ``longest_gap_s`` the longest pause after it.
    ``last_event_id`` is the id of the last delivered event, after which a
    stream is resumed. ``may_have_run`` is set if an upstream may have run the
    call, so that a refusal must not promise that it did not run.
    ``fingerprints`` are what it has in common with other calls, described for
    the log. ``created_ms`` (that of the upstream), ``began_at`` (the first
    event) and ``proven`` (the upstream outlived the begin of the answer) belong
    to the current send; ``crashes`` counts the upstreams that crashed under it.
    """

    call: RoutedCall
    stage: CallStage = CallStage.waiting
    attempt: int = 0
    sends: int = 0
    instance: str = ''
    queued_at: float = 0.0
    waited_s: float = 0.0
    sent_at: float = 0.0
    last_progress_at: float | None = None
    first_event_at: float | None = None
    longest_gap_s: float = 0.0
    last_event_id: int | None = None
    prefill_tokens: int = 0
    expected_first_event_s: float = 0.0
    may_have_run: bool = False
    tried_instances: list[str] = field(default_factory=list)
    fingerprints: dict[int, str] = field(default_factory=dict)
    created_ms: int = 0
    began_at: float | None = None
    proven: bool = False
    crashes: int = 0


@dataclass(slots=True)
class WaitQueue:
    """Calls that wait for capacity at an upstream, in order of arrival.

    A call that could be sent elsewhere but waits for the engine that caches its
    prompt does not hold up less urgent calls; its rank is not counted.
    """

    _calls: dict[str, CallState] = field(default_factory=dict)
    _rank_counts: dict[str, Counter[int]] = field(default_factory=dict)
    _groups: dict[str, str] = field(default_factory=dict)

    def __len__(self) -> int:
        """Return how many calls wait."""
        return len(self._calls)

    def __iter__(self) -> Iterator[CallState]:
        """Return the calls that wait."""
        return iter(self._calls.values())

    def add(self, call_state: CallState, group: str | None) -> None:
        """Add a call that waits for capacity in a group of engines.

        ``group`` is None for a call whose rank does not count, because it
        waits for the engine that caches its prompt.
        """
        self.discard(call_state)
        call = call_state.call
        self._calls[call.call_id] = call_state
        if group is None:
            return
        self._groups[call.call_id] = group
        counts = self._rank_counts.setdefault(group, Counter())
        counts[call.rank] += 1

    def discard(self, call_state: CallState) -> None:
        """Remove a call if it waits."""
        call = call_state.call
        self._calls.pop(call.call_id, None)
        group = self._groups.pop(call.call_id, None)
        if group is None:
            return
        counts = self._rank_counts[group]
        counts[call.rank] -= 1
        if not counts[call.rank]:
            counts.pop(call.rank)
        if not counts:
            self._rank_counts.pop(group)

    def get_most_urgent_ranks(self) -> dict[str, int]:
        """Return the most urgent (lowest) rank that waits, by group."""
        return {
            group: min(counts) for group, counts in self._rank_counts.items()
        }


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
    holds the time at which this VM last sent each shared part of a prompt
    there. ``latency_ratio`` is the ratio of measured to expected times to the
    first event. ``last_heard_at`` is when bytes of any answer last arrived,
    -1e9 if never. ``drop_at`` is set if its entry is missing after a store
    outage; it is dropped then unless it is listed again before. ``limit`` is
    what it said of the calls that it takes. ``said_leaving`` is whether it
    said itself that it leaves. It asked for no calls of this VM until
    ``paused_until``, -1e9 if it never did.
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

    @property
    def is_leaving(self) -> bool:
        """Whether it must get no new calls, by its entry or its answers."""
        return self.listed.leaving or self.said_leaving

    def is_open(self, now: float) -> bool:
        """Return whether it wants a call of this VM now.

        Otherwise calls wait until it does, or go to others.
        """
        return self.limit.allows_call and now >= self.paused_until


@dataclass(frozen=True, slots=True)
class RemovedUpstream:
    """An upstream that was dropped, with its last entry."""

    listed: ListedUpstream
    removed_at: float


@dataclass(slots=True)
class PeerBacklog:
    """Backlog of another VM at an upstream, as last reported."""

    prefill_tokens: int
    calls: int


@dataclass(slots=True)
class PeerView:
    """Another VM, as its last heartbeat described it.

    ``alive_at`` is when it was last known to be alive, directly or through
    other VMs, ``last_heard_at`` when its own last heartbeat came and
    ``introduced_at`` when it last got the addresses of other VMs, all in
    seconds of this VM's boot-time clock, -1e9 for never. ``version`` is that
    of its route table, 0 without one, and ``position`` that of the store as
    of which it knows the upstreams. ``backlog`` is by instance of the
    upstream. ``waiting`` is the most urgent rank among the calls that wait for
    capacity at that VM, by group of upstreams. Both are those of ``vms`` VMs,
    as ``scope`` says. ``store_reader`` is the VM that ``version``, ``position``
    and ``store_reachable`` describe. ``connected`` is whether a connection was
    requested. ``suspected`` is whether the peer does not answer, so that it is
    not chosen as a relay.
    """

    name: str
    address: str
    alive_at: float = -1e9
    last_heard_at: float = -1e9
    introduced_at: float = -1e9
    version: int = 0
    position: StorePosition = NO_POSITION
    store_reachable: bool = False
    backlog: dict[str, PeerBacklog] = field(default_factory=dict)
    waiting: dict[str, int] = field(default_factory=dict)
    data_centre: str = ''
    scope: ReportScope = ReportScope.vm
    vms: int = 1
    store_reader: str = ''
    connected: bool = False
    suspected: bool = False


@dataclass(slots=True)
class RoutingState:
    """State of one VM for routed calls.

    ``listed`` tells whether a complete list of upstreams was received, and
    ``confirmed`` whether the routes were compared with those of other VMs.
    ``behind_since`` is when a peer first had newer routes, None if none has.
    ``position`` is the position of the store as of which the upstreams are
    known. ``store_answered_at`` is when the store last answered each watch and
    ``answered_positions`` the position that it answered with.
    ``lost_watches`` holds when the store stopped to answer a watch, by watch.
    ``store_back_at`` is when it last answered about upstreams again after an
    outage of ``store_outage_s`` seconds. ``counts_around_outage`` is the number
    of upstreams of each service at its begin or end, whichever is higher.
    ``store_restored_at`` is when an answer showed that the store had been
    restored from a copy, and ``removed`` holds the upstreams that were dropped
    lately, by instance. ``calls`` are by id, ``budgets`` by service and
    ``peers`` by name. ``reviewed_at`` is when calls were last reviewed,
    ``resumed_at`` when this VM last resumed after a pause.
    ``members_changed_at`` is when this VM last learned or forgot a VM, and
    ``settled`` whether that has been a while ago once since its start.
    ``heartbeat_sent_at`` is when heartbeats were last sent to the peers,
    ``snapshot_requested_at`` when a peer was last asked for a snapshot of the
    store. A time of -1e9 means never. ``seeds`` are addresses of VMs whose
    names are not known yet. ``members_digest`` is equal at VMs that know the
    same VMs. ``relays`` are the relays by data centre, empty in a small fleet,
    and ``relay_chosen_at`` when each was chosen. ``reporters`` are the peers
    whose reports this VM counts, by name. ``crash_ledger`` is what is known of
    calls that crash upstreams.
    """

    table: RouteTable | None = None
    upstreams: dict[str, UpstreamState] = field(default_factory=dict)
    listed: bool = False
    confirmed: bool = False
    behind_since: float | None = None
    removed: dict[str, RemovedUpstream] = field(default_factory=dict)
    calls: dict[str, CallState] = field(default_factory=dict)
    waiting: WaitQueue = field(default_factory=WaitQueue)
    budgets: dict[str, SlidingRetryBudget] = field(default_factory=dict)
    lost_watches: dict[StoreWatch, float] = field(
        default_factory=lambda: dict.fromkeys(StoreWatch, _NEVER),
    )
    store_back_at: float = -1e9
    store_restored_at: float = -1e9
    store_outage_s: float = 0.0
    counts_around_outage: Counter[str] = field(default_factory=Counter)
    position: StorePosition = NO_POSITION
    store_answered_at: dict[StoreWatch, float] = field(default_factory=dict)
    answered_positions: dict[StoreWatch, StorePosition] = field(
        default_factory=dict,
    )
    peers: dict[str, PeerView] = field(default_factory=dict)
    seeds: set[str] = field(default_factory=set)
    members_digest: int = 0
    members_changed_at: float = _NEVER
    settled: bool = False
    relays: dict[str, str] = field(default_factory=dict)
    relay_chosen_at: dict[str, float] = field(default_factory=dict)
    reporters: dict[str, PeerView] = field(default_factory=dict)
    reviewed_at: float = -1e9
    resumed_at: float = -1e9
    heartbeat_sent_at: float = -1e9
    snapshot_requested_at: float = -1e9
    crash_ledger: CrashLedger = field(default_factory=CrashLedger)

    @property
    def ready(self) -> bool:
        """Whether upstreams are known, and routes that no VM has newer."""
        return self.confirmed and self.listed

    @property
    def store_reachable(self) -> bool:
        """Whether the store answers about upstreams."""
        return StoreWatch.upstreams not in self.lost_watches

    def list_accepting_upstreams(self, service: str) -> list[UpstreamState]:
        """Return the upstreams of a service that accept new calls."""
        return [
            upstream
            for upstream in self.upstreams.values()
            if upstream.listed.service == service and not upstream.is_leaving
        ]
