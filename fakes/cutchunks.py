"""Streams in chunks whose connection is closed within their framing."""

import asyncio

from fakes.upstream import (
    STREAM_EVENT_COUNT,
    Run,
    UpstreamStandIn,
    make_event,
    register_script,
)

_PAUSE_S = 0.02
_LAST_CHUNK = b'0\r\n\r\n'


def make_chunked_stream(run: Run) -> tuple[bytes, bytes]:
    """Return the bytes of a stream up to its last event, and the others."""
    head = (
        f'HTTP/1.1 200 OK\r\nX-Attempt-Id: {run.req_id}\r\n'
        f'X-Response-Seal: seal-of-{run.req_id}\r\n'
        'Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n'
    )
    chunks = [
        _make_chunk(make_event(run, number))
        for number in range(1, STREAM_EVENT_COUNT + 1)
    ]
    begin = b''.join([head.encode(), *chunks[:-1]])
    return begin, chunks[-1] + _LAST_CHUNK


def _make_chunk(raw: bytes) -> bytes:
    return b'%x\r\n%s\r\n' % (len(raw), raw)


def register_cut_chunks_script(length: int, *, at_once: bool) -> str:
    """Register a stream closed after some bytes of its last event's chunk.

    ``length`` counts these and those that follow. The bytes before them arrive
    earlier unless ``at_once``. Returns the script's name.
    """
    name = f'chunks cut after {length}, {at_once}'

    @register_script(name)
    async def answer_cut_chunks(
        upstream: UpstreamStandIn,
        run: Run,
        writer: asyncio.StreamWriter,
    ) -> None:
        begin, end = make_chunked_stream(run)
        writer.write(begin)
        if not at_once:
            await writer.drain()
            await asyncio.sleep(_PAUSE_S)
        writer.write(end[:length])
        writer.close()

    return name
