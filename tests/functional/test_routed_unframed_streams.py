"""Streams of upstreams that end with their connection."""

import asyncio

import pytest

from fakes.upstream import make_stream
from tests.lib.routedfleet import run_routed_fleet


def call_stream(path, script):
    """Return the answer, and the runs, if the first run is by ``script``."""

    async def run():
        async with run_routed_fleet(app_upstreams=0) as fleet:
            first_answer = [script]
            for upstream in fleet.upstreams.values():
                upstream.default = 'stream_unframed'
                upstream.answers = first_answer
            answer = await fleet.call(path, 'c1', method='POST', body=b'p')
            return answer, fleet.count_runs('c1')

    return asyncio.run(run())


def test_stream_that_ends_with_its_connection_is_complete():
    answer, runs = call_stream('/stream/', 'stream_unframed')
    assert (answer.status, answer.whole, runs) == (200, True, 1)
    assert answer.body == make_stream('c1')


@pytest.mark.parametrize(
    'script', ['stream_unframed_cut', 'stream_unframed_reset']
)
def test_stream_broken_off_within_its_connection_does_not_look_complete(script):
    answer, runs = call_stream('/stream/', script)
    assert (answer.status, answer.whole, runs) == (200, False, 1)
    assert answer.body == make_stream('c1')[: len(answer.body)]


def test_stream_that_ends_within_an_event_is_resumed():
    answer, runs = call_stream('/resume/', 'stream_unframed_cut')
    assert (answer.status, answer.whole, runs) == (200, True, 2)
    assert answer.body == make_stream('c1')
