"""Headers of the requests of callers, and of those to upstreams and VMs."""

from collections.abc import Iterable
from dataclasses import dataclass

from bilberryspoke._internal.models.routing import PromptPart
from bilberryspoke._internal.platform.headerfields import (
    HOP_BY_HOP,
    RawHeaders,
    find_req_id,
    list_connection_headers,
    parse_number,
)

# Upstreams answer here without running anything.
PROBE_PATH = '/-/report'

# Remaining time in milliseconds, not a point in time.
_DEADLINE = b'x-deadline-ms'
_LAST_EVENT_ID = b'last-event-id'
# Request id of the call that brought the first event of the resumed stream.
_RESUMES = b'resumes'
_MODEL = b'x-model'
# Number of prompt tokens and maximum number of output tokens, separated by a
# comma.
_TOKEN_COUNTS = b'x-token-counts'
# Parts of the prompt in their order, as ID:TOKENS separated by commas.
_PROMPT_PARTS = b'x-prompt-prefix'
# The platform calls a workspace a tenant.
_WORKSPACE = b'x-tenant'
_EXPECTED_INSTANCE = b'x-expect-instance'
_PRIORITY = b'x-request-priority'
_AUTHORIZATION = b'authorization'

_BEARER = b'bearer '
_MS_PER_S = 1000
# No engine has memory for more.
_MAX_PROMPT_TOKENS = 1_000_000

# Only the router may send these to upstreams. Those in callers' requests are
# not forwarded; the deadline and the last event id are decoded.
_ROUTER_HEADERS = frozenset(
    (
        _DEADLINE,
        _LAST_EVENT_ID,
        _WORKSPACE,
        _EXPECTED_INSTANCE,
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
# Not forwarded: the body was received whole, and the client sets its length.
_BODY_HEADERS = frozenset((b'content-length', b'expect'))


@dataclass(frozen=True, slots=True)
class CallHeaders:
    """Decoded headers of a caller's request.

    ``req_id``, ``host`` and ``model`` are empty if missing; see
    ``is_single_req_id``. ``wait_s`` is the time that the caller still waits, in
    seconds. ``key`` is the bearer token, which is the caller's API key.
    ``last_event_id`` is the id of the event after which the caller resumes a
    stream. These three are None if missing or malformed. ``resumed_req_id`` is
    the request id of the call that brought the first event of that stream,
    empty if missing or if no stream is resumed.
    ``prompt_tokens`` is the length of the prompt and ``output_tokens`` the
    maximum length of the answer, both 0 if missing or malformed. ``forwarded``
    are the headers that go on to the upstream unchanged.
    """

    req_id: str
    host: str
    wait_s: float | None
    key: str | None
    last_event_id: int | None
    resumed_req_id: str
    model: str
    prompt_tokens: int
    output_tokens: int
    parts: tuple[PromptPart, ...]
    forwarded: RawHeaders


@dataclass(frozen=True, slots=True)
class SendHeaders:
    """Headers that the router adds to a request to an upstream.

    ``instance`` is the id of the upstream's incarnation that the request is
    meant for; any other incarnation must refuse it. ``wait_s`` is the time
    left until the upstream must stop, in seconds. ``priority`` is None for
    upstreams without priorities. ``last_event_id`` is the id of the event
    after which a stream resumes.
    """

    instance: str
    wait_s: float
    priority: int | None
    workspace: str
    last_event_id: int | None


@dataclass(frozen=True, slots=True)
class HandoffHeaders:
    """Headers that the router adds to a request to another VM.

    ``wait_s`` is the time left, in seconds. ``key`` is the caller's API key,
    None if there is none. A stream resumes after ``last_event_id``; the call
    ``resumed_req_id`` brought its first event.
    """

    wait_s: float
    key: str | None
    last_event_id: int | None
    resumed_req_id: str


def parse_call_headers(
    raw: RawHeaders, *, keep_authorization: bool
) -> CallHeaders:
    """Decode a caller's headers, whose names are in lower case.

    The authorization header is forwarded only if ``keep_authorization``.
    """
    by_name = dict(raw)
    dropped = (
        HOP_BY_HOP
        | _ROUTER_HEADERS
        | _BODY_HEADERS
        | list_connection_headers(by_name)
    )
    if not keep_authorization:
        dropped |= {_AUTHORIZATION}
    last_event_id = parse_number(by_name.get(_LAST_EVENT_ID))
    resumed_req_id = b''
    if last_event_id is not None:
        resumed_req_id = by_name.get(_RESUMES, b'')
    prompt_tokens, output_tokens = _parse_token_counts(
        by_name.get(_TOKEN_COUNTS, b'')
    )
    return CallHeaders(
        req_id=find_req_id(raw) or '',
        host=by_name.get(b'host', b'').decode('latin-1'),
        wait_s=_parse_remaining_time(by_name.get(_DEADLINE)),
        key=_parse_bearer_token(by_name.get(_AUTHORIZATION)),
        last_event_id=last_event_id,
        resumed_req_id=resumed_req_id.decode('latin-1'),
        model=by_name.get(_MODEL, b'').decode('latin-1'),
        prompt_tokens=prompt_tokens,
        output_tokens=output_tokens,
        parts=tuple(_parse_prompt_parts(by_name.get(_PROMPT_PARTS, b''))),
        forwarded=[pair for pair in raw if pair[0] not in dropped],
    )


def make_send_headers(forwarded: RawHeaders, added: SendHeaders) -> RawHeaders:
    """Return the headers of a request to an upstream.

    The remaining time is sent in milliseconds, at least 1. Raises
    UnicodeEncodeError if the instance or workspace is not Latin-1 text.
    """
    wait_ms = max(1, int(added.wait_s * _MS_PER_S))
    headers = [
        *forwarded,
        (_EXPECTED_INSTANCE, added.instance.encode('latin-1')),
        (_DEADLINE, b'%d' % wait_ms),
    ]
    if added.workspace:
        headers.append((_WORKSPACE, added.workspace.encode('latin-1')))
    if added.priority is not None:
        headers.append((_PRIORITY, b'%d' % added.priority))
    if added.last_event_id is not None:
        headers.append((_LAST_EVENT_ID, b'%d' % added.last_event_id))
    return headers


def make_probe_headers(instance: str) -> dict[str, str]:
    """Return the headers of a probe of an upstream's incarnation."""
    return {_EXPECTED_INSTANCE.decode(): instance}


def make_handoff_headers(
    forwarded: RawHeaders, added: HandoffHeaders
) -> RawHeaders:
    """Return the headers of a request to another VM.

    They are those that the caller would send to it.
    """
    names = {name for name, _ in forwarded}
    wait_ms = max(1, int(added.wait_s * _MS_PER_S))
    headers = [*forwarded, (_DEADLINE, b'%d' % wait_ms)]
    if added.key is not None and _AUTHORIZATION not in names:
        credentials = _BEARER + added.key.encode('latin-1')
        headers.append((_AUTHORIZATION, credentials))
    if added.last_event_id is not None:
        headers.append((_LAST_EVENT_ID, b'%d' % added.last_event_id))
        if _RESUMES not in names:
            headers.append((_RESUMES, added.resumed_req_id.encode('latin-1')))
    return headers


def _parse_remaining_time(raw: bytes | None) -> float | None:
    wait_ms = parse_number(raw)
    return None if wait_ms is None else wait_ms / _MS_PER_S


def _parse_bearer_token(raw: bytes | None) -> str | None:
    if raw is None or not raw.lower().startswith(_BEARER):
        return None
    return raw[len(_BEARER) :].strip().decode('latin-1')


def _parse_token_counts(raw: bytes) -> tuple[int, int]:
    counts = [
        min(_MAX_PROMPT_TOKENS, parse_number(part) or 0)
        for part in raw.split(b',')
    ]
    return counts[0], counts[1] if len(counts) > 1 else 0


def _parse_prompt_parts(raw: bytes) -> Iterable[PromptPart]:
    tokens_left = _MAX_PROMPT_TOKENS
    for entry in raw.split(b','):
        name, colon, tokens = entry.partition(b':')
        count = parse_number(tokens)
        if colon and count is not None:
            count = min(count, tokens_left)
            tokens_left -= count
            yield PromptPart(name.strip().decode('latin-1'), count)
