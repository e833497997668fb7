"""HTTP server protocol that enforces the ingress limits."""

import asyncio
from collections.abc import Callable
from typing import Any

from uvicorn.protocols.http.flow_control import FlowControl

from bilberryspoke._internal.network.intakeprotocol import IntakeProtocol
from bilberryspoke._internal.network.messageprotocol import EMPTY_RESPONSE

_HEADERS_TOO_LARGE = EMPTY_RESPONSE % b'431 Request Header Fields Too Large'
# A caller may send the rest of a body after its response. Chunks have more
# bytes than their body.
_SURPLUS_BODIES = 2
# Requests that a caller sent before the responses to earlier ones.
_MAX_WAITING_REQUESTS = 64
# Parsed at once, so that it adds few requests to those that wait.
_PARSED_BYTES = 16_384
_HEADERS_TIMED_OUT = EMPTY_RESPONSE % b'408 Request Timeout'


class IngressProtocol(IntakeProtocol):
    """Limits what a caller may send, and how long it may take or stay idle.

    The limit on headers also holds for what frames a body: the extensions of a
    chunk, and trailers.
    """

    def __init__(self, *args: Any, **created: Any) -> None:
        """Create the protocol of a connection, as ``IntakeProtocol`` does."""
        super().__init__(*args, **created)
        # Bytes of the current message since it began or since the last ones of
        # its body.
        self._framing_bytes = 0
        self._has_progressed = False
        self._header_timer = _Timer(self.loop)
        # Bytes since the last response that belong to no further request.
        self._surplus_bytes = 0
        # Bytes that are not parsed yet, at most those of one read.
        self._held = b''
        # The server's own timer ends with the next byte, whatever it is.
        self._idle_timer = _Timer(self.loop)

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Start the timer for the first request."""
        super().connection_made(transport)
        self.flow = _HoldingFlow(transport, lambda: bool(self._held))
        self._idle_timer.start(
            self._get_limits().idle_timeout_s, self.timeout_keep_alive_handler
        )

    def data_received(self, raw: bytes) -> None:
        """Parse received bytes; answer 431 if the headers are too large.

        Bytes that follow too many requests which wait for their turn are held
        until the next response.
        """
        for start in range(0, len(raw), _PARSED_BYTES):
            if self._held or len(self.pipeline) > _MAX_WAITING_REQUESTS:
                self._held += raw[start:]
                self.flow.pause_reading()
                return
            parsed = raw[start : start + _PARSED_BYTES]
            self._has_progressed = False
            super().data_received(parsed)
            if self._is_refused or self.transport.is_closing():
                return
            self._check_size(len(parsed))

    def on_message_begin(self) -> None:
        """Start the timer for the headers; answer 408 when it expires."""
        super().on_message_begin()
        if self._is_refused:
            return
        limits = self._get_limits()
        self.timeout_keep_alive = limits.idle_timeout_s
        self._idle_timer.stop()
        self._surplus_bytes = 0
        self._framing_bytes = 0
        self._header_timer.start(
            limits.header_timeout_s, self._end_slow_headers
        )

    def on_headers_complete(self) -> None:
        """Stop the timer for the headers."""
        self._header_timer.stop()
        super().on_headers_complete()

    def on_body(self, body: bytes) -> None:
        """Keep a part of the body."""
        self._has_progressed = True
        super().on_body(body)

    def on_message_complete(self) -> None:
        """Note that the request has arrived."""
        self._has_progressed = True
        super().on_message_complete()

    def on_response_complete(self) -> None:
        """Start the timer for the next request, or for the rest of this one."""
        super().on_response_complete()
        if self.transport.is_closing():
            return
        if self._held:
            held = self._held
            self._held = b''
            self.data_received(held)
            self.flow.resume_reading()
        if not self._awaits_response():
            self._idle_timer.start(
                self._get_limits().idle_timeout_s,
                self.timeout_keep_alive_handler,
            )

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the timers of a closed connection."""
        self._header_timer.stop()
        self._idle_timer.stop()
        self._held = b''
        super().connection_lost(exc)

    def _check_size(self, received: int) -> None:
        """Close the connection if what was received is over a limit."""
        limits = self._get_limits()
        self._count_framing(received)
        if self._framing_bytes > limits.header_bytes:
            self._respond_and_close(_HEADERS_TOO_LARGE)
        if not self._awaits_response():
            self._surplus_bytes += received
        if self._surplus_bytes > _SURPLUS_BODIES * limits.body_bytes:
            self.transport.close()

    def _count_framing(self, count: int) -> None:
        if self._has_progressed or not self._in_message:
            self._framing_bytes = 0
        else:
            self._framing_bytes += count

    def _end_slow_headers(self) -> None:
        if self._is_refused:
            return
        if self._held:
            # The rest may be among the bytes that are not parsed yet.
            self._header_timer.start(
                self._get_limits().header_timeout_s, self._end_slow_headers
            )
        else:
            self._respond_and_close(_HEADERS_TIMED_OUT)


class _HoldingFlow(FlowControl):
    """Flow control that does not read on while bytes are held."""

    def __init__(
        self, transport: asyncio.Transport, holds: Callable[[], bool]
    ) -> None:
        super().__init__(transport)
        self._holds = holds

    def resume_reading(self) -> None:
        if not self._holds():
            super().resume_reading()


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
