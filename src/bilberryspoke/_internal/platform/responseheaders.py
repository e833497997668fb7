"""Headers of the responses of upstreams."""

import re
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from bilberryspoke._internal.models.routing import Framing
from bilberryspoke._internal.platform.headerfields import (
    HOP_BY_HOP,
    KEEP_ALIVE,
    RawHeaders,
    find_req_id,
    list_connection_headers,
    parse_decimal,
)

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
_CONTENT_ENCODING = b'content-encoding'
_CONTENT_LENGTH = b'content-length'
_TRANSFER_ENCODING = b'transfer-encoding'

# Answers with them end with their head, whatever it says of a body.
STATUSES_WITHOUT_BODY = frozenset((204, 304))
STATUS_MISDIRECTED = 421
_STATUS_UNAVAILABLE = 503
# Callers take these as a promise that the call did not run and never will.
_PROMISE_STATUSES = frozenset((408, STATUS_MISDIRECTED, 429, 503))
_MAX_RATE_PER_S = 1e6
_MAX_PAUSE_S = 3600.0

_KEEP_ALIVE_TIMEOUT_PATTERN = re.compile(rb'timeout\s*=\s*(\d+)')


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
    compressed. ``framing`` is what tells where the body ends.
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
    framing: Framing
    keep_alive_s: float | None
    names_rate_limit: bool
    rate_limit_per_s: float | None
    is_leaving: bool
    is_brittle: bool
    pause_s: float | None
    forwarded: RawHeaders

    @property
    def has_length(self) -> bool:
        """Whether more than the end of the connection ends the body."""
        return self.framing is not Framing.connection


def parse_response_headers(
    status: int,
    raw: Iterable[tuple[bytes, bytes]],
) -> ResponseHeaders:
    """Decode the headers of an upstream's response."""
    pairs = [(name.lower(), text) for name, text in raw]
    by_name = dict(pairs)
    dropped = HOP_BY_HOP | list_connection_headers(by_name)
    if status in STATUSES_WITHOUT_BODY:
        # It may be that of a body that is not sent, as a 304 may say.
        dropped |= {_CONTENT_LENGTH}
    misdirected = status == STATUS_MISDIRECTED
    return ResponseHeaders(
        req_id=find_req_id(pairs),
        not_run=misdirected or _NOT_EXECUTED in by_name,
        misdirected=misdirected,
        looks_not_run=status in _PROMISE_STATUSES,
        has_seal=_RESPONSE_SEAL in by_name,
        has_content_encoding=_CONTENT_ENCODING in by_name,
        framing=find_framing(by_name),
        keep_alive_s=_parse_keep_alive(by_name.get(KEEP_ALIVE, b'')),
        names_rate_limit=_RATE_LIMIT in by_name,
        rate_limit_per_s=parse_decimal(
            by_name.get(_RATE_LIMIT), _MAX_RATE_PER_S
        ),
        pause_s=_parse_pause(status, by_name.get(_RETRY_AFTER)),
        is_leaving=by_name.get(_LEAVING, b'').strip() == b'1',
        is_brittle=_BRITTLE in by_name,
        forwarded=[pair for pair in pairs if pair[0] not in dropped],
    )


def find_framing(by_name: Mapping[bytes, bytes]) -> Framing:
    """Return what tells the end of an answer's body.

    ``by_name`` has its headers by their names in lower case. A transfer coding
    has no end of its own unless the last one is chunks, and goes before a
    length (RFC 9112, section 6.3).
    """
    codings = by_name.get(_TRANSFER_ENCODING)
    if codings is not None:
        last_coding = codings.rpartition(b',')[2].strip().lower()
        if last_coding == b'chunked':
            return Framing.chunks
        return Framing.connection
    if _CONTENT_LENGTH in by_name:
        return Framing.length
    return Framing.connection


def _parse_pause(status: int, raw: bytes | None) -> float | None:
    """Parse the delay that a refusal names, in seconds.

    None if the status is no refusal, or if the delay is missing, negative or
    not a number, as a date is not.
    """
    if status != _STATUS_UNAVAILABLE:
        return None
    return parse_decimal(raw, _MAX_PAUSE_S)


def _parse_keep_alive(raw: bytes) -> float | None:
    match = _KEEP_ALIVE_TIMEOUT_PATTERN.search(raw)
    return float(match.group(1)) if match else None
