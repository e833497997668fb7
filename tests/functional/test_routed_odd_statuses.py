"""Upstreams in trouble, whose answers have statuses that are none."""

import asyncio

import pytest

from bilberryspoke._internal.exceptions import PlatformUnavailableError
from bilberryspoke._internal.models.routing_effects import ProbeUpstream
from bilberryspoke._internal.network.routing.linkprobes import LinkProber
from bilberryspoke._internal.platform.store import StoreClient
from fakes.stuttercases import make_framed, register_pieces
from fakes.upstream import UpstreamStandIn, make_event
from tests.lib.cutfleet import run_cut_fleet
from tests.lib.judgedcalls import call_judged
from tests.lib.routedfleet import run_routed_fleet, wait_until

ODD_STATUSES = ('000', '099', '101', '600', '999')
_FRAMINGS = ('length', 'chunks', 'close')


def register_status(status, framing='length', body=None):
    """Register sealed answers with a status, given as in the status line."""
    return register_pieces(
        f'status {status}, {framing}, {body}',
        lambda run: [
            make_framed(run, framing, status=status, body=body, headers={})
        ],
        closes=framing == 'close',
    )


def register_stream(status):
    """Register streams with a status; return the script's name."""
    return register_pieces(
        f'stream of status {status}',
        lambda run: [
            make_framed(run, 'chunks', status=status, body=make_event(run, 1))
        ],
    )


async def call_scripted(fleet, path, req_id, script, node=0):
    for upstream in fleet.upstreams.values():
        upstream.scripts[req_id] = script
    return await call_judged(fleet, path, req_id, node=node)


async def find_line(node, event, req_id):
    def find():
        lines = node.list_events(event)
        return [line for line in lines if line.get('req_id') == req_id]

    await wait_until(find)
    return find()[-1]


async def check_is_broken(fleet, path, req_id, script, status):
    """Check that a call with such an answer ends as broken, and is logged."""
    answer = await call_scripted(fleet, path, req_id, script)
    assert (answer.status, answer.whole) == (502, True)
    node = fleet.nodes[0]
    sent = await find_line(node, 'send_broken', req_id)
    assert f'status {status}' in sent['detail']
    assert not sent['connection_lost']
    ended = await find_line(node, 'call_ended', req_id)
    assert ended['outcome'] == 'upstream_broken'
    assert not node.list_events('call_crashed')


@pytest.mark.parametrize('status', ODD_STATUSES)
def test_call_whose_answer_has_a_status_that_is_none_gets_502(status):
    # The connection closed without an answer; 101 went on to the caller.
    async def run():
        async with run_routed_fleet(
            scripted_engines=0, app_upstreams=1
        ) as fleet:
            for framing in _FRAMINGS:
                script = register_status(status, framing)
                req_id = f'c-{framing}'
                await check_is_broken(fleet, '/once/', req_id, script, status)
                assert fleet.count_runs(req_id) == 1
            sound = register_status(200)
            later = await call_scripted(fleet, '/once/', 'later', sound)
            assert later.is_own

    asyncio.run(run())


@pytest.mark.parametrize('status', ODD_STATUSES)
def test_stream_whose_answer_has_a_status_that_is_none_gets_502(status):
    async def run():
        async with run_routed_fleet(
            scripted_engines=1, app_upstreams=0, retry_reserve=0
        ) as fleet:
            script = register_stream(status)
            answer = await call_scripted(fleet, '/stream/', 's1', script)
            assert (answer.status, answer.whole) == (502, True)
            assert not fleet.nodes[0].list_events('call_crashed')

    asyncio.run(run())


def test_call_that_may_run_again_is_sent_on_after_a_status_that_is_none():
    statuses = ['600', 200]
    script = register_pieces(
        'status 600, then 200',
        lambda run: [make_framed(run, 'length', status=statuses.pop(0))],
    )

    async def run():
        async with run_routed_fleet(scripted_engines=0) as fleet:
            answer = await call_scripted(fleet, '/safe/', 'a1', script)
            assert answer.is_own
            assert fleet.count_runs('a1') == 2

    asyncio.run(run())


@pytest.mark.parametrize('status', ['000', '101', '600'])
def test_call_that_a_helper_relays_has_no_status_that_is_none(status):
    async def run():
        async with run_cut_fleet(nodes=2, upstreams=2) as cuts:
            cuts.cut([0], 'refuse')
            await call_judged(cuts.fleet, '/safe/', 'first')
            for upstream in cuts.upstreams:
                upstream.scripts['h1'] = register_status(status)
            answer = await call_judged(cuts.fleet, '/once/', 'h1')
            assert (answer.status, answer.whole) == (502, True)
            for node in cuts.fleet.nodes:
                assert not node.list_events('call_crashed')

    asyncio.run(run())


@pytest.mark.parametrize('status', [*ODD_STATUSES, 200, 500])
def test_probe_takes_no_status_that_is_none_for_an_answer(status):
    script = register_status(status)

    async def run():
        upstream = UpstreamStandIn('i-0', script, answers_probes=False)
        await upstream.start()
        ends = []
        prober = LinkProber(ends.append, lambda address: None)
        prober.start(ProbeUpstream('i-0', 1, upstream.address))
        await wait_until(lambda: ends)
        await prober.close()
        await upstream.stop()
        return ends[0].accepts

    assert asyncio.run(run()) == (status not in ODD_STATUSES)


@pytest.mark.parametrize('status', ODD_STATUSES)
def test_store_answers_with_no_status_that_is_none(status):
    # Control: it held before.
    script = register_status(status, body=b'{"at":1,"items":[]}')

    async def run():
        upstream = UpstreamStandIn('i-0', script)
        await upstream.start()
        client = StoreClient(upstream.address, '127.0.0.1')
        try:
            with pytest.raises(PlatformUnavailableError, match='status'):
                await client.read_prefix('servers/')
        finally:
            await client.close()
            await upstream.stop()

    asyncio.run(run())
