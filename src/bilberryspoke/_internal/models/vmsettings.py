"""Settings of one VM that routes calls between callers and upstreams.

``platform.boot`` makes them from the platform's settings file.
"""

import math
from dataclasses import dataclass

# Heartbeats come unevenly and some are lost, so that a history seems shorter
# than it is.
_SEEN_HISTORY_RATIO = 0.75


@dataclass(frozen=True, slots=True)
class DeploymentBounds:
    """Bounds that the deployment promises its users.

    ``stop_timeout_s``: seconds a stopping process has before it is killed.
    ``retry_share``, ``retry_window_s``, ``retry_reserve``: retry budget.
    Within any ``retry_window_s`` seconds, the retries of all VMs to a service
    are at most ``retry_share`` times its calls plus ``retry_reserve``.
    ``history_s``: seconds for which the store is to keep its changes, infinite
    if that is not said. ``upstream_heartbeat_s``: seconds from one write of an
    upstream's entry to the next, about.
    """

    stop_timeout_s: float = 8.0
    retry_share: float = 0.2
    retry_window_s: float = 10.0
    retry_reserve: float = 0.0
    history_s: float = math.inf
    upstream_heartbeat_s: float = 1.0

    @property
    def seen_history_s(self) -> float:
        """How far heartbeats show a history to go back if none is dropped."""
        return self.history_s * _SEEN_HISTORY_RATIO


@dataclass(frozen=True, slots=True)
class VmSettings:
    """Location and addresses of a VM, and how it finds the others.

    Addresses are ``host:port``.
    ``entry_address``, ``ready_address``: where it listens for callers and for
    the platform's readiness checks.
    ``peer_port``, ``metrics_port``: ports on ``ip`` for other VMs and for
    metrics.
    ``handoff_port``: port on ``ip`` for calls that other VMs hand off; ``None``
    if there is no port for it.
    ``seed_hosts``: hosts of some other VMs, which may no longer exist.
    ``store_address``: the platform's store of routes and upstreams.
    ``memory_bytes``, ``max_descriptors``: what the process may use of each.
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
    bounds: DeploymentBounds
    handoff_port: int | None = None
    memory_bytes: int = 536_870_912
    max_descriptors: int = 4096
