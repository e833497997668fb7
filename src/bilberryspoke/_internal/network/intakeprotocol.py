"""HTTP server protocol whose requests count for what a process holds."""

import asyncio
from collections.abc import Callable
from typing import Any

from bilberryspoke._internal.models.routing import IngressLimits
from bilberryspoke._internal.network.intake import Intake
from bilberryspoke._internal.network.messageprotocol import (
    EMPTY_RESPONSE,
    MessageProtocol,
)

_NO_ROOM = EMPTY_RESPONSE % b'503 Service Unavailable\r\nretry-after: 0.5'
_LINGER_TIMEOUT_S = 1.0
# Memory of a header besides its bytes: two objects, their pair and its places
# in lists, again when it is sent on.
_HEADER_COST_BYTES = 400
_MIN_HEADER_BYTES = 4
# A body is kept as it arrived, and again while it is sent on.
_BODY_COPIES = 2


class IntakeProtocol(MessageProtocol):
    """Connection of a caller whose request may be refused while it arrives.

    Nothing of a request is kept once it has its response.
    """

    def __init__(
        self,
        get_limits: Callable[[], IngressLimits],
        intake: Intake,
        **created: Any,
    ) -> None:
        """Create the protocol of a connection.

        ``get_limits`` returns the limits in force, which may change between
        requests. ``intake`` bounds what all connections hold together. The
        server passes the other arguments.
        """
        super().__init__(**created)
        self._get_limits = get_limits
        self._intake = intake
        self._is_refused = False
        # Cost of what was parsed since the intake was last told, in bytes.
        self._uncharged = 0

    def close_early(self) -> None:
        """Close the connection, which is idle or has a request arriving."""
        if self.is_idle:
            self.transport.close()
            return
        self._drop_arriving()
        self._respond_and_close(_NO_ROOM)

    def refuse(self) -> None:
        """Refuse the request that is arriving, and soon close the connection.

        It is never passed on: the application does not get its end. The rest of
        it is read and dropped for a while, as an early close would reset the
        connection before the caller reads the response.
        """
        self._drop_arriving()
        if self._may_respond():
            self.transport.write(_NO_ROOM)
        self.flow.resume_reading()
        self.loop.call_later(_LINGER_TIMEOUT_S, self.transport.close)

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Count the connection."""
        super().connection_made(transport)
        self._intake.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the connection, and free what it holds."""
        self._intake.remove(self)
        super().connection_lost(exc)
        self.headers = []
        self.pipeline.clear()
        # The task that serves the request has it, and ends by itself.
        self.cycle = None

    def data_received(self, raw: bytes) -> None:
        """Parse received bytes and count what they cost."""
        if self._is_refused:
            return
        super().data_received(raw)
        self._charge()

    def on_message_begin(self) -> None:
        """Begin a request, but none behind a refused one."""
        if not self._is_refused:
            super().on_message_begin()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header of the request, and count it."""
        if self._reading_header and not self._is_refused:
            super().on_header(name, value)
            self._uncharged += _HEADER_COST_BYTES + len(name) + len(value)

    def on_headers_complete(self) -> None:
        """Let the application begin with the request."""
        if not self._is_refused:
            super().on_headers_complete()

    def on_body(self, body: bytes) -> None:
        """Keep a part of the body."""
        if self._is_refused:
            return
        super().on_body(body)
        if not self.cycle.response_complete:
            self._uncharged += _BODY_COPIES * len(body)

    def on_message_complete(self) -> None:
        """Pass the end of the request on, if there is room for it."""
        self._charge()
        if self._is_refused:
            return
        if self.is_receiving and not self._intake.admits(
            self, _estimate_largest(self._get_limits())
        ):
            return
        super().on_message_complete()
        self._release_if_idle()

    def on_response_complete(self) -> None:
        """Free the request unless another one is open."""
        super().on_response_complete()
        self._release_if_idle()

    def _start_asgi_task(self, cycle: Any, app: Any) -> None:
        async def serve(scope: Any, receive: Any, send: Any) -> None:
            if not cycle.disconnected:
                await app(scope, receive, send)

        super()._start_asgi_task(cycle, serve)

    def _drop_arriving(self) -> None:
        self._is_refused = True
        self.headers.clear()
        if self.cycle is not None and not self._reading_header:
            self.cycle.disconnected = True
            self.cycle.body = bytearray()
            self.cycle.message_event.set()

    def _charge(self) -> None:
        cost = self._uncharged
        self._uncharged = 0
        if cost:
            self._intake.charge(
                self, cost, _estimate_largest(self._get_limits())
            )

    def _release_if_idle(self) -> None:
        """Free the last request, which the connection would keep."""
        if not self.is_idle:
            return
        self._intake.release(self)
        self.headers = []
        self.scope = {}
        if self.cycle is not None:
            self.cycle.scope = {}
            self.cycle.body = bytearray()


def _estimate_largest(limits: IngressLimits) -> int:
    """Return what one request within the limits costs at most, in bytes."""
    header_lines = limits.header_bytes // _MIN_HEADER_BYTES
    header_cost = limits.header_bytes + header_lines * _HEADER_COST_BYTES
    return header_cost + _BODY_COPIES * limits.body_bytes
