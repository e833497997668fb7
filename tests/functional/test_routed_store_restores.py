"""Routing processes whose store comes back from a copy some seconds old.

The store is away for a moment and loses what was written after the copy. The
operator and the upstreams write theirs again, one by one.
"""

import asyncio
import contextlib

import pytest

from tests.lib.platformdata import (
    build_config,
    build_route_entries,
    build_route_entry,
)
from tests.lib.routedfleet import run_routed_fleet, wait_until


def build_config_with_added_route(version):
    routes = [*build_route_entries(), build_route_entry('added', 'safe')]
    return build_config(version, routes=routes)


def list_adopted_versions(node):
    return [line['version'] for line in node.list_events('routes_adopted')]


def write_upstreams_again(fleet, sequence, *, times=1):
    """Let all upstreams write their entries, each with the next sequence."""
    for number in range(times):
        for instance in fleet.upstreams:
            fleet.write_upstream_entry(
                instance, 'app', sequence=sequence + number
            )


@contextlib.asynccontextmanager
async def restore_store(fleet, copy):
    """Let the store be away and come back from a copy.

    What the body of the context writes is in the store before any process
    reaches it again.
    """
    await fleet.store.stop()
    for node in fleet.nodes:
        await wait_until(lambda node=node: node.list_events('store_lost'))
    fleet.store.restore(copy)
    yield
    await fleet.store.start()


@pytest.mark.parametrize('era', [1, None])
def test_change_written_below_the_revision_of_a_watch_is_adopted(era):
    """The watch went on from a revision that was given out again."""

    async def run():
        async with run_routed_fleet(scripted_engines=0) as fleet:
            [node] = fleet.nodes
            fleet.store.era = era
            copy = fleet.store.make_copy()
            write_upstreams_again(fleet, 2, times=3)
            fleet.store.put('op/config', build_config(3))
            await wait_until(lambda: 3 in list_adopted_versions(node))
            async with restore_store(fleet, copy):
                fleet.store.put('op/config', build_config_with_added_route(7))
                write_upstreams_again(fleet, 5, times=9)
            await wait_until(lambda: 7 in list_adopted_versions(node))
            assert (await fleet.call('/added/', 'c1')).status == 200

    asyncio.run(run())


@pytest.mark.parametrize('downtime_s', [0, 1.5])
def test_process_started_from_an_older_copy_serves_the_version_of_its_peer(
    downtime_s,
):
    """It reached the store, took the copy for the present and asked no peer.

    After a downtime its peer tried seldom to reconnect.
    """

    async def run():
        async with run_routed_fleet(scripted_engines=0, nodes=2) as fleet:
            peer, restarted = fleet.nodes
            copy = fleet.store.make_copy()
            fleet.store.put('op/config', build_config_with_added_route(7))
            await wait_until(lambda: 7 in list_adopted_versions(peer))
            await restarted.stop()
            restarted.log_lines.clear()
            await asyncio.sleep(downtime_s)
            fleet.store.restore(copy)
            await restarted.start()
            await fleet.wait_ready()
            assert (await fleet.call('/added/', 'c1', node=1)).status == 200
            assert list_adopted_versions(restarted)[-1] == 7

    asyncio.run(run())
