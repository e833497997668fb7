"""Answers of an upstream that stutters: it begins one again or adds another.

The pieces come with pauses in between, so that each of them is read by itself.
"""

import asyncio

from fakes.upstream import (
    Run,
    UpstreamStandIn,
    make_body,
    make_event,
    register_script,
    write_head,
    write_whole,
)

PAUSE_S = 0.05
SEALED_HEADERS = {'Server': 'stand-in'}
_EVENTS = 6


class _Recorder:
    """Collects the bytes of an answer instead of a connection."""

    def __init__(self) -> None:
        self.raw = bytearray()

    def write(self, raw: bytes) -> None:
        self.raw += raw


def make_answer(
    run: Run, status: int = 200, body: bytes | None = None
) -> bytes:
    """Return an answer with its length, as it would be sent."""
    recorder = _Recorder()
    own_body = make_body(run) if body is None else body
    write_whole(recorder, run, status, own_body, SEALED_HEADERS)
    return bytes(recorder.raw)


def make_head(run: Run, **headers: str) -> bytes:
    """Return a head with status 200 and some headers, as it would be sent."""
    recorder = _Recorder()
    write_head(recorder, run, 200, {**SEALED_HEADERS, **headers})
    return bytes(recorder.raw)


async def write_pieces(writer: asyncio.StreamWriter, *pieces: bytes) -> None:
    """Write pieces of answers with pauses in between."""
    for number, piece in enumerate(pieces):
        if number:
            await asyncio.sleep(PAUSE_S)
        writer.write(piece)
        await writer.drain()


@register_script('sound')
async def answer_soundly(
    upstream: UpstreamStandIn, run: Run, writer: asyncio.StreamWriter
) -> None:
    """Answer once, as a control."""
    writer.write(make_answer(run))


def register_cut_copy(status: int, length: int, next_status: int) -> str:
    """Register a copy that is cut, right before an answer; return its name.

    The copy is of an answer to another call with ``status``, cut after
    ``length`` bytes. The answer to the call has ``next_status``.
    """
    name = f'copy of {status} cut after {length}, then {next_status}'

    @register_script(name)
    async def answer_behind_cut_copy(
        upstream: UpstreamStandIn, run: Run, writer: asyncio.StreamWriter
    ) -> None:
        earlier = Run('GET', '', {'x-attempt-id': 'earlier'}, b'')
        copy = make_answer(earlier, status, b'failed')[:length]
        await write_pieces(writer, copy, make_answer(run, next_status))

    return name


def register_begun_again(length: int) -> str:
    """Register an answer that begins again after ``length`` bytes."""
    name = f'begun again after {length}'

    @register_script(name)
    async def answer_again(
        upstream: UpstreamStandIn, run: Run, writer: asyncio.StreamWriter
    ) -> None:
        answer = make_answer(run)
        await write_pieces(writer, answer[:length], answer)

    return name


def register_unframed_copy(length: int | None) -> str:
    """Register an answer that ends with its connection, and a copy before.

    The copy is cut after ``length`` bytes, or whole if that is None.
    """
    name = f'unframed, copy cut after {length}'

    @register_script(name)
    async def answer_unframed_twice(
        upstream: UpstreamStandIn, run: Run, writer: asyncio.StreamWriter
    ) -> None:
        head = make_head(run, Connection='close')
        copy = make_answer(run)[:length]
        await write_pieces(writer, head + make_body(run), copy)
        writer.close()

    return name


def register_stuttering_stream(
    *, framed: bool, events: int, length: int
) -> str:
    """Register a stream that begins again within an event.

    The first one breaks off after some ``events`` and ``length`` bytes of the
    next one. It has a length that would fit both, or ends with its connection.
    """
    name = f'stream begun again after {events}, {length}, framed {framed}'

    @register_script(name)
    async def answer_stream_again(
        upstream: UpstreamStandIn, run: Run, writer: asyncio.StreamWriter
    ) -> None:
        all_events = _make_events(run)
        begun = b''.join(all_events[:events]) + all_events[events][:length]
        again = make_head(run) + all_events[0]
        fields = {'Connection': 'close'}
        if framed:
            size = len(begun + again + b''.join(all_events[1:]))
            fields = {'Content-Length': str(size)}
        first = make_head(run, **fields) + begun
        await write_pieces(writer, first, again, *all_events[1:])
        writer.close()

    return name


@register_script('stream of another call, by length')
async def answer_foreign_stream(
    upstream: UpstreamStandIn, run: Run, writer: asyncio.StreamWriter
) -> None:
    """Begin a stream with a length, and write that of another call."""
    other = Run('GET', '', {'x-attempt-id': 'another'}, b'')
    again = make_head(other) + b''.join(_make_events(other))
    head = make_head(run, **{'Content-Length': str(len(again))})
    await write_pieces(writer, head, again)
    writer.close()


@register_script('plain answer among events')
async def answer_among_events(
    upstream: UpstreamStandIn, run: Run, writer: asyncio.StreamWriter
) -> None:
    """Add a plain answer between the events of a stream without a length."""
    first, *others = _make_events(run)
    if len(others) < _EVENTS - 1:
        # It resumes a stream.
        await write_pieces(writer, make_head(run) + first, *others)
    else:
        plain = make_answer(run) + others[0]
        await write_pieces(writer, make_head(run) + first, plain, *others[1:])
    writer.close()


def _make_events(run: Run) -> list[bytes]:
    first = int(run.headers.get('last-event-id', 0)) + 1
    return [make_event(run, each) for each in range(first, _EVENTS + 1)]
