"""Upstreams of the own interface that begin an answer anew within it."""

import asyncio

import aiohttp
import pytest

from bilberryspoke._internal.models.effects import OrderModelLoad
from bilberryspoke._internal.models.requests import AttemptStatus
from tests.lib.ownupstream import (
    Answered,
    ScriptedUpstream,
    make_call,
    run_call,
    run_client,
    write_pieces,
)

_BODY = b'answer to r1'


def _make_answer(body: bytes = _BODY, status: int = 200) -> bytes:
    return (
        b'HTTP/1.1 %d Status\r\nServer: stand-in\r\nX-Cost: 3\r\n'
        b'Content-Length: %d\r\n\r\n%s' % (status, len(body), body)
    )


def _list_cuts(raw: bytes) -> range:
    return range(1, raw.index(b'\r\n\r\n') + 4)


def _cut_head(first: bytes, whole: bytes):
    """Return a script that cuts an answer within its head and begins anew.

    The number in a request's id is that of the bytes before the cut.
    """

    async def answer(received, writer):
        length = int(received.req_id or 0)
        await write_pieces(writer, first[:length], whole)

    return answer


def _is_own(answered: Answered, status: int = 200) -> bool:
    return (
        answered.status == status
        and answered.body == _BODY
        and answered.headers[b'x-cost'] == b'3'
    )


@pytest.mark.parametrize(('first', 'status'), [(500, 200), (200, 500)])
@pytest.mark.parametrize('is_forwarded', [False, True])
def test_head_that_joins_two_answers_reaches_no_caller(
    first, status, is_forwarded
):
    # The status of the cut answer came with the body of the whole one.
    cut, whole = _make_answer(status=first), _make_answer(status=status)

    async def run():
        script = _cut_head(cut, whole)
        async with ScriptedUpstream(script) as upstream, run_client() as client:

            async def call(length):
                answered = Answered()
                if is_forwarded:
                    to_send = make_call(str(length), answered)
                    answered.result = await client.forward(
                        to_send, upstream.url
                    )
                    return answered
                return await run_call(client, upstream.url, str(length))

            calls = [call(length) for length in _list_cuts(cut)[:-1]]
            return await asyncio.gather(*calls)

    for answered in asyncio.run(run()):
        if answered.result.status is AttemptStatus.finished:
            assert _is_own(answered, status)
        else:
            assert not answered.status


def test_joined_head_is_no_refusal():
    # A refusal that was cut made a call that ran count as not run.
    cut = _make_answer(status=503).replace(
        b'Server: stand-in', b'X-Request-Outcome: not_run'
    )

    async def run():
        script = _cut_head(cut, _make_answer())
        async with ScriptedUpstream(script) as upstream, run_client() as client:
            calls = [
                run_call(client, upstream.url, str(length))
                for length in _list_cuts(cut)[:-1]
            ]
            return await asyncio.gather(*calls)

    for answered in asyncio.run(run()):
        assert answered.result.status is AttemptStatus.broken


def test_joined_head_is_no_accepted_order():
    # An engine that rejected an order counted as one that accepted it.
    async def run():
        async def answer(received, writer):
            cut = b'HTTP/1.1 200 O'
            await write_pieces(writer, cut, _make_answer(status=409))

        async with ScriptedUpstream(answer) as upstream, run_client() as client:
            order = OrderModelLoad('u', 'm', 1)
            assert not await client.post_order(upstream.url, order, 1.0)

    asyncio.run(run())


def test_joined_head_is_no_load_report():
    # The status was that of a report, and the body that of a failure.
    async def run():
        async def answer(received, writer):
            whole = _make_answer(b'{"running":1,"waiting":1}', 500)
            await write_pieces(writer, b'HTTP/1.1 200 O', whole)

        async with ScriptedUpstream(answer) as upstream, run_client() as client:
            with pytest.raises(aiohttp.ClientError, match='joined'):
                await client.read_load_report(upstream.url, 1.0)

    asyncio.run(run())


async def _call(
    *pieces: bytes | None, forward: bool = False, stream: bool = False
) -> Answered:
    """Return what the caller gets if an upstream writes these pieces.

    None at the end closes the connection.
    """

    async def answer(received, writer):
        await write_pieces(writer, *filter(None, pieces))
        if pieces[-1] is None:
            writer.close()

    async with ScriptedUpstream(answer) as upstream, run_client() as client:
        if not forward:
            return await run_call(client, upstream.url, 'r1', stream=stream)
        answered = Answered()
        call = make_call('r1', answered)
        answered.result = await client.forward(call, upstream.url)
        return answered


@pytest.mark.parametrize('forward', [False, True])
def test_answer_that_begins_again_in_its_body_reaches_no_caller(forward):
    # The length of the first was filled up with the begin of the second.
    whole = _make_answer()
    start = len(whole) - len(_BODY)

    async def run():
        calls = [
            _call(whole[:length], whole, forward=forward)
            for length in range(start, len(whole))
        ]
        return await asyncio.gather(*calls)

    for answered in asyncio.run(run()):
        assert answered.result.status is AttemptStatus.broken
        assert not answered.status


def test_bytes_behind_the_end_break_an_answer_however_they_are_read():
    # They broke it only if they were read together with its head.
    whole = _make_answer() + b'surplus'
    for length in (0, whole.index(_BODY), whole.index(_BODY) + 1):
        answered = asyncio.run(_call(whole[:length], whole[length:]))
        assert answered.result.status is AttemptStatus.broken


# More answers than a connection keeps.
_MANY_ANSWERS = 70


@pytest.mark.parametrize(
    'surplus',
    [b'\r\n', _make_answer(), b'HTTP/1.1 20', _make_answer() * _MANY_ANSWERS],
    ids=['line end', 'copy', 'cut copy', 'many copies'],
)
def test_answer_reaches_its_caller_before_others(surplus):
    # Control: what begins as an answer does not end the one before it.
    whole = _make_answer() + surplus
    for length in (0, whole.index(_BODY), whole.index(_BODY) + 1):
        answered = asyncio.run(_call(whole[:length], whole[length:]))
        assert _is_own(answered)


_UNFRAMED = b'HTTP/1.1 200 OK\r\nX-Cost: 3\r\n\r\n' + _BODY


@pytest.mark.parametrize('forward', [False, True])
def test_answer_without_length_and_a_copy_reach_no_caller_as_one(forward):
    # The copy came before the connection's end, and was taken for its body.
    whole = _make_answer()

    async def run():
        # Shorter begins are no sign of another answer.
        calls = [
            _call(_UNFRAMED, whole[:length], None, forward=forward)
            for length in range(len(b'HTTP/1'), len(whole) + 1)
        ]
        return await asyncio.gather(*calls)

    for answered in asyncio.run(run()):
        assert answered.result.status is AttemptStatus.broken
        assert not answered.status


def test_json_that_begins_again_in_a_later_read_reaches_no_caller():
    # The read ended where the length did, with the second body still to come.
    first = _make_answer(b'{"a":1}' + b' ' * 99).replace(
        b'Server: stand-in', b'Content-Type: application/json'
    )
    cut = first.index(b'{') + 3
    missing_bytes = len(first) - cut
    answered = asyncio.run(
        _call(first[:cut], first[:missing_bytes], first[missing_bytes:])
    )
    assert answered.result.status is AttemptStatus.broken
    assert not answered.status


@pytest.mark.parametrize(
    'whole',
    [
        _UNFRAMED,
        _make_answer(b'HTTP/1.1 200 OK\r\n\r\nin a body with a length'),
        _UNFRAMED + b' over HTTP/1.1, status line "HTTP/1.1 200 OK".\n',
    ],
)
def test_answer_that_speaks_of_http_reaches_its_caller(whole):
    # Control: a status line alone shows no other answer.
    answered = asyncio.run(_call(whole, None))
    assert answered.result.status is AttemptStatus.finished
    assert whole.endswith(b'\r\n\r\n' + answered.body)


_CHUNKED = (
    b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n'
)


@pytest.mark.parametrize('stream', [False, True])
@pytest.mark.parametrize(
    'cut', [b'c\r\nans', b'3\r\nans\r\n'], ids=['within', 'between']
)
def test_answer_that_begins_again_in_chunks_ends_its_attempt(stream, cut):
    # Nobody told the reader of the body that its bytes were malformed.
    whole = _CHUNKED + b'c\r\nanswer to r1\r\n0\r\n\r\n'

    async def run():
        async def answer(received, writer):
            await write_pieces(writer, _CHUNKED + cut, whole)

        async with ScriptedUpstream(answer) as upstream, run_client() as client:
            async with asyncio.timeout(5):
                return await run_call(client, upstream.url, 'r1', stream=stream)

    answered = asyncio.run(run())
    assert answered.result.status is AttemptStatus.broken
    assert not answered.body


_EVENTS = (
    b'data: {"a":"HTTP/1.1 200 OK\\r\\n"}\n\n'
    b'data: {"a":"b"}\n\ndata: [DONE]\n\n'
)


def _make_stream(framing: bytes) -> bytes:
    return b'HTTP/1.1 200 OK\r\n%s\r\n%s' % (framing, _EVENTS)


_FRAMINGS = [b'', b'Content-Length: %d\r\n' % len(_EVENTS)]


@pytest.mark.parametrize('framing', _FRAMINGS, ids=['close', 'length'])
def test_stream_that_begins_again_is_relayed_up_to_there(framing):
    # The head of the second answer came as part of an event.
    whole = _make_stream(framing)
    start = len(whole) - len(_EVENTS)

    async def run():
        calls = [
            _call(whole[:length], whole, None, stream=True)
            for length in range(start, len(whole))
        ]
        return await asyncio.gather(*calls)

    for answered in asyncio.run(run()):
        assert answered.result.status is AttemptStatus.broken
        assert _EVENTS.startswith(answered.body)
        assert not answered.body or answered.body.endswith(b'\n\n')


@pytest.mark.parametrize('copy', [_EVENTS, _make_stream(b'')])
def test_events_behind_done_are_not_relayed(copy):
    # A copy in the same read came as the rest of the stream.
    for pieces in ([_make_stream(b'') + copy], [_make_stream(b''), copy]):
        answered = asyncio.run(_call(*pieces, None, stream=True))
        assert answered.result.status is AttemptStatus.finished
        assert answered.body == _EVENTS


def test_own_interface_gives_no_caller_an_answer_that_begins_again():
    # Control: the length of the first answer would fit more than both heads.
    async def run():
        async def answer(received, writer):
            whole = _make_answer(b'r1' * 32)
            head = whole[: -len(b'r1' * 32)]
            await write_pieces(writer, head + b'r1', whole)

        async with ScriptedUpstream(answer) as upstream, run_client() as client:
            answered = await run_call(client, upstream.url, 'r1')
            assert b'HTTP' not in answered.body

    asyncio.run(run())
