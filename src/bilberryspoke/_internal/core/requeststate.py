"""State of a request at its entry VM."""

from dataclasses import dataclass, field
from enum import StrEnum

from bilberryspoke._internal.models.requests import Request, TrailStep

_MAX_TRAIL_STEPS = 32


class RequestStage(StrEnum):
    """Stage of a request at its entry VM."""

    awaiting_slot = 'asking'
    running = 'running'


@dataclass(slots=True)
class RequestState:
    """State of a request from its arrival to its final answer.

    ``attempt`` is the number of the current attempt, from 1, and ``upstream``
    the one that it runs at. ``owner`` is the VM that grants its slots.
    ``slot_requested_at``, ``started_at`` and ``first_token_at`` are in seconds
    of the boot-time clock; ``queue_s`` is the total time spent waiting for
    slots. ``tokens`` counts all tokens delivered, and ``offset`` those of
    ended attempts. ``excluded`` names upstreams to avoid for the next
    attempt. ``may_have_run`` is set once an attempt ended that is not certain
    not to have run. ``requeue_when_cancelled`` is set by a preemption: the
    cancelled attempt is followed by another one. ``crashes`` counts the
    upstreams that crashed under it before they gave a token.
    """

    req: Request
    stage: RequestStage = RequestStage.awaiting_slot
    attempt: int = 0
    owner: str = ''
    slot_requested_at: float = 0.0
    upstream: str = ''
    started_at: float = 0.0
    first_token_at: float | None = None
    tokens: int = 0
    offset: int = 0
    may_have_run: bool = False
    requeue_when_cancelled: bool = False
    caller_gone: bool = False
    excluded: list[str] = field(default_factory=list)
    queue_s: float = 0.0
    trail: list[TrailStep] = field(default_factory=list)
    crashes: int = 0

    def add_step(self, now: float, what: str, detail: str = '') -> None:
        """Append a step to the trail unless the trail is full.

        ``now`` is in seconds of the boot-time clock.
        """
        if len(self.trail) < _MAX_TRAIL_STEPS:
            at = now - self.req.arrived_at
            self.trail.append(TrailStep(round(at, 4), what, detail))
