"""Streams that end early, by whatever hand, and must not look complete."""

import asyncio

import pytest

from fakes.cutchunks import make_chunked_stream, register_cut_chunks_script
from fakes.unframedstreams import CUT_AFTER
from fakes.upstream import Run, make_event, make_stream
from tests.lib.cutfleet import run_cut_fleet
from tests.lib.platformdata import (
    build_config,
    build_route_entries,
    build_route_entry,
)
from tests.lib.routedfleet import (
    TERM,
    list_adopted_versions,
    run_routed_fleet,
    wait_until,
)

HELD = ['stream_hold', 'stream_unframed_hold']
GRACE_S = 1


def make_begin(req_id):
    """Return the events of a stream that is cut or held behind them."""
    run = Run('POST', '', {'x-attempt-id': req_id}, b'')
    return b''.join(make_event(run, each) for each in range(1, CUT_AFTER + 1))


def check_cut(answer, req_id):
    assert (answer.status, answer.whole) == (200, False)
    assert answer.body == make_begin(req_id)


@pytest.mark.parametrize('at_once', [False, True])
def test_stream_closed_within_the_framing_of_its_end_is_not_complete(at_once):
    # A close within the framing could be taken for the end that it precedes.
    async def run():
        async with run_routed_fleet(
            app_upstreams=0, scripted_engines=1
        ) as fleet:
            [upstream] = fleet.upstreams.values()
            sample = Run('POST', '', {'x-attempt-id': 'c100'}, b'')
            full = len(make_chunked_stream(sample)[1])
            for length in range(full + 1):
                upstream.default = register_cut_chunks_script(
                    length, at_once=at_once
                )
                req_id = f'c{100 + length}'
                answer = await fleet.call('/stream/', req_id, method='POST')
                assert answer.status == 200, length
                assert answer.whole == (length == full), length
                sent = make_stream(req_id)
                assert answer.body == sent[: len(answer.body)], length
                assert not answer.whole or answer.body == sent

    asyncio.run(run())


async def call_through_helper(path, first, default):
    """Return the answer and the runs of a call at a VM without links."""
    async with run_cut_fleet(nodes=2, service='llm') as cuts:
        await cuts.send_calls(0.5, per_s=15, prefix='a', path=path)
        cuts.cut([0], 'reset')
        await cuts.send_calls(1, per_s=15, prefix='b', path=path)
        first_answer = [first]
        for upstream in cuts.upstreams:
            upstream.answers = first_answer
            upstream.default = default
        answer = await cuts.fleet.call(path, 'c1', method='POST')
        lines = cuts.fleet.nodes[0].list_events('call_handed_off')
        assert 'c1' in {line['req_id'] for line in lines}
        return answer, sum(each.count_runs('c1') for each in cuts.upstreams)


def test_stream_that_a_helper_breaks_off_does_not_look_complete():
    # The VM of the caller sees only how the helper ends its answer.
    answer, runs = asyncio.run(
        call_through_helper('/stream/', 'stream_unframed_crash', 'stream')
    )
    check_cut(answer, 'c1')
    assert runs == 1


@pytest.mark.parametrize('default', ['stream', 'stream_unframed'])
@pytest.mark.parametrize(
    'first', ['stream_unframed_crash', 'stream_unframed_closed']
)
def test_stream_cut_behind_a_helper_goes_on(first, default):
    # Only the helper reaches an upstream that has the rest.
    answer, _ = asyncio.run(call_through_helper('/resume/', first, default))
    assert (answer.status, answer.whole) == (200, True)
    assert answer.body == make_stream('c1')


async def begin_held_call(fleet, path, script):
    """Return a task of a call whose caller has all events but the held ones."""
    for upstream in fleet.upstreams.values():
        upstream.default = script
    received = bytearray()
    call = asyncio.create_task(
        fleet.call(path, 'c1', method='POST', received=received)
    )
    await wait_until(lambda: received == make_begin('c1'))
    return call


@pytest.mark.parametrize('path', ['/stream/', '/resume/'])
@pytest.mark.parametrize('script', HELD)
def test_stream_that_outlasts_the_grace_does_not_look_complete(script, path):
    # The process closes its connections to upstreams and to callers itself.
    async def run():
        async with run_routed_fleet(app_upstreams=0, grace_s=GRACE_S) as fleet:
            call = await begin_held_call(fleet, path, script)
            fleet.nodes[0].signal(TERM)
            check_cut(await call, 'c1')
            # One call was aborted.
            assert await fleet.nodes[0].process.wait() == 1

    asyncio.run(run())


@pytest.mark.parametrize('script', HELD)
def test_stream_of_a_killed_process_does_not_look_complete(script):
    # The kernel closes the connections of callers as well.
    async def run():
        async with run_routed_fleet(app_upstreams=0) as fleet:
            call = await begin_held_call(fleet, '/stream/', script)
            await fleet.nodes[0].stop()
            check_cut(await call, 'c1')

    asyncio.run(run())


@pytest.mark.parametrize('resumes', [False, True])
@pytest.mark.parametrize('script', HELD)
def test_stream_that_times_out_does_not_look_complete(script, resumes):
    # The VM itself cancels the send, and closes the upstream's connection.
    async def run():
        async with run_routed_fleet(app_upstreams=0) as fleet:
            node = fleet.nodes[0]
            brief = {
                'service': 'llm',
                'gap-target-ms': 300,
                'timeout-ms': 1000,
                'stream-resume': resumes,
            }
            routes = [
                *build_route_entries(),
                build_route_entry('brief', 'streaming', **brief),
            ]
            fleet.store.put('op/config', build_config(2, routes=routes))
            await wait_until(lambda: 2 in list_adopted_versions(node))
            call = await begin_held_call(fleet, '/brief/', script)
            check_cut(await call, 'c1')
            await wait_until(lambda: node.list_events('call_ended'))
            [line] = node.list_events('call_ended')
            assert line['outcome'] == 'timeout'

    asyncio.run(run())
