"""The check whether an upstream listens, before one that sends at once."""

import asyncio

from bilberryspoke._internal.network.listencheck import ListenCheck, Reach
from fakes.endless import PIECE_BYTES

# What the buffers of two sockets hold.
MAX_SENT_BYTES = 8_000_000


def test_listener_that_sends_without_end_is_accepted_and_closed():
    async def run():
        sent = []

        async def pour(reader, writer):
            count = 0
            try:
                while True:
                    writer.write(b'x' * PIECE_BYTES)
                    await writer.drain()
                    count += PIECE_BYTES
                    await asyncio.sleep(0)
            except OSError:
                sent.append(count)
            finally:
                writer.close()

        server = await asyncio.start_server(pour, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()
        check = ListenCheck()
        results = await asyncio.gather(
            *(check.check(f'{host}:{port}') for _ in range(20))
        )
        assert set(results) == {Reach.accepted}
        async with asyncio.timeout(10):
            while not sent:
                await asyncio.sleep(0.01)
        assert len(sent) == 1
        assert sent[0] < MAX_SENT_BYTES
        server.close()

    asyncio.run(run())
