"""Requests, the outcomes of their attempts, and records of ended ones."""

from dataclasses import dataclass, field
from enum import StrEnum

# Reason of a failure that is this VM's own: an unexpected exception.
ROUTER_FAULT = 'router_fault'


class Outcome(StrEnum):
    """What a caller may conclude about the execution of its request.

    ``completed``: it ran, and the caller has its whole answer.
    ``not_run``: it did not run and will not.
    ``unknown``: it may have run; nothing of an answer was delivered.
    ``interrupted``: it ran; a part of the answer was delivered.
    """

    completed = 'completed'
    not_run = 'not_run'
    unknown = 'unknown'
    interrupted = 'interrupted'


class AttemptStatus(StrEnum):
    """How one attempt at an upstream ended.

    ``finished``: the answer is complete.
    ``refused``: did not run; the upstream said so.
    ``unreachable``: did not run; no byte was sent.
    ``lapsed``: did not run; the lease expired, or the attempt was cancelled
    before anything was sent.
    ``broken``: failed on the way; it may have run.
    ``cancelled``: cancelled by this VM; it may have run.
    """

    finished = 'finished'
    refused = 'refused'
    unreachable = 'unreachable'
    lapsed = 'lapsed'
    broken = 'broken'
    cancelled = 'cancelled'


# Statuses after which a request can be run again without running twice.
NOT_RUN_ATTEMPT_STATUSES = frozenset(
    (
        AttemptStatus.refused,
        AttemptStatus.unreachable,
        AttemptStatus.lapsed,
    )
)


@dataclass(frozen=True, slots=True)
class Request:
    """One call that passed authentication and approval.

    ``req_id``: id as the caller sent it, or one made by the entry VM.
    ``arrived_at``: seconds of the boot-time clock of the entry VM.
    ``prompt_tokens``: estimated length of the prompt.
    ``prefix``: hash of the beginning of the prompt, for prefix affinity; 0 if
    there is none.
    ``resumable``: whether an interrupted answer can go on at an offset.
    ``repeatable``: whether the call may run more than once.
    ``operation_key``: normalized operation key, under which the call may run at
    most once; empty without a key.
    """

    req_id: str
    workspace: str
    service_class: str
    pool: str
    arrived_at: float
    prompt_tokens: int = 0
    prefix: int = 0
    resumable: bool = False
    repeatable: bool = True
    operation_key: str = ''


@dataclass(slots=True)
class TrailStep:
    """One entry of a request's history.

    ``at``: seconds since the arrival of the request.
    ``what``: event as one word.
    """

    at: float
    what: str
    detail: str = ''


@dataclass(slots=True)
class RequestRecord:
    """Record of one ended request, shown to operators by ``explain``.

    ``outcome``: a value of ``Outcome``, or ``caller_gone``.
    ``reason``: why the request did not complete, as one word; empty if it
    did.
    ``queue_s``: seconds spent waiting for slots, in all attempts together.
    ``first_token_s``: seconds from the arrival to the first token; ``None``
    if none was delivered.
    ``total_s``: seconds from the arrival to the end.
    ``tokens``: answer tokens delivered to the caller.
    ``attempts``: number of the last attempt, even if it was not dispatched.
    ``trail``: history of the request, in order of time.
    """

    req_id: str
    workspace: str
    service_class: str
    pool: str
    outcome: str
    reason: str
    queue_s: float
    first_token_s: float | None
    total_s: float
    tokens: int
    attempts: int
    trail: list[TrailStep] = field(default_factory=list)
