"""Routing processes that find each other through the seeds."""

import asyncio

from tests.lib.routedfleet import WAIT_TIMEOUT_S, run_routed_fleet

NODES = 5


async def wait_for_metric(fleet, line):
    """Wait until the metrics of each process have a line."""
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        for node in fleet.nodes:
            while line not in await node.read_metrics(fleet.session):
                await asyncio.sleep(0.1)


def test_processes_that_know_one_seed_find_all_others():
    """The only introduction went out before its connection was open."""

    async def check():
        async with run_routed_fleet(nodes=NODES, seeds=1) as fleet:
            await wait_for_metric(
                fleet, f'bilberryspoke_known_peers {NODES - 1}'
            )

    asyncio.run(check())
