"""Header names of the platform's callers and upstreams, both ways."""

import re
from collections.abc import Iterable
from dataclasses import dataclass

from bilberryspoke._internal.models.routing import PromptPart

RawHeaders = list[tuple[bytes, bytes]]

_REQUEST_ID = b'x-attempt-id'
_DEADLINE = b'x-deadline-ms'
_LAST_EVENT = b'last-event-id'
_MODEL = b'x-model'
# Prompt tokens and the most output tokens, separated by a comma.
_TOKENS = b'x-token-counts'
# Parts of the prompt in order, as ID:TOKENS separated by commas.
_PARTS = b'x-prompt-prefix'
# Names the workspace.
_WORKSPACE = b'x-tenant'
_INSTANCE = b'x-expect-instance'
_PRIORITY = b'x-request-priority'
# Marks an answer as an upstream's own.
_SEAL = b'x-response-seal'
_NOT_EXECUTED = b'x-not-executed'
_AUTHORIZATION = b'authorization'
_CONNECTION = b'connection'
_KEEP_ALIVE = b'keep-alive'
_ENCODING = b'content-encoding'

_BEARER = b'bearer '
_MISDIRECTED = 421
_MS_PER_S = 1000

# They concern one connection only.
_HOP_BY_HOP = frozenset(
    (
        _CONNECTION,
        _KEEP_ALIVE,
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    ),
)

# The router alone sets them; what a caller sends under these names is dropped.
_OWN = frozenset(
    (
        _DEADLINE,
        _LAST_EVENT,
        _WORKSPACE,
        _INSTANCE,
        _PRIORITY,
        b'x-expect-version',
        b'x-pin-ms',
        b'x-kv-hold',
        b'x-kv-backup',
        b'kv-from',
        b'kv-fetch',
        b'wait-ms',
    ),
)
_LENGTH = frozenset((b'content-length', b'expect'))

_KEEP_ALIVE_TIMEOUT = re.compile(rb'timeout\s*=\s*(\d+)')


@dataclass(frozen=True, slots=True)
class CallHeaders:
    """What a caller's headers say of its call.

    ``passed`` are those that go on to the upstream as they are.
    """

    req_id: str
    host: str
    wait_s: float | None
    key: str | None
    last_event: int | None
    model: str
    prompt_tokens: int
    output_tokens: int
    parts: tuple[PromptPart, ...]
    passed: RawHeaders


@dataclass(frozen=True, slots=True)
class SendHeaders:
    """What the router adds to a call's headers; ``wait_s`` is what is left."""

    instance: str
    wait_s: float
    priority: int | None
    workspace: str
    last_event: int | None


@dataclass(frozen=True, slots=True)
class AnswerHeaders:
    """What an upstream's headers say of its answer.

    ``not_run`` is the upstream's word that it did not run the call, and
    ``misdirected`` that it is not the one that was expected.
    ``idle_s`` is how long it keeps the connection while it is idle.
    ``passed`` are those that go on to the caller.
    """

    req_id: str | None
    not_run: bool
    misdirected: bool
    sealed: bool
    encoded: bool
    sized: bool
    idle_s: float | None
    closes: bool
    passed: RawHeaders


def read_call_headers(raw: RawHeaders, *, keep_key: bool) -> CallHeaders:
    """Decode a caller's headers, whose names are in lower case.

    ``keep_key`` leaves the authorization among the headers passed on.
    """
    found = dict(raw)
    dropped = _HOP_BY_HOP | _OWN | _LENGTH | _named_by(found)
    if not keep_key:
        dropped |= {_AUTHORIZATION}
    prompt_tokens, output_tokens = _read_tokens(found.get(_TOKENS, b''))
    return CallHeaders(
        req_id=found.get(_REQUEST_ID, b'').decode('latin-1'),
        host=found.get(b'host', b'').decode('latin-1'),
        wait_s=_read_wait(found.get(_DEADLINE)),
        key=_read_key(found.get(_AUTHORIZATION)),
        last_event=read_number(found.get(_LAST_EVENT)),
        model=found.get(_MODEL, b'').decode('latin-1'),
        prompt_tokens=prompt_tokens,
        output_tokens=output_tokens,
        parts=tuple(_read_parts(found.get(_PARTS, b''))),
        passed=[pair for pair in raw if pair[0] not in dropped],
    )


def make_send_headers(passed: RawHeaders, added: SendHeaders) -> RawHeaders:
    """Return the headers of a send to an upstream."""
    wait_ms = max(1, int(added.wait_s * _MS_PER_S))
    headers = [
        *passed,
        (_INSTANCE, added.instance.encode('latin-1')),
        (_DEADLINE, b'%d' % wait_ms),
    ]
    if added.workspace:
        headers.append((_WORKSPACE, added.workspace.encode('latin-1')))
    if added.priority is not None:
        headers.append((_PRIORITY, b'%d' % added.priority))
    if added.last_event is not None:
        headers.append((_LAST_EVENT, b'%d' % added.last_event))
    return headers


def read_answer_headers(
    status: int,
    raw: Iterable[tuple[bytes, bytes]],
) -> AnswerHeaders:
    """Decode the headers of an upstream's answer."""
    pairs = [(name.lower(), text) for name, text in raw]
    found = dict(pairs)
    dropped = _HOP_BY_HOP | _named_by(found)
    req_id = found.get(_REQUEST_ID)
    misdirected = status == _MISDIRECTED
    return AnswerHeaders(
        req_id=None if req_id is None else req_id.decode('latin-1'),
        not_run=misdirected or _NOT_EXECUTED in found,
        misdirected=misdirected,
        sealed=_SEAL in found,
        encoded=_ENCODING in found,
        sized=b'content-length' in found or b'transfer-encoding' in found,
        idle_s=_read_idle(found.get(_KEEP_ALIVE, b'')),
        closes=b'close' in _tokens_of(found.get(_CONNECTION, b'')),
        passed=[pair for pair in pairs if pair[0] not in dropped],
    )


def read_number(raw: bytes | None) -> int | None:
    """Decode a whole number; None where there is none."""
    if raw is None or not raw.strip().isdigit():
        return None
    return int(raw)


def _read_wait(raw: bytes | None) -> float | None:
    wait_ms = read_number(raw)
    return None if wait_ms is None else wait_ms / _MS_PER_S


def _read_key(raw: bytes | None) -> str | None:
    if raw is None or not raw.lower().startswith(_BEARER):
        return None
    return raw[len(_BEARER) :].strip().decode('latin-1')


def _read_tokens(raw: bytes) -> tuple[int, int]:
    counts = [read_number(part) or 0 for part in raw.split(b',')]
    return counts[0], counts[1] if len(counts) > 1 else 0


def _read_parts(raw: bytes) -> Iterable[PromptPart]:
    for entry in raw.split(b','):
        name, colon, tokens = entry.partition(b':')
        count = read_number(tokens)
        if colon and count is not None:
            yield PromptPart(name.strip().decode('latin-1'), count)


def _read_idle(raw: bytes) -> float | None:
    match = _KEEP_ALIVE_TIMEOUT.search(raw)
    return float(match.group(1)) if match else None


def _tokens_of(raw: bytes) -> frozenset[bytes]:
    return frozenset(token.strip().lower() for token in raw.split(b','))


def _named_by(found: dict[bytes, bytes]) -> frozenset[bytes]:
    return _tokens_of(found.get(_CONNECTION, b''))
