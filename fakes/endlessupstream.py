"""Stand-in for an upstream that sends without end until it is closed."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from fakes.upstream import (
    STREAM_HEADERS,
    Run,
    UpstreamStandIn,
    make_body,
    register_script,
    write_chunk,
    write_head,
    write_whole,
)

# It gives up after as many bytes on one connection.
MAX_BYTES = 200_000_000
# More than the router holds back before it relays.
LARGE_BODY = bytes(8_000_000)
# Just below the limit for what is held back for a single call.
_HELD_BYTES = 1_048_000
# How long after its head a late body comes.
LATE_S = 0.1
_BLOCK_BYTES = 262_144
_REFUSAL = {'X-Not-Executed': '1'}


Begin = Callable[[Run, asyncio.StreamWriter], None]


@dataclass(frozen=True, slots=True)
class Flood:
    """How a faulty upstream answers a call.

    ``begin`` writes what comes first, ``make_piece`` returns the bytes that are
    sent again and again, or none if nothing follows. If it ``is_slow``, there
    is a pause after each piece.
    """

    begin: Begin
    make_piece: Callable[[Run], bytes]
    is_slow: bool = False


@dataclass(slots=True)
class EndlessUpstream(UpstreamStandIn):
    """An upstream that answers each call by the flood named ``flood``.

    A call counts as aborted if its connection was closed by the other side
    before the flood was over.
    """

    flood: str = ''

    async def run_script(
        self, name: str, run: Run, writer: asyncio.StreamWriter
    ) -> None:
        """Answer a call by the flood, whatever the name."""
        flood = FLOODS[self.flood]
        flood.begin(run, writer)
        piece = flood.make_piece(run)
        if not piece:
            await asyncio.Event().wait()
        while flood.is_slow:
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(LATE_S)
        block = piece * (_BLOCK_BYTES // len(piece) + 1)
        for _ in range(MAX_BYTES // len(block)):
            writer.write(block)
            await writer.drain()


def _write_nothing(run: Run, writer: asyncio.StreamWriter) -> None:
    """Begin without a head: the flood itself is in its place."""


def _write_answer(run: Run, writer: asyncio.StreamWriter) -> None:
    write_whole(writer, run, 200, make_body(run))


def _write_large_answer(run: Run, writer: asyncio.StreamWriter) -> None:
    write_whole(writer, run, 200, LARGE_BODY)


def _write_refusal_in_chunks(status: int) -> Begin:
    def begin(run: Run, writer: asyncio.StreamWriter) -> None:
        headers = {'Transfer-Encoding': 'chunked', **_REFUSAL}
        write_head(writer, run, status, headers, sealed=False)

    return begin


@register_script('late refusal body')
async def refuse_with_late_body(
    upstream: UpstreamStandIn, run: Run, writer: asyncio.StreamWriter
) -> None:
    """Refuse the call without running it; the body comes after the head."""
    headers = {'Content-Length': '4', **_REFUSAL}
    write_head(writer, run, 503, headers, sealed=False)
    await writer.drain()
    await asyncio.sleep(LATE_S)
    writer.write(b'busy')


def _write_refusal_of_length(status: int) -> Begin:
    def begin(run: Run, writer: asyncio.StreamWriter) -> None:
        headers = {'Content-Length': str(2 * MAX_BYTES), **_REFUSAL}
        write_head(writer, run, status, headers, sealed=False)

    return begin


def _write_slow_head(run: Run, writer: asyncio.StreamWriter) -> None:
    writer.write(b'HTTP/1.1 200 Slow\r\nX-Slow: ')


def _write_slow_body(run: Run, writer: asyncio.StreamWriter) -> None:
    write_head(writer, run, 200, {'Content-Length': str(MAX_BYTES)})


def _write_slow_trailers(run: Run, writer: asyncio.StreamWriter) -> None:
    write_head(writer, run, 200, {'Transfer-Encoding': 'chunked'})
    writer.write(b'1\r\nx\r\n0\r\nX-Slow: ')


def _write_slow_stream(run: Run, writer: asyncio.StreamWriter) -> None:
    write_head(writer, run, 200, STREAM_HEADERS)


def _write_unfinished_head(run: Run, writer: asyncio.StreamWriter) -> None:
    writer.write(b'HTTP/1.1 200 Unfinished\r\n' + _FIELDS)


def _write_unfinished_trailers(run: Run, writer: asyncio.StreamWriter) -> None:
    write_head(writer, run, 200, {'Transfer-Encoding': 'chunked'})
    writer.write(b'1\r\nx\r\n0\r\n' + _FIELDS)


def _write_unfinished_body(run: Run, writer: asyncio.StreamWriter) -> None:
    write_head(writer, run, 200, {'Content-Length': str(_HELD_BYTES + 1)})
    writer.write(bytes(_HELD_BYTES))


def _write_unfinished_event(run: Run, writer: asyncio.StreamWriter) -> None:
    write_head(writer, run, 200, STREAM_HEADERS)
    write_chunk(writer, b'id: 1\ndata: ' + b'x' * _HELD_BYTES)


def _repeat(raw: bytes) -> Callable[[Run], bytes]:
    return lambda run: raw


def _make_small_answer(run: Run) -> bytes:
    lines = (
        'HTTP/1.1 200 Again',
        f'X-Attempt-Id: {run.req_id}',
        f'X-Response-Seal: seal-of-{run.req_id}',
        'Content-Length: 2',
    )
    return '\r\n'.join([*lines, '', 'ok']).encode()


# As many as a parser accepts.
_FIELDS = b'X-Field: %s\r\n' % (b'x' * 60_000) * 120
_NOTHING = _repeat(b'')
_CHUNK = b'1000\r\n%s\r\n' % (b'x' * 4096)
_BYTE = b'1\r\nx\r\n'
_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
_HINTS = b'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n'

FLOODS = {
    'refusal 421, chunks': Flood(
        _write_refusal_in_chunks(421), _repeat(_CHUNK)
    ),
    'refusal 503, chunks': Flood(
        _write_refusal_in_chunks(503), _repeat(_CHUNK)
    ),
    'refusal 421, length': Flood(_write_refusal_of_length(421), _repeat(b'x')),
    'refusal 503, length': Flood(_write_refusal_of_length(503), _repeat(b'x')),
    'refusal 421, silent': Flood(_write_refusal_of_length(421), _NOTHING),
    'interim 100': Flood(_write_nothing, _repeat(_CONTINUE)),
    'interim 103': Flood(_write_nothing, _repeat(_HINTS)),
    'answers': Flood(_write_answer, _make_small_answer),
    'answers after a large one': Flood(_write_large_answer, _make_small_answer),
    'unfinished head': Flood(_write_unfinished_head, _NOTHING),
    'unfinished trailers': Flood(_write_unfinished_trailers, _NOTHING),
    'unfinished body': Flood(_write_unfinished_body, _NOTHING),
    'unfinished event': Flood(_write_unfinished_event, _NOTHING),
    'slow head': Flood(_write_slow_head, _repeat(b'x'), is_slow=True),
    'slow interim': Flood(_write_nothing, _repeat(_CONTINUE), is_slow=True),
    'slow body': Flood(_write_slow_body, _repeat(b'x'), is_slow=True),
    'slow trailers': Flood(_write_slow_trailers, _repeat(b'x'), is_slow=True),
    'slow event': Flood(_write_slow_stream, _repeat(_BYTE), is_slow=True),
    'slow refusal': Flood(
        _write_refusal_of_length(503), _repeat(b'x'), is_slow=True
    ),
    'slow surplus': Flood(_write_answer, _repeat(b'H'), is_slow=True),
}
