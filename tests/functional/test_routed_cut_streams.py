"""Answers that only the end of their connection ends, and that are cut."""

import asyncio

import pytest

from fakes.unframedstreams import CUT_AFTER
from fakes.upstream import make_stream
from tests.lib.routedfleet import run_routed_fleet


def call_stream(path, first, *, default='stream', reserve=56, **headers):
    """Return the answer and the runs of a stream whose first run is by script.

    Later runs are by the script ``default``; ``reserve`` is the fixed part of
    the retry budget.
    """

    async def run():
        async with run_routed_fleet(
            app_upstreams=0, retry_reserve=reserve
        ) as fleet:
            first_answer = [first]
            for upstream in fleet.upstreams.values():
                upstream.default = default
                upstream.answers = first_answer
            answer = await fleet.call(
                path, 'c1', method='POST', body=b'p', **headers
            )
            return answer, fleet.count_runs('c1')

    return asyncio.run(run())


@pytest.mark.parametrize('default', ['stream', 'stream_unframed'])
@pytest.mark.parametrize(
    'first',
    [
        'stream_unframed_closed',
        'stream_unframed_crash',
        'stream_unframed_restart',
        'stream_identity_reset',
    ],
)
def test_stream_cut_between_events_goes_on_elsewhere(first, default):
    answer, runs = call_stream('/resume/', first, default=default)
    assert (answer.status, answer.whole) == (200, True)
    assert answer.body == make_stream('c1')
    # Two more sends at most are allowed.
    assert runs in {2, 3}


@pytest.mark.parametrize(
    'first', ['stream_unframed_crash', 'stream_identity_reset']
)
def test_cut_stream_that_may_run_once_does_not_look_complete(first):
    answer, runs = call_stream('/stream/', first)
    assert (answer.status, answer.whole, runs) == (200, False, 1)
    assert answer.body == make_stream('c1')[: len(answer.body)]


def test_streams_of_a_restart_do_not_look_complete():
    # The upstream listens on, but all its connections end at one moment.
    async def run():
        async with run_routed_fleet(
            app_upstreams=0, scripted_engines=1
        ) as fleet:
            [upstream] = fleet.upstreams.values()
            upstream.scripts = {
                'c1': 'stream_hold',
                'c2': 'stream_unframed_restart',
            }
            answers = await asyncio.gather(
                *(
                    fleet.call('/stream/', req_id, method='POST', body=b'p')
                    for req_id in upstream.scripts
                )
            )
            assert [each.whole for each in answers] == [False, False]

    asyncio.run(run())


@pytest.mark.parametrize('path', ['/resume/', '/stream/'])
@pytest.mark.parametrize('reserve', [0, 56])
def test_whole_stream_without_chunks_is_complete(path, reserve):
    answer, _ = call_stream(
        path, 'stream_unframed', default='stream_unframed', reserve=reserve
    )
    assert (answer.status, answer.whole) == (200, True)
    assert answer.body == make_stream('c1')


def test_whole_stream_is_complete_if_its_upstream_then_crashes():
    answer, _ = call_stream('/resume/', 'stream_unframed, then crash')
    assert (answer.status, answer.whole) == (200, True)
    assert answer.body == make_stream('c1')


def test_empty_answer_does_not_end_a_stream_that_is_taken_up():
    answer, _ = call_stream(
        '/resume/',
        'stream_unframed_empty',
        Last_Event_Id=str(CUT_AFTER),
        Resumes='c0',
    )
    assert (answer.status, answer.whole) == (200, True)
    assert answer.body == make_stream('c1', CUT_AFTER + 1)


def test_empty_answer_is_no_stream():
    answer, _ = call_stream('/stream/', 'stream_unframed_empty')
    assert answer.status == 502


@pytest.mark.parametrize(
    ('path', 'status', 'runs'), [('/once/', 502, 1), ('/safe/', 200, 2)]
)
def test_body_cut_by_a_crash_does_not_look_complete(path, status, runs):
    async def run():
        async with run_routed_fleet(scripted_engines=0) as fleet:
            first_answer = ['unframed_crash']
            for upstream in fleet.upstreams.values():
                upstream.answers = first_answer
            answer = await fleet.call(path, 'c1', method='POST', body=b'p')
            assert (answer.status, fleet.count_runs('c1')) == (status, runs)
            assert status != 200 or answer.body == b'answer to c1'

    asyncio.run(run())


def test_stream_does_not_look_complete_if_another_took_the_address():
    # The VM stood still while its upstream ended and another one started.
    async def run():
        async with run_routed_fleet(
            app_upstreams=0, scripted_engines=1
        ) as fleet:
            [upstream] = fleet.upstreams.values()
            upstream.default = 'stream_unframed_renamed'
            answer = await fleet.call(
                '/stream/', 'c1', method='POST', body=b'p'
            )
            assert (answer.status, answer.whole) == (200, False)

    asyncio.run(run())
