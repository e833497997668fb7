"""Route table: one complete configuration of routes, with its indexes."""

from dataclasses import dataclass, field

from bilberryspoke._internal.models.routing import (
    ApiKeyHolder,
    IngressLimits,
    Route,
    Service,
)


@dataclass(slots=True)
class RouteTable:
    """One complete configuration of routes.

    ``version``: number of the configuration; a higher one is newer.
    ``services``: services by name.
    ``api_key_holders``: workspaces by API key.
    ``uses_keys``: whether workspaces are configured; otherwise callers need
    no API key.
    ``encoded``: the record it was decoded from, to be sent to other VMs.
    ``routes_of_host``: routes by host, those with longer prefixes first.
    ``max_event_gaps_of_service``: for each service, the different maximum
    inter-token gaps of its routes, in seconds.
    ``latency_targets_of_service``: for each service, the longest latency
    target in seconds by the priority of the route.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: IngressLimits
    api_key_holders: dict[str, ApiKeyHolder]
    uses_keys: bool
    encoded: bytes = b''
    routes_of_host: dict[str, list[Route]] = field(default_factory=dict)
    max_event_gaps_of_service: dict[str, set[float]] = field(
        default_factory=dict
    )
    latency_targets_of_service: dict[str, dict[int, float]] = field(
        default_factory=dict,
    )

    def __post_init__(self) -> None:
        """Build the indexes of routes by host and of targets by service."""
        for route in self.routes:
            self.routes_of_host.setdefault(route.host, []).append(route)
            for target in route.targets:
                self._index_service(target.service, route)
        for routes in self.routes_of_host.values():
            routes.sort(key=_get_prefix_length, reverse=True)

    def find_longest_latency_target(self, service: str, priority: int) -> float:
        """Return the longest latency target of less urgent routes, in seconds.

        These are the routes to ``service`` whose priority is a higher number
        than ``priority``. Returns 0 if there are none.
        """
        latency_targets = self.latency_targets_of_service.get(service, {})
        return max(
            (
                latency_targets[other_priority]
                for other_priority in latency_targets
                if other_priority > priority
            ),
            default=0.0,
        )

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix, or ``None``."""
        for route in self.routes_of_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def _index_service(self, service: str, route: Route) -> None:
        if route.max_event_gap_s is not None:
            gaps = self.max_event_gaps_of_service.setdefault(service, set())
            gaps.add(route.max_event_gap_s)
        latency_targets = self.latency_targets_of_service.setdefault(
            service, {}
        )
        longest_s = latency_targets.get(route.priority, 0.0)
        latency_targets[route.priority] = max(longest_s, route.latency_target_s)


def _get_prefix_length(route: Route) -> int:
    return len(route.path_prefix)
