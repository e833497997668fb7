"""Entries of other writers among those of the upstreams."""

import asyncio

import pytest

from tests.lib.platformdata import build_config, build_server_entry
from tests.lib.routedfleet import run_routed_fleet, wait_until

# Longer than it takes processes to read a change of the store.
SETTLE_S = 2.0
CALLS_PER_S = 30
# The deployment allows no call to an upstream later than this after its entry
# was removed.
DRAIN_S = 2.0
NESTED = b'{"extra":' + b'[' * 20_000


async def count_failed(fleet, prefix):
    answers = await fleet.send_calls(1.0, per_s=CALLS_PER_S, prefix=prefix)
    return sum(answer.status != 200 for answer in answers)


def has_ended(node):
    return node.process.returncode is not None


def build_odd_entry(**changes):
    return build_server_entry(service='elsewhere', **changes)


@pytest.mark.parametrize(
    'entry',
    [
        NESTED,
        build_odd_entry(slots=10**30),
        build_odd_entry(sequence=10**30),
        build_odd_entry(born=10**30),
        build_odd_entry(**{'cold-remaining-ms': 1e308}),
        build_server_entry(address='127.0.0.1:70000'),
        build_server_entry(address='127.0.0.1:0'),
        build_server_entry(address='127.0.0.1:\u00b2'),
        build_server_entry(address='a/b c:80'),
    ],
    ids=[
        'nested',
        'slots',
        'sequence',
        'born',
        'warm-up',
        'port too large',
        'port 0',
        'port no number',
        'host no name',
    ],
)
def test_processes_go_on_beside_an_odd_entry(entry):
    """One unreadable entry ended all processes, again after each start."""

    async def run():
        async with run_routed_fleet(scripted_engines=0, nodes=3) as fleet:
            fleet.store.put('servers/i-odd', entry)
            await asyncio.sleep(SETTLE_S)
            assert not await count_failed(fleet, 'a')
            assert not any(map(has_ended, fleet.nodes))
            # The processes still follow what changes.
            fleet.store.put('op/config', build_config(version=9))
            await wait_until(
                lambda: all(
                    node.list_events('routes_adopted')[-1]['version'] == 9
                    for node in fleet.nodes
                )
            )
            restarted = fleet.nodes[0]
            await restarted.stop()
            await restarted.start()
            await fleet.wait_ready()
            assert not await count_failed(fleet, 'b')

    asyncio.run(run())


@pytest.mark.parametrize('field', ['sequence', 'cold-remaining-ms', 'version'])
def test_entry_without_a_field_does_not_bring_back_an_upstream_that_left(
    field,
):
    """It counted as later than the last entry, and got its share of calls."""

    async def run():
        async with run_routed_fleet(scripted_engines=0, nodes=3) as fleet:
            left = fleet.upstreams['i-app0']
            entry = build_server_entry(
                address=left.address, sequence=2, born=1_700_000_000_001
            )
            fleet.store.delete('servers/i-app0')
            await asyncio.sleep(DRAIN_S)
            entry.pop(field)
            fleet.store.put('servers/i-app0', entry)
            await asyncio.sleep(SETTLE_S)
            runs_before = len(left.runs)
            assert not await count_failed(fleet, 'a')
            assert len(left.runs) == runs_before

    asyncio.run(run())
