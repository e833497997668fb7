"""Scripts of answers that only the end of their connection ends."""

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
    write_head,
)

# Between the events of a stream, and before its end.
_PAUSE_S = 0.02
# Streams that are cut end after this event.
CUT_AFTER = 3


@register_script('stream_unframed')
async def answer_stream_unframed(
    upstream: UpstreamStandIn,
    run: Run,
    writer: asyncio.StreamWriter,
) -> None:
    """Answer with a stream that ends with its connection."""
    await write_unframed_events(run, writer, b'')
    writer.close()


@register_script('stream_unframed_hold')
async def answer_stream_unframed_hold(
    upstream: UpstreamStandIn,
    run: Run,
    writer: asyncio.StreamWriter,
) -> None:
    """Pause after the third event of such a stream until ``release``."""
    await write_unframed_events(run, writer, b'', last_number=CUT_AFTER)
    await upstream.release.wait()
    for number in range(CUT_AFTER + 1, STREAM_EVENT_COUNT + 1):
        writer.write(make_event(run, number))
    writer.close()


@register_script('stream_unframed_cut')
async def answer_stream_unframed_cut(
    upstream: UpstreamStandIn,
    run: Run,
    writer: asyncio.StreamWriter,
) -> None:
    """Close the connection within the fourth event of such a stream."""
    rest = make_event(run, 4)[:-1]
    await write_unframed_events(run, writer, rest, last_number=3)
    writer.close()


@register_script('stream_unframed_reset')
async def answer_stream_unframed_reset(
    upstream: UpstreamStandIn,
    run: Run,
    writer: asyncio.StreamWriter,
) -> None:
    """Reset the connection after the third event of such a stream."""
    await write_unframed_events(run, writer, b'', last_number=3)
    reset(writer)


async def write_unframed_events(
    run: Run,
    writer: asyncio.StreamWriter,
    rest: bytes,
    *,
    last_number: int = STREAM_EVENT_COUNT,
) -> None:
    """Write the head and events of a stream, and ``rest`` behind them."""
    write_head(writer, run, 200, {'Content-Type': 'text/event-stream'})
    first_number = int(run.headers.get('last-event-id', 0)) + 1
    for number in range(first_number, last_number + 1):
        writer.write(make_event(run, number))
        await writer.drain()
        await asyncio.sleep(_PAUSE_S)
    writer.write(rest)
    await writer.drain()
    await asyncio.sleep(_PAUSE_S)


@register_script('stream_unframed_closed')
async def answer_stream_unframed_closed(
    upstream: UpstreamStandIn,
    run: Run,
    writer: asyncio.StreamWriter,
) -> None:
    """Close the connection of such a stream after the third event."""
    await write_unframed_events(run, writer, b'', last_number=CUT_AFTER)
    writer.close()


@register_script('stream_unframed_crash')
async def answer_stream_unframed_crash(
    upstream: UpstreamStandIn,
    run: Run,
    writer: asyncio.StreamWriter,
) -> None:
    """End the process after the third event of such a stream."""
    await write_unframed_events(run, writer, b'', last_number=CUT_AFTER)
    upstream.end_process()


@register_script('stream_unframed, then crash')
async def answer_stream_unframed_then_crash(
    upstream: UpstreamStandIn,
    run: Run,
    writer: asyncio.StreamWriter,
) -> None:
    """End the process right behind the last event of such a stream."""
    await write_unframed_events(run, writer, b'')
    upstream.end_process()


@register_script('stream_unframed_empty')
async def answer_stream_unframed_empty(
    upstream: UpstreamStandIn,
    run: Run,
    writer: asyncio.StreamWriter,
) -> None:
    """Close the connection behind the head."""
    write_head(writer, run, 200, {'Content-Type': 'text/event-stream'})
    await writer.drain()
    await asyncio.sleep(_PAUSE_S)
    writer.close()


@register_script('stream_unframed_restart')
async def answer_stream_unframed_restart(
    upstream: UpstreamStandIn,
    run: Run,
    writer: asyncio.StreamWriter,
) -> None:
    """Close all connections after the third event, but listen on."""
    await write_unframed_events(run, writer, b'', last_number=CUT_AFTER)
    upstream.close_connections(but=writer)
    await asyncio.sleep(0)
    writer.close()


@register_script('stream_unframed_renamed')
async def answer_stream_unframed_renamed(
    upstream: UpstreamStandIn,
    run: Run,
    writer: asyncio.StreamWriter,
) -> None:
    """Take another id and close the connection after the third event."""
    await write_unframed_events(run, writer, b'', last_number=CUT_AFTER)
    upstream.instance += '-next'
    writer.close()


@register_script('stream_identity_reset')
async def answer_stream_identity_reset(
    upstream: UpstreamStandIn,
    run: Run,
    writer: asyncio.StreamWriter,
) -> None:
    """Name a transfer coding that has no end, and reset after three events."""
    coding = {**STREAM_HEADERS, 'Transfer-Encoding': 'identity'}
    write_head(writer, run, 200, coding)
    for number in range(1, CUT_AFTER + 1):
        writer.write(make_event(run, number))
    await writer.drain()
    await asyncio.sleep(_PAUSE_S)
    reset(writer)


@register_script('unframed_crash')
async def answer_unframed_crash(
    upstream: UpstreamStandIn,
    run: Run,
    writer: asyncio.StreamWriter,
) -> None:
    """End the process within a body without a length."""
    write_head(writer, run, 200, {'Connection': 'close'})
    writer.write(make_body(run)[:4])
    await writer.drain()
    await asyncio.sleep(_PAUSE_S)
    upstream.end_process()
