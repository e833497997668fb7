"""Sessions and headers of the requests that go to upstreams and helpers."""

import aiohttp

from bilberryspoke._internal.models.routing_effects import HandOff, Send
from bilberryspoke._internal.network.clock import read_boottime
from bilberryspoke._internal.network.routing.exchange import Exchange
from bilberryspoke._internal.network.routing.handoff import make_limit_headers
from bilberryspoke._internal.platform.headerfields import RawHeaders
from bilberryspoke._internal.platform.requestheaders import (
    HandoffHeaders,
    SendHeaders,
    make_handoff_headers,
    make_send_headers,
)
from bilberryspoke._internal.utils.resending import forbid_resending

_MAX_HEADER_BYTES = 65_536
# aiohttp stops reading when twice this part of a body is unread; one read has
# up to 256 kB.
READ_BUFFER_BYTES = 16_384


def make_session(
    connector: aiohttp.TCPConnector,
    timeout: aiohttp.ClientTimeout,
) -> aiohttp.ClientSession:
    """Return a session that sends requests once and reads answers as sent."""
    return aiohttp.ClientSession(
        connector=connector,
        timeout=timeout,
        auto_decompress=False,
        middlewares=(forbid_resending,),
        read_bufsize=READ_BUFFER_BYTES,
        max_line_size=_MAX_HEADER_BYTES,
        max_field_size=_MAX_HEADER_BYTES,
        cookie_jar=aiohttp.DummyCookieJar(),
    )


def make_headers(
    exchange: Exchange, effect: Send | HandOff
) -> list[tuple[str, str]]:
    """Return the headers of a call's request to an upstream or a helper."""
    raw = (
        _make_upstream_headers(exchange, effect)
        if isinstance(effect, Send)
        else _make_helper_headers(exchange, effect)
    )
    return [(decode_header(name), decode_header(text)) for name, text in raw]


def decode_header(raw: bytes) -> str:
    """Return the text that the HTTP client encodes to the same bytes.

    It encodes as UTF-8. Bytes that are none are taken for Latin-1, and change.
    """
    try:
        return raw.decode()
    except UnicodeDecodeError:
        return raw.decode('latin-1')


def _make_upstream_headers(exchange: Exchange, effect: Send) -> RawHeaders:
    added = SendHeaders(
        instance=effect.instance,
        wait_s=effect.upstream_deadline_at - read_boottime(),
        priority=effect.priority,
        workspace=exchange.call.workspace,
        last_event_id=effect.last_event_id,
    )
    return make_send_headers(exchange.forwarded, added)


def _make_helper_headers(exchange: Exchange, effect: HandOff) -> RawHeaders:
    call = exchange.call
    added = HandoffHeaders(
        wait_s=effect.deadline_at - read_boottime(),
        key=exchange.key,
        last_event_id=effect.last_event_id,
        resumed_req_id=call.stream_req_id,
    )
    return [
        *make_handoff_headers(exchange.forwarded, added),
        *make_limit_headers(effect.max_attempts, counted=effect.counted),
    ]
