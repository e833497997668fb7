"""Connections to upstreams, kept as long as each upstream keeps them."""

import asyncio
import math
import socket
from contextvars import ContextVar
from dataclasses import dataclass
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler

from bilberryspoke._internal.network.clock import read_boottime

# An idle connection is given up this long before its upstream closes it.
_IDLE_MARGIN_S = 0.3
# Assumed where an upstream does not tell how long it keeps connections.
_IDLE_DEFAULT_S = 4.0
_LONGEST_IDLE_S = 60.0
# Bytes that stay unacknowledged for this long end a connection.
_UNACKNOWLEDGED_MS = 1500


@dataclass(frozen=True, slots=True)
class UsedConnection:
    """The connection of a call.

    ``end`` is done when it ends; with an exception unless its upstream closed
    it in order.
    """

    protocol: ResponseHandler
    end: asyncio.Future[None] | None


# Connection of the present call of the task. The client library gives it back
# before the caller sees an answer that arrives in one piece.
used_connection: ContextVar[UsedConnection | None] = ContextVar(
    'used_connection',
    default=None,
)


class KeptConnector(aiohttp.TCPConnector):
    """Connector that never hands out a connection of doubtful state.

    A connection on which bytes arrived after its last answer, or whose
    upstream is about to close it, is closed instead.
    """

    def __init__(self, *, force_close: bool = False) -> None:
        """Create a connector without limits of its own.

        With ``force_close`` no connection serves a second call.
        """
        super().__init__(
            limit=0,
            keepalive_timeout=None if force_close else _LONGEST_IDLE_S,
            force_close=force_close,
            socket_factory=_make_socket,
        )
        self._idle_until: dict[ResponseHandler, float] = {}
        self.opened = 0

    async def connect(
        self,
        req: Any,
        traces: Any,
        timeout: Any,
    ) -> Any:
        """Return a connection that is fit for the next call."""
        while True:
            connection = await super().connect(req, traces, timeout)
            protocol = connection.protocol
            until = self._idle_until.pop(protocol, None)
            if until is None:
                self.opened += 1
                _note_use(protocol)
                return connection
            if read_boottime() < until and not protocol.should_close:
                _note_use(protocol)
                return connection
            connection.close()

    def keep_until(
        self, protocol: ResponseHandler, idle_s: float | None
    ) -> None:
        """Note how long an upstream keeps a connection after its answer."""
        kept_s = _IDLE_DEFAULT_S if idle_s is None else idle_s
        self._idle_until[protocol] = read_boottime() + kept_s - _IDLE_MARGIN_S
        if len(self._idle_until) > 4 * self._pool_size():
            self._forget_closed()

    def distrust(self, address: str) -> None:
        """Use no kept connection to an address that reset one.

        Those opened before the path broke look sound until they are used.
        """
        for protocol in self._idle_until:
            if _find_peer(protocol) == address:
                self._idle_until[protocol] = -math.inf

    def _pool_size(self) -> int:
        return 16 + sum(len(kept) for kept in self._conns.values())

    def _forget_closed(self) -> None:
        self._idle_until = {
            protocol: until
            for protocol, until in self._idle_until.items()
            if protocol.is_connected()
        }


def _find_peer(protocol: ResponseHandler) -> str:
    transport = protocol.transport
    peer = transport.get_extra_info('peername') if transport else None
    return f'{peer[0]}:{peer[1]}' if peer else ''


def _note_use(protocol: ResponseHandler) -> None:
    end = protocol.closed
    if end is not None:
        end.add_done_callback(_retrieve_exception)
    used_connection.set(UsedConnection(protocol, end))


def _retrieve_exception(end: asyncio.Future[None]) -> None:
    if not end.cancelled():
        end.exception()


def _make_socket(address: Any) -> socket.socket:
    made = socket.socket(*address[:3])
    made.setsockopt(
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        _UNACKNOWLEDGED_MS,
    )
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return made
