"""What upstreams say of themselves in their answers."""

import asyncio

import pytest

from tests.lib.routedfleet import run_routed_fleet

# The deployment allows no call to an upstream later than this after it said
# that it leaves.
DRAIN_S = 2.0
CALLS_PER_S = 30
# Time for which an upstream asks for no calls, and how many of them the
# deployment allows from half a second on.
PAUSE_S = 2.0
NOTICE_S = 0.5
ALLOWED_LATE_CALLS = 2


async def send_calls(fleet, seconds, prefix):
    """Send calls to all processes in turn; return the statuses."""
    answers = await fleet.send_calls(seconds, per_s=CALLS_PER_S, prefix=prefix)
    return [answer.status for answer in answers]


@pytest.mark.parametrize('script', ['whole', 'busy', 'error'])
def test_upstream_that_says_it_leaves_gets_nothing_new(script):
    """Its entry in the store stayed ready, and it got its share of calls."""

    async def run():
        async with run_routed_fleet(scripted_engines=0, nodes=3) as fleet:
            leaving = fleet.upstreams['i-app0']
            leaving.default = script
            leaving.stated['Server-Leaving'] = '1'
            await send_calls(fleet, 1.0, 'a')
            assert leaving.runs or leaving.refusals
            await asyncio.sleep(DRAIN_S / 2)
            calls_before = len(leaving.runs) + leaving.refusals
            # The entry is written anew, as a heartbeat does.
            fleet.write_upstream_entry('i-app0', 'app', sequence=2)
            statuses = await send_calls(fleet, DRAIN_S, 'b')
            assert len(leaving.runs) + leaving.refusals == calls_before
            assert set(statuses) == {200}

    asyncio.run(run())


def test_leaving_upstream_whose_entry_was_lost_gets_nothing_new():
    """It wrote its entry once more, and got its share of calls again."""

    async def run():
        async with run_routed_fleet(scripted_engines=0, nodes=3) as fleet:
            leaving = fleet.upstreams['i-app0']
            leaving.stated['Server-Leaving'] = '1'
            await send_calls(fleet, 1.0, 'a')
            assert leaving.runs
            fleet.store.delete('servers/i-app0')
            await asyncio.sleep(DRAIN_S)
            calls_before = len(leaving.runs)
            fleet.write_upstream_entry('i-app0', 'app', sequence=9)
            statuses = await send_calls(fleet, DRAIN_S, 'b')
            assert len(leaving.runs) == calls_before
            assert set(statuses) == {200}

    asyncio.run(run())


def test_upstream_that_asks_a_vm_to_wait_gets_nothing_from_it_meanwhile():
    """It was tried again as after any other failure."""

    async def run():
        async with run_routed_fleet(scripted_engines=0, nodes=1) as fleet:
            busy = fleet.upstreams['i-app0']
            busy.default = 'busy'
            busy.stated['Retry-After'] = str(PAUSE_S)
            await send_calls(fleet, 2 * PAUSE_S, 'a')
            refused_at = busy.refused_at
            for first in refused_at:
                since, until = first + NOTICE_S, first + PAUSE_S
                late = [each for each in refused_at if since <= each < until]
                assert len(late) <= ALLOWED_LATE_CALLS
            busy.default = 'whole'
            busy.stated.clear()
            await asyncio.sleep(PAUSE_S)
            await send_calls(fleet, 1.0, 'b')
            assert busy.runs

    asyncio.run(run())
