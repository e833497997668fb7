"""State of a request while it is served."""

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

import msgspec

from bilberryspoke._internal.models.effects import (
    AnswerFailure,
    Dispatch,
    Forward,
    Reject,
    Replay,
)
from bilberryspoke._internal.models.requests import Request

_MAX_UNPARSED_BYTES = 262_144
_DATA_PREFIX = b'data: '

# Effects that the runtime queues for the call driver.
Command = Dispatch | AnswerFailure | Reject | Forward | Replay


@dataclass(slots=True)
class Call:
    """State of a request that the I/O side needs and the core does not.

    ``path`` goes to the upstream, ``public_path`` is the one that the caller
    used. ``stream`` is whether the caller asked for server-sent events, and
    ``send`` the ASGI function that sends to the caller. ``key`` is the
    idempotency key as the caller wrote it (``req.operation_key`` is its
    normalized form), and ``forwarded`` is true if another VM forwarded the
    call.

    ``commands`` are carried out in order. ``attempt`` is the number of the
    latest attempt and ``cancelled_attempt`` that of the attempt cancelled
    last; attempts count from 1, and 0 stands for none. ``attempt_task`` is
    the task of the running attempt, if there is one.

    ``delivered`` counts complete events passed to the caller, those whose
    send has not returned included; the core takes each as one answer token.
    ``reported`` is the count last reported to the core. ``last_progress_at``
    is the time of that report or of the attempt's start, whichever is later,
    in seconds of the boot-time clock.
    ``on_first_delivery`` is called once, after the first event. ``sending``
    is true while a send to the caller has not returned.

    ``started`` is true once the response's headers were sent, with
    ``status``, and ``complete`` once its last byte was. ``upstream_idle`` is
    true if the attempt was cancelled because its upstream sent nothing, and
    ``aborted`` if the caller has left and the call need not go on.

    A resumed answer needs the text delivered so far. ``unparsed`` holds
    delivered bytes whose text is not yet in ``text``; they are parsed when
    a resume needs them or when they exceed ``_MAX_UNPARSED_BYTES``.
    """

    req: Request
    method: str
    path: str
    public_path: str
    body: bytes
    headers: Mapping[str, str]
    stream: bool
    send: Any
    on_first_delivery: Callable[[], None] | None = None
    commands: asyncio.Queue[Command] = field(default_factory=asyncio.Queue)
    attempt_task: asyncio.Task[Any] | None = None
    attempt: int = 0
    cancelled_attempt: int = 0
    delivered: int = 0
    reported: int = 0
    started: bool = False
    complete: bool = False
    sending: bool = False
    last_progress_at: float = 0.0
    upstream_idle: bool = False
    aborted: bool = False
    unparsed: list[bytes] = field(default_factory=list)
    unparsed_bytes: int = 0
    text: str = ''
    status: int = 0
    key: str = ''
    forwarded: bool = False

    def record_events(self, raw: bytes) -> None:
        """Record delivered events for a possible resume."""
        self.unparsed.append(raw)
        self.unparsed_bytes += len(raw)
        if self.unparsed_bytes > _MAX_UNPARSED_BYTES:
            self.extract_delivered_text()

    def extract_delivered_text(self) -> str:
        """Return the text delivered so far, after parsing ``unparsed``."""
        if self.unparsed:
            self.text += extract_text(b''.join(self.unparsed))
            self.unparsed = []
            self.unparsed_bytes = 0
        return self.text


class _Delta(msgspec.Struct):
    content: str | None = None


class _Choice(msgspec.Struct):
    delta: _Delta = msgspec.field(default_factory=_Delta)


class _Chunk(msgspec.Struct):
    choices: list[_Choice] = []


def extract_text(raw: bytes) -> str:
    """Return the text of a sequence of server-sent completion events.

    Skips events that are not completion chunks.
    """
    parts = []
    for line in raw.split(b'\n'):
        if not line.startswith(_DATA_PREFIX) or line.endswith(b'[DONE]'):
            continue
        try:
            chunk = msgspec.json.decode(line[len(_DATA_PREFIX) :], type=_Chunk)
        except msgspec.MsgspecError:
            continue
        parts.extend(choice.delta.content or '' for choice in chunk.choices)
    return ''.join(parts)
