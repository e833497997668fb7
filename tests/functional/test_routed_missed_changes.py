"""Processes whose store does not answer for a while."""

import asyncio

from fakes.upstream import UpstreamStandIn, make_stream
from tests.lib.routedfleet import run_routed_fleet, wait_until

# The id of the last event that a caller has.
LAST_EVENT_ID = 3


async def miss_changes(fleet, node, change):
    """Let a store turn a process away while its upstreams change."""
    fleet.store.refused[node.ip] = 503
    # The watch that is under way answers before it is refused.
    change()
    await wait_until(lambda: node.list_events('store_lost'))
    change()
    fleet.store.refused.clear()
    await wait_until(lambda: len(node.list_events('store_back')) > 2)


async def find_judged(node):
    await wait_until(lambda: node.list_events('origin_judged'))
    [judged] = node.list_events('origin_judged')
    return judged


async def take_up_unknown_stream(fleet):
    """Take a stream up of which no process has a record."""
    return await fleet.call(
        '/draft/',
        'again',
        method='POST',
        Last_Event_Id=str(LAST_EVENT_ID),
        Resumes='of-nobody',
    )


def test_process_reads_which_versions_came_and_went_while_the_store_was_away():
    """A new list does not show them."""

    async def run():
        async with run_routed_fleet(scripted_engines=2) as fleet:
            [node] = fleet.nodes
            engine = UpstreamStandIn('i-new', 'stream')
            await engine.start()
            fleet.upstreams['i-new'] = engine

            def come_and_go():
                fleet.write_upstream_entry('i-new', 'llm', version='v9')
                fleet.store.delete('servers/i-new')

            await miss_changes(fleet, node, come_and_go)
            answer = await take_up_unknown_stream(fleet)
            assert answer.status == 503
            judged = await find_judged(node)
            assert judged['list_verdict'] == 'several'
            assert judged['complete_lists'] == 1
            await engine.stop()

    asyncio.run(run())


def test_process_goes_on_by_its_list_once_it_has_read_what_it_missed():
    async def run():
        async with run_routed_fleet(scripted_engines=2) as fleet:
            [node] = fleet.nodes
            await miss_changes(fleet, node, lambda: None)
            answer = await take_up_unknown_stream(fleet)
            assert answer.status == 200
            assert answer.body == make_stream('again', LAST_EVENT_ID + 1)
            judged = await find_judged(node)
            assert judged['basis'] == 'proven by own list'

    asyncio.run(run())
