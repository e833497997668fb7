"""Bodies whose framing breaks off while the connection stays open."""

import asyncio

import pytest

from fakes.upstream import register_script
from tests.lib.routedfleet import run_routed_fleet

_PAUSE_S = 0.05


@register_script('begins again in a chunk')
async def answer_again_in_chunk(upstream, run, writer):
    """Break off within a chunk, begin again and keep the connection."""
    writer.write(
        b'HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Seal: s\r\n'
        b'Transfer-Encoding: chunked\r\n\r\nc\r\nans' % run.req_id.encode()
    )
    await asyncio.sleep(_PAUSE_S)
    writer.write(b'HTTP/1.1 200 OK\r\n')
    await upstream.release.wait()


@pytest.mark.parametrize(('path', 'status'), [('/safe/', 200), ('/once/', 502)])
def test_call_does_not_wait_for_a_malformed_body(path, status):
    # One that runs once waited until its deadline, and got 504.
    async def run():
        async with run_routed_fleet(
            scripted_engines=0, app_upstreams=2
        ) as fleet:
            for upstream in fleet.upstreams.values():
                upstream.scripts['m1'] = 'begins again in a chunk'
            call = asyncio.create_task(fleet.call(path, 'm1', method='POST'))
            while not fleet.count_runs('m1'):
                await asyncio.sleep(_PAUSE_S / 10)
            for upstream in fleet.upstreams.values():
                upstream.scripts.clear()
            resp = await call
            for upstream in fleet.upstreams.values():
                upstream.release.set()
            assert resp.status == status

    asyncio.run(run())
