"""Connections of the own interface that carry one call each."""

import asyncio

import pytest

from bilberryspoke._internal.network.singlecall import SingleCallProtocol
from bilberryspoke._internal.utils.boundedprotocol import AnswerLimitError

_ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother'
_TIMEOUT_S = 5


def test_bytes_before_the_request_are_no_answer_to_it():
    # They were kept, and were the answer once the request was sent.
    async def run():
        loop = asyncio.get_running_loop()

        async def serve(reader, writer):
            writer.write(_ANSWER)
            await reader.read()
            writer.close()

        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        transport, protocol = await loop.create_connection(
            lambda: SingleCallProtocol(loop=loop), '127.0.0.1', port
        )
        async with asyncio.timeout(_TIMEOUT_S):
            while protocol.is_connected() and not protocol.should_close:
                await asyncio.sleep(0.01)
        assert transport.is_closing()
        protocol.set_response_params()
        with pytest.raises(AnswerLimitError):
            await protocol.read()
        server.close()

    asyncio.run(run())
