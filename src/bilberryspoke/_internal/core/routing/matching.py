"""Whether a call may proceed: its route, its key and its workspace."""

from dataclasses import dataclass

from expression import Error, Ok, Result

from bilberryspoke._internal.models.routing import (
    KeyOwner,
    Route,
    RouteTable,
)
from bilberryspoke._internal.utils.hashing import hash_word

_NO_OWNER = KeyOwner('')
_HASH_SPAN = 1 << 64


@dataclass(frozen=True, slots=True)
class Matched:
    """A call that may proceed."""

    route: Route
    owner: KeyOwner

    @property
    def priority(self) -> int:
        """Priority of the call; the workspace's own goes first."""
        if self.owner.priority is None:
            return self.route.priority
        return self.owner.priority


@dataclass(frozen=True, slots=True)
class Unmatched:
    """A call that no route or key allows, with its HTTP status."""

    status: int
    reason: str


def match_call(
    table: RouteTable,
    host: str,
    path: str,
    key: str | None,
) -> Result[Matched, Unmatched]:
    """Find the route of a call and the workspace that holds its key."""
    route = table.find_route(host, path)
    if route is None:
        return Error(Unmatched(404, 'no_route'))
    if not table.uses_keys or not route.needs_key:
        return Ok(Matched(route, _NO_OWNER))
    owner = table.key_owners.get(key) if key else None
    if owner is None:
        return Error(Unmatched(401, 'unknown_key'))
    return Ok(Matched(route, owner))


def choose_service(route: Route, req_id: str) -> str:
    """Return one of a route's services, by their weights."""
    total = sum(target.weight for target in route.targets)
    drawn = hash_word(route.name, req_id) / _HASH_SPAN * total
    for target in route.targets:
        drawn -= target.weight
        if drawn < 0:
            return target.service
    return route.targets[-1].service
