"""Settings of one VM that routes calls between callers and upstreams."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PromisedBounds:
    """Bounds that the deployment promises its users.

    ``stop_s``: time a stopping process has before it is killed.
    Repeated sends of all VMs to a service within ``retry_window_s`` stay
    within ``retry_share`` of its calls plus ``retry_reserve``.
    """

    stop_s: float = 8.0
    retry_share: float = 0.2
    retry_window_s: float = 10.0
    retry_reserve: float = 0.0


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """Where a VM stands, listens and finds the others.

    Addresses are ``host:port``. ``seed_hosts`` are hosts of a few other VMs,
    some of which may be gone.
    """

    vm: str
    data_centre: str
    ip: str
    entry_address: str
    ready_address: str
    peer_port: int
    metrics_port: int
    seed_hosts: tuple[str, ...]
    store_address: str
    bounds: PromisedBounds
