"""Upstreams around the end of answers that end with their connection."""

import asyncio

from fakes.unframedstreams import CUT_AFTER, write_unframed_events
from fakes.upstream import (
    PROBE_PATH,
    Run,
    UpstreamStandIn,
    make_event,
    make_stream,
    register_script,
    reset,
    write_head,
    write_whole,
)

PAUSE_S = 0.02


class ProbedUpstream(UpstreamStandIn):
    """An upstream whose answers to probes the test chooses."""

    # As in its entry in the store.
    born = 1_700_000_000_000
    probe_delay_s = 0.0
    resets_probes = False

    async def _answer(self, run: Run, writer: asyncio.StreamWriter) -> None:
        if run.target != PROBE_PATH:
            await super()._answer(run, writer)
            return
        if self.resets_probes:
            reset(writer)
            return
        await asyncio.sleep(self.probe_delay_s)
        body = b'{"born":%d}' % self.born
        write_whole(writer, run, 200, body, sealed=False)


@register_script('closed_and_born_anew')
async def answer_closed_and_born_anew(
    upstream: UpstreamStandIn, run: Run, writer: asyncio.StreamWriter
) -> None:
    """End after three events and start again under the same id."""
    await write_unframed_events(run, writer, b'', last_number=CUT_AFTER)
    upstream.born += 1000
    writer.close()


@register_script('without_ids')
async def answer_without_ids(
    upstream: UpstreamStandIn, run: Run, writer: asyncio.StreamWriter
) -> None:
    """Send a whole stream without a length whose events have no ids."""
    write_head(writer, run, 200, {'Content-Type': 'text/event-stream'})
    writer.write(b'data: a\n\ndata: b\n\n')
    await writer.drain()
    await asyncio.sleep(PAUSE_S)
    writer.close()


@register_script('reset_at_release')
async def answer_reset(
    upstream: UpstreamStandIn, run: Run, writer: asyncio.StreamWriter
) -> None:
    """Reset a connection too many, as an engine that is full does."""
    await upstream.release.wait()
    reset(writer)


@register_script('whole_at_release')
async def answer_whole_at_release(
    upstream: UpstreamStandIn, run: Run, writer: asyncio.StreamWriter
) -> None:
    """Send a whole stream without a length; it ends at the release."""
    write_head(writer, run, 200, {'Content-Type': 'text/event-stream'})
    writer.write(make_stream(run.req_id))
    await writer.drain()
    await upstream.release.wait()
    writer.close()


@register_script('no_answer')
async def answer_hang(
    upstream: UpstreamStandIn, run: Run, writer: asyncio.StreamWriter
) -> None:
    """Give no answer."""
    await asyncio.sleep(30)


@register_script('idle_close')
async def answer_idle_close(
    upstream: UpstreamStandIn, run: Run, writer: asyncio.StreamWriter
) -> None:
    """Answer with chunks, keep the connection, close it idle at release."""
    chunked = {
        'Content-Type': 'text/event-stream',
        'Transfer-Encoding': 'chunked',
    }
    write_head(writer, run, 200, chunked)
    raw = make_stream(run.req_id)
    writer.write(b'%x\r\n%s\r\n0\r\n\r\n' % (len(raw), raw))
    await writer.drain()
    await upstream.release.wait()
    writer.close()


@register_script('tab_before_coding')
async def answer_tab_before_coding(
    upstream: UpstreamStandIn, run: Run, writer: asyncio.StreamWriter
) -> None:
    """Name the coding behind a tab, send events as they are, and crash."""
    write_head(writer, run, 200, {'Transfer-Encoding': '\tchunked'})
    await _write_three_and_crash(upstream, run, writer)


@register_script('tab_behind_coding')
async def answer_tab_behind_coding(
    upstream: UpstreamStandIn, run: Run, writer: asyncio.StreamWriter
) -> None:
    """Name the coding before a tab, send events as they are, and crash."""
    write_head(writer, run, 200, {'Transfer-Encoding': 'chunked\t'})
    await _write_three_and_crash(upstream, run, writer)


async def _write_three_and_crash(
    upstream: UpstreamStandIn, run: Run, writer: asyncio.StreamWriter
) -> None:
    for number in range(1, CUT_AFTER + 1):
        writer.write(make_event(run, number))
    await writer.drain()
    await asyncio.sleep(PAUSE_S)
    upstream.end_process()
