"""Scripts of upstreams that break a stream off and fail to take it up."""

import asyncio
from collections.abc import Callable

from fakes.upstream import (
    STREAM_HEADERS,
    Run,
    UpstreamStandIn,
    register_script,
    write_chunk,
    write_head,
    write_whole,
)

ERROR_TEXT = b'overloaded'
_ERROR_EVENT = b'event: error\ndata: ' + ERROR_TEXT + b'\n\n'
_Answer = Callable[[Run, asyncio.StreamWriter], None]


def _write_chunked(
    run: Run, writer: asyncio.StreamWriter, status: int, raw: bytes
) -> None:
    write_head(writer, run, status, STREAM_HEADERS)
    if raw:
        write_chunk(writer, raw)
    writer.write(b'0\r\n\r\n')


# What the next upstream answers, by name.
ANSWERS: dict[str, _Answer] = {
    'status 500': lambda run, writer: write_whole(writer, run, 500, ERROR_TEXT),
    'status 500 with an event': lambda run, writer: _write_chunked(
        run, writer, 500, _ERROR_EVENT
    ),
    'status 503, not run': lambda run, writer: write_whole(
        writer, run, 503, ERROR_TEXT, {'X-Not-Executed': '1'}, sealed=False
    ),
    'status 404': lambda run, writer: write_whole(writer, run, 404, ERROR_TEXT),
    'status 200 with text': lambda run, writer: write_whole(
        writer, run, 200, ERROR_TEXT, {'Content-Type': 'text/plain'}
    ),
    'status 200 with text and a blank line': lambda run, writer: write_whole(
        writer, run, 200, ERROR_TEXT + b'\n\n', {'Content-Type': 'text/plain'}
    ),
    'status 200 without a body': lambda run, writer: write_whole(
        writer, run, 200, b''
    ),
    'status 200 without an event': lambda run, writer: _write_chunked(
        run, writer, 200, b''
    ),
    'an event without an id': lambda run, writer: _write_chunked(
        run, writer, 200, _ERROR_EVENT
    ),
    'no head': lambda run, writer: writer.write(ERROR_TEXT + b'\r\n\r\n'),
    'two heads': lambda run, writer: _write_chunked(
        run, writer, 200, b'HTTP/1.1 500 Failed\r\n\r\n' + ERROR_TEXT
    ),
}


def _register(name: str, answer: _Answer) -> None:
    @register_script(f'stream_cut, then {name}')
    async def answer_twice(
        upstream: UpstreamStandIn, run: Run, writer: asyncio.StreamWriter
    ) -> None:
        if 'last-event-id' not in run.headers:
            await upstream.run_script('stream_cut', run, writer)
            return
        answer(run, writer)
        await writer.drain()
        writer.close()


for _name, _answer in ANSWERS.items():
    _register(_name, _answer)
