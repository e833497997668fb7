"""How many engines of a service the streams with a tight gap limit need.

An engine that reads long prompts delays the tokens of such streams, so that
some engines are kept for them. Too many would be idle while other calls wait.
Their number follows the load that all VMs together see, and is the same at all
VMs but for the delay of their heartbeats. Times are in seconds of the boot-time
clock.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from bilberryspoke._internal.core.routing.enginespeed import PrefillSpeed
from bilberryspoke._internal.core.routing.peerstate import PeerView
from bilberryspoke._internal.models.routing_messages import TightDemand

# Fraction of engines that are kept while the load is not known yet.
_INITIAL_FRACTION = 0.25
# Highest fraction of engines that are kept.
_MAX_FRACTION = 0.5
# Prompts of the streams may take this fraction of an engine's time, and the
# streams this fraction of its slots: more of them delay one another.
_MAX_PREFILL_UTILIZATION = 0.4
_MAX_SLOT_UTILIZATION = 0.9
# Time over which the arrivals are averaged.
_RATE_WINDOW_S = 1.5
# Engines that are no longer needed are kept for this long: streams run there,
# and the load may return.
_SHRINK_DELAY_S = 10.0
_FIRST_SHRINK_DELAY_S = 4.0


@dataclass(slots=True)
class TightLoad:
    """Streams with a tight gap limit to one service, as this VM sees them.

    ``recent_tokens`` are the prompt tokens that arrived, each weighted by its
    age, as of ``updated_at``. ``engines`` is the number of engines that is kept
    and ``needed_at`` when as many were last needed.
    """

    recent_tokens: float = 0.0
    updated_at: float = 0.0
    engines: int = 0
    needed_at: float = 0.0
    open_calls: set[str] = field(default_factory=set)

    def record_arrival(self, call_id: str, tokens: int, now: float) -> None:
        """Record a stream that arrived with some prompt tokens of its own."""
        self.recent_tokens = self._decay(now) + tokens
        self.updated_at = now
        self.open_calls.add(call_id)

    def measure(self, now: float) -> TightDemand:
        """Return the load, for this VM and others to add up."""
        return TightDemand(
            round(self._decay(now) / _RATE_WINDOW_S), len(self.open_calls)
        )

    def _decay(self, now: float) -> float:
        age_s = max(0, now - self.updated_at)
        return self.recent_tokens * math.exp(-age_s / _RATE_WINDOW_S)


@dataclass(frozen=True, slots=True)
class EngineCapacity:
    """Engines of a service: their number, slots each, and prefill speed."""

    count: int
    slots: int
    speed: PrefillSpeed


def list_reported(service: str, peers: Iterable[PeerView]) -> list[TightDemand]:
    """Return the load at a service that peers report."""
    return [
        peer.tight_demand[service]
        for peer in peers
        if service in peer.tight_demand
    ]


def add_demands(demands: Iterable[TightDemand]) -> TightDemand:
    """Return the sum of the load at several VMs."""
    total = TightDemand(0, 0)
    for demand in demands:
        total.tokens_per_s += demand.tokens_per_s
        total.calls += demand.calls
    return total


def count_tight_engines(
    load: TightLoad,
    service: str,
    peers: list[PeerView],
    capacity: EngineCapacity,
    now: float,
) -> int:
    """Return the number of engines to keep for streams with a tight gap limit.

    ``peers`` are those whose reports count. The number is at least 1, and falls
    only after fewer have been enough for a while.
    """
    demand = add_demands([load.measure(now), *list_reported(service, peers)])
    most = max(1, math.floor(capacity.count * _MAX_FRACTION))
    if not load.engines:
        load.engines = max(1, round(capacity.count * _INITIAL_FRACTION))
        load.needed_at = now + _FIRST_SHRINK_DELAY_S - _SHRINK_DELAY_S
    needed = max(
        1,
        math.ceil(
            capacity.speed.get_prefill_s(demand.tokens_per_s)
            / _MAX_PREFILL_UTILIZATION
        ),
        math.ceil(demand.calls / (capacity.slots * _MAX_SLOT_UTILIZATION)),
    )
    if needed >= load.engines:
        load.needed_at = now
        load.engines = needed
    elif now - load.needed_at > _SHRINK_DELAY_S:
        load.needed_at = now
        load.engines -= 1
    return min(most, load.engines)
