"""HTTP server protocol that enforces the ingress limits."""

import asyncio
from collections.abc import Callable
from typing import Any

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from bilberryspoke._internal.models.routing import IngressLimits

_RESPONSE = b'HTTP/1.1 %s\r\ncontent-length: 0\r\nconnection: close\r\n\r\n'
_HEADERS_TOO_LARGE = _RESPONSE % b'431 Request Header Fields Too Large'
# A caller may send the rest of a body after its response. Chunks have more
# bytes than their body.
_SURPLUS_BODIES = 2
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
        self._header_timer = _Timer(self.loop)
        # Bytes since the last response that belong to no further request.
        self._surplus_bytes = 0
        # The server's own timer ends with the next byte, whatever it is.
        self._idle_timer = _Timer(self.loop)

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Start the timer for the first request."""
        super().connection_made(transport)
        self._idle_timer.start(
            self._get_limits().idle_timeout_s, self.timeout_keep_alive_handler
        )

    def data_received(self, raw: bytes) -> None:
        """Parse received bytes; answer 431 if the headers are too large."""
        self._has_progressed = False
        super().data_received(raw)
        if self.transport.is_closing():
            return
        limits = self._get_limits()
        self._count_framing(len(raw))
        if self._framing_bytes > limits.header_bytes:
            self._respond_and_close(_HEADERS_TOO_LARGE)
        if not self._awaits_response():
            self._surplus_bytes += len(raw)
        if self._surplus_bytes > _SURPLUS_BODIES * limits.body_bytes:
            self.transport.close()

    def on_message_begin(self) -> None:
        """Start the timer for the headers; answer 408 when it expires."""
        super().on_message_begin()
        limits = self._get_limits()
        self.timeout_keep_alive = limits.idle_timeout_s
        self._idle_timer.stop()
        self._surplus_bytes = 0
        self._framing_bytes = 0
        self._in_message = True
        self._reading_header = True
        self._header_timer.start(
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
        self._header_timer.stop()
        self._reading_header = False
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

    def on_response_complete(self) -> None:
        """Start the timer for the next request, or for the rest of this one."""
        super().on_response_complete()
        if not self._awaits_response():
            self._idle_timer.start(
                self._get_limits().idle_timeout_s,
                self.timeout_keep_alive_handler,
            )

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the timers of a closed connection."""
        self._header_timer.stop()
        self._idle_timer.stop()
        super().connection_lost(exc)

    def _count_framing(self, count: int) -> None:
        if self._has_progressed or not self._in_message:
            self._framing_bytes = 0
        else:
            self._framing_bytes += count

    def _awaits_response(self) -> bool:
        """Return whether a request is being received or served.

        The rest of one that has its response does not count.
        """
        if self._reading_header:
            return True
        return self.cycle is not None and not self.cycle.response_complete

    def _respond_and_close(self, response: bytes) -> None:
        may_respond = self._may_respond()
        self._header_timer.stop()
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


class _Timer:
    """Timer that is started again and again."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._handle: asyncio.TimerHandle | None = None

    def start(
        self, delay_s: float, callback: Callable[..., None], *args: Any
    ) -> None:
        self.stop()
        self._handle = self._loop.call_later(delay_s, callback, *args)

    def stop(self) -> None:
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None
