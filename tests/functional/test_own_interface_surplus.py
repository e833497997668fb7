"""Answers too many on the project's own interface, where they bear no id."""

import asyncio

import pytest

from bilberryspoke._internal.models.requests import AttemptStatus
from tests.lib.ownupstream import (
    PAUSE_S,
    ScriptedUpstream,
    run_call,
    run_client,
    write_pieces,
)


def _make_answer(body: bytes, status: int = 200, framing: bytes = b'') -> bytes:
    length = framing or b'Content-Length: %d' % len(body)
    return b'HTTP/1.1 %d Status\r\n%s\r\n\r\n%s' % (status, length, body)


def _make_stream(req_id: str) -> bytes:
    body = b'data: {"id":"%s"}\n\ndata: [DONE]\n\n' % req_id.encode()
    chunk = b'%x\r\n%s\r\n0\r\n\r\n' % (len(body), body)
    return _make_answer(chunk, framing=b'Transfer-Encoding: chunked')


def _make_report(running: int) -> bytes:
    return _make_answer(b'{"running":%d,"waiting":0}' % running)


def _make_refusal(req_id: str) -> bytes:
    head = b'X-Request-Outcome: not_run\r\nContent-Length: 4'
    return _make_answer(b'full', 503, head)


def _make_plain(req_id: str) -> bytes:
    return _make_answer(b'answer to %s' % req_id.encode())


def _copy_first(make_first, make_next):
    """Return a script: answer; copy the first answer where the next is due."""

    async def answer(received, writer):
        if received.earlier:
            copied = make_first(received.earlier[0].req_id)
            await write_pieces(writer, copied, make_next(received.req_id))
        elif received.req_id == 'r1':
            writer.write(make_first(received.req_id))
        else:
            writer.write(make_next(received.req_id))

    return answer


@pytest.mark.parametrize('is_idle', [True, False])
def test_own_interface_gives_no_caller_the_answer_to_another(is_idle):
    # A copy on a kept connection was taken for the answer to the next call.
    async def answer(received, writer):
        own = _make_plain(received.req_id)
        copied = [_make_plain(each.req_id) for each in received.earlier[-1:]]
        # Copies come while the connection is idle, or where an answer is due.
        pieces = [own, own] if is_idle else [*copied, own]
        await write_pieces(writer, *pieces)

    async def run():
        async with ScriptedUpstream(answer) as upstream, run_client() as client:
            bodies = []
            for req_id in ('r1', 'r2'):
                answered = await run_call(client, upstream.url, req_id)
                bodies.append(answered.body)
                await asyncio.sleep(4 * PAUSE_S)
        assert bodies == [b'answer to r1', b'answer to r2']

    asyncio.run(run())


@pytest.mark.parametrize('make_first', [_make_plain, _make_refusal])
@pytest.mark.parametrize('method', ['POST', 'GET'])
def test_copy_of_an_answer_ends_no_other_call(make_first, method):
    # The next call on the connection got the copy: its body, or "not run".
    async def run():
        script = _copy_first(make_first, _make_plain)
        async with ScriptedUpstream(script) as upstream, run_client() as client:
            await run_call(client, upstream.url, 'r1')
            later = await run_call(client, upstream.url, 'r2', method=method)
        assert later.result.status is AttemptStatus.finished
        assert later.body == b'answer to r2'

    asyncio.run(run())


def test_copy_of_a_stream_is_not_relayed_to_another_caller():
    # The caller of the next stream got the events of the first one.
    async def run():
        script = _copy_first(_make_stream, _make_stream)
        async with ScriptedUpstream(script) as upstream, run_client() as client:
            for req_id in ('r1', 'r2'):
                answered = await run_call(
                    client, upstream.url, req_id, stream=True
                )
                assert b'"id":"%s"' % req_id.encode() in answered.body

    asyncio.run(run())


def test_copy_of_a_load_report_is_not_taken_for_the_next_one():
    # The load of a moment ago was taken for that of now.
    async def run():
        async def answer(received, writer):
            own = _make_report(len(upstream.received))
            copied = [_make_report(1)] if received.earlier else []
            await write_pieces(writer, *copied, own)

        async with ScriptedUpstream(answer) as upstream, run_client() as client:
            for expected in (1, 2):
                report = await client.read_load_report(upstream.url, 1.0)
                assert report.running == expected

    asyncio.run(run())


def test_copy_of_an_answer_to_a_call_is_no_load_report():
    # An answer to a call that looks like a report was taken for one.
    async def run():
        script = _copy_first(
            lambda _: _make_report(9), lambda _: _make_report(1)
        )
        async with ScriptedUpstream(script) as upstream, run_client() as client:
            await run_call(client, upstream.url, 'r1')
            report = await client.read_load_report(upstream.url, 1.0)
        assert report.running == 1

    asyncio.run(run())
