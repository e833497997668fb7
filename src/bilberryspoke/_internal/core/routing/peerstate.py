"""State of the other VMs, as their heartbeats describe them.

Times are in seconds of the boot-time clock.
"""

from dataclasses import dataclass, field

from bilberryspoke._internal.models.routing import (
    NO_POSITION,
    StorePosition,
)
from bilberryspoke._internal.models.routing_messages import (
    ReportScope,
    TightDemand,
)


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
    capacity at that VM, by group of upstreams. ``tight_demand`` is the load by
    streams with a tight gap limit, by service. They are those of ``vms`` VMs,
    as ``scope`` says. ``upstreams_digest`` is as in ``RoutingState``, and
    ``store_reader`` is the VM that ``version``, ``position`` and
    ``store_reachable`` describe. ``connected`` is whether a connection was
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
    tight_demand: dict[str, TightDemand] = field(default_factory=dict)
    data_centre: str = ''
    scope: ReportScope = ReportScope.vm
    vms: int = 1
    store_reader: str = ''
    upstreams_digest: int = 0
    connected: bool = False
    suspected: bool = False
