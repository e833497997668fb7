"""Pool of connections to upstreams."""

import asyncio

import aiohttp
import pytest

from bilberryspoke._internal.network.routing.connections import (
    KeepAliveConnector,
)
from bilberryspoke._internal.network.routing.outgoing import decode_header


def test_connections_expire_while_another_is_being_opened():
    # The one being opened has no address, and the lookup raised.
    async def run():
        accepted = asyncio.Event()

        async def accept(reader, writer):
            accepted.set()
            await reader.read()
            writer.close()

        server = await asyncio.start_server(accept, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()
        connector = KeepAliveConnector()
        async with (
            server,
            aiohttp.ClientSession(connector=connector) as session,
        ):
            call = asyncio.create_task(session.get(f'http://{host}:{port}/'))
            while not accepted.is_set():
                connector.expire_connections(f'{host}:{port}')
                await asyncio.sleep(0)
            call.cancel()

    asyncio.run(run())


@pytest.mark.parametrize('text', ['modele', 'mod\xe8le', '\u6a21\u578b'])
def test_header_beyond_ascii_goes_on_unchanged(text):
    # Its bytes were encoded a second time.
    assert decode_header(text.encode()).encode() == text.encode()
