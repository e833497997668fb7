"""Upstreams that stutter: bytes of several answers that look like one."""

import asyncio

import pytest

from fakes.stuttering import (
    make_answer,
    register_begun_again,
    register_cut_copy,
    register_stuttering_stream,
    register_unframed_copy,
)
from fakes.upstream import Run, make_stream
from tests.lib.routedfleet import run_routed_fleet

_CALLS_AT_ONCE = 24


def _list_lengths(step=1):
    """Return the lengths after which an answer can be cut."""
    run = Run('', '', {'x-attempt-id': 'c0000'}, b'')
    return range(1, len(make_answer(run)), step)


async def _call(fleet, path, number, script, limit):
    """Send a call that gets a script; return why the answer is mixed."""
    async with limit:
        upstream = fleet.upstreams['i-app0']
        req_id = f'c{number:04}'
        upstream.scripts[req_id] = script
        resp = await fleet.call(path, req_id, method='POST')
    return req_id, resp


async def _call_all(path, scripts):
    """Send a call for each script; return the answers by script."""
    async with run_routed_fleet(scripted_engines=0, app_upstreams=1) as fleet:
        limit = asyncio.Semaphore(_CALLS_AT_ONCE)
        calls = [
            _call(fleet, path, number, script, limit)
            for number, script in enumerate(scripts)
        ]
        answered = await asyncio.gather(*calls)
    return dict(zip(scripts, answered, strict=True))


def _check_all(path, scripts, status=200):
    """Check that each caller gets its own answer, or the router's failure."""
    answers = asyncio.run(_call_all(path, [*scripts, 'sound']))
    assert not _list_mixed(answers, status)
    req_id, resp = answers['sound']
    assert (resp.status, resp.body) == (200, f'answer to {req_id}'.encode())


def _list_mixed(answers, status=200):
    """Return the scripts whose caller got a whole answer but the right one."""
    mixed = {}
    for script, (req_id, resp) in answers.items():
        if script == 'sound':
            continue
        own = (
            resp.status == status
            and resp.body == f'answer to {req_id}'.encode()
            and resp.headers['x-response-seal'] == f'seal-of-{req_id}'
            and resp.headers['server'] == 'stand-in'
        )
        if 'x-response-seal' in resp.headers and resp.whole and not own:
            mixed[script] = (resp.status, resp.headers, resp.body)
    return mixed


@pytest.mark.parametrize('path', ['/safe/', '/once/'])
@pytest.mark.parametrize(
    ('status', 'next_status'), [(500, 200), (200, 500), (503, 200), (204, 200)]
)
def test_head_that_joins_two_answers_reaches_no_caller(
    path, status, next_status
):
    # The cut copy's status came with the headers and body of the answer.
    scripts = [
        register_cut_copy(status, length, next_status)
        for length in _list_lengths()
    ]
    _check_all(path, scripts, next_status)


@pytest.mark.parametrize('path', ['/safe/', '/once/'])
def test_answer_that_begins_again_is_not_taken_for_one(path):
    # The second answer filled up the length of the first one.
    scripts = [register_begun_again(length) for length in _list_lengths()]
    _check_all(path, scripts)


@pytest.mark.parametrize('path', ['/safe/', '/once/'])
def test_answer_before_the_end_of_a_connection_is_no_part_of_another(path):
    # Two answers were relayed as the body of the first one.
    lengths = [None, *range(4, max(_list_lengths()))]
    scripts = [register_unframed_copy(length) for length in lengths]
    _check_all(path, scripts)


def _call_stream(path, script):
    async def run():
        async with run_routed_fleet(app_upstreams=0) as fleet:
            first_answer = [script]
            for upstream in fleet.upstreams.values():
                upstream.default = 'stream_unframed'
                upstream.answers = first_answer
            return await fleet.call(path, 'c1', method='POST', body=b'p')

    return asyncio.run(run())


@pytest.mark.parametrize('path', ['/stream/', '/resume/'])
@pytest.mark.parametrize(
    'script',
    [
        'plain answer among events',
        'stream of another call, by length',
        *(
            register_stuttering_stream(
                framed=framed, events=events, length=length
            )
            for framed in (True, False)
            for events, length in ((0, 1), (0, 8), (3, 0), (3, 8))
        ),
    ],
)
def test_stream_has_no_bytes_of_another_answer(path, script):
    # The head of an answer stood among the events of a stream.
    answer = _call_stream(path, script)
    expected = make_stream('c1')
    if path == '/resume/':
        assert (answer.status, answer.body) == (200, expected)
        assert answer.whole
    elif answer.status == 200:
        assert expected.startswith(answer.body)
        assert not answer.whole
    else:
        # Nothing of it was relayed.
        assert answer.status == 502
        assert 'x-response-seal' not in answer.headers
