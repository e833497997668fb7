"""What callers may take as a promise that a call did not run."""

import asyncio

import pytest

from fakes.scripts import register_status_script
from tests.lib.routedfleet import run_routed_fleet

# Statuses by which callers are told that a call did not run and never will.
_PROMISES = (408, 429, 503)
for _status in _PROMISES:
    register_status_script(_status)


@pytest.mark.parametrize('status', _PROMISES)
def test_status_of_upstream_that_ran_call_is_no_promise(status):
    # An upstream's own 503 without "not run" reached the caller as a promise.
    async def run():
        async with run_routed_fleet(scripted_engines=0) as fleet:
            for upstream in fleet.upstreams.values():
                upstream.default = f'status {status}'
            resp = await fleet.call('/once/', 'p1', method='POST')
            assert fleet.count_runs('p1') == 1
            assert resp.status == 502
            assert 'x-response-seal' not in resp.headers
            safe = await fleet.call('/safe/', 'p2')
            assert safe.status == status
            assert safe.headers['x-response-seal'] == 'seal-of-p2'

    asyncio.run(run())


def test_refusal_that_names_no_call_is_no_promise():
    # A refusal without the id of the call may belong to another request.
    async def run():
        async with run_routed_fleet(scripted_engines=0) as fleet:
            for upstream in fleet.upstreams.values():
                upstream.default = 'unnamed refusal'
            resp = await fleet.call('/once/', 'p1', method='POST')
            assert resp.status == 502
            assert fleet.count_runs('p1') == 1

    asyncio.run(run())
