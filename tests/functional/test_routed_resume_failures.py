"""Streams that break off, and whose next engine does not go on with them."""

import asyncio

import pytest

from fakes.resumefailures import ANSWERS
from fakes.upstream import make_stream
from tests.lib.routedfleet import run_routed_fleet

CALLS = 4


@pytest.mark.parametrize('answer', ANSWERS)
def test_failure_of_the_next_engine_is_no_part_of_a_stream(answer):
    """Callers found its text in their stream, or a stream that looked whole."""

    async def run():
        async with run_routed_fleet(app_upstreams=0) as fleet:
            for upstream in fleet.upstreams.values():
                upstream.default = f'stream_cut, then {answer}'
            for number in range(CALLS):
                req_id = f'r{number}'
                received = await fleet.call(
                    '/draft/', req_id, method='POST', body=b'prompt'
                )
                assert received.status == 200
                assert not received.whole
                whole = make_stream(req_id)
                assert whole.startswith(received.body)
                assert received.body.endswith(b'\n\n')
            resumed = [
                each
                for upstream in fleet.upstreams.values()
                for each in upstream.runs
                if 'last-event-id' in each.headers
            ]
            assert len(resumed) >= CALLS

    asyncio.run(run())
