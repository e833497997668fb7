"""The ports for probes, metrics and operators before endless requests."""

import asyncio
import contextlib
import socket

import pytest
from starlette.applications import Starlette
from starlette.responses import PlainTextResponse
from starlette.routing import Route

from bilberryspoke._internal.config.settings import Settings
from bilberryspoke._internal.network.listeners import (
    make_routing_server,
    make_server,
)
from fakes.endless import EndlessCaller

# What the limits allow, with what the buffers of two sockets hold.
MAX_TAKEN_BYTES = 24_000_000
HEAD = b'POST /early HTTP/1.1\r\nhost: h\r\n'
ENDLESS = {
    'long target': (b'GET /', b'x'),
    'many headers': (b'GET /early HTTP/1.1\r\n', b'x-a: b\r\n'),
    'long header': (b'GET /early HTTP/1.1\r\nx-a: ', b'x'),
    'body': (HEAD + b'content-length: 1000000000000\r\n\r\n', b'x'),
    'trailers': (
        HEAD + b'transfer-encoding: chunked\r\n\r\n0\r\n',
        b'x-a: b\r\n',
    ),
}


async def show(request):
    return PlainTextResponse('ready')


def make_app():
    return Starlette(routes=[Route('/early', show, methods=['GET', 'POST'])])


SERVERS = {
    'probes': lambda: make_routing_server(make_app(), keep_alive_s=0.5),
    'own interface': lambda: make_server(
        make_app(), Settings(vm='a', data_centre='dc1'), tls=False
    ),
}


@contextlib.asynccontextmanager
async def run_server(server):
    """Run a server; yield its address."""
    sock = socket.create_server(('127.0.0.1', 0))
    host, port = sock.getsockname()
    task = asyncio.create_task(server.serve(sockets=[sock]))
    while not server.started:
        await asyncio.sleep(0.01)
    yield f'{host}:{port}'
    server.force_exit = True
    server.should_exit = True
    await task


async def probe(address):
    """Return the answer to a sound request."""
    host, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(b'GET /early HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n')
    answer = await reader.read()
    writer.close()
    return answer


@pytest.mark.parametrize('make', SERVERS.values(), ids=SERVERS.keys())
@pytest.mark.parametrize('parts', ENDLESS.values(), ids=ENDLESS.keys())
def test_request_without_end_is_cut_on_each_port(make, parts):
    # Only the port for callers had limits.
    async def run():
        async with run_server(make()) as address:
            caller = EndlessCaller(address, *parts)
            task = asyncio.create_task(caller.run())
            assert (await probe(address)).endswith(b'ready')
            await task
            assert caller.closed
            assert caller.sent_bytes < MAX_TAKEN_BYTES

    asyncio.run(run())
