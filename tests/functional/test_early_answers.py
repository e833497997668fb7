"""Upstreams that answer a long upload at once and end their connection."""

import asyncio
import contextlib
import socket

import pytest

from bilberryspoke._internal.models.requests import AttemptStatus
from bilberryspoke._internal.models.routing import SendStatus
from bilberryspoke._internal.models.routing_effects import Send
from bilberryspoke._internal.network.clock import read_boottime
from bilberryspoke._internal.network.routing.exchange import Exchange
from bilberryspoke._internal.network.routing.sending import CallSender
from fakes.upstream import reset
from tests.lib.ownupstream import Answered, make_call, run_client
from tests.lib.routedcore import READ_ROUTE, RUN_ONCE_ROUTE, build_call

# More than the socket buffers of both ends.
_UPLOAD = b'u' * 16_000_000
# A part of it that the sender hands to its socket at once.
_SHORT_UPLOAD = _UPLOAD[:300_000]
# Of the upstream, so that most of an upload is on its way.
_BUFFER_BYTES = 4096
_HEAD = (
    b'HTTP/1.1 200 OK\r\nX-Attempt-Id: req-c1\r\nX-Response-Seal: s\r\n%s\r\n'
)
_UPLOADS = (_SHORT_UPLOAD, _UPLOAD)
_PART = b'part of an answer'
_FRAMINGS = {
    'close': _HEAD % b'' + _PART,
    'chunks': _HEAD % b'Transfer-Encoding: chunked\r\n' + b'11\r\n' + _PART,
    'length': _HEAD % b'Content-Length: 99\r\n' + _PART,
    'whole': _HEAD % b'Content-Length: 17\r\n' + _PART,
}


@contextlib.asynccontextmanager
async def run_early_upstream(answer, end, read_bytes=0):
    """Run an upstream; yield its address.

    It answers behind the head of a request and ``read_bytes`` of its body,
    and ends the connection as ``end`` says: ``reset``, ``fin``, or ``fin then
    reset``.
    """

    async def serve(reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await reader.readuntil(b'\r\n\r\n')
            await reader.readexactly(read_bytes)
            writer.write(answer)
            await writer.drain()
            # The client reads the answer before the end.
            await asyncio.sleep(0.05)
            if end == 'reset':
                reset(writer)
                return
            writer.write_eof()
            if end == 'fin then reset':
                writer.transport.pause_reading()
                await asyncio.sleep(0.05)
                reset(writer)
                return
            while await reader.read(65_536):
                pass
        writer.close()

    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _BUFFER_BYTES)
    listener.bind(('127.0.0.1', 0))
    host, port = listener.getsockname()
    server = await asyncio.start_server(
        serve, sock=listener, limit=_BUFFER_BYTES
    )
    try:
        yield f'{host}:{port}'
    finally:
        server.close()


def send_routed(
    answer, end, read_bytes=0, route=RUN_ONCE_ROUTE, upload=_UPLOAD
):
    """Return how a send ended, and what its caller got."""
    answered = Answered()

    async def run():
        call = build_call('c1', route)
        exchange = Exchange(
            call, 'POST', '/once/', upload, [(b'x-attempt-id', b'req-c1')],
            send=answered.send,
        )  # fmt: skip
        sender = CallSender(lambda event: None)
        async with run_early_upstream(answer, end, read_bytes) as address:
            deadline_at = read_boottime() + 10
            effect = Send('c1', 1, 'app-0', address, None, deadline_at, None)
            async with asyncio.timeout(10):
                ended = await sender.run(exchange, effect)
        await sender.close()
        return ended

    return asyncio.run(run()), answered


def call_own(answer, end, read_bytes=0, upload=_UPLOAD):
    """Return what the caller of a forwarded call of the own interface gets."""
    answered = Answered()

    async def run():
        call = make_call('req-c1', answered)
        call.body = upload
        async with (
            run_early_upstream(answer, end, read_bytes) as address,
            run_client() as client,
            asyncio.timeout(10),
        ):
            answered.result = await client.forward(call, f'http://{address}')

    asyncio.run(run())
    return answered


@pytest.mark.parametrize('read_bytes', [0, 100_000])
@pytest.mark.parametrize('framing', ['close', 'chunks', 'length'])
@pytest.mark.parametrize('route', [RUN_ONCE_ROUTE, READ_ROUTE])
def test_early_answer_that_is_reset_is_no_whole_answer(
    framing, read_bytes, route
):
    ended, answered = send_routed(
        _FRAMINGS[framing], 'reset', read_bytes, route
    )
    assert ended.status is SendStatus.broken
    assert not answered.status


@pytest.mark.parametrize('read_bytes', [0, 100_000])
@pytest.mark.parametrize('framing', ['close', 'chunks', 'length'])
def test_own_interface_takes_no_early_answer_that_is_reset(framing, read_bytes):
    answered = call_own(_FRAMINGS[framing], 'reset', read_bytes)
    assert answered.result.status is AttemptStatus.broken
    assert not answered.status


@pytest.mark.parametrize('framing', ['chunks', 'length'])
def test_early_answer_that_ends_before_its_framing_is_not_whole(framing):
    ended, answered = send_routed(_FRAMINGS[framing], 'fin')
    assert ended.status is SendStatus.broken
    assert not answered.status
    assert not call_own(_FRAMINGS[framing], 'fin').status


@pytest.mark.parametrize('upload', _UPLOADS, ids=len)
def test_early_answer_that_is_reset_behind_its_end_is_no_whole_answer(upload):
    # The reset was not noticed where the socket held the rest of the upload.
    answer = _FRAMINGS['close']
    ended, answered = send_routed(answer, 'fin then reset', upload=upload)
    assert ended.status is SendStatus.broken
    assert not answered.status
    assert not call_own(answer, 'fin then reset', upload=upload).status


@pytest.mark.parametrize('upload', _UPLOADS, ids=len)
def test_early_answer_without_a_length_ends_with_its_connection(upload):
    # Control: the upstream ends its answer, and reads on.
    ended, answered = send_routed(_FRAMINGS['close'], 'fin', upload=upload)
    assert ended.status is SendStatus.finished
    assert (answered.status, bytes(answered.body)) == (200, _PART)


@pytest.mark.parametrize('end', ['reset', 'fin'])
def test_early_answer_that_is_whole_by_its_length_reaches_its_caller(end):
    # Control.
    ended, answered = send_routed(_FRAMINGS['whole'], end)
    assert ended.status is SendStatus.finished
    assert (answered.status, bytes(answered.body)) == (200, _PART)
