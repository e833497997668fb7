"""The server before callers whose requests do not end."""

import asyncio
import contextlib
import socket

import pytest

from bilberryspoke._internal.exceptions import CallerGoneError
from bilberryspoke._internal.models.routing import IngressLimits
from bilberryspoke._internal.network.bodies import collect_body
from bilberryspoke._internal.network.listeners import make_routing_server
from fakes.endless import EndlessCaller

LIMITS = IngressLimits(
    header_bytes=16_384,
    body_bytes=100_000,
    header_timeout_s=0.3,
    idle_timeout_s=0.3,
)
# What the limits allow, with what the buffers of two sockets hold.
MAX_TAKEN_BYTES = 16_000_000
# Requests that wait for the response to the one before, with those that came
# in one piece with the last of them.
MAX_WAITING = 1000
# Between the pieces of a slow caller.
SLOW_S = 0.1


class EchoApp:
    """Application that answers requests with their path and their headers.

    It answers under ``/early`` before it has read the body, and under ``/wait``
    once ``release`` is set. ``scopes`` are the requests that it got,
    ``connections`` the server's open ones.
    """

    def __init__(self):
        self.release = asyncio.Event()
        self.scopes = []
        self.connections = set()

    async def __call__(self, scope, receive, send):
        self.scopes.append(scope)
        if scope['path'] != '/early':
            try:
                found = await collect_body(receive, LIMITS.body_bytes)
            except CallerGoneError:
                return
            assert found.is_ok() or scope['path'] == '/large'
        if scope['path'] == '/wait':
            await self.release.wait()
        body = scope['path'].encode()
        length = (b'content-length', b'%d' % len(body))
        await send(
            {'type': 'http.response.start', 'status': 200, 'headers': [length]}
        )
        await send({'type': 'http.response.body', 'body': body})


@contextlib.asynccontextmanager
async def run_server():
    """Run a server; yield its application and its address."""
    app = EchoApp()
    server = make_routing_server(
        app,
        keep_alive_s=15,
        get_limits=lambda: LIMITS,
    )
    app.connections = server.server_state.connections
    sock = socket.create_server(('127.0.0.1', 0))
    host, port = sock.getsockname()
    task = asyncio.create_task(server.serve(sockets=[sock]))
    while not server.started:
        await asyncio.sleep(0.01)
    yield app, f'{host}:{port}'
    server.force_exit = True
    server.should_exit = True
    await task


async def exchange(address, raw, answer_end):
    """Send bytes on a new connection; return what arrives up to an end."""
    host, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(raw)
    async with asyncio.timeout(5):
        answer = await reader.readuntil(answer_end)
    writer.close()
    return answer


def make_head(path, *headers):
    lines = [b'POST %s HTTP/1.1' % path, b'host: h', *headers, b'', b'']
    return b'\r\n'.join(lines)


CHUNKED = b'transfer-encoding: chunked'
LONG = b'content-length: 1000000000000'
ENDLESS = {
    'many trailers': (make_head(b'/body', CHUNKED) + b'0\r\n', b'x-a: b\r\n'),
    'long trailer': (make_head(b'/body', CHUNKED) + b'0\r\nx-a: ', b'x'),
    'chunk extension': (make_head(b'/body', CHUNKED) + b'1;', b'x'),
    'many headers': (b'GET /body HTTP/1.1\r\n', b'x-a: b\r\n'),
    'long target': (b'GET /', b'x'),
    'body after an early answer': (make_head(b'/early', LONG), b'x'),
    'chunks after an early answer': (
        make_head(b'/early', CHUNKED),
        b'1\r\nx\r\n',
    ),
    'trailers after an early answer': (
        make_head(b'/early', CHUNKED) + b'0\r\n',
        b'x-a: b\r\n',
    ),
    'body over the limit': (make_head(b'/large', LONG), b'x'),
    'line ends before a request': (b'', b'\r\n'),
}


@pytest.mark.parametrize('parts', ENDLESS.values(), ids=ENDLESS.keys())
def test_request_without_end_is_cut_and_others_are_served(parts):
    # All of it was taken; trailers were kept.
    async def run():
        async with run_server() as (_, address):
            caller = EndlessCaller(address, parts[0] or b'\r\n', parts[1])
            task = asyncio.create_task(caller.run())
            await asyncio.sleep(0)
            answer = await exchange(address, make_head(b'/sound'), b'/sound')
            assert answer.startswith(b'HTTP/1.1 200')
            await task
            assert caller.closed
            assert caller.sent_bytes < MAX_TAKEN_BYTES

    asyncio.run(run())


SLOW = {
    'nothing': (b'', b''),
    'line ends': (b'\r\n', b'\r\n'),
    'headers': (b'GET /body HTTP/1.1\r\n', b'x-a: b\r\n'),
    'body after an early answer': (make_head(b'/early', LONG), b'x'),
    'silence after an early answer': (make_head(b'/early', LONG), b''),
    'line ends after an answer': (make_head(b'/body'), b'\r\n'),
}


@pytest.mark.parametrize('parts', SLOW.values(), ids=SLOW.keys())
def test_slow_caller_does_not_hold_its_connection_for_good(parts):
    # A connection without a timer stayed until its caller closed it.
    async def run():
        async with run_server() as (_, address):
            caller = EndlessCaller(address, *parts, interval_s=SLOW_S)
            await caller.run()
            assert caller.closed

    asyncio.run(run())


def test_trailers_are_no_headers_of_their_request():
    async def run():
        async with run_server() as (app, address):
            raw = make_head(b'/body', CHUNKED) + b'0\r\nx-late: 1\r\n\r\n'
            await exchange(address, raw, b'/body')
            names = [name for name, _ in app.scopes[0]['headers']]
            assert names == [b'host', b'transfer-encoding']

    asyncio.run(run())


def test_requests_sent_ahead_without_end_are_not_kept():
    # All of them were parsed and kept as soon as one was answered.
    async def run():
        async with run_server() as (app, address):
            piece = make_head(b'/ahead')
            caller = EndlessCaller(address, make_head(b'/wait'), piece)
            task = asyncio.create_task(caller.run(timeout_s=60))
            answer = await exchange(address, make_head(b'/sound'), b'/sound')
            assert answer.startswith(b'HTTP/1.1 200')
            app.release.set()
            largest = 0
            while len(app.scopes) < 100 and not task.done():
                waiting = [len(each.pipeline) for each in app.connections]
                largest = max([largest, *waiting])
                await asyncio.sleep(0)
            assert largest < MAX_WAITING
            assert len(app.scopes) >= 100
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    asyncio.run(run())


def test_requests_sent_ahead_are_answered_in_order():
    async def run():
        async with run_server() as (_, address):
            paths = [b'/ahead%03d' % number for number in range(200)]
            body = b'content-length: 3\r\n\r\nabc'
            heads = [make_head(path, body)[:-4] for path in paths]
            answer = await exchange(address, b''.join(heads), b'/ahead199')
            places = [answer.index(path) for path in paths]
            assert places == sorted(places)

    asyncio.run(run())


def test_connection_is_used_again_after_an_early_answer():
    async def run():
        async with run_server() as (_, address):
            body = b'x' * LIMITS.body_bytes
            head = make_head(b'/early', b'content-length: %d' % len(body))
            answer = await exchange(
                address, head + body + make_head(b'/next'), b'/next'
            )
            assert answer.count(b'HTTP/1.1 200') == 2

    asyncio.run(run())
