"""Bodies of callers that arrive in the smallest pieces."""

import asyncio
import tracemalloc

from bilberryspoke._internal.network.bodies import collect_body

MAX_BYTES = 200_000
PIECE = 2


def test_body_in_small_pieces_takes_no_more_than_its_size():
    # Each piece was kept as an object of its own, many times as large.
    async def run():
        remaining = MAX_BYTES // PIECE

        async def receive():
            nonlocal remaining
            remaining -= 1
            piece = remaining.to_bytes(4, 'big')[-PIECE:]
            return {
                'type': 'http.request',
                'body': piece,
                'more_body': remaining > 0,
            }

        tracemalloc.start()
        found = await collect_body(receive, MAX_BYTES)
        _, peak = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        assert len(found.ok) == MAX_BYTES
        assert peak < 4 * MAX_BYTES

    asyncio.run(run())
