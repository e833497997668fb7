"""Pool of connections to upstreams."""

import asyncio

import aiohttp

from bilberryspoke._internal.network.routing.connections import (
    KeepAliveConnector,
)


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
