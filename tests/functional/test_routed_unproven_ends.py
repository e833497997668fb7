"""Ends of streams that may be whole: what is asked, and what it proves."""

import asyncio

import pytest

from fakes.unprovenends import ProbedUpstream
from fakes.upstream import make_stream
from tests.lib.routedfleet import run_routed_fleet


def run_one(test, *, count=1, **options):
    async def run():
        async with run_routed_fleet(
            app_upstreams=0, scripted_engines=0, **options
        ) as fleet:
            for number in range(count):
                upstream = ProbedUpstream(f'i-p{number}', 'stream_unframed')
                await fleet.add_upstream(upstream, 'llm')
            await asyncio.sleep(1.0)
            await test(fleet, list(fleet.upstreams.values()))

    asyncio.run(run())


def post(fleet, path, req_id, **headers):
    return fleet.call(path, req_id, method='POST', body=b'p', **headers)


def test_stream_does_not_look_complete_if_its_upstream_was_born_anew():
    async def test(fleet, upstreams):
        upstreams[0].default = 'closed_and_born_anew'
        answer = await post(fleet, '/stream/', 'c1')
        assert (answer.status, answer.whole) == (200, False)

    run_one(test)


def test_streams_without_chunks_that_end_at_one_moment_are_not_complete():
    async def test(fleet, upstreams):
        upstreams[0].default = 'stream_unframed_hold'
        tasks = [
            asyncio.create_task(post(fleet, '/stream/', f'c{number}'))
            for number in range(3)
        ]
        await asyncio.sleep(0.15)
        upstreams[0].close_connections()
        answers = await asyncio.gather(*tasks)
        assert [each.whole for each in answers] == [False] * 3

    run_one(test)


def test_whole_stream_is_complete_beside_a_connection_too_many():
    async def test(fleet, upstreams):
        upstreams[0].scripts = {
            'c1': 'whole_at_release',
            'c2': 'reset_at_release',
        }
        tasks = [
            asyncio.create_task(post(fleet, '/stream/', req_id))
            for req_id in ('c1', 'c2')
        ]
        await asyncio.sleep(0.15)
        upstreams[0].release.set()
        whole, _ = await asyncio.gather(*tasks)
        assert whole.body == make_stream('c1')
        assert whole.whole

    run_one(test)


def test_whole_stream_is_complete_if_the_probe_is_a_connection_too_many():
    async def test(fleet, upstreams):
        # The stream that goes on shows that the upstream lives.
        upstreams[0].scripts = {'c2': 'stream_hold'}
        other = asyncio.create_task(post(fleet, '/stream/', 'c2'))
        await asyncio.sleep(0.15)
        upstreams[0].resets_probes = True
        answer = await post(fleet, '/stream/', 'c1')
        assert answer.body == make_stream('c1')
        assert answer.whole
        upstreams[0].release.set()
        assert (await other).whole

    run_one(test)


def test_whole_stream_is_complete_if_the_probe_outlasts_the_gap_limit():
    # The upstream that is asked has nothing more, and says so with chunks.
    async def test(fleet, upstreams):
        first_answer = ['stream_unframed']
        for upstream in upstreams:
            upstream.probe_delay_s = 0.95
            upstream.answers = first_answer
            upstream.default = 'stream'
        answer = await post(fleet, '/resume/', 'c1')
        assert answer.body == make_stream('c1')
        assert answer.whole

    run_one(test, count=2)


def test_stream_without_ids_is_not_repeated():
    async def test(fleet, upstreams):
        for upstream in upstreams:
            upstream.default = 'without_ids'
        answer = await post(fleet, '/resume/', 'c1')
        assert answer.body.count(b'data: a') == 1

    run_one(test, count=2)


def test_sound_upstreams_that_are_asked_have_no_broken_sends():
    async def test(fleet, upstreams):
        answers = [
            await post(fleet, '/resume/', f'c{number}') for number in range(8)
        ]
        assert all(each.whole for each in answers)
        await asyncio.sleep(0.2)
        broken = fleet.nodes[0].list_events('send_broken')
        assert not broken

    run_one(test, count=3)


def test_caller_with_all_events_gets_an_end():
    async def test(fleet, upstreams):
        answer = await post(
            fleet, '/resume/', 'c1', Last_Event_Id='6', Resumes='c0'
        )
        assert (answer.status, answer.whole) == (200, True)

    run_one(test, count=3)


def test_whole_stream_is_complete_beside_an_idle_connection_that_closes():
    # An idle timeout below a second is in no Keep-Alive header.
    async def test(fleet, upstreams):
        upstreams[0].scripts = {
            'c1': 'whole_at_release',
            'c2': 'idle_close',
        }
        first = asyncio.create_task(post(fleet, '/stream/', 'c1'))
        await asyncio.sleep(0.1)
        assert (await post(fleet, '/stream/', 'c2')).whole
        await asyncio.sleep(0.1)
        upstreams[0].release.set()
        whole = await first
        assert whole.body == make_stream('c1')
        assert whole.whole

    run_one(test)


def test_whole_stream_ends_though_the_upstream_that_is_asked_hangs():
    async def test(fleet, upstreams):
        first_answer = ['stream_unframed']
        for upstream in upstreams:
            upstream.answers = first_answer
            upstream.default = 'no_answer'
        answer = await post(fleet, '/resume/', 'c1')
        assert answer.body == make_stream('c1')
        assert answer.whole

    run_one(test, count=3)


def test_stream_that_was_relayed_in_time_is_not_cut_by_its_deadline():
    # All events and the end came before it; only the probe lasts longer.
    async def test(fleet, upstreams):
        upstreams[0].probe_delay_s = 0.9
        answer = await post(fleet, '/stream/', 'c1', X_Deadline_Ms='800')
        assert answer.body == make_stream('c1')
        assert answer.whole

    run_one(test)


@pytest.mark.parametrize('side', ['before', 'behind'])
def test_coding_that_the_library_does_not_read_ends_no_stream(side):
    async def test(fleet, upstreams):
        upstreams[0].default = f'tab_{side}_coding'
        answer = await post(fleet, '/stream/', 'c1')
        assert not (answer.status == 200 and answer.whole)

    run_one(test)


@pytest.mark.parametrize('default', ['error', 'no_answer'])
def test_empty_answer_alone_does_not_end_a_stream_that_is_taken_up(default):
    async def test(fleet, upstreams):
        first_answer = ['stream_unframed_empty']
        for upstream in upstreams:
            upstream.answers = first_answer
            upstream.default = default
        answer = await post(
            fleet, '/resume/', 'c1', Last_Event_Id='3', Resumes='c0'
        )
        assert answer.status in {500, 502, 504}

    run_one(test, count=2)


@pytest.mark.xfail(reason='KNOWN-RED.txt, 71', strict=True)
@pytest.mark.parametrize(
    ('path', 'default'), [('/stream/', 'stream'), ('/resume/', 'error')]
)
def test_stream_that_a_living_upstream_closes_does_not_look_complete(
    path, default
):
    async def test(fleet, upstreams):
        first_answer = ['stream_unframed_closed']
        for upstream in upstreams:
            upstream.answers = first_answer
            upstream.default = default
        answer = await post(fleet, path, 'c1')
        assert answer.body == make_stream('c1') or not answer.whole

    run_one(test, count=2)
