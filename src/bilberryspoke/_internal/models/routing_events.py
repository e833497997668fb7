"""Events about routes, discovery and routed calls.

``network.routing`` makes them, and the handlers in ``core.routing`` reduce
them to new state and effects.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from bilberryspoke._internal.models.helperends import EndCause
from bilberryspoke._internal.models.routetable import RouteTable
from bilberryspoke._internal.models.routing import (
    Framing,
    ListedUpstream,
    RoutedCall,
    SendStatus,
    StorePosition,
)


class StoreWatch(StrEnum):
    """What a watch of the store follows."""

    routes = 'routes'
    upstreams = 'upstreams'


@dataclass(frozen=True, slots=True)
class RoutesOffered:
    """A complete configuration of routes was read and decoded.

    The core adopts it if it is newer than the one in force.
    ``source``: ``store``, or the VM that sent it, for the log.
    ``position``: that of the store when it was read, for the log; None if it
    came from another VM.
    """

    table: RouteTable
    source: str = 'store'
    position: StorePosition | None = None


@dataclass(frozen=True, slots=True)
class UpstreamsListed:
    """All upstreams were read, as of a position of the store.

    ``asked_at``: when the store was asked, in seconds of the boot-time clock;
    ``None`` if only now.
    """

    upstreams: tuple[ListedUpstream, ...]
    position: StorePosition
    asked_at: float | None = None


@dataclass(frozen=True, slots=True)
class UpstreamChanged:
    """The store's entry of one upstream was written or removed.

    ``listed``: the new entry; ``None`` if it was removed or is invalid.
    """

    instance: str
    listed: ListedUpstream | None


@dataclass(frozen=True, slots=True)
class DiscoverySynced:
    """All changes of upstreams up to a position of the store were applied.

    ``asked_at``: as in ``UpstreamsListed``.
    """

    position: StorePosition
    asked_at: float | None = None


@dataclass(frozen=True, slots=True)
class MissedUpstreamsRead:
    """Changes were read that happened before the last list of upstreams.

    ``entries``: the last one of each software version that an upstream had;
    none if nothing is known.
    ``is_complete``: whether these are all since the store stopped to answer;
    else those of lately.
    ``since``: since when no change of a service's upstreams is missing, by
    service; in seconds of the boot-time clock, -inf if none ever was.
    ``is_answered``: whether the store answered, if only that it has none left.
    ``dated_ms``: Unix time in milliseconds since when no change is missing, by
    what upstreams say of themselves; infinite if they say nothing.
    """

    entries: tuple[ListedUpstream, ...]
    is_complete: bool
    since: Mapping[str, float] = field(default_factory=dict)
    is_answered: bool = True
    dated_ms: float = math.inf


@dataclass(frozen=True, slots=True)
class StoreReachReported:
    """The store of routes and upstreams was found reachable or unreachable.

    Sent after requests to the store, also if its reachability is unchanged.
    ``watch``: the watch whose request it was.
    ``cause``: the error, if it is unreachable.
    ``position``: the position that the store answered with, if it did.
    """

    store_reachable: bool
    watch: StoreWatch
    cause: str = ''
    position: StorePosition | None = None


@dataclass(frozen=True, slots=True)
class SeedsConfigured:
    """Addresses of other VMs were read from the settings, as ``host:port``."""

    addresses: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class CallArrived:
    """The ingress accepted a call and read its body completely."""

    call: RoutedCall


@dataclass(frozen=True, slots=True)
class CallAbandoned:
    """The caller closed its connection before its answer was complete.

    The ingress also sends it at the end of every call; the core ignores it
    for a call that has ended.
    """

    call_id: str


@dataclass(frozen=True, slots=True)
class CallCrashed:
    """An unexpected exception ended the service of a call on this VM."""

    call_id: str


@dataclass(frozen=True, slots=True)
class SendProgressed:
    """A part of an answer arrived.

    ``last_event_id``: id of the last event delivered to the caller; ``None`` if
    the answer is not a stream or has no ids.
    """

    call_id: str
    attempt: int
    last_event_id: int | None = None


@dataclass(frozen=True, slots=True)
class RateLimitStated:
    """An upstream answered with a limit, or without one while it had one.

    ``per_s``: calls per second that it takes from all VMs together; ``None``
    if it named no limit.
    ``created_ms``: names its incarnation; ``None`` if it is not known.
    """

    instance: str
    per_s: float | None
    created_ms: int | None = None


@dataclass(frozen=True, slots=True)
class LeavingStated:
    """An upstream answered that it is leaving.

    ``created_ms``: names its incarnation, as in ``ListedUpstream``.
    """

    instance: str
    created_ms: int


@dataclass(frozen=True, slots=True)
class BrittlenessStated:
    """An upstream answered whether it falls over at many refusals.

    ``created_ms``: names its incarnation, as in ``ListedUpstream``.
    """

    instance: str
    created_ms: int
    is_brittle: bool


@dataclass(frozen=True, slots=True)
class PauseRequested:
    """An upstream refused a call and asked this VM for none for a while.

    ``created_ms``: names its incarnation, as in ``ListedUpstream``.
    ``delay_s``: how long, in seconds.
    """

    instance: str
    created_ms: int
    delay_s: float


@dataclass(frozen=True, slots=True)
class UpstreamProbed:
    """A probe ended with or without an answer of an upstream.

    ``created_ms``: names its incarnation, as in ``ListedUpstream``.
    """

    instance: str
    created_ms: int
    accepts: bool


@dataclass(frozen=True, slots=True)
class SendEnded:
    """A send to an upstream ended.

    The core also makes this event itself, for a send without progress.
    ``detail``: cause for the log.
    ``delivered``: whether the caller already has a part of the answer.
    ``last_event_id``: id of the last event delivered to the caller, if any.
    ``connection_lost``: whether the connection closed before the answer was
    complete.
    ``upstream_crashed``: whether the address then refused connections too, as
    when the upstream crashed.
    ``connection``: the connection of the send and which of its calls it was,
    for the log; empty if none was opened.
    ``cause``: what another VM that the call was handed off to says of its end.
    ``framing``: what tells where the answer's body ends; None if its head did
    not arrive.
    """

    call_id: str
    attempt: int
    status: SendStatus
    detail: str = ''
    delivered: bool = False
    last_event_id: int | None = None
    connection_lost: bool = False
    upstream_crashed: bool = False
    connection: str = ''
    cause: EndCause = EndCause.unstated
    framing: Framing | None = None


RoutingEvent = (
    RoutesOffered
    | UpstreamsListed
    | MissedUpstreamsRead
    | UpstreamChanged
    | DiscoverySynced
    | StoreReachReported
    | SeedsConfigured
    | CallArrived
    | CallAbandoned
    | CallCrashed
    | SendProgressed
    | RateLimitStated
    | LeavingStated
    | PauseRequested
    | BrittlenessStated
    | UpstreamProbed
    | SendEnded
)
