"""Scripted answers of the stand-in for an upstream, by name."""

import asyncio

from fakes.upstream import (
    EVENTS,
    STREAM_HEADERS,
    Run,
    UpstreamStandIn,
    make_body,
    make_event,
    reset,
    script,
    write_chunk,
    write_head,
    write_whole,
)

_PAUSE_S = 0.02


async def _write_events(
    run: Run,
    writer: asyncio.StreamWriter,
    *,
    until: int = EVENTS,
) -> None:
    write_head(writer, run, 200, STREAM_HEADERS)
    first = int(run.headers.get('last-event-id', 0)) + 1
    for number in range(first, until + 1):
        write_chunk(writer, make_event(run, number))
        await writer.drain()
        await asyncio.sleep(_PAUSE_S)


@script('whole')
async def answer_whole(
    upstream: UpstreamStandIn,
    run: Run,
    writer: asyncio.StreamWriter,
) -> None:
    """Answer with a whole body."""
    write_whole(writer, run, 200, make_body(run))


@script('error')
async def answer_error(
    upstream: UpstreamStandIn,
    run: Run,
    writer: asyncio.StreamWriter,
) -> None:
    """Answer with a failure of the upstream's own."""
    write_whole(writer, run, 500, b'failed')


@script('busy')
async def answer_busy(
    upstream: UpstreamStandIn,
    run: Run,
    writer: asyncio.StreamWriter,
) -> None:
    """Refuse without running."""
    head = {'X-Not-Executed': '1'}
    write_whole(writer, run, 503, b'', head, sealed=False)


@script('truncated')
async def answer_truncated(
    upstream: UpstreamStandIn,
    run: Run,
    writer: asyncio.StreamWriter,
) -> None:
    """Break off in the middle of a body whose length was told."""
    write_head(writer, run, 200, {'Content-Length': '100'})
    writer.write(make_body(run))
    await writer.drain()
    writer.close()


@script('unframed')
async def answer_unframed(
    upstream: UpstreamStandIn,
    run: Run,
    writer: asyncio.StreamWriter,
) -> None:
    """Answer without a length; the end of the connection ends the body."""
    write_head(writer, run, 200, {'Connection': 'close'})
    writer.write(make_body(run))
    await writer.drain()
    writer.close()


@script('unframed_reset')
async def answer_unframed_reset(
    upstream: UpstreamStandIn,
    run: Run,
    writer: asyncio.StreamWriter,
) -> None:
    """Answer without a length and reset the connection on the way."""
    write_head(writer, run, 200, {'Connection': 'close'})
    writer.write(make_body(run)[:4])
    await writer.drain()
    await asyncio.sleep(_PAUSE_S)
    reset(writer)


@script('reset')
async def answer_reset(
    upstream: UpstreamStandIn,
    run: Run,
    writer: asyncio.StreamWriter,
) -> None:
    """Run the call and lose its answer."""
    reset(writer)


@script('extra')
async def answer_extra(
    upstream: UpstreamStandIn,
    run: Run,
    writer: asyncio.StreamWriter,
) -> None:
    """Answer, and answer once more a little later."""
    write_whole(writer, run, 200, make_body(run))
    await writer.drain()
    await asyncio.sleep(_PAUSE_S)
    write_whole(writer, run, 200, b'second answer, belongs to nobody')


@script('unsealed')
async def answer_unsealed(
    upstream: UpstreamStandIn,
    run: Run,
    writer: asyncio.StreamWriter,
) -> None:
    """Answer with bytes that do not bear the upstream's mark."""
    write_whole(writer, run, 200, b'not mine', sealed=False)


@script('foreign')
async def answer_foreign(
    upstream: UpstreamStandIn,
    run: Run,
    writer: asyncio.StreamWriter,
) -> None:
    """Answer with what belongs to another call."""
    other = Run('GET', '', {'x-attempt-id': 'another'}, b'')
    write_whole(writer, other, 200, make_body(other))


@script('hold')
async def answer_when_released(
    upstream: UpstreamStandIn,
    run: Run,
    writer: asyncio.StreamWriter,
) -> None:
    """Answer when the test says so."""
    await upstream.release.wait()
    write_whole(writer, run, 200, make_body(run))


@script('stream')
async def answer_stream(
    upstream: UpstreamStandIn,
    run: Run,
    writer: asyncio.StreamWriter,
) -> None:
    """Answer with a whole stream of events."""
    await _write_events(run, writer)
    writer.write(b'0\r\n\r\n')


@script('stream_cut')
async def answer_stream_cut(
    upstream: UpstreamStandIn,
    run: Run,
    writer: asyncio.StreamWriter,
) -> None:
    """Break off in the middle of the fourth event."""
    await _write_events(run, writer, until=3)
    write_chunk(writer, make_event(run, 4)[:6])
    await writer.drain()
    reset(writer)


@script('stream_gap')
async def answer_stream_gap(
    upstream: UpstreamStandIn,
    run: Run,
    writer: asyncio.StreamWriter,
) -> None:
    """Leave one event out."""
    await _write_events(run, writer, until=2)
    write_chunk(writer, make_event(run, 4))
    writer.write(b'0\r\n\r\n')


@script('stream_hold')
async def answer_stream_held(
    upstream: UpstreamStandIn,
    run: Run,
    writer: asyncio.StreamWriter,
) -> None:
    """Stop after three events until the test says so."""
    await _write_events(run, writer, until=3)
    await upstream.release.wait()
    for number in range(4, EVENTS + 1):
        write_chunk(writer, make_event(run, number))
    writer.write(b'0\r\n\r\n')
