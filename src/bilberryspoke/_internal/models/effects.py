"""Effects: actions that the core requests from the network layer.

The core's handlers return them, and ``network.runtime`` carries them out.
Times are seconds of this VM's boot-time clock unless stated otherwise.
``attempt`` numbers the dispatches of a request from 1.
"""

from dataclasses import dataclass

from bilberryspoke._internal.models.messages import PeerMessage
from bilberryspoke._internal.models.requests import Outcome, RequestRecord
from bilberryspoke._internal.models.routing_effects import RoutingEffect


@dataclass(frozen=True, slots=True)
class SendPeerMessage:
    """Send a message to another VM, named by ``peer``."""

    peer: str
    message: PeerMessage


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Start an attempt at an upstream, unless its lease has expired.

    ``offset``: number of answer tokens that the caller already has.
    ``priority``: tier of the request's class, sent to the upstream.
    ``lease_until``: end of the lease, in seconds of the boot-time clock.
    """

    req_id: str
    attempt: int
    upstream: str
    offset: int
    priority: int
    lease_until: float


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancel an attempt, so that the upstream stops computing."""

    req_id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class AnswerFailure:
    """Answer a request that did not complete.

    ``reason``: why it did not complete, as one word.
    ``retry_after_s``: seconds after which the caller should retry; ``None``
    leaves the header out.
    """

    req_id: str
    outcome: Outcome
    reason: str
    retry_after_s: float | None = None


@dataclass(frozen=True, slots=True)
class Reject:
    """Refuse a call with a given HTTP status.

    ``kind``: error code in the answer's body, as one word.
    ``message``: text for people.
    """

    req_id: str
    status: int
    kind: str
    message: str
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class Forward:
    """Forward a call to the VM that owns its operation key.

    The answer of that VM, named by ``peer``, is relayed to the caller.
    """

    req_id: str
    peer: str


@dataclass(frozen=True, slots=True)
class Replay:
    """Answer a call with the recorded answer of its operation key.

    ``key``: the operation key in normalized form.
    """

    req_id: str
    key: str


@dataclass(frozen=True, slots=True)
class OrderModelLoad:
    """Order an engine to load a model.

    ``fencing``: fencing number, higher than all that the engine has reported.
    An engine can refuse an order whose number is lower than one that it has
    received.
    """

    upstream: str
    model: str
    fencing: int


@dataclass(frozen=True, slots=True)
class KeepRecord:
    """Keep the record of an ended request and record its durations."""

    record: RequestRecord


@dataclass(frozen=True, slots=True)
class Count:
    """Add ``amount`` to the counter ``name``.

    ``label``: class, upstream, pool or reason that has its own count under
    this name; empty for a counter without labels.
    """

    name: str
    label: str = ''
    amount: int = 1


@dataclass(frozen=True, slots=True)
class Log:
    """Log a change of state.

    ``event``: event as one word.
    ``detail``: what it concerns, such as the name of a VM or a revision.
    """

    event: str
    detail: str = ''


@dataclass(frozen=True, slots=True)
class ReportAdoption:
    """Count and log that a configuration came into force."""

    revision: int
    digest: str


Effect = (
    SendPeerMessage
    | Dispatch
    | CancelAttempt
    | AnswerFailure
    | Reject
    | Forward
    | Replay
    | OrderModelLoad
    | RoutingEffect
    | KeepRecord
    | Count
    | Log
    | ReportAdoption
)
