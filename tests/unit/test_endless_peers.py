"""The transport between VMs before messages without end."""

import asyncio
import contextlib
import itertools
import struct

import msgspec
import pytest
import zmq

from bilberryspoke._internal.models.messages import (
    ConfigPull,
    ConfigPush,
    Envelope,
)
from bilberryspoke._internal.network.peers import PeerTransport

MAX_ENVELOPE_BYTES = 1_000_000
# What a VM keeps of one connection, with what the buffers of two sockets hold.
MAX_TAKEN_BYTES = 24_000_000
# Envelopes that may be handled before other work gets its turn.
MAX_HANDLED = 100


def make_transport(name):
    return PeerTransport(name, 1, max_envelope_bytes=MAX_ENVELOPE_BYTES)


async def wait_until(check):
    async with asyncio.timeout(10):
        while not check():
            await asyncio.sleep(0.01)


@contextlib.asynccontextmanager
async def run_pair():
    """Yield a transport that receives, and one that is connected to it."""
    with (
        contextlib.closing(make_transport('one')) as receiver,
        contextlib.closing(make_transport('two')) as sender,
    ):
        address = receiver.bind('127.0.0.1', 0)
        sender.connect_peer('one', address)
        await asyncio.sleep(0.2)
        yield receiver, sender, address


@contextlib.contextmanager
def open_raw_peer(address):
    """Yield a ZeroMQ socket that keeps nothing of what it sends."""
    context = zmq.Context()
    peer = context.socket(zmq.PUSH)
    peer.setsockopt(zmq.SNDHWM, 1)
    peer.connect(f'tcp://{address}')
    try:
        yield peer
    finally:
        peer.close(linger=0)
        context.term()


async def send_until_full(peer, raw, max_bytes):
    """Send until nothing is taken for half a second; return the bytes."""
    taken = 0
    misses = 0
    while misses < 50 and taken < max_bytes:
        try:
            peer.send(raw, zmq.NOBLOCK)
        except zmq.Again:
            misses += 1
            await asyncio.sleep(0.01)
        else:
            misses = 0
            taken += len(raw)
    return taken


@pytest.mark.xfail(
    reason='a lower bound makes libzmq abort, see KNOWN-RED.txt, 40',
    strict=True,
)
def test_messages_of_a_faulty_vm_are_not_kept_without_end():
    # 10,000 messages of 64 MB each were kept.
    async def run():
        with (
            contextlib.closing(make_transport('one')) as receiver,
            contextlib.closing(make_transport('two')) as sender,
        ):
            address = receiver.bind('127.0.0.1', 0)
            with open_raw_peer(address) as peer:
                raw = b'x' * (MAX_ENVELOPE_BYTES - 1)
                taken = await send_until_full(peer, raw, 200_000_000)
                assert taken < MAX_TAKEN_BYTES
                # Another VM is served beside it.
                received = []
                receiver.start_receiving(received.append)
                sender.connect_peer('one', address)
                await asyncio.sleep(0.2)
                sender.send('one', ConfigPull(1))
                await wait_until(lambda: received)

    asyncio.run(run())


class FullSocket:
    """A socket that always has one more message, up to ``count``."""

    closed = False

    def __init__(self, fileno, raw, count):
        self.fileno = fileno
        self.raw = raw
        self.count = count

    def recv(self, flags):
        if not self.count:
            raise zmq.Again
        self.count -= 1
        return self.raw


@pytest.mark.parametrize('size', [1, 900_000])
def test_messages_that_arrive_without_end_leave_time_for_other_work(size):
    # The event loop did nothing else as long as there was one more.
    async def run():
        with contextlib.closing(make_transport('one')) as receiver:
            receiver.bind('127.0.0.1', 0)
            inbound = receiver._inbound
            push = ConfigPush(1, '', b'x' * size, {})
            raw = msgspec.msgpack.encode(Envelope('two', 1, [push]))
            receiver._inbound = FullSocket(inbound.fileno, raw, 1000)
            received = []
            turns = [0]
            receiver.start_receiving(received.append)
            for _ in range(1000):
                turns.append(len(received))
                await asyncio.sleep(0)
            receiver._inbound = inbound
            steps = [
                later - earlier for earlier, later in itertools.pairwise(turns)
            ]
            assert max(steps) < MAX_HANDLED
            assert max(steps) * size < 3 * MAX_ENVELOPE_BYTES
            assert len(received) == 1000

    asyncio.run(run())


def test_envelope_of_countless_messages_is_refused_and_none_is_sent():
    # All messages of an envelope were handled before any other work.
    async def run():
        async with run_pair() as (receiver, sender, address):
            received = []
            receiver.start_receiving(received.append)
            pulls = [ConfigPull(0)] * 100_000
            raw = msgspec.msgpack.encode(Envelope('three', 1, pulls))
            with open_raw_peer(address) as peer:
                await send_until_full(peer, raw, 1)
                await wait_until(lambda: receiver.rejected or received)
                assert receiver.rejected == 1
            for number in range(20_000):
                sender.send('one', ConfigPull(number))
            await wait_until(
                lambda: sum(len(each.messages) for each in received) == 20_000
            )

    asyncio.run(run())


def test_message_over_the_limit_leaves_the_connection_as_it_is():
    # The receiver closed the connection, and with it went other messages.
    async def run():
        async with run_pair() as (receiver, sender, address):
            received = []
            receiver.start_receiving(received.append)
            large = ConfigPush(1, '', b'x' * 2 * MAX_ENVELOPE_BYTES, {})
            sender.send('one', large)
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            assert sender.dropped == 1
            sender.send('one', ConfigPull(7))
            await wait_until(lambda: received)
            assert received[0].messages[0].revision == 7

    asyncio.run(run())


def make_property(name, content):
    return b'%c%s%s%s' % (
        len(name),
        name,
        struct.pack('>I', len(content)),
        content,
    )


# Greeting and first command of a PUSH socket in ZMTP 3.0.
GREETING = (
    b'\xff\0\0\0\0\0\0\0\0\x7f\x03\0' + b'NULL'.ljust(20, b'\0') + b'\0' * 32
)
READY = b'\x05READY' + make_property(b'Socket-Type', b'PUSH')
# Flags of a frame with a long length that is followed by another.
MORE = 3


@pytest.mark.xfail(
    reason='ZeroMQ bounds no parts of a message, see KNOWN-RED.txt', strict=True
)
def test_message_of_parts_without_end_is_not_kept():
    # All parts were kept until the last one.
    async def run():
        with contextlib.closing(make_transport('one')) as receiver:
            address = receiver.bind('127.0.0.1', 0)
            receiver.start_receiving(lambda envelope: None)
            host, _, port = address.rpartition(':')
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(GREETING)
            await reader.readexactly(len(GREETING))
            writer.write(b'\x04%c%s' % (len(READY), READY))
            body = b'x' * 100_000
            part = struct.pack('>BQ', MORE, len(body)) + body
            taken = 0
            with contextlib.suppress(TimeoutError, OSError):
                while taken < 3 * MAX_TAKEN_BYTES:
                    writer.write(part)
                    async with asyncio.timeout(1):
                        await writer.drain()
                    taken += len(part)
            writer.transport.abort()
            assert taken < MAX_TAKEN_BYTES

    asyncio.run(run())
