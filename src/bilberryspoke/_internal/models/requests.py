"""Requests and what becomes of them."""

from dataclasses import dataclass, field
from enum import StrEnum


class Outcome(StrEnum):
    """What a caller may conclude about the execution of its request."""

    completed = 'completed'
    not_run = 'not_run'
    unknown = 'unknown'
    interrupted = 'interrupted'


class AttemptStatus(StrEnum):
    """How one dispatch to an upstream ended.

    ``refused``, ``unreachable`` and ``lapsed`` are certain not to have run:
    the upstream said so, no byte was sent, or the grant had expired.
    """

    finished = 'finished'
    refused = 'refused'
    unreachable = 'unreachable'
    lapsed = 'lapsed'
    broken = 'broken'
    cancelled = 'cancelled'


CERTAINLY_NOT_RUN = frozenset(
    (
        AttemptStatus.refused,
        AttemptStatus.unreachable,
        AttemptStatus.lapsed,
    )
)


@dataclass(frozen=True, slots=True)
class Request:
    """One call that passed authentication and approval.

    ``arrived_at`` is in seconds of the boot-time clock of the entry VM.
    ``prefix`` is a hash of the prompt's beginning for cache affinity.
    ``resumable`` tells that an interrupted answer can go on at an offset.
    ``operation`` is the key under which the call may run at most once.
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
    operation: str = ''


@dataclass(slots=True)
class TrailStep:
    """One entry of a request's history; ``at`` is seconds after arrival."""

    at: float
    what: str
    detail: str = ''


@dataclass(slots=True)
class RequestRecord:
    """Explanation of one ended request, kept in a bounded ring."""

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
