"""What one VM knows of routes, upstreams and the calls it has open."""

from dataclasses import dataclass, field
from enum import StrEnum

from bilberryspoke._internal.core.routing.budget import RepeatBudget
from bilberryspoke._internal.core.routing.suspicion import Suspicion
from bilberryspoke._internal.models.routing import (
    ListedUpstream,
    RoutedCall,
    RouteTable,
)


class Stage(StrEnum):
    """Where an open call stands."""

    waiting = 'waiting'
    sent = 'sent'


@dataclass(slots=True)
class OpenCall:
    """A call from its arrival to its final answer.

    ``sends`` counts sends that reached an upstream. ``tried`` names the
    upstreams that had it. Times are in seconds of the boot-time clock;
    ``sent_at`` and ``moved_at`` belong to the present send.
    """

    call: RoutedCall
    stage: Stage = Stage.waiting
    attempt: int = 0
    sends: int = 0
    instance: str = ''
    sent_at: float = 0.0
    moved_at: float | None = None
    first_at: float | None = None
    last_event: int | None = None
    may_have_run: bool = False
    tried: list[str] = field(default_factory=list)


@dataclass(slots=True)
class UpstreamState:
    """One incarnation of an upstream, and what this VM has there.

    ``sends`` holds the calls under way there by their name.
    ``gone_at`` is when its entry went missing while the store had just
    come back; it may still be listed again.
    """

    listed: ListedUpstream
    sends: dict[str, OpenCall] = field(default_factory=dict)
    suspicion: Suspicion = field(default_factory=Suspicion)
    gone_at: float | None = None


@dataclass(slots=True)
class RoutingState:
    """Everything one VM knows about routed calls."""

    table: RouteTable | None = None
    upstreams: dict[str, UpstreamState] = field(default_factory=dict)
    listed: bool = False
    calls: dict[str, OpenCall] = field(default_factory=dict)
    budgets: dict[str, RepeatBudget] = field(default_factory=dict)
    reached: bool = False
    reached_at: float = -1e9

    @property
    def ready(self) -> bool:
        """Whether routes and upstreams are both known."""
        return self.table is not None and self.listed

    def list_staying(self, service: str) -> list[UpstreamState]:
        """Return the upstreams of a service that may receive new work."""
        return [
            upstream
            for upstream in self.upstreams.values()
            if upstream.listed.service == service
            and not upstream.listed.leaving
        ]
