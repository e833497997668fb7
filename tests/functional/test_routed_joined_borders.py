"""Bytes of several answers that look like one, at the borders of the search."""

import asyncio

import pytest

from fakes.stuttering import make_answer, make_head, write_pieces
from fakes.upstream import register_script
from tests.lib.routedfleet import run_routed_fleet


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
