"""State of one VM: routes, upstreams, peers and open calls.

Times are in seconds of the boot-time clock.
"""

from collections import Counter, defaultdict
from dataclasses import dataclass, field

from bilberryspoke._internal.core.routing.callstate import CallState, WaitQueue
from bilberryspoke._internal.core.routing.crashledger import CrashLedger
from bilberryspoke._internal.core.routing.enginespeed import PrefillSpeed
from bilberryspoke._internal.core.routing.helpermemory import HelperMemory
from bilberryspoke._internal.core.routing.linkreview import LinkReview
from bilberryspoke._internal.core.routing.listcoverage import ListCoverage
from bilberryspoke._internal.core.routing.originledger import OriginLedger
from bilberryspoke._internal.core.routing.peerstate import PeerView
from bilberryspoke._internal.core.routing.retrybudget import SlidingRetryBudget
from bilberryspoke._internal.core.routing.tightdemand import TightLoad
from bilberryspoke._internal.core.routing.upstreamstate import (
    RemovedUpstream,
    UpstreamState,
)
from bilberryspoke._internal.models.routetable import RouteTable
from bilberryspoke._internal.models.routing import (
    NO_POSITION,
    StorePosition,
)
from bilberryspoke._internal.models.routing_events import StoreWatch
from bilberryspoke._internal.models.routing_messages import CachedParts

# Time of what has not happened yet, in seconds of the boot-time clock.
_NEVER = -1e9


@dataclass(slots=True)
class RoutingState:
    """State of one VM for routed calls.

    ``listed`` tells whether a complete list of upstreams was received, and
    ``confirmed`` whether the routes were compared with those of other VMs.
    ``behind_since`` is when a peer first had newer routes, None if none has.
    ``longest_timeouts_s`` are the longest timeouts that the routes of the table
    ever had here, by route.
    ``position`` is the position of the store as of which the upstreams are
    known, and ``coverage`` the time in which this VM knows each change of them.
    ``refresh_asked_at`` is when it last asked for them out of turn.
    ``store_answered_at`` is when the store last answered each watch and
    ``answered_positions`` the position that it answered with.
    ``lost_watches`` holds when the store stopped to answer a watch, by watch.
    ``store_back_at`` is when it last answered about upstreams again after an
    outage of ``store_outage_s`` seconds. ``counts_around_outage`` is the number
    of upstreams of each service at its begin or end, whichever is higher.
    ``store_restored_at`` is when an answer showed that the store had been
    restored from a copy, and ``removed`` holds the upstreams that were dropped
    lately, by instance. ``calls`` are by id, ``budgets`` by service and
    ``peers`` by name. ``reviewed_at`` is when calls were last reviewed,
    ``resumed_at`` when this VM last resumed after a pause of ``last_pause_s``.
    ``members_changed_at`` is when this VM last learned or forgot a VM, and
    ``settled`` whether that has been a while ago once since its start.
    ``heartbeat_sent_at`` is when heartbeats were last sent to the peers,
    ``snapshot_requested_at`` when a peer was last asked for a snapshot of the
    store. A time of -1e9 means never. ``seeds`` are addresses of VMs whose
    names are not known yet. ``members_digest`` is equal at VMs that know the
    same VMs. ``relays`` are the relays by data centre, empty in a small fleet,
    and ``relay_chosen_at`` when each was chosen. ``reporters`` are the peers
    whose reports this VM counts, by name. ``crash_ledger`` is what is known of
    calls that crash upstreams, ``origins`` of the software versions of streams.
    ``reads_store`` is whether this VM reads the store. ``store_reader`` is the
    VM of this data centre that does in a large fleet, empty if none is named,
    and ``reader_named_at`` is when its relay named each VM last.
    ``reader_heard_at`` is when this VM last heard of a reader that reaches the
    store, and ``asks_reader`` whether it last asked that of its data centre for
    a snapshot. ``upstreams_digest`` is equal at VMs that know the same of all
    upstreams, and ``differs_since`` is when a reader first had another one,
    None if none has.
    ``part_news`` and ``foreign_part_news`` are the parts of prompts to name in
    the next heartbeats, from this data centre and from others.
    ``tight_loads`` and ``prefill_speeds`` are by service. ``longest_answer_s``
    is how long complete answers lately took at most, by route.
    ``unreached_services`` are the services with upstreams of which this VM
    reaches none. ``helpers`` and ``link_reviews`` are by service.
    """

    table: RouteTable | None = None
    longest_timeouts_s: dict[str, float] = field(default_factory=dict)
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
    coverage: ListCoverage = field(default_factory=ListCoverage)
    refresh_asked_at: float = _NEVER
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
    last_pause_s: float = 0.0
    heartbeat_sent_at: float = -1e9
    snapshot_requested_at: float = -1e9
    crash_ledger: CrashLedger = field(default_factory=CrashLedger)
    origins: OriginLedger = field(default_factory=OriginLedger)
    reads_store: bool = True
    store_reader: str = ''
    reader_named_at: dict[str, float] = field(default_factory=dict)
    reader_heard_at: float = _NEVER
    upstreams_digest: int = 0
    differs_since: float | None = None
    asks_reader: bool = False
    part_news: list[CachedParts] = field(default_factory=list)
    foreign_part_news: list[CachedParts] = field(default_factory=list)
    tight_loads: defaultdict[str, TightLoad] = field(
        default_factory=lambda: defaultdict(TightLoad),
    )
    prefill_speeds: defaultdict[str, PrefillSpeed] = field(
        default_factory=lambda: defaultdict(PrefillSpeed),
    )
    longest_answer_s: dict[str, float] = field(default_factory=dict)
    unreached_services: set[str] = field(default_factory=set)
    helpers: defaultdict[str, HelperMemory] = field(
        default_factory=lambda: defaultdict(HelperMemory),
    )
    link_reviews: dict[str, LinkReview] = field(default_factory=dict)

    @property
    def ready(self) -> bool:
        """Whether upstreams are known, and routes that no VM has newer."""
        return self.confirmed and self.listed

    @property
    def store_reachable(self) -> bool:
        """Whether the store answers about upstreams."""
        return StoreWatch.upstreams not in self.lost_watches

    @property
    def is_store_reader(self) -> bool:
        """Whether this VM reads the store, and the store answers it."""
        return self.reads_store and self.store_reachable

    def find_incarnation(
        self, instance: str, created_ms: int
    ) -> UpstreamState | None:
        """Return the upstream unless it is unknown or another incarnation."""
        upstream = self.upstreams.get(instance)
        if upstream is None or upstream.listed.created_ms != created_ms:
            return None
        return upstream

    def list_services(self) -> set[str]:
        """Return the services of the known upstreams."""
        return {each.listed.service for each in self.upstreams.values()}

    def list_reached_upstreams(
        self, service: str, now: float
    ) -> list[UpstreamState]:
        """Return the accepting upstreams that are not known to be lost."""
        return [
            upstream
            for upstream in self.list_accepting_upstreams(service)
            if not upstream.health.is_unresponsive(now)
        ]

    def list_accepting_upstreams(self, service: str) -> list[UpstreamState]:
        """Return the upstreams of a service that accept new calls."""
        return [
            upstream
            for upstream in self.upstreams.values()
            if upstream.listed.service == service and not upstream.is_leaving
        ]
