"""Streams of routing processes whose engines run two software versions."""

import asyncio
import contextlib

from fakes.upstream import UpstreamStandIn, make_stream
from tests.lib.cutfleet import run_cut_fleet
from tests.lib.routedfleet import run_routed_fleet, wait_until

VERSIONS = ('v1', 'v2')
ENGINES_PER_VERSION = 2
STREAMS = 16
# Time for a change of the store or of a process to be known.
NOTICE_S = 0.5
# The id of the last whole event of a stream that was broken off.
LAST_EVENT_ID = 3


@contextlib.asynccontextmanager
async def run_fleet_of_two_versions(**settings):
    """Run processes before engines of two software versions."""
    async with run_routed_fleet(
        app_upstreams=0, scripted_engines=0, **settings
    ) as fleet:
        for version in VERSIONS:
            for number in range(ENGINES_PER_VERSION):
                engine = UpstreamStandIn(f'i-{version}-{number}', 'stream')
                await fleet.add_upstream(
                    engine, 'llm', version=version, slots=64
                )
        await wait_until(lambda: all(map(knows_all_engines, fleet.nodes)))
        try:
            yield fleet
        finally:
            for engine in fleet.upstreams.values():
                await engine.stop()


def knows_all_engines(node):
    listed = node.list_events('upstream_listed')
    return len(listed) >= len(VERSIONS) * ENGINES_PER_VERSION


def find_versions(fleet, *req_ids):
    """Return the software versions at which the calls ran."""
    return {
        instance.split('-')[1]
        for instance, upstream in fleet.upstreams.items()
        if any(upstream.count_runs(each) for each in req_ids)
    }


def set_answers(upstreams, script):
    for upstream in upstreams:
        upstream.default = script


async def open_streams(fleet, count, upstreams):
    """Send streaming calls that engines hold after three events."""
    set_answers(upstreams, 'stream_hold')
    tasks = []
    for number in range(count):
        call = fleet.call('/draft/', f's{number}', method='POST')
        tasks.append(asyncio.create_task(call))
    await asyncio.sleep(NOTICE_S)
    set_answers(upstreams, 'stream')
    return tasks


def test_broken_streams_go_on_at_the_software_version_that_began_them():
    """They went on at any engine, in the same answer."""

    async def run():
        async with run_fleet_of_two_versions() as fleet:
            set_answers(fleet.upstreams.values(), 'stream_cut_once')
            for number in range(STREAMS):
                req_id = f's{number}'
                answer = await fleet.call('/draft/', req_id, method='POST')
                assert len(find_versions(fleet, req_id)) == 1
                assert answer.whole
                assert answer.body == make_stream(req_id)

    asyncio.run(run())


def test_streams_taken_up_at_another_process_go_on_at_their_software_version():
    """Only the process that had begun a stream knew its version."""

    async def run():
        async with run_fleet_of_two_versions(nodes=3) as fleet:
            tasks = await open_streams(fleet, STREAMS, fleet.upstreams.values())
            fleet.nodes[0].signal(9)
            begun = await asyncio.gather(*tasks)
            assert not any(answer.whole for answer in begun)
            began_at = set()
            for number in range(STREAMS):
                req_id = f'r{number}'
                answer = await fleet.call(
                    '/draft/',
                    req_id,
                    node=1 + number % 2,
                    method='POST',
                    Last_Event_Id=str(LAST_EVENT_ID),
                    Resumes=f's{number}',
                )
                versions = find_versions(fleet, f's{number}', req_id)
                assert len(versions) == 1
                began_at |= versions
                rest = make_stream(req_id, LAST_EVENT_ID + 1)
                assert answer.status == 200
                assert answer.body == rest
            assert began_at == set(VERSIONS)

    asyncio.run(run())


def test_stream_whose_software_version_is_gone_is_refused_as_not_run():
    """It went on at the version that was left."""

    async def run():
        async with run_fleet_of_two_versions(nodes=2) as fleet:
            tasks = await open_streams(fleet, STREAMS, fleet.upstreams.values())
            for instance, upstream in fleet.upstreams.items():
                if '-v1-' in instance:
                    fleet.store.delete(f'servers/{instance}')
                    await upstream.stop()
            fleet.nodes[0].signal(9)
            await asyncio.gather(*tasks)
            await asyncio.sleep(NOTICE_S)
            for number in range(STREAMS):
                began_at = find_versions(fleet, f's{number}')
                req_id = f'r{number}'
                answer = await fleet.call(
                    '/draft/',
                    req_id,
                    node=1,
                    method='POST',
                    Last_Event_Id=str(LAST_EVENT_ID),
                    Resumes=f's{number}',
                )
                assert answer.status == (503 if 'v1' in began_at else 200)
                assert find_versions(fleet, f's{number}', req_id) == began_at

    asyncio.run(run())


def test_streams_handed_off_in_the_middle_go_on_at_their_software_version():
    """A helper asks for the stream of the call that it takes over."""

    async def run():
        async with run_cut_fleet(
            nodes=3, service='llm', versions=VERSIONS
        ) as cuts:
            tasks = await open_streams(cuts.fleet, STREAMS, cuts.upstreams)
            cuts.cut([0], 'reset')
            answers = await asyncio.gather(*tasks)
            gone_on = 0
            for number, answer in enumerate(answers):
                ran_at = [
                    version
                    for upstream, version in zip(
                        cuts.upstreams, VERSIONS * 2, strict=True
                    )
                    for _ in range(upstream.count_runs(f's{number}'))
                ]
                assert len(set(ran_at)) == 1
                gone_on += len(ran_at) > 1
                assert not answer.whole or answer.body == make_stream(
                    f's{number}'
                )
            handed_off = cuts.fleet.nodes[0].list_events('call_handed_off')
            assert any(line['last_event_id'] for line in handed_off)
            assert gone_on

    asyncio.run(run())
