"""What the callers of a process make it keep, and the bounds of their sum.

Each request within its own limits is served in calm. Many at once may have no
room: then the largest requests that are still arriving are refused first, so
that ordinary callers are served beside them. None of these has been passed on.
"""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

# Requests up to this cost are refused last.
_SMALL_COST_BYTES = 65_536
# Large requests leave the rest of the memory to small ones.
_LARGE_FRACTION = 0.8


@dataclass(frozen=True, slots=True)
class IntakeBounds:
    """Bounds for all connections of callers together.

    ``memory_bytes``: memory for requests, from their begin to their response.
    ``connections``: number of open connections.
    """

    memory_bytes: int = 268_435_456
    connections: int = 10_000


@dataclass(frozen=True, slots=True)
class Overload:
    """A request was refused, or a connection closed, for want of room.

    ``reason``: what there was too much of, as one word. ``cost_bytes``: what
    the request held, ``total_bytes``: all of them. ``connections``: how many
    were open.
    """

    reason: str
    cost_bytes: int
    total_bytes: int
    connections: int


class IntakeConnection(Protocol):
    """A connection of a caller, as the intake sees it."""

    @property
    def is_receiving(self) -> bool:
        """Whether its only open request is still arriving."""

    @property
    def is_idle(self) -> bool:
        """Whether no request is open on it."""

    def refuse(self) -> None:
        """Refuse the request that is arriving; close the connection then."""

    def close_early(self) -> None:
        """Close the connection at once."""


class Intake:
    """Counts what the requests of all connections cost, and bounds it."""

    def __init__(
        self, bounds: IntakeBounds, report: Callable[[Overload], None]
    ) -> None:
        """Create an intake without connections.

        ``report`` is called with each request that it refuses, and each
        connection that it closes.
        """
        self._bounds = bounds
        self._report = report
        # Those that were quiet for longest come first.
        self._costs: OrderedDict[IntakeConnection, int] = OrderedDict()
        self._total = 0

    def add(self, connection: IntakeConnection) -> None:
        """Count a new connection; over the bound another one is closed.

        That is the one which was quiet for longest and serves no request, or
        the new one.
        """
        self._costs[connection] = 0
        if len(self._costs) <= self._bounds.connections:
            return
        closed = next(
            each for each in self._costs if each.is_idle or each.is_receiving
        )
        self._forget(closed, 'too_many_connections')
        closed.close_early()

    def remove(self, connection: IntakeConnection) -> None:
        """Forget a connection that is closed."""
        self._total -= self._costs.pop(connection, 0)

    def release(self, connection: IntakeConnection) -> None:
        """Note that all requests of a connection have their responses."""
        released = self._costs.get(connection)
        if released is not None:
            self._total -= released
            self._costs[connection] = 0
            self._costs.move_to_end(connection)

    def charge(
        self, connection: IntakeConnection, cost: int, alone: int
    ) -> None:
        """Note what a part of a request costs, in bytes.

        Requests that cost most are refused until there is room. ``alone`` is
        what one request may cost in calm.
        """
        if connection not in self._costs:
            return
        self._costs[connection] += cost
        self._total += cost
        room = max(alone, int(self._bounds.memory_bytes * _LARGE_FRACTION))
        while self._total > room:
            largest = self._find_largest()
            if largest is None:
                return
            self._refuse(largest)

    def admits(self, connection: IntakeConnection, alone: int) -> bool:
        """Return whether there is room for a request that has arrived.

        Otherwise it is refused, as it was not passed on yet.
        """
        cost = self._costs.get(connection, 0)
        fraction = 1.0 if cost <= _SMALL_COST_BYTES else _LARGE_FRACTION
        room = max(alone, int(self._bounds.memory_bytes * fraction))
        if self._total <= room:
            return True
        self._refuse(connection)
        return False

    def _find_largest(self) -> IntakeConnection | None:
        """Return the connection whose arriving request costs most.

        None if only small ones arrive.
        """
        arriving = (each for each in self._costs if each.is_receiving)
        largest = max(arriving, key=self._costs.__getitem__, default=None)
        if largest is None or self._costs[largest] <= _SMALL_COST_BYTES:
            return None
        return largest

    def _refuse(self, connection: IntakeConnection) -> None:
        self._forget(connection, 'no_memory')
        connection.refuse()

    def _forget(self, connection: IntakeConnection, reason: str) -> None:
        overload = Overload(
            reason,
            cost_bytes=self._costs.get(connection, 0),
            total_bytes=self._total,
            connections=len(self._costs),
        )
        self._report(overload)
        self.remove(connection)
