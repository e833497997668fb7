"""Keep-alive connections to upstreams."""

import asyncio
import math
import socket
import struct
from contextvars import ContextVar
from dataclasses import dataclass
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler

from bilberryspoke._internal.network.clock import read_boottime

# A connection is not reused during the last part of its keep-alive time: the
# upstream could close it while the request is on its way.
_KEEP_ALIVE_MARGIN_S = 0.3
# Used if an upstream sends no keep-alive timeout.
_DEFAULT_KEEP_ALIVE_S = 4.0
_MAX_KEEP_ALIVE_S = 60.0
# The kernel closes a connection whose sent bytes stay unacknowledged for this
# long.
_TCP_USER_TIMEOUT_MS = 1500
# SO_LINGER on with 0 s: closing resets the connection. Otherwise the kernel
# would go on to deliver a call whose caller has left, once a cut is over.
_LINGER_ZERO = struct.pack('ii', 1, 0)


@dataclass(frozen=True, slots=True)
class CallConnection:
    """Connection that carries a call.

    ``close_future`` is done when the connection closes. It has an exception
    unless the upstream closed the connection cleanly. It is None if the
    connection was already closed.
    """

    protocol: ResponseHandler
    close_future: asyncio.Future[None] | None


# Connection of the call that the current task sends. It can't be read from the
# response: aiohttp returns the connection to its pool before the response is
# available if the whole response arrives at once.
call_connection: ContextVar[CallConnection | None] = ContextVar(
    'call_connection',
    default=None,
)


class KeepAliveConnector(aiohttp.TCPConnector):
    """Connector that reuses a connection only if it is safe to use.

    A pooled connection is closed instead if bytes arrived on it after its last
    response, if its upstream is about to close it, or if a connection to the
    same address failed.
    """

    def __init__(self, *, force_close: bool = False) -> None:
        """Create a connector without a limit on connections.

        If ``force_close`` is true, each connection carries only one call.
        """
        super().__init__(
            limit=0,
            keepalive_timeout=None if force_close else _MAX_KEEP_ALIVE_S,
            force_close=force_close,
            socket_factory=_make_socket,
        )
        self._reusable_until: dict[ResponseHandler, float] = {}
        self.opened_connections = 0

    async def connect(
        self,
        req: Any,
        traces: Any,
        timeout: Any,
    ) -> Any:
        """Return a new connection, or a pooled one that is safe to reuse.

        The connection is recorded in ``call_connection``.
        """
        while True:
            connection = await super().connect(req, traces, timeout)
            protocol = connection.protocol
            reusable_until = self._reusable_until.pop(protocol, None)
            if reusable_until is None:
                self.opened_connections += 1
                _record_call_connection(protocol)
                return connection
            if read_boottime() < reusable_until and not protocol.should_close:
                _record_call_connection(protocol)
                return connection
            connection.close()

    def record_keep_alive(
        self, protocol: ResponseHandler, keep_alive_s: float | None
    ) -> None:
        """Record how long an upstream keeps a connection open while idle.

        ``keep_alive_s`` is the timeout in seconds from the keep-alive header
        of the response, or None if there was none.
        """
        lifetime_s = (
            _DEFAULT_KEEP_ALIVE_S if keep_alive_s is None else keep_alive_s
        )
        self._reusable_until[protocol] = (
            read_boottime() + lifetime_s - _KEEP_ALIVE_MARGIN_S
        )
        # Entries of closed connections are not removed one by one.
        if len(self._reusable_until) > 4 * self._count_pooled_with_margin():
            self._remove_closed()

    def expire_connections(self, address: str) -> None:
        """Prevent the reuse of all pooled connections to ``address``.

        Called after a connection to ``address`` (host:port) failed. Others
        that were opened before the network path broke look open until they
        are used.
        """
        for protocol in self._reusable_until:
            if _get_peer_address(protocol) == address:
                self._reusable_until[protocol] = -math.inf

    def _count_pooled_with_margin(self) -> int:
        """Return the number of pooled connections plus 16.

        The margin keeps ``record_keep_alive`` from removing entries at almost
        every response while the pool is small.
        """
        return 16 + sum(len(pooled) for pooled in self._conns.values())

    def _remove_closed(self) -> None:
        self._reusable_until = {
            protocol: reusable_until
            for protocol, reusable_until in self._reusable_until.items()
            if protocol.is_connected()
        }


def _get_peer_address(protocol: ResponseHandler) -> str:
    transport = protocol.transport
    peer = transport.get_extra_info('peername') if transport else None
    return f'{peer[0]}:{peer[1]}' if peer else ''


def _record_call_connection(protocol: ResponseHandler) -> None:
    close_future = protocol.closed
    if close_future is not None:
        close_future.add_done_callback(_retrieve_exception)
    call_connection.set(CallConnection(protocol, close_future))


def _retrieve_exception(close_future: asyncio.Future[None]) -> None:
    # asyncio logs exceptions of futures that nobody retrieves.
    if not close_future.cancelled():
        close_future.exception()


def _make_socket(address: Any) -> socket.socket:
    sock = socket.socket(*address[:3])
    sock.setsockopt(
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        _TCP_USER_TIMEOUT_MS,
    )
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO)
    return sock
