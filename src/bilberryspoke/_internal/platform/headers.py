"""Headers between the platform's callers, the router and upstreams."""

import math
import re
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from bilberryspoke._internal.models.routing import PromptPart

RawHeaders = list[tuple[bytes, bytes]]

# Upstreams answer here without running anything.
PROBE_PATH = '/-/report'

# The request id; despite the header's name, all attempts of a call carry the
# same one.
_REQUEST_ID = b'x-attempt-id'
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
# Marks a response that an upstream wrote itself.
_RESPONSE_SEAL = b'x-response-seal'
_NOT_EXECUTED = b'x-not-executed'
# Requests per second that the upstream takes from all VMs together.
_RATE_LIMIT = b'server-limit'
# Refusals for lack of room per second at which the upstream falls over.
_BRITTLE = b'server-brittle'
# Says that the upstream is leaving, in each of its answers.
_LEAVING = b'server-leaving'
# Seconds for which the upstream wants no calls from the VM that it refused.
_RETRY_AFTER = b'retry-after'
_AUTHORIZATION = b'authorization'
_CONNECTION = b'connection'
_KEEP_ALIVE = b'keep-alive'
_CONTENT_ENCODING = b'content-encoding'

_BEARER = b'bearer '
_STATUS_MISDIRECTED = 421
_STATUS_UNAVAILABLE = 503
# Callers take these as a promise that the call did not run and never will.
_PROMISE_STATUSES = frozenset((408, _STATUS_MISDIRECTED, 429, 503))
_MS_PER_S = 1000
_MAX_RATE_PER_S = 1e6
_MAX_PAUSE_S = 3600.0
# Event ids may be times in nanoseconds.
_MAX_NUMBER = 9_223_372_036_854_775_807
_MAX_NUMBER_DIGITS = 19
# No engine has memory for more.
_MAX_PROMPT_TOKENS = 1_000_000

# These concern a single connection and are not forwarded.
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

_KEEP_ALIVE_TIMEOUT_PATTERN = re.compile(rb'timeout\s*=\s*(\d+)')


@dataclass(frozen=True, slots=True)
class CallHeaders:
    """Decoded headers of a caller's request.

    ``req_id``, ``host`` and ``model`` are empty if missing; see
    ``is_single_req_id``. ``wait_s`` is the
    time that the caller still waits, in seconds. ``key`` is the bearer token,
    which is the caller's API key. ``last_event_id`` is the id of the event
    after which the caller resumes a stream. These three are None if missing or
    malformed. ``resumed_req_id`` is the request id of the call that brought the
    first event of that stream, empty if missing or if no stream is resumed.
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


@dataclass(frozen=True, slots=True)
class ResponseHeaders:
    """Decoded headers of an upstream's response.

    ``req_id`` is the request id in the response, or None if it has none.
    ``not_run`` is the upstream's assurance that it did not run the call,
    ``misdirected`` that it is another instance than the expected one.
    ``looks_not_run`` is whether callers would read that assurance from the
    status alone.
    ``has_seal`` is whether the upstream marked the response as its own,
    ``has_content_encoding`` whether the body is encoded, for instance
    compressed. ``has_length`` is whether the end of the body is known from its
    length or its chunks, not only from the end of the connection.
    ``keep_alive_s`` is how long the upstream keeps the connection open while
    idle, in seconds, or None if it does not say. ``names_rate_limit`` is
    whether the upstream limits the requests that it takes from all VMs
    together; ``rate_limit_per_s`` is that limit, or None if it is not a number
    of at least 0. ``is_leaving`` is whether the upstream says that it leaves,
    ``is_brittle`` that it falls over if it has to refuse many calls.
    ``pause_s`` is how long it wants no calls from this VM after a refusal, in
    seconds, or None if it does not say. ``forwarded`` are the headers that go
    on to the caller.
    """

    req_id: str | None
    not_run: bool
    misdirected: bool
    looks_not_run: bool
    has_seal: bool
    has_content_encoding: bool
    has_length: bool
    keep_alive_s: float | None
    names_rate_limit: bool
    rate_limit_per_s: float | None
    is_leaving: bool
    is_brittle: bool
    pause_s: float | None
    forwarded: RawHeaders


def parse_call_headers(
    raw: RawHeaders, *, keep_authorization: bool
) -> CallHeaders:
    """Decode a caller's headers, whose names are in lower case.

    The authorization header is forwarded only if ``keep_authorization``.
    """
    by_name = dict(raw)
    dropped = (
        _HOP_BY_HOP
        | _ROUTER_HEADERS
        | _BODY_HEADERS
        | _list_connection_headers(by_name)
    )
    if not keep_authorization:
        dropped |= {_AUTHORIZATION}
    last_event_id = _parse_number(by_name.get(_LAST_EVENT_ID))
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


def parse_response_headers(
    status: int,
    raw: Iterable[tuple[bytes, bytes]],
) -> ResponseHeaders:
    """Decode the headers of an upstream's response."""
    pairs = [(name.lower(), text) for name, text in raw]
    by_name = dict(pairs)
    dropped = _HOP_BY_HOP | _list_connection_headers(by_name)
    misdirected = status == _STATUS_MISDIRECTED
    return ResponseHeaders(
        req_id=find_req_id(pairs),
        not_run=misdirected or _NOT_EXECUTED in by_name,
        misdirected=misdirected,
        looks_not_run=status in _PROMISE_STATUSES,
        has_seal=_RESPONSE_SEAL in by_name,
        has_content_encoding=_CONTENT_ENCODING in by_name,
        has_length=b'content-length' in by_name
        or b'transfer-encoding' in by_name,
        keep_alive_s=_parse_keep_alive(by_name.get(_KEEP_ALIVE, b'')),
        names_rate_limit=_RATE_LIMIT in by_name,
        rate_limit_per_s=_parse_decimal(
            by_name.get(_RATE_LIMIT), _MAX_RATE_PER_S
        ),
        pause_s=_parse_pause(status, by_name.get(_RETRY_AFTER)),
        is_leaving=by_name.get(_LEAVING, b'').strip() == b'1',
        is_brittle=_BRITTLE in by_name,
        forwarded=[pair for pair in pairs if pair[0] not in dropped],
    )


def get_sent_req_id(headers: Mapping[str, str]) -> str:
    """Return the request id of a request to be sent, empty if it has none."""
    return headers.get(_REQUEST_ID.decode(), '').strip()


def find_req_id(raw: Iterable[tuple[bytes, bytes]]) -> str | None:
    """Return the request id of a request or response, None if it has none.

    Several that differ are joined by blanks, so that they are the id of no
    call.
    """
    found = [text.strip() for name, text in raw if name.lower() == _REQUEST_ID]
    if not found:
        return None
    return b' '.join(dict.fromkeys(found)).decode('latin-1')


def is_single_req_id(req_id: str) -> bool:
    """Return whether a call may have this request id, or none.

    It has no blanks, and only characters that all HTTP clients encode alike.
    """
    return not req_id or (
        req_id.isascii() and req_id.isprintable() and ' ' not in req_id
    )


def _parse_number(raw: bytes | None) -> int | None:
    """Parse a non-negative decimal integer; None if missing or malformed.

    Any number above ``_MAX_NUMBER`` counts as that.
    """
    digits = b'' if raw is None else raw.strip()
    if not digits.isdigit():
        return None
    significant = digits.lstrip(b'0')
    if len(significant) > _MAX_NUMBER_DIGITS:
        return _MAX_NUMBER
    return min(_MAX_NUMBER, int(significant or b'0'))


def _parse_decimal(raw: bytes | None, most: float) -> float | None:
    """Parse a number from 0 up; None if missing or malformed.

    Any number above ``most`` counts as ``most``.
    """
    try:
        number = float(raw or b'')
    except ValueError:
        return None
    if math.isnan(number) or number < 0:
        return None
    return min(number, most)


def _parse_pause(status: int, raw: bytes | None) -> float | None:
    """Parse the delay that a refusal names, in seconds.

    None if the status is no refusal, or if the delay is missing, negative or
    not a number, as a date is not.
    """
    if status != _STATUS_UNAVAILABLE:
        return None
    return _parse_decimal(raw, _MAX_PAUSE_S)


def _parse_remaining_time(raw: bytes | None) -> float | None:
    wait_ms = _parse_number(raw)
    return None if wait_ms is None else wait_ms / _MS_PER_S


def _parse_bearer_token(raw: bytes | None) -> str | None:
    if raw is None or not raw.lower().startswith(_BEARER):
        return None
    return raw[len(_BEARER) :].strip().decode('latin-1')


def _parse_token_counts(raw: bytes) -> tuple[int, int]:
    counts = [
        min(_MAX_PROMPT_TOKENS, _parse_number(part) or 0)
        for part in raw.split(b',')
    ]
    return counts[0], counts[1] if len(counts) > 1 else 0


def _parse_prompt_parts(raw: bytes) -> Iterable[PromptPart]:
    tokens_left = _MAX_PROMPT_TOKENS
    for entry in raw.split(b','):
        name, colon, tokens = entry.partition(b':')
        count = _parse_number(tokens)
        if colon and count is not None:
            count = min(count, tokens_left)
            tokens_left -= count
            yield PromptPart(name.strip().decode('latin-1'), count)


def _parse_keep_alive(raw: bytes) -> float | None:
    match = _KEEP_ALIVE_TIMEOUT_PATTERN.search(raw)
    return float(match.group(1)) if match else None


def _split_list(raw: bytes) -> frozenset[bytes]:
    return frozenset(token.strip().lower() for token in raw.split(b','))


def _list_connection_headers(by_name: dict[bytes, bytes]) -> frozenset[bytes]:
    return _split_list(by_name.get(_CONNECTION, b''))
