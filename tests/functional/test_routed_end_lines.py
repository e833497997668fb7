"""What the log says of the end of a call's answer."""

import asyncio

import pytest

from tests.lib.routedfleet import run_routed_fleet, wait_until


@pytest.mark.parametrize(
    ('script', 'framing'),
    [('stream', 'chunks'), ('stream_unframed', 'connection')],
)
def test_line_of_an_ended_stream_says_what_told_its_end(script, framing):
    async def run():
        async with run_routed_fleet(app_upstreams=0) as fleet:
            for upstream in fleet.upstreams.values():
                upstream.default = script
            await fleet.call('/stream/', 'c1', method='POST', body=b'p')
            node = fleet.nodes[0]
            await wait_until(lambda: node.list_events('call_ended'))
            [line] = node.list_events('call_ended')
            assert line['framing'] == framing
            assert line['last_event_id'] == 6

    asyncio.run(run())
