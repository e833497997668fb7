"""HTTP server protocol that enforces the ingress limits."""

import asyncio
from collections.abc import Callable
from typing import Any

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from bilberryspoke._internal.models.routing import IngressLimits

_RESPONSE = b'HTTP/1.1 %s\r\ncontent-length: 0\r\nconnection: close\r\n\r\n'
_HEADERS_TOO_LARGE = _RESPONSE % b'431 Request Header Fields Too Large'
_HEADERS_TIMED_OUT = _RESPONSE % b'408 Request Timeout'


class IngressProtocol(HttpToolsProtocol):
    """Limits what a caller may send, and how long it may take or stay idle.

    The limit on headers also holds for what frames a body: the extensions of a
    chunk, and trailers, which are dropped.
    """

    def __init__(
        self,
        get_limits: Callable[[], IngressLimits],
        **created: Any,
    ) -> None:
        """Create the protocol of a connection.

        ``get_limits`` returns the limits in force, which may change between
        requests. The server passes the other arguments.
        """
        super().__init__(**created)
        self._get_limits = get_limits
        # Bytes of the current message since it began or since the last ones of
        # its body.
        self._framing_bytes = 0
        self._in_message = False
        self._has_progressed = False
        self._reading_header = False
        self._header_timer: asyncio.TimerHandle | None = None

    def data_received(self, raw: bytes) -> None:
        """Parse received bytes; answer 431 if the headers are too large."""
        self._has_progressed = False
        super().data_received(raw)
        if self.transport.is_closing():
            return
        if self._has_progressed or not self._in_message:
            self._framing_bytes = 0
            return
        self._framing_bytes += len(raw)
        if self._framing_bytes > self._get_limits().header_bytes:
            self._respond_and_close(_HEADERS_TOO_LARGE)

    def on_message_begin(self) -> None:
        """Start the timer for the headers; answer 408 when it expires."""
        super().on_message_begin()
        limits = self._get_limits()
        self.timeout_keep_alive = limits.idle_timeout_s
        self._framing_bytes = 0
        self._in_message = True
        self._reading_header = True
        self._header_timer = self.loop.call_later(
            limits.header_timeout_s,
            self._respond_and_close,
            _HEADERS_TIMED_OUT,
        )

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header of the request, but no trailer."""
        if self._reading_header:
            super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """Stop the timer for the headers."""
        self._stop_header_timer()
        super().on_headers_complete()

    def on_body(self, body: bytes) -> None:
        """Keep a part of the body."""
        self._has_progressed = True
        super().on_body(body)

    def on_message_complete(self) -> None:
        """Note that the request has arrived."""
        self._has_progressed = True
        self._in_message = False
        super().on_message_complete()

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the timer of a closed connection."""
        self._stop_header_timer()
        super().connection_lost(exc)

    def _stop_header_timer(self) -> None:
        self._reading_header = False
        if self._header_timer is not None:
            self._header_timer.cancel()
            self._header_timer = None

    def _respond_and_close(self, response: bytes) -> None:
        may_respond = self._may_respond()
        self._stop_header_timer()
        if self.transport.is_closing():
            return
        if may_respond:
            self.transport.write(response)
        self.transport.close()

    def _may_respond(self) -> bool:
        """Return whether the current message has no response yet."""
        if self.cycle is None:
            return True
        if self._reading_header:
            # The cycle is that of the message before.
            return self.cycle.response_complete
        return not self.cycle.response_started
