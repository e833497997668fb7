"""Match of a call to its route, and of its API key to a workspace."""

from dataclasses import dataclass

from expression import Error, Ok, Result

from bilberryspoke._internal.models.routetable import RouteTable
from bilberryspoke._internal.models.routing import (
    ApiKeyHolder,
    Route,
)
from bilberryspoke._internal.utils.hashing import hash_parts

_NO_KEY_HOLDER = ApiKeyHolder('')
_HASH_RANGE = 1 << 64


@dataclass(frozen=True, slots=True)
class RouteMatch:
    """Route of a call that is allowed, and the workspace that holds its key."""

    route: Route
    key_holder: ApiKeyHolder

    @property
    def priority(self) -> int:
        """Priority of the key's workspace, or the route's if it has none."""
        if self.key_holder.priority is None:
            return self.route.priority
        return self.key_holder.priority


@dataclass(frozen=True, slots=True)
class Unmatched:
    """HTTP status and reason for a call without a valid route or key."""

    status: int
    reason: str


def match_call(
    table: RouteTable,
    host: str,
    path: str,
    key: str | None,
) -> Result[RouteMatch, Unmatched]:
    """Return the route of a call and the workspace that holds its key.

    The error has status 404 without a matching route, and 401 if keys are in
    use, the route needs one, and ``key`` is missing or unknown.
    """
    route = table.find_route(host, path)
    if route is None:
        return Error(Unmatched(404, 'no_route'))
    if not table.uses_keys or not route.needs_key:
        return Ok(RouteMatch(route, _NO_KEY_HOLDER))
    key_holder = table.api_key_holders.get(key) if key else None
    if key_holder is None:
        return Error(Unmatched(401, 'unknown_key'))
    return Ok(RouteMatch(route, key_holder))


def choose_service(route: Route, req_id: str) -> str:
    """Return one of a route's services, chosen by hash and weight.

    The choice is the same for each attempt with the same ``req_id``.
    """
    total = sum(target.weight for target in route.targets)
    drawn = hash_parts(route.name, req_id) / _HASH_RANGE * total
    for target in route.targets:
        drawn -= target.weight
        if drawn < 0:
            return target.service
    return route.targets[-1].service
