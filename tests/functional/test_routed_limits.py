"""Routing processes whose upstream names a limit for all of them together."""

import asyncio
import time

from tests.lib.routedfleet import run_routed_fleet
from tests.lib.windows import count_busiest

LIMIT_PER_S = 1.0
WINDOW_S = 4.0
# Calls of a VM count from this time after it got an answer with the limit.
NOTICE_S = 0.5
# Excess that the deployment allows in a window.
ALLOWED_RATIO = 1.5
ALLOWED_EXTRA = 5
CALLS_PER_S = 40


def test_limit_that_an_upstream_names_holds_for_all_vms_together():
    """No VM read the limit, and each went on sending its share of the calls."""

    async def run():
        async with run_routed_fleet(scripted_engines=0, nodes=3) as fleet:
            limited = fleet.upstreams['i-app0']
            other = fleet.upstreams['i-app1']
            limited.stated['Server-Limit'] = str(LIMIT_PER_S)
            started_at = time.monotonic()
            answers = await fleet.send_calls(
                NOTICE_S + 2 * WINDOW_S, per_s=CALLS_PER_S, prefix='a'
            )
            assert {answer.status for answer in answers} == {200}
            since = started_at + NOTICE_S
            allowed = ALLOWED_RATIO * LIMIT_PER_S * WINDOW_S + ALLOWED_EXTRA
            late = [
                run.arrived_at
                for run in limited.runs
                if run.arrived_at >= since
            ]
            assert count_busiest(late, WINDOW_S) <= allowed
            limited.stated.clear()
            runs_before = len(limited.runs)
            await fleet.send_calls(WINDOW_S, per_s=CALLS_PER_S, prefix='b')
            assert len(limited.runs) - runs_before > CALLS_PER_S
            assert other.runs

    asyncio.run(run())
