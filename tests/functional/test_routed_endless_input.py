"""Routing processes whose sources send bytes without end."""

import asyncio
import time
from pathlib import Path

import pytest

from fakes.endless import (
    EndlessServer,
    make_answer,
    make_body_flood,
    make_chunk_flood,
)
from tests.lib.platformdata import build_config
from tests.lib.routedfleet import (
    list_adopted_versions,
    run_routed_fleet,
    wait_until,
)

# Memory that a process may use, as its settings say.
MEMORY_KB = 150_000
# Each watch of the store meets the faulty answers several times.
FAULTY_ANSWERS = 6

WATCHED_CALLS = 40
CALL_INTERVAL_S = 0.05
# Of both watches together.
MAX_WATCHES_PER_S = 20


def read_peak_memory_kb(node):
    """Return the largest memory that a process had in use so far."""
    status = Path(f'/proc/{node.process.pid}/status').read_text()
    lines = dict(line.split(':', 1) for line in status.splitlines())
    return int(lines['VmHWM'].split()[0])


async def call_until(fleet, condition, prefix):
    """Call until a condition holds; return the statuses of the answers."""
    statuses = set()
    async with asyncio.timeout(20):
        for number in range(10**6):
            answer = await fleet.call('/safe/', f'{prefix}{number}')
            statuses.add(answer.status)
            if condition():
                return statuses
            await asyncio.sleep(0.01)


STORE_FLOODS = {
    'body': make_body_flood(b'{"items":[{"value":"', b'AAAA'),
    'chunks': make_chunk_flood(b'', b' '),
}


@pytest.mark.parametrize('flood', STORE_FLOODS.values(), ids=STORE_FLOODS)
def test_store_that_answers_without_end_leaves_calls_served(flood):
    # Processes kept all that came within a second.
    async def run():
        async with run_routed_fleet(scripted_engines=0) as fleet:
            server = EndlessServer(flood)
            await fleet.store.stop()
            await server.start(fleet.store.address)
            statuses = await call_until(
                fleet, lambda: server.ended >= FAULTY_ANSWERS, 'a'
            )
            assert statuses == {200}
            assert read_peak_memory_kb(fleet.nodes[0]) < MEMORY_KB
            await server.stop()
            await fleet.store.start()
            fleet.store.put('op/config', build_config(2))
            node = fleet.nodes[0]
            await wait_until(lambda: 2 in list_adopted_versions(node))

    asyncio.run(run())


def test_store_whose_watches_end_at_once_is_not_asked_without_end():
    # The next watch of the routes followed at once, thousands in a second.
    async def run():
        async with run_routed_fleet(scripted_engines=0) as fleet:
            server = EndlessServer(make_answer(b'{"events":[],"at":200}'))
            await fleet.store.stop()
            await server.start(fleet.store.address)
            started_at = time.monotonic()
            statuses = set()
            for number in range(WATCHED_CALLS):
                answer = await fleet.call('/safe/', f'w{number}')
                statuses.add(answer.status)
                await asyncio.sleep(CALL_INTERVAL_S)
            assert statuses == {200}
            seconds = time.monotonic() - started_at
            assert 0 < server.started < seconds * MAX_WATCHES_PER_S
            await server.stop()

    asyncio.run(run())
