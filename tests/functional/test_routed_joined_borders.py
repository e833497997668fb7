"""Bytes of several answers that look like one, at the borders of the search."""

import asyncio

import pytest

from fakes.stuttering import make_answer, make_head, write_pieces
from fakes.upstream import (
    STREAM_EVENT_COUNT,
    make_body,
    make_event,
    make_stream,
    register_script,
)
from tests.lib.cutfleet import run_cut_fleet
from tests.lib.routedfleet import run_routed_fleet

_KNOWN_RED_52 = pytest.mark.xfail(reason='KNOWN-RED.txt, 52', strict=True)
_KNOWN_RED_54 = pytest.mark.xfail(reason='KNOWN-RED.txt, 54', strict=True)


async def _call_once(path, script, req_id='c1', **options):
    """Return the answer to a call that gets a script at one upstream."""
    async with run_routed_fleet(scripted_engines=0, app_upstreams=1) as fleet:
        fleet.upstreams['i-app0'].scripts[req_id] = script
        return await fleet.call(path, req_id, method='POST', **options)


def _register(name, make_pieces, *, closes=False):
    """Register an answer in pieces, which a function makes of its run."""

    @register_script(name)
    async def answer_in_pieces(upstream, run, writer):
        await write_pieces(writer, *make_pieces(run))
        if closes:
            writer.close()

    return name


def test_body_of_blanks_behind_an_id_keeps_no_vm_busy():
    # The search for an id took the cube of the blanks behind its name.
    body = b'HTTP/1.1 200 OK\nX-Attempt-Id:' + b' ' * 16_000
    script = _register('blanks', lambda run: [make_answer(run, body=body)])
    answer = asyncio.run(_call_once('/safe/', script))
    assert (answer.status, answer.body) == (200, body)


def test_long_body_ends_within_a_head_before_its_caller_has_it_all():
    # A body too long to be held back was whole at its caller before the doubt.
    long_body = b'x' * 1_500_000

    def make_pieces(run):
        answer = make_answer(run, body=long_body)
        return answer[:-4], answer

    script = _register('long, begun again', make_pieces)
    answer = asyncio.run(_call_once('/safe/', script))
    assert not answer.whole


def test_long_body_that_ends_like_a_head_arrives_whole():
    long_body = b'x' * 1_500_000 + b'HTTP'
    script = _register(
        'long, ends like a head',
        lambda run: [make_answer(run, body=long_body)],
    )
    answer = asyncio.run(_call_once('/safe/', script))
    assert (answer.status, answer.whole) == (200, True)
    assert answer.body == long_body


@pytest.mark.parametrize(
    'first',
    [b'f\r\nanswer', b'6\r\nanswer\r\n', b'6\r\nanswer\r\n0\r\n'],
)
def test_chunks_that_another_answer_breaks_end_their_call_at_once(first):
    # Nobody told the reader of the body: it waited until the call's deadline.
    def make_pieces(run):
        head = make_head(run, **{'Transfer-Encoding': 'chunked'})
        return head + first, make_answer(run)

    script = _register(f'chunks broken after {first}', make_pieces)
    answer = asyncio.run(_call_once('/safe/', script))
    assert (answer.status, answer.body) == (502, b'upstream_broken')


_TEXT = b'x' * 400
_RESTS = (30, 60, 300)


@pytest.mark.parametrize('rest', _RESTS)
@pytest.mark.parametrize(
    'status_line',
    [
        b'HTTP/1.1 200 Scripted',
        b'HTTP/1.1 200 OK (mostly), sir.',
        b'HTTP/1.1 200 \xc3\xa9tat',
        b'HTTP/1.1 200 ' + b'x' * 140,
    ],
)
def test_answer_that_begins_again_with_any_reason_is_not_taken_for_one(
    status_line, rest
):
    # A head was not known by its begin if its reason is an odd one.
    def make_pieces(run):
        answer = make_answer(run, body=_TEXT)
        _, line_end, others = answer.partition(b'\r\n')
        return answer[:-rest], status_line + line_end + others

    script = _register(f'begun again with {status_line}, {rest}', make_pieces)
    answer = asyncio.run(_call_once('/safe/', script))
    assert (answer.status, answer.body) == (502, b'upstream_broken')


def test_text_that_quotes_a_head_is_sound_however_odd_its_reason():
    text = b'It said "HTTP/1.1 503 Full (9 of 9)\r\nServer: s\r\n\r\n" again.'
    script = _register('quoted', lambda run: [make_answer(run, body=text)])
    answer = asyncio.run(_call_once('/once/', script))
    assert (answer.status, answer.body) == (200, text)


@pytest.mark.xfail(reason='KNOWN-RED.txt, 51', strict=True)
def test_answer_that_begins_again_bit_by_bit_is_not_taken_for_one():
    # The bytes that tell come later than the wait for them.
    def make_pieces(run):
        answer = make_answer(run)
        return answer[:-8], answer[:8], *[b''] * 20, answer[8:]

    script = _register('begun again bit by bit', make_pieces)
    answer = asyncio.run(_call_once('/once/', script))
    assert (answer.status, answer.body) == (502, b'upstream_broken')


@pytest.mark.parametrize('reason', [b'Scripted', b'OK (mostly)'])
@pytest.mark.parametrize(
    'length',
    [pytest.param(3, marks=_KNOWN_RED_52), 4, 16, 32],
)
def test_cut_copy_before_the_end_of_a_connection_is_no_part_of_a_body(
    length, reason
):
    # Too few bytes, or an odd reason, were taken for text.
    def make_pieces(run):
        head = make_head(run, Connection='close')
        copy = make_answer(run).replace(b'Scripted', reason)
        return head + make_body(run), copy[:length]

    name = f'unframed, copy with {reason} cut after {length}'
    script = _register(name, make_pieces, closes=True)
    answer = asyncio.run(_call_once('/once/', script))
    assert (answer.status, answer.body) == (502, b'upstream_broken')


@pytest.mark.parametrize('end', [b'', b'H', b'HTTP/1.1 404 Not Found.'])
def test_sound_text_before_the_end_of_a_connection_arrives(end):
    _check_unframed_text(b'text ' + end)


@pytest.mark.xfail(reason='KNOWN-RED.txt, 53', strict=True)
def test_sound_text_that_ends_with_a_protocol_and_its_connection_arrives():
    # Such a text is doubted, and a call that may run once gets 502.
    _check_unframed_text(b'It is a header of HTTP')


def _check_unframed_text(text):
    script = _register(
        f'unframed {text}',
        lambda run: [make_head(run, Connection='close') + text],
        closes=True,
    )
    answer = asyncio.run(_call_once('/once/', script))
    assert (answer.status, answer.body) == (200, text)


@pytest.mark.parametrize(
    ('text', 'pieces'),
    [
        (b'text', 3),
        (b'text', 2),
        pytest.param(b'text', 1, marks=_KNOWN_RED_54),
        pytest.param(b'It ends with an H', 2, marks=_KNOWN_RED_54),
    ],
)
def test_junk_behind_a_sound_answer_spares_it(text, pieces):
    # The parser loses a head of the same read; junk behind "H" is no "TTP".
    def make_pieces(run):
        head, body = make_answer(run, body=text)[: -len(text)], text
        if pieces == 1:
            return [head + body + b'junk']
        return [head, body + b'junk'] if pieces == 2 else [head, body, b'junk']

    script = _register(f'{text}, junk in piece {pieces}', make_pieces)
    answer = asyncio.run(_call_once('/once/', script))
    assert (answer.status, answer.body) == (200, text)


@pytest.mark.parametrize('length', [40, 70, 100])
def test_stream_of_chunks_that_begins_again_goes_on_elsewhere(length):
    def make_pieces(run):
        first = int(run.headers.get('last-event-id', 0)) + 1
        numbers = range(first, STREAM_EVENT_COUNT + 1)
        events = [make_event(run, number) for number in numbers]
        chunks = [b'%x\r\n%s\r\n' % (len(each), each) for each in events]
        head = make_head(run, **{'Transfer-Encoding': 'chunked'})
        answer = head + b''.join(chunks) + b'0\r\n\r\n'
        return [answer] if first > 1 else [answer[: len(head) + length], answer]

    script = _register(f'chunks of a stream, {length}', make_pieces)

    async def run():
        async with run_routed_fleet(app_upstreams=0) as fleet:
            for upstream in fleet.upstreams.values():
                upstream.default = script
            return await fleet.call('/resume/', 'c1', method='POST', body=b'p')

    answer = asyncio.run(run())
    assert (answer.status, answer.whole) == (200, True)
    assert answer.body == make_stream('c1')


def test_answer_that_begins_again_at_a_helper_is_not_taken_for_one():
    script = _register(
        'begun again at a helper',
        lambda run: [make_answer(run)[:-4], make_answer(run)],
    )

    async def run():
        async with run_cut_fleet(nodes=2) as cuts:
            await cuts.send_calls(1.0, per_s=10, prefix='a')
            cuts.cut((0,), 'reset')
            await cuts.send_calls(2.5, per_s=10, prefix='b')
            for upstream in cuts.upstreams:
                upstream.scripts['c1'] = script
            answer = await cuts.fleet.call('/once/', 'c1', method='POST')
            assert any(each.count_runs('c1') for each in cuts.upstreams)
            return answer

    answer = asyncio.run(run())
    assert (answer.status, answer.body) == (502, b'upstream_broken')
