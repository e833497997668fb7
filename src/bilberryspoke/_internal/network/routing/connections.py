"""Keep-alive connections to upstreams."""

import asyncio
import math
import socket
import struct
from collections import OrderedDict, deque
from collections.abc import Iterator
from contextvars import ContextVar
from dataclasses import dataclass
from typing import Any

from bilberryspoke._internal.models.routing import Framing
from bilberryspoke._internal.network.clock import read_boottime
from bilberryspoke._internal.network.routing.callprotocol import CallProtocol
from bilberryspoke._internal.platform.headerfields import get_sent_req_id
from bilberryspoke._internal.utils.boundedprotocol import BoundedConnector

# A connection is not reused during the last part of its keep-alive time: the
# upstream could close it while the request is on its way.
_KEEP_ALIVE_MARGIN_S = 0.3
# Used if an upstream sends no keep-alive timeout.
_DEFAULT_KEEP_ALIVE_S = 4.0
_MAX_KEEP_ALIVE_S = 60.0
# The kernel closes a connection whose sent bytes stay unacknowledged for this
# long.
_TCP_USER_TIMEOUT_MS = 1500
# Addresses of which is kept when a connection last broke.
_MAX_BREAKS = 1024
_MAX_ENDS = 256
# SO_LINGER on with 0 s: closing resets the connection. Otherwise the kernel
# would go on to deliver a call whose caller has left, once a cut is over.
_LINGER_ZERO = struct.pack('ii', 1, 0)


@dataclass(slots=True)
class CallConnection:
    """Connection that carries a call.

    ``position`` is which of the connection's calls it is, from 1 on.
    ``close_future`` is done when the connection closes. It has an exception
    unless the upstream closed the connection cleanly. It is None if the
    connection was already closed. ``framing`` is that of the call's answer,
    None before its head.
    """

    protocol: CallProtocol
    position: int
    close_future: asyncio.Future[None] | None
    framing: Framing | None = None

    def close(self) -> None:
        """Close it, unless another call is sent on it by now."""
        if self.protocol.calls == self.position:
            self.protocol.abort()

    def describe(self) -> str:
        """Return number, position and any surplus answers for the log."""
        described = f'{self.protocol.number}/{self.position}'
        if self.protocol.surplus:
            described += f' surplus {self.protocol.surplus}'
        return described


# Connection of the call that the current task sends. It can't be read from the
# response: aiohttp returns the connection to its pool before the response is
# available if the whole response arrives at once.
call_connection: ContextVar[CallConnection | None] = ContextVar(
    'call_connection',
    default=None,
)


def get_answer_connection() -> CallConnection:
    """Return the connection over which the current task gets its answer."""
    connection = call_connection.get()
    if connection is None:
        raise LookupError('no connection carries the call of this task')
    return connection


class KeepAliveConnector(BoundedConnector):
    """Connector that reuses a connection only if it is safe to use.

    A pooled connection is closed instead if bytes arrived on it after its last
    response, if its upstream is about to close it, or if a connection to the
    same address failed. One that has carried the call's request id stays in the
    pool for other calls.
    """

    protocol_type = CallProtocol

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
        self._opened_connections = 0
        # When a connection to an address last broke, of the last such ones.
        self._lost_at: OrderedDict[str, float] = OrderedDict()
        # The last answers that ended with their connection: when, and where.
        self._ends: deque[tuple[float, str]] = deque(maxlen=_MAX_ENDS)

    def lost_at(self, address: str) -> float:
        """Return when a connection to ``address`` last broke.

        That is one which was reset within an answer, or closed within one that
        was to go on. In seconds of the boot-time clock; minus infinity if none
        is known.
        """
        return self._lost_at.get(address, -math.inf)

    def note_end(self, address: str) -> None:
        """Note that an answer from ``address`` ended with its connection."""
        self._ends.append((read_boottime(), address))

    def count_ends(self, address: str, since: float) -> int:
        """Return how many answers ended with their connection.

        ``since`` is in seconds of the boot-time clock.
        """
        return sum(
            ended_at >= since and each == address
            for ended_at, each in self._ends
        )

    def has_open(self, address: str) -> bool:
        """Return whether a connection to ``address`` is open."""
        return any(
            each.get_peer_address() == address
            and not each.transport.is_closing()
            for each in self._list_protocols()
        )

    async def connect(
        self,
        req: Any,
        traces: Any,
        timeout: Any,
    ) -> Any:
        """Return a new connection, or a pooled one that is safe to reuse.

        The connection is recorded in ``call_connection``.
        """
        req_id = get_sent_req_id(req.headers)
        set_aside = []
        try:
            while True:
                connection = await super().connect(req, traces, timeout)
                protocol = connection.protocol
                if protocol.may_carry(req_id):
                    self._begin_call(protocol, req_id)
                    return connection
                if protocol.is_reusable():
                    set_aside.append(connection)
                else:
                    connection.close()
        finally:
            for each in set_aside:
                each.release()

    def record_keep_alive(
        self, protocol: CallProtocol, keep_alive_s: float | None
    ) -> None:
        """Record how long an upstream keeps a connection open while idle.

        ``keep_alive_s`` is the timeout in seconds from the keep-alive header
        of the response, or None if there was none.
        """
        lifetime_s = (
            _DEFAULT_KEEP_ALIVE_S if keep_alive_s is None else keep_alive_s
        )
        protocol.reusable_until = (
            read_boottime() + lifetime_s - _KEEP_ALIVE_MARGIN_S
        )

    def expire_connections(self, address: str) -> None:
        """Prevent the reuse of all connections to ``address``.

        Called after a connection to ``address`` (host:port) failed. Others
        that were opened before the network path broke look open until they
        are used. Those whose answer has yet to begin are reused after it.
        """
        for protocol in self._list_protocols():
            if protocol.get_peer_address() == address:
                protocol.reusable_until = -math.inf

    def _begin_call(self, protocol: CallProtocol, req_id: str) -> None:
        if not protocol.number:
            self._opened_connections += 1
            protocol.number = self._opened_connections
        close_future = protocol.closed
        if close_future is not None:
            close_future.add_done_callback(_retrieve_exception)
        protocol.on_break = self._note_break
        protocol.begin_call(req_id)
        call_connection.set(
            CallConnection(protocol, protocol.calls, close_future)
        )

    def _note_break(self, address: str) -> None:
        self._lost_at[address] = read_boottime()
        self._lost_at.move_to_end(address)
        if len(self._lost_at) > _MAX_BREAKS:
            self._lost_at.popitem(last=False)

    def _list_protocols(self) -> Iterator[CallProtocol]:
        """Yield all open connections, in use and pooled."""
        for acquired in self._acquired:
            # Others stand for connections that are being opened.
            if isinstance(acquired, CallProtocol):
                yield acquired
        for pooled in self._conns.values():
            for protocol, _ in pooled:
                yield protocol


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
