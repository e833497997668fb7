"""Routers and engines of a simulation, and calls as routers see them."""

from dataclasses import dataclass, field
from typing import Protocol

from bench.routed.ledger import Entry
from bench.routed.load import SERVICE, FleetSize
from bilberryspoke._internal.core import Core, CoreSettings
from bilberryspoke._internal.models.routing import ListedUpstream, RoutedCall
from bilberryspoke._internal.models.vmsettings import DeploymentBounds
from fakes.batching import BatchEngine

# A caller disconnects after the longest of these times without an event:
# this minimum, 4 latency targets, 8 times the maximum event gap.
_MIN_CALLER_TIMEOUT_S = 2.0
_CALLER_TIMEOUT_LATENCY_TARGETS = 4
_CALLER_TIMEOUT_EVENT_GAPS = 8


class Router(Protocol):
    """Interface of the routing decisions of one VM."""

    def handle(self, event: object, *, now: float) -> list[object]:
        """Handle an event at ``now`` seconds; return the effects to execute."""


@dataclass(slots=True, eq=False)
class SimulatedEngine:
    """One engine of a simulation.

    ``model`` simulates its batches. By request id, ``senders`` has the VM that
    sent the request and the number of its attempt, and ``resume_offsets`` the
    number of events that the caller already had when it was sent.
    ``step_pending`` is whether the end of a step is scheduled. ``down`` is
    whether the engine has crashed.
    """

    instance: str
    model: BatchEngine
    senders: dict[str, tuple[str, int]] = field(default_factory=dict)
    resume_offsets: dict[str, int] = field(default_factory=dict)
    step_pending: bool = False
    down: bool = False


def build_core(name: str, number: int, size: FleetSize) -> Core:
    """Create the project's own router for the VM with a number from 0."""
    settings = CoreSettings(
        vm=name,
        data_centre=f'dc-{number % size.data_centres}',
        incarnation=1,
        peer_address=name,
        bounds=DeploymentBounds(retry_reserve=size.retry_reserve),
        shares_slots=False,
    )
    return Core(settings)


def build_routed_call(entry: Entry) -> RoutedCall:
    """Build a call as its VM receives it."""
    arrival = entry.arrival
    route = arrival.kind.route
    return RoutedCall(
        call_id=arrival.req_id,
        req_id=arrival.req_id,
        route=route,
        service=SERVICE,
        workspace=arrival.workspace,
        priority=arrival.priority,
        arrived_at=entry.last_requested_at,
        deadline_at=entry.last_requested_at + route.timeout_s,
        prompt_tokens=arrival.tokens,
        parts=arrival.parts,
    )


def get_caller_timeout_s(entry: Entry) -> float:
    """Return the seconds without an event after which a caller disconnects."""
    route = entry.arrival.kind.route
    return max(
        _MIN_CALLER_TIMEOUT_S,
        _CALLER_TIMEOUT_LATENCY_TARGETS * route.latency_target_s,
        _CALLER_TIMEOUT_EVENT_GAPS * (route.max_event_gap_s or 0.0),
    )


def build_listed_engine(
    instance: str, size: FleetSize, *, leaving: bool = False
) -> ListedUpstream:
    """Build the discovery entry of an engine of a fleet."""
    return ListedUpstream(
        instance=instance,
        service=SERVICE,
        address=instance,
        data_centre='dc-0',
        slots=size.slots,
        leaving=leaving,
    )
