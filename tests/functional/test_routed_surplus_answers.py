"""Answers too many that arrive where the answer to another send is due."""

import asyncio
import contextlib

import pytest

from fakes.surplus import CopyingUpstream
from fakes.upstream import UpstreamStandIn
from tests.lib.platformdata import build_server_entry
from tests.lib.routedfleet import run_routed_fleet, wait_until

_MARGIN_S = 0.1


async def list_upstream(fleet, instance, address, service):
    """Write an entry and wait until the process uses it."""
    entry = build_server_entry(service=service, address=address)
    fleet.store.put(f'servers/{instance}', entry)
    await wait_for_listing(fleet, instance)


async def wait_for_listing(fleet, instance):
    """Wait until the process has read an entry."""
    node = fleet.nodes[0]
    await wait_until(
        lambda: any(
            line['upstream'] == instance
            for line in node.list_events('upstream_listed')
        )
    )
    await asyncio.sleep(_MARGIN_S)


@contextlib.asynccontextmanager
async def run_moved_fleet(service, script):
    """Run one upstream with a new id; its entry still has the old one."""
    async with run_routed_fleet(scripted_engines=0, app_upstreams=0) as fleet:
        moved = CopyingUpstream('i-after', default=script)
        await moved.start()
        try:
            fleet.upstreams['i-after'] = moved
            await list_upstream(fleet, 'i-before', moved.address, service)
            yield fleet, moved
        finally:
            for upstream in fleet.upstreams.values():
                await upstream.stop()


def start_copying(moved):
    """Let an upstream refuse and copy without waiting, whatever its id."""
    moved.answers_any = True
    moved.answer_refusal.set()
    moved.send_copy.set()


@pytest.mark.parametrize('others', [0, 1])
def test_copy_of_misdirected_answer_ends_no_later_send(others):
    # An upstream's copy of its 421 ended the send that it was running.
    async def run():
        async with run_moved_fleet('app', 'whole') as (fleet, moved):
            call = asyncio.create_task(
                fleet.call('/once/', 'm1', method='POST')
            )
            await wait_until(lambda: moved.refused_at)
            await list_upstream(fleet, 'i-after', moved.address, 'app')
            moved.answer_refusal.set()
            await wait_until(lambda: moved.runs)
            for number in range(others):
                other = UpstreamStandIn(f'i-other{number}')
                await fleet.add_upstream(other, 'app')
                await wait_for_listing(fleet, other.instance)
            moved.send_copy.set()
            resp = await call
            assert fleet.count_runs('m1') == 1
            assert resp.status == 200
            assert resp.headers['x-response-seal'] == 'seal-of-m1'

    asyncio.run(run())


@pytest.mark.parametrize('status', ['421', '429', '503'])
@pytest.mark.parametrize(
    ('path', 'service', 'script'),
    [('/safe/', 'app', 'whole'), ('/resume/', 'llm', 'stream')],
)
def test_copy_of_refusal_ends_no_send_to_the_same_address(
    path, service, script, status
):
    # The next send went to another id on the same connection.
    async def run():
        async with run_moved_fleet(service, script) as (fleet, moved):
            start_copying(moved)
            await list_upstream(fleet, 'i-after', moved.address, service)
            moved.answers.append(status)
            resp = await fleet.call(path, 'm1', method='POST')
            assert moved.refusals == 1
            assert fleet.count_runs('m1') == 1
            assert resp.status == 200
            assert resp.whole

    asyncio.run(run())


@pytest.mark.parametrize('status', ['429', '503'])
def test_copy_of_refusal_ends_no_call_that_comes_again(status):
    # A caller that used its id again got the copy, and its call ran.
    async def run():
        async with run_moved_fleet('app', 'whole') as (fleet, moved):
            start_copying(moved)
            moved.answers.append(status)
            first = await fleet.call('/once/', 'm1', method='POST')
            assert first.status == 503
            again = await fleet.call('/once/', 'm1', method='POST')
            assert fleet.count_runs('m1') == 1
            assert again.status == 200

    asyncio.run(run())


@pytest.mark.parametrize('path', ['/safe/', '/once/'])
def test_sound_answer_behind_a_copy_reaches_its_caller(path):
    # The connection was closed at the copy, and the call failed.
    async def run():
        async with run_moved_fleet('app', 'whole') as (fleet, moved):
            start_copying(moved)
            moved.answers.append('503')
            refused = await fleet.call('/once/', 'm1', method='POST')
            assert refused.status == 503
            resp = await fleet.call(path, 'm2', method='POST')
            assert moved.copies == 1
            assert fleet.count_runs('m2') == 1
            assert resp.status == 200
            assert resp.body == b'answer to m2'

    asyncio.run(run())


@pytest.mark.parametrize('path', ['/safe/', '/once/'])
def test_answer_that_names_no_call_reaches_no_caller(path):
    # A safe call took an answer without an id for its own.
    async def run():
        async with run_routed_fleet(
            scripted_engines=0, app_upstreams=1
        ) as fleet:
            upstream = fleet.upstreams['i-app0']
            upstream.answers.append('unnamed')
            resp = await fleet.call(path, 'u1', method='POST')
            assert resp.status == 502
            assert resp.body != b'other'
            later = await fleet.call(path, 'u2', method='POST')
            assert later.status == 200

    asyncio.run(run())
