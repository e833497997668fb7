"""Upstreams that fall over if they have to refuse many calls."""

import asyncio

from fakes.brittle import BrittleUpstream
from tests.lib.routedfleet import run_routed_fleet

UPSTREAMS = 4
SLOTS = 4
# The upstreams run 160 calls a second.
CALLS_PER_S = 220
CAPACITY_PER_S = 160
NOTICE_S = 0.5
DURATION_S = 8.0


def test_brittle_upstreams_are_not_overrun_by_a_burst():
    """They fell over one after the other, and nobody was served."""

    async def run():
        async with run_routed_fleet(
            nodes=4, app_upstreams=0, scripted_engines=0
        ) as fleet:
            upstreams = [
                BrittleUpstream(f'i-{number}', slots=SLOTS)
                for number in range(UPSTREAMS)
            ]
            for upstream in upstreams:
                await fleet.add_upstream(upstream, 'app', slots=SLOTS)
            await asyncio.sleep(NOTICE_S)
            answers = await fleet.send_calls(
                DURATION_S, per_s=CALLS_PER_S, prefix='b'
            )
            for upstream in upstreams:
                await upstream.stop()
            falls = sum(len(upstream.fell_at) for upstream in upstreams)
            assert falls <= 2 + UPSTREAMS / 10
            served = [answer.status for answer in answers].count(200)
            assert served >= DURATION_S * CAPACITY_PER_S / 2

    asyncio.run(run())
