"""Routing processes whose upstreams crash under certain calls."""

import asyncio

from tests.lib.crashfleet import ALLOWED_LATE_ARRIVALS, run_crash_fleet

DEADLY_PART = 'dead1'
# Crashes under one part that the deployment allows.
ALLOWED_PART_CRASHES = 5
# Crashes under one call that the deployment allows.
ALLOWED_CALL_CRASHES = 3


def send_stream(fleet, req_id, node, *shared_parts):
    names = [*shared_parts, req_id.encode().hex()]
    return fleet.call(
        '/stream/',
        req_id,
        node=node,
        method='POST',
        body=req_id.encode(),
        X_Model='m',
        X_Token_Counts=f'{100 * len(names)},18',
        X_Prompt_Prefix=','.join(f'{name}:100' for name in names),
    )


def check_calls(crashes, allowed_crashes):
    """Check that deadly calls were stopped and that sound ones were served."""
    late = crashes.count_late_arrivals(allowed_crashes)
    assert late <= ALLOWED_LATE_ARRIVALS
    sound = crashes.statuses['sound']
    assert sound.count(200) >= len(sound) / 2


def test_calls_with_a_prompt_part_that_crashes_engines_stop_reaching_them():
    """Each new call with the part crashed one engine, its retry another."""

    def is_deadly(run):
        return DEADLY_PART in run.headers.get('x-prompt-prefix', '')

    async def run():
        async with run_crash_fleet(
            'llm', upstreams=6, healthy='stream', is_deadly=is_deadly
        ) as crashes:
            fleet = crashes.fleet
            await crashes.send_calls(
                8.0,
                deadly=lambda number, node: send_stream(
                    fleet, f'd{number}', node, 'aa1', DEADLY_PART, 'bb1'
                ),
                sound=lambda number, node: send_stream(
                    fleet, f's{number}', node, 'aa1', 'bb1'
                ),
            )
            check_calls(crashes, ALLOWED_PART_CRASHES)

    asyncio.run(run())


def test_call_that_comes_again_and_crashes_upstreams_stops_reaching_them():
    """Each repeat had a new request id, and crashed up to two upstreams."""

    def is_deadly(run):
        return run.body == b'deadly'

    async def run():
        async with run_crash_fleet(
            'app', upstreams=6, healthy='whole', is_deadly=is_deadly
        ) as crashes:
            fleet = crashes.fleet
            await crashes.send_calls(
                8.0,
                deadly=lambda number, node: fleet.call(
                    '/safe/a', f'd{number}', node=node, body=b'deadly'
                ),
                sound=lambda number, node: fleet.call(
                    '/safe/a', f's{number}', node=node, body=b'sound'
                ),
            )
            check_calls(crashes, ALLOWED_CALL_CRASHES)

    asyncio.run(run())
