"""Route table: one complete configuration of routes, with its indexes."""

import bisect
from dataclasses import dataclass, field

from bilberryspoke._internal.models.ranks import get_priority, make_rank
from bilberryspoke._internal.models.routing import (
    ApiKeyHolder,
    IngressLimits,
    Route,
    Service,
)

# Engines take priorities from 0, the most urgent, to this one.
_MAX_ENGINE_PRIORITY = 9


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
    ``ranks_of_service``: for each service, the ranks that its calls may have,
    in order.
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
    ranks_of_service: dict[str, list[int]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Build the indexes of routes by host and of targets by service."""
        for route in self.routes:
            self.routes_of_host.setdefault(route.host, []).append(route)
            for target in route.targets:
                self._index_service(target.service, route)
        for routes in self.routes_of_host.values():
            routes.sort(key=_get_prefix_length, reverse=True)
        self._index_ranks()

    def choose_engine_priority(self, service: str, rank: int) -> int:
        """Return the priority of a call at the engines of a service.

        Engines preempt by it, so that it follows the rank of the calls. If
        there are more ranks than priorities, those of equal workspace
        priority share one.
        """
        ranks = self.ranks_of_service.get(service, [])
        position = bisect.bisect_left(ranks, rank)
        if len(ranks) > _MAX_ENGINE_PRIORITY + 1:
            priorities = {get_priority(each) for each in ranks}
            position = bisect.bisect_left(
                sorted(priorities), get_priority(rank)
            )
        return min(_MAX_ENGINE_PRIORITY, position)

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

    def _index_ranks(self) -> None:
        """Index the ranks of the calls of all holders of API keys.

        A call without a workspace's priority has that of its route.
        """
        own_priorities = {
            holder.priority for holder in self.api_key_holders.values()
        }
        ranks: dict[str, set[int]] = {}
        for route in self.routes:
            priorities = {
                route.priority if each is None else each
                for each in (None, *own_priorities)
            }
            for target in route.targets:
                ranks.setdefault(target.service, set()).update(
                    make_rank(each, route.priority) for each in priorities
                )
        self.ranks_of_service = {
            service: sorted(each) for service, each in ranks.items()
        }


def _get_prefix_length(route: Route) -> int:
    return len(route.path_prefix)
