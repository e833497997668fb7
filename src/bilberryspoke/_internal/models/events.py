"""Events: inputs that the core's handlers reduce to new state and effects.

The network layer makes them. ``req_id`` is the id of a ``Request``, and
``attempt`` numbers its attempts from 1.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

from bilberryspoke._internal.models.catalog import Catalog
from bilberryspoke._internal.models.messages import PeerMessage
from bilberryspoke._internal.models.requests import AttemptStatus, Request
from bilberryspoke._internal.models.routing_events import RoutingEvent


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A call was authenticated and approved, and its body read completely."""

    req: Request


@dataclass(frozen=True, slots=True)
class OperationArrived:
    """A call arrived that must run at most once and carries an operation key.

    ``key``: the key as the caller sent it; ``req.operation_key`` holds it in
    normalized form.
    ``fingerprint``: digest of method, path and body.
    ``now_ms``: arrival in Unix time, in milliseconds.
    ``forwarded``: whether another VM forwarded the call.
    """

    req: Request
    key: str
    fingerprint: str
    now_ms: int
    forwarded: bool = False


@dataclass(frozen=True, slots=True)
class KeyRequested:
    """A workspace requested an operation key; ``token`` is random hex."""

    workspace: str
    token: str


@dataclass(frozen=True, slots=True)
class CallerGone:
    """The caller closed its connection, or took no bytes for too long.

    The network layer also sends it at the end of every call; the core ignores
    it for a request that has ended.
    """

    req_id: str


@dataclass(frozen=True, slots=True)
class RequestCrashed:
    """An unexpected exception ended the service of a request on this VM.

    Its attempt, if one was running, has ended.
    """

    req_id: str


@dataclass(frozen=True, slots=True)
class AttemptProgressed:
    """An attempt delivered a part of the answer to the caller.

    ``tokens``: answer tokens delivered to the caller so far, those of
    earlier attempts included.
    """

    req_id: str
    attempt: int
    tokens: int


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt ended.

    ``tokens``: answer tokens delivered to the caller so far, those of
    earlier attempts included.
    ``detail``: cause for the log and the request's record.
    ``upstream_crashed``: whether the upstream closed the connection and no
    longer listens.
    """

    req_id: str
    attempt: int
    status: AttemptStatus
    tokens: int
    detail: str = ''
    upstream_crashed: bool = False


@dataclass(frozen=True, slots=True)
class PeerMessageReceived:
    """A message from another VM arrived.

    ``incarnation``: number of the sender's process; a later start of the VM
    has a higher one.
    """

    sender: str
    incarnation: int
    message: PeerMessage


@dataclass(frozen=True, slots=True)
class PeerLost:
    """The connection to another VM broke."""

    peer: str


@dataclass(frozen=True, slots=True)
class LoadReported:
    """An upstream reported its load, which may be out of date on arrival.

    ``running``, ``waiting``: requests that it runs and that it queues.
    ``prefixes``: hashes of prompt prefixes in its cache.
    ``models``: models it has loaded; ``None`` if it does not report them.
    ``fencing``: highest fencing number it has received.
    """

    upstream: str
    running: int
    waiting: int
    prefixes: tuple[int, ...] = ()
    models: tuple[str, ...] | None = None
    fencing: int = 0


@dataclass(frozen=True, slots=True)
class ModelLoadOrderEnded:
    """An order to load a model ended.

    ``accepted``: whether the upstream accepted the order; false if it refused
    or did not answer.
    """

    upstream: str
    accepted: bool


@dataclass(frozen=True, slots=True)
class LoadReportMissed:
    """An upstream did not give a usable load report."""

    upstream: str


@dataclass(frozen=True, slots=True)
class ListedVm:
    """One entry of the platform's list of VMs.

    ``role``: ``entry`` for a VM that takes callers' requests, ``upstream``
    for an upstream of this name.
    ``peer_address``: address for messages between VMs, as ``host:port``;
    empty if unknown.
    """

    name: str
    role: str
    data_centre: str
    leaving: bool
    peer_address: str = ''


@dataclass(frozen=True, slots=True)
class VmsListed:
    """The platform's list of VMs was read.

    ``as_of_ms``: Unix time of the platform, in milliseconds, as of which the
    list is valid; 0 if the platform does not state it.
    """

    vms: tuple[ListedVm, ...]
    as_of_ms: int = 0


@dataclass(frozen=True, slots=True)
class CatalogOffered:
    """A complete configuration was read and passed all checks.

    The core adopts it if it is newer than the one in force.
    ``manifest``: the encoded manifest, to be sent to other VMs.
    ``values``: the encoded values by digest, to be sent with it.
    """

    catalog: Catalog
    manifest: bytes
    values: Mapping[str, bytes] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class StopRequested:
    """The process was asked to stop gracefully."""


@dataclass(frozen=True, slots=True)
class Tick:
    """The timer fired; the core does the periodic work that is due."""


Event = (
    RequestArrived
    | OperationArrived
    | KeyRequested
    | CallerGone
    | RequestCrashed
    | AttemptProgressed
    | AttemptEnded
    | PeerMessageReceived
    | PeerLost
    | LoadReported
    | LoadReportMissed
    | ModelLoadOrderEnded
    | VmsListed
    | CatalogOffered
    | RoutingEvent
    | StopRequested
    | Tick
)
