"""Effects that the core asks its shell to carry out."""

from dataclasses import dataclass

from bilberryspoke._internal.models.messages import PeerMessage
from bilberryspoke._internal.models.requests import Outcome, RequestRecord
from bilberryspoke._internal.models.routing_effects import RoutingEffect


@dataclass(frozen=True, slots=True)
class SendPeer:
    """Send a message to another VM."""

    peer: str
    message: PeerMessage


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Start an attempt, unless ``lease_until`` has passed on the boot clock."""

    req_id: str
    attempt: int
    upstream: str
    offset: int
    priority: int
    lease_until: float


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Stop an attempt and tell the upstream to stop computing."""

    req_id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Answer:
    """Give the caller the final word on a request that did not complete."""

    req_id: str
    outcome: Outcome
    reason: str
    retry_after_s: float | None = None


@dataclass(frozen=True, slots=True)
class Reject:
    """Answer a call that was turned away, with an HTTP status of its own."""

    req_id: str
    status: int
    kind: str
    message: str
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class Forward:
    """Pass a call on to the VM that alone may run its key."""

    req_id: str
    peer: str


@dataclass(frozen=True, slots=True)
class Replay:
    """Give the recorded answer of a key's finished operation again."""

    req_id: str
    key: str


@dataclass(frozen=True, slots=True)
class OrderUpstream:
    """Order an engine to load a model."""

    upstream: str
    model: str
    fencing: int


@dataclass(frozen=True, slots=True)
class Record:
    """Keep the explanation of an ended request."""

    record: RequestRecord


@dataclass(frozen=True, slots=True)
class Count:
    """Add to a counter; ``label`` is a class, upstream or reason."""

    name: str
    label: str = ''
    amount: int = 1


@dataclass(frozen=True, slots=True)
class Log:
    """Write one line about a change of state."""

    event: str
    detail: str = ''


@dataclass(frozen=True, slots=True)
class Adopt:
    """A configuration came into force."""

    revision: int
    digest: str


Effect = (
    SendPeer
    | Dispatch
    | CancelAttempt
    | Answer
    | Reject
    | Forward
    | Replay
    | OrderUpstream
    | RoutingEffect
    | Record
    | Count
    | Log
    | Adopt
)
