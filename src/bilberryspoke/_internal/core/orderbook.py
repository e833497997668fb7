"""State of the orders to engines."""

from dataclasses import dataclass, field

from bilberryspoke._internal.utils.bucket import TokenBucket


@dataclass(slots=True)
class EngineOrders:
    """What an owner knows of one engine's orders.

    Times are of the boot-time clock; ``missing_since`` is 0 while the wanted
    model is loaded, ``in_flight_since`` is 0 without an order in flight.
    """

    missing_since: float = 0.0
    in_flight_since: float = 0.0
    fencing: int = 0


@dataclass(slots=True)
class OrderBook:
    """Orders of one VM. ``owned_since`` is by pool."""

    owned_since: dict[str, float] = field(default_factory=dict)
    engines: dict[str, EngineOrders] = field(default_factory=dict)
    weights: TokenBucket | None = None
