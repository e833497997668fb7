"""State of one VM, changed by the reducer's handlers."""

import math
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field

from bilberryspoke._internal.core.membership import Membership
from bilberryspoke._internal.core.operations.ownership import (
    KeyOwnership,
    OwnershipSettings,
)
from bilberryspoke._internal.core.operations.table import OperationTable
from bilberryspoke._internal.core.orderstate import OrderState
from bilberryspoke._internal.core.poolqueue import OwnedPool
from bilberryspoke._internal.core.requeststate import RequestState
from bilberryspoke._internal.core.retrybudget import RetryBudget
from bilberryspoke._internal.core.routing.state import RoutingState
from bilberryspoke._internal.core.upstreamload import UpstreamLoad
from bilberryspoke._internal.models.catalog import Catalog, Upstream
from bilberryspoke._internal.models.effects import Effect
from bilberryspoke._internal.models.vmsettings import DeploymentBounds


@dataclass(frozen=True, slots=True)
class CoreSettings:
    """Construction settings of a core. Durations are in seconds.

    ``incarnation`` identifies this process of the VM and grows with its start
    time. ``policy`` is the name of a registered sharing policy. ``entry_url``,
    ``admin_url`` and ``peer_address`` are announced to peers. An owner queues
    at most ``max_queued_requests`` for each pool, apart from requests that may
    have been started. The operation table holds at most
    ``max_operation_keys``. A peer counts as dead after ``heartbeat_timeout_s``
    without a heartbeat. ``lease_s`` is the maximum time from a grant to its
    dispatch. An entry VM sends a holding report to each owner every
    ``holding_report_interval_s``; an owner reclaims a slot that no report has
    confirmed for ``reclaim_timeout_s``. In a fleet of up to
    ``max_full_mesh_peers`` peers each VM exchanges heartbeats with all others.
    ``retry_share`` is the number of retries allowed for each first attempt.
    ``weights_per_s`` is the rate of model loads that the weight store allows
    the whole fleet. ``shares_slots`` is set where VMs share upstreams through
    owners of pools. In a large fleet all of these intervals and timeouts but
    ``lease_s`` are multiplied by ``Membership.interval_factor``. ``ownership``
    has the time bounds of key ownership, ``bounds`` the bounds that the
    deployment promises its users. ``handoff_port`` is where each VM takes calls
    that others hand off, None if they can't.
    """

    vm: str
    data_centre: str
    incarnation: int
    policy: str = 'slot_owner'
    peer_address: str = ''
    entry_url: str = ''
    admin_url: str = ''
    heartbeat_interval_s: float = 0.2
    heartbeat_timeout_s: float = 0.7
    lease_s: float = 2.0
    holding_report_interval_s: float = 0.5
    reclaim_timeout_s: float = 3.0
    max_queued_requests: int = 5000
    retry_share: float = 0.2
    max_full_mesh_peers: int = 12
    max_operation_keys: int = 100_000
    weights_per_s: float = 4.0
    ownership: OwnershipSettings = OwnershipSettings()
    bounds: DeploymentBounds = DeploymentBounds()
    shares_slots: bool = True
    handoff_port: int | None = None


@dataclass(slots=True)
class OwnerContact:
    """Whether the owner of a pool answers this VM's holding reports.

    ``unanswered_since`` is the time of the first report without an answer, in
    seconds of the boot-time clock, or ``None`` if the last one was answered.
    """

    owner: str
    unanswered_since: float | None


@dataclass(slots=True)
class VmState:
    """State of one VM; only the reducer's handlers change it.

    ``manifest`` and ``values`` are the encoded form of ``catalog``, for peers
    that ask for it. ``owned_pools`` holds the pools for which this VM grants
    slots, ``owner_of`` the owner of each pool in this VM's view, and
    ``owner_contacts`` the last contact with each, all by the pool's name.
    ``leaving`` holds the upstreams that the platform's list as this VM last
    read it (``listed_leaving``) or a live peer names as leaving. ``loads`` is
    by upstream, ``req_states`` by request id. ``effects`` are those of the
    event being reduced, and ``loopback_messages`` the messages from this VM to
    itself that are still to be handled. ``stopping_since`` is when it was asked
    to stop, infinite before. ``started_at`` is when the process
    handled its first event. Times are in seconds of the boot-time
    clock. ``choice_count`` counts the choices of the policies that take
    upstreams in turn or by hash.
    """

    settings: CoreSettings
    membership: Membership
    retries: RetryBudget
    operations: OperationTable
    ownership: KeyOwnership
    catalog: Catalog | None = None
    manifest: bytes = b''
    values: Mapping[str, bytes] = field(default_factory=dict)
    stopping: bool = False
    stopping_since: float = math.inf
    orders: OrderState = field(default_factory=OrderState)
    req_states: dict[str, RequestState] = field(default_factory=dict)
    owned_pools: dict[str, OwnedPool] = field(default_factory=dict)
    loads: dict[str, UpstreamLoad] = field(default_factory=dict)
    owner_of: dict[str, str] = field(default_factory=dict)
    owner_contacts: dict[str, OwnerContact] = field(default_factory=dict)
    leaving: frozenset[str] = frozenset()
    started_at: float = math.inf
    effects: list[Effect] = field(default_factory=list)
    loopback_messages: deque[object] = field(default_factory=deque)
    listed_leaving: frozenset[str] = frozenset()
    heartbeat_sent_at: float = -1e9
    holding_report_sent_at: float = 0.0
    choice_count: int = 0
    routing: RoutingState = field(default_factory=RoutingState)

    @property
    def vm(self) -> str:
        """Name of this VM."""
        return self.settings.vm

    def emit(self, effect: Effect) -> None:
        """Append an effect to those of the event being reduced."""
        self.effects.append(effect)

    def ensure_load(self, upstream: str) -> UpstreamLoad:
        """Return the load record of an upstream, created if there is none."""
        load = self.loads.get(upstream)
        if load is None:
            load = UpstreamLoad(upstream)
            self.loads[upstream] = load
        return load

    def is_leaving(self, upstream: Upstream) -> bool:
        """Return whether an upstream is leaving and must get no new work."""
        return upstream.leaving or upstream.name in self.leaving
