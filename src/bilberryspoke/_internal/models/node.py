"""Settings of one VM that routes calls between callers and upstreams."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PromisedBounds:
    """Bounds that the deployment promises its users.

    ``drain_s``: time after which a leaving upstream gets nothing new.
    ``stop_s``: time a stopping process has before it is killed.
    ``apply_s``: time after which an accepted configuration is in force.
    Repeated sends of all VMs to a service within ``retry_window_s`` stay
    within ``retry_share`` of its calls plus ``retry_reserve``.
    """

    drain_s: float = 2.0
    stop_s: float = 8.0
    apply_s: float = 2.0
    retry_share: float = 0.2
    retry_window_s: float = 10.0
    retry_reserve: float = 0.0


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """Where a VM stands, listens and finds the others.

    Addresses are ``host:port``. ``seed_hosts`` are hosts of a few other VMs,
    some of which may be gone. ``upstream_beat_s`` is the interval at which
    upstreams renew their entry in the store.
    """

    vm: str
    data_centre: str
    data_centres: tuple[str, ...]
    ip: str
    entry_address: str
    ready_address: str
    peer_port: int
    metrics_port: int
    seed_hosts: tuple[str, ...]
    store_address: str
    max_descriptors: int
    upstream_beat_s: float
    bounds: PromisedBounds
