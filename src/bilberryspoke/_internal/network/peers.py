"""Transport of messages between VMs, over ZeroMQ."""

import asyncio
from collections.abc import Callable

import msgspec
import structlog
import zmq

from bilberryspoke._internal.exceptions import AddressBindError
from bilberryspoke._internal.models.messages import (
    MAX_MESSAGES,
    Envelope,
    PeerMessage,
)

logger = structlog.get_logger()

_MIN_RECONNECT_INTERVAL_MS = 50
_MAX_RECONNECT_INTERVAL_MS = 100
# For each peer, in each direction. libzmq ends the process (signal 6) if a
# connection breaks while its queue of received messages is full.
_MAX_QUEUED_ENVELOPES = 10_000
_CLOSE_LINGER_MS = 200
# A configuration of the project's own interface may be as large.
_MAX_ENVELOPE_BYTES = 64_000_000
# Received before other work gets its turn.
_MAX_ENVELOPES_PER_TURN = 64
_MAX_BYTES_PER_TURN = 1_000_000
_HEARTBEAT_INTERVAL_MS = 1000
# ZeroMQ closes a connection that was silent for this long and reconnects.
_HEARTBEAT_TIMEOUT_MS = 1500

EnvelopeHandler = Callable[[Envelope], None]
PeerLossHandler = Callable[[str], None]


class PeerTransport:
    """One PULL socket for incoming messages and a PUSH socket for each peer.

    Messages to a peer that are sent in one iteration of the event loop go
    into one envelope, of up to ``MAX_MESSAGES``. A message is dropped and
    counted in ``dropped`` if its peer is not connected or has a full queue, or
    if it can't be encoded or is too large: every exchange between VMs recovers
    from lost messages.
    ``rejected`` counts incoming ZeroMQ messages that are not valid envelopes.
    """

    def __init__(
        self,
        vm: str,
        incarnation: int,
        *,
        max_envelope_bytes: int = _MAX_ENVELOPE_BYTES,
    ) -> None:
        """Create an unbound transport.

        ``vm`` and ``incarnation`` identify the sender in every envelope. One of
        more than ``max_envelope_bytes`` is neither sent nor received.
        """
        self.dropped = 0
        self.rejected = 0
        self._vm = vm
        self._incarnation = incarnation
        self._max_envelope_bytes = max_envelope_bytes
        self._envelope_handler: EnvelopeHandler | None = None
        self._peer_loss_handler: PeerLossHandler | None = None
        self._monitors: dict[str, zmq.Socket] = {}
        self._context = zmq.Context()
        self._inbound = self._context.socket(zmq.PULL)
        self._outbound: dict[str, zmq.Socket] = {}
        self._addresses: dict[str, str] = {}
        self._pending: dict[str, list[PeerMessage]] = {}
        self._flush_scheduled = False
        self._receive_scheduled = False
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(Envelope)

    def bind(self, host: str, port: int) -> str:
        """Listen for peers and return the address as ``host:port``.

        Port 0 stands for any free port. Raises ``AddressBindError`` if the
        address cannot be bound.
        """
        self._inbound.setsockopt(zmq.MAXMSGSIZE, self._max_envelope_bytes)
        self._inbound.setsockopt(zmq.RCVHWM, _MAX_QUEUED_ENVELOPES)
        try:
            self._inbound.bind(f'tcp://{host}:{port or "*"}')
        except zmq.ZMQError as exc:
            raise AddressBindError(f'{host}:{port}', str(exc)) from exc
        endpoint = self._inbound.getsockopt_string(zmq.LAST_ENDPOINT)
        return endpoint.removeprefix('tcp://')

    def start_receiving(
        self,
        envelope_handler: EnvelopeHandler,
        peer_loss_handler: PeerLossHandler | None = None,
    ) -> None:
        """Start to pass each incoming envelope to ``envelope_handler``.

        ``peer_loss_handler`` is called with the name of a peer when the
        connection to it breaks.
        """
        self._envelope_handler = envelope_handler
        self._peer_loss_handler = peer_loss_handler
        loop = asyncio.get_running_loop()
        loop.add_reader(self._inbound.fileno(), self._receive_envelopes)
        self._receive_envelopes()

    def connect_peer(self, peer: str, address: str) -> None:
        """Connect to a peer, or reconnect if its address has changed.

        ``address`` is ``host:port``; an empty one is ignored.
        """
        if not address or self._addresses.get(peer) == address:
            return
        if peer in self._outbound:
            self._stop_monitor(peer)
            self._outbound.pop(peer).close(linger=0)
        self._addresses[peer] = address
        socket = self._context.socket(zmq.PUSH)
        socket.setsockopt(zmq.SNDHWM, _MAX_QUEUED_ENVELOPES)
        # Without it, messages to a peer that is not connected are queued.
        socket.setsockopt(zmq.IMMEDIATE, 1)
        socket.setsockopt(zmq.RECONNECT_IVL, _MIN_RECONNECT_INTERVAL_MS)
        socket.setsockopt(zmq.RECONNECT_IVL_MAX, _MAX_RECONNECT_INTERVAL_MS)
        socket.setsockopt(zmq.HEARTBEAT_IVL, _HEARTBEAT_INTERVAL_MS)
        socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, _HEARTBEAT_TIMEOUT_MS)
        socket.connect(f'tcp://{address}')
        self._outbound[peer] = socket
        self._start_monitor(peer, socket)

    def send(self, peer: str, message: PeerMessage) -> None:
        """Queue a message; it is sent in the loop's next iteration."""
        self._pending.setdefault(peer, []).append(message)
        if not self._flush_scheduled:
            self._flush_scheduled = True
            asyncio.get_running_loop().call_soon(self._flush)

    def close(self) -> None:
        """Send pending messages and close all sockets.

        Waits up to ``_CLOSE_LINGER_MS`` for messages to be sent.
        """
        self._flush()
        loop = asyncio.get_running_loop()
        loop.remove_reader(self._inbound.fileno())
        self._inbound.close(linger=0)
        for peer, socket in self._outbound.items():
            self._stop_monitor(peer)
            socket.close(linger=_CLOSE_LINGER_MS)
        self._context.term()

    def _start_monitor(self, peer: str, socket: zmq.Socket) -> None:
        monitor = socket.get_monitor_socket(zmq.EVENT_DISCONNECTED)
        self._monitors[peer] = monitor
        asyncio.get_running_loop().add_reader(
            monitor.fileno(),
            self._handle_monitor_events,
            peer,
        )
        self._handle_monitor_events(peer)

    def _stop_monitor(self, peer: str) -> None:
        monitor = self._monitors.pop(peer)
        asyncio.get_running_loop().remove_reader(monitor.fileno())
        self._outbound[peer].disable_monitor()
        monitor.close(linger=0)

    def _handle_monitor_events(self, peer: str) -> None:
        monitor = self._monitors[peer]
        disconnected = False
        while True:
            try:
                monitor.recv_multipart(zmq.NOBLOCK)
            except zmq.Again:
                break
            disconnected = True
        if disconnected and self._peer_loss_handler is not None:
            self._peer_loss_handler(peer)

    def _flush(self) -> None:
        self._flush_scheduled = False
        pending = self._pending
        self._pending = {}
        for peer, messages in pending.items():
            for start in range(0, len(messages), MAX_MESSAGES):
                self._send_envelope(
                    peer, messages[start : start + MAX_MESSAGES]
                )

    def _send_envelope(self, peer: str, messages: list[PeerMessage]) -> None:
        socket = self._outbound.get(peer)
        if socket is None:
            self.dropped += len(messages)
            return
        envelope = Envelope(self._vm, self._incarnation, messages)
        try:
            encoded = self._encoder.encode(envelope)
        except (OverflowError, ValueError) as exc:
            # The messages to other peers must not be lost with these.
            self.dropped += len(messages)
            logger.error('messages_not_encodable', peer=peer, cause=str(exc))
            return
        if len(encoded) > self._max_envelope_bytes:
            # The peer would close the connection, and other messages be lost.
            self.dropped += len(messages)
            logger.error('messages_too_large', peer=peer, size=len(encoded))
            return
        try:
            socket.send(encoded, zmq.NOBLOCK)
        except zmq.Again:
            self.dropped += len(messages)

    def _receive_envelopes(self) -> None:
        # The descriptor is edge-triggered: a message left unread would stay
        # there until the next one arrives.
        if self._receive_scheduled or self._inbound.closed:
            return
        remaining_bytes = _MAX_BYTES_PER_TURN
        for _ in range(_MAX_ENVELOPES_PER_TURN):
            if remaining_bytes <= 0:
                break
            try:
                raw = self._inbound.recv(zmq.NOBLOCK)
            except zmq.Again:
                return
            remaining_bytes -= len(raw)
            self._handle_raw(raw)
        self._receive_scheduled = True
        asyncio.get_running_loop().call_soon(self._go_on_receiving)

    def _go_on_receiving(self) -> None:
        self._receive_scheduled = False
        self._receive_envelopes()

    def _handle_raw(self, raw: bytes) -> None:
        try:
            envelope = self._decoder.decode(raw)
        except msgspec.MsgspecError:
            self.rejected += 1
        else:
            self._envelope_handler(envelope)
