"""Scripted answers of the stand-in for an upstream, by name."""

import asyncio

from fakes.upstream import (
    STREAM_EVENT_COUNT,
    STREAM_HEADERS,
    Run,
    UpstreamStandIn,
    make_body,
    make_event,
    register_script,
    reset,
    write_chunk,
    write_head,
    write_whole,
)

# Between the events of a stream, and before a late reset or second answer.
_PAUSE_S = 0.02


async def _write_events(
    run: Run,
    writer: asyncio.StreamWriter,
    *,
    last_number: int = STREAM_EVENT_COUNT,
) -> None:
    write_head(writer, run, 200, STREAM_HEADERS)
    first_number = int(run.headers.get('last-event-id', 0)) + 1
    for number in range(first_number, last_number + 1):
        write_chunk(writer, make_event(run, number))
        await writer.drain()
        await asyncio.sleep(_PAUSE_S)


@register_script('whole')
async def answer_whole(
    upstream: UpstreamStandIn,
    run: Run,
    writer: asyncio.StreamWriter,
) -> None:
    """Answer with a complete body."""
    write_whole(writer, run, 200, make_body(run))


@register_script('error')
async def answer_error(
    upstream: UpstreamStandIn,
    run: Run,
    writer: asyncio.StreamWriter,
) -> None:
    """Run the call and answer with status 500."""
    write_whole(writer, run, 500, b'failed')


@register_script('busy')
async def answer_busy(
    upstream: UpstreamStandIn,
    run: Run,
    writer: asyncio.StreamWriter,
) -> None:
    """Refuse the call without running it."""
    extra_headers = {'X-Not-Executed': '1'}
    write_whole(writer, run, 503, b'', extra_headers, sealed=False)


@register_script('unnamed refusal')
async def answer_unnamed_refusal(
    upstream: UpstreamStandIn,
    run: Run,
    writer: asyncio.StreamWriter,
) -> None:
    """Run the call, while a refusal without any id arrives for it."""
    writer.write(
        b'HTTP/1.1 503 Scripted\r\nX-Not-Executed: 1\r\n'
        b'Content-Length: 0\r\n\r\n'
    )


@register_script('unnamed')
async def answer_unnamed(
    upstream: UpstreamStandIn,
    run: Run,
    writer: asyncio.StreamWriter,
) -> None:
    """Answer with a sealed body, without any id."""
    writer.write(
        b'HTTP/1.1 200 Scripted\r\nX-Response-Seal: s\r\n'
        b'Content-Length: 5\r\n\r\nother'
    )


def register_cut_head_script(length: int, *, streams: bool) -> str:
    """Register an answer whose head ends after some bytes; return its name."""
    name = f'head cut after {length}, {streams}'

    @register_script(name)
    async def answer_cut_head(
        upstream: UpstreamStandIn,
        run: Run,
        writer: asyncio.StreamWriter,
    ) -> None:
        writer.write(make_head(run, streams=streams)[:length])
        writer.close()

    return name


def make_head(run: Run, *, streams: bool) -> bytes:
    """Return the head of an answer of 16 bytes, or of a stream."""
    framing = 'Transfer-Encoding: chunked' if streams else 'Content-Length: 16'
    lines = (
        'HTTP/1.1 200 OK',
        f'X-Attempt-Id: {run.req_id}',
        f'X-Response-Seal: seal-of-{run.req_id}',
        framing,
    )
    return '\r\n'.join([*lines, '', '']).encode()


def register_status_script(status: int) -> None:
    """Register ``status N``: run the call and answer with that status."""

    @register_script(f'status {status}')
    async def answer_status(
        upstream: UpstreamStandIn,
        run: Run,
        writer: asyncio.StreamWriter,
    ) -> None:
        write_whole(writer, run, status, b'failed')


@register_script('truncated')
async def answer_truncated(
    upstream: UpstreamStandIn,
    run: Run,
    writer: asyncio.StreamWriter,
) -> None:
    """Close the connection before the announced length is reached."""
    write_head(writer, run, 200, {'Content-Length': '100'})
    writer.write(make_body(run))
    await writer.drain()
    writer.close()


@register_script('unframed')
async def answer_unframed(
    upstream: UpstreamStandIn,
    run: Run,
    writer: asyncio.StreamWriter,
) -> None:
    """Answer without a length; closing the connection ends the body."""
    write_head(writer, run, 200, {'Connection': 'close'})
    writer.write(make_body(run))
    await writer.drain()
    writer.close()


@register_script('unframed_reset')
async def answer_unframed_reset(
    upstream: UpstreamStandIn,
    run: Run,
    writer: asyncio.StreamWriter,
) -> None:
    """Answer without a length and reset the connection within the body."""
    write_head(writer, run, 200, {'Connection': 'close'})
    writer.write(make_body(run)[:4])
    await writer.drain()
    await asyncio.sleep(_PAUSE_S)
    reset(writer)


@register_script('reset')
async def answer_reset(
    upstream: UpstreamStandIn,
    run: Run,
    writer: asyncio.StreamWriter,
) -> None:
    """Run the call and reset the connection before answering."""
    reset(writer)


@register_script('extra')
async def answer_extra(
    upstream: UpstreamStandIn,
    run: Run,
    writer: asyncio.StreamWriter,
) -> None:
    """Answer, and send a second, unrequested answer 20 ms later."""
    write_whole(writer, run, 200, make_body(run))
    await writer.drain()
    await asyncio.sleep(_PAUSE_S)
    write_whole(writer, run, 200, b'second answer, belongs to nobody')


@register_script('unsealed')
async def answer_unsealed(
    upstream: UpstreamStandIn,
    run: Run,
    writer: asyncio.StreamWriter,
) -> None:
    """Answer without the seal that marks the upstream's own answers."""
    write_whole(writer, run, 200, b'not mine', sealed=False)


@register_script('foreign')
async def answer_foreign(
    upstream: UpstreamStandIn,
    run: Run,
    writer: asyncio.StreamWriter,
) -> None:
    """Answer with the id, seal and body of another call."""
    other = Run('GET', '', {'x-attempt-id': 'another'}, b'')
    write_whole(writer, other, 200, make_body(other))


@register_script('hold')
async def answer_hold(
    upstream: UpstreamStandIn,
    run: Run,
    writer: asyncio.StreamWriter,
) -> None:
    """Answer once the test sets ``release``."""
    await upstream.release.wait()
    write_whole(writer, run, 200, make_body(run))


@register_script('stream')
async def answer_stream(
    upstream: UpstreamStandIn,
    run: Run,
    writer: asyncio.StreamWriter,
) -> None:
    """Answer with a complete stream of events."""
    await _write_events(run, writer)
    writer.write(b'0\r\n\r\n')


@register_script('stream_cut')
async def answer_stream_cut(
    upstream: UpstreamStandIn,
    run: Run,
    writer: asyncio.StreamWriter,
) -> None:
    """Reset the connection in the middle of the fourth event."""
    await _write_events(run, writer, last_number=3)
    write_chunk(writer, make_event(run, 4)[:6])
    await writer.drain()
    reset(writer)


@register_script('stream_cut_once')
async def answer_stream_cut_once(
    upstream: UpstreamStandIn,
    run: Run,
    writer: asyncio.StreamWriter,
) -> None:
    """Cut a new stream as ``stream_cut`` does, and complete a resumed one."""
    name = 'stream' if 'last-event-id' in run.headers else 'stream_cut'
    await upstream.run_script(name, run, writer)


@register_script('stream_gap')
async def answer_stream_gap(
    upstream: UpstreamStandIn,
    run: Run,
    writer: asyncio.StreamWriter,
) -> None:
    """Omit the third event and end after the fourth."""
    await _write_events(run, writer, last_number=2)
    write_chunk(writer, make_event(run, 4))
    writer.write(b'0\r\n\r\n')


@register_script('stream_hold')
async def answer_stream_hold(
    upstream: UpstreamStandIn,
    run: Run,
    writer: asyncio.StreamWriter,
) -> None:
    """Pause after three events until the test sets ``release``."""
    await _write_events(run, writer, last_number=3)
    await upstream.release.wait()
    for number in range(4, STREAM_EVENT_COUNT + 1):
        write_chunk(writer, make_event(run, number))
    writer.write(b'0\r\n\r\n')
