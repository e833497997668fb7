"""Fields of HTTP messages on the platform, and how their values are read."""

import math
import re
from collections.abc import Iterable, Mapping

RawHeaders = list[tuple[bytes, bytes]]

# The request id; despite the header's name, all attempts of a call carry the
# same one.
REQUEST_ID = b'x-attempt-id'
KEEP_ALIVE = b'keep-alive'
_CONNECTION = b'connection'
# No header may have these: they are not written to callers.
_CONTROL_CHARACTER = re.compile(rb'[\x00-\x08\x0a-\x1f\x7f]')
# Event ids may be times in nanoseconds.
_MAX_NUMBER = 9_223_372_036_854_775_807
_MAX_NUMBER_DIGITS = 19

# These concern a single connection and are not forwarded.
HOP_BY_HOP = frozenset(
    (
        _CONNECTION,
        KEEP_ALIVE,
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    ),
)


def get_sent_req_id(headers: Mapping[str, str]) -> str:
    """Return the request id of a request to be sent, empty if it has none."""
    return headers.get(REQUEST_ID.decode(), '').strip()


def find_req_id(raw: Iterable[tuple[bytes, bytes]]) -> str | None:
    """Return the request id of a request or response, None if it has none.

    Several that differ are joined by blanks, so that they are the id of no
    call.
    """
    found = [text.strip() for name, text in raw if name.lower() == REQUEST_ID]
    if not found:
        return None
    return b' '.join(dict.fromkeys(found)).decode('latin-1')


def find_malformed(raw: Iterable[tuple[bytes, bytes]]) -> str | None:
    """Return the name of a header with a control character, None without one.

    aiohttp reads all of them but those that end a line.
    """
    for name, text in raw:
        if _CONTROL_CHARACTER.search(text):
            return name.decode('latin-1')
    return None


def is_single_req_id(req_id: str) -> bool:
    """Return whether a call may have this request id, or none.

    It has no blanks, and only characters that all HTTP clients encode alike.
    """
    return not req_id or (
        req_id.isascii() and req_id.isprintable() and ' ' not in req_id
    )


def parse_number(raw: bytes | None) -> int | None:
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


def parse_decimal(raw: bytes | None, most: float) -> float | None:
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


def list_connection_headers(by_name: dict[bytes, bytes]) -> frozenset[bytes]:
    """Return the names of headers that concern this connection only."""
    return _split_list(by_name.get(_CONNECTION, b''))


def _split_list(raw: bytes) -> frozenset[bytes]:
    return frozenset(token.strip().lower() for token in raw.split(b','))
