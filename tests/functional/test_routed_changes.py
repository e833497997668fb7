"""Routing processes while store entries, settings or connections change."""

import asyncio
import socket

import pytest

from fakes.upstream import make_stream
from tests.lib.platformdata import (
    build_config,
    build_route_entries,
    build_route_entry,
)
from tests.lib.routedfleet import (
    HUP,
    TERM,
    list_adopted_versions,
    run_routed_fleet,
    wait_until,
)


async def exchange_raw(node, raw):
    """Send bytes on a new connection and return all bytes until it closes."""
    reader, writer = await asyncio.open_connection(node.ip, node.entry_port)
    writer.write(raw)
    answer = await reader.read()
    writer.close()
    return answer


async def check_newer_routes_are_adopted(fleet):
    node = fleet.nodes[0]
    added = [*build_route_entries(), build_route_entry('added', 'safe')]
    fleet.store.put('op/config', build_config(7, routes=added))
    await wait_until(lambda: 7 in list_adopted_versions(node))
    assert (await fleet.call('/added/', 'c1')).status == 200
    fleet.store.put('op/config', build_config(5))
    fleet.store.put('op/config', b'not a configuration')
    fleet.store.put('op/config', {'version': 9, 'routes': [{'name': 'r'}]})
    await wait_until(
        lambda: len(node.list_events('store_entry_unusable')) == 2,
    )
    assert (await fleet.call('/added/', 'c2')).status == 200
    assert list_adopted_versions(node) == [1, 7]


async def check_revoked_key_is_refused(fleet):
    node = fleet.nodes[0]
    tenants = [{'name': 'press', 'api-keys': ['key-2']}]
    fleet.store.put('op/config', build_config(3, tenants=tenants))
    await wait_until(lambda: 3 in list_adopted_versions(node))
    assert (await fleet.call('/safe/', 'k1')).status == 401
    assert (await fleet.call('/safe/', 'k2', key='key-2')).status == 200
    assert fleet.count_runs('k1') == 0


async def check_changes_apply_after_lost_history(fleet):
    node = fleet.nodes[0]
    fleet.store.put('op/config', build_config(4))
    fleet.store.delete('servers/i-app0')
    fleet.store.drop_history()
    await wait_until(lambda: 4 in list_adopted_versions(node))
    await wait_until(lambda: node.list_events('upstream_dropped'))
    for number in range(6):
        assert (await fleet.call('/safe/', f'h{number}')).status == 200
    assert not fleet.upstreams['i-app0'].runs


async def check_draining_upstream_gets_no_calls(fleet):
    node = fleet.nodes[0]
    fleet.write_upstream_entry('i-app0', 'app', state='draining')
    await wait_until(lambda: node.list_events('upstream_leaving'))
    for number in range(6):
        assert (await fleet.call('/safe/', f'd{number}')).status == 200
    assert not fleet.upstreams['i-app0'].runs


async def check_upstream_of_corrupt_entry_gets_no_calls(fleet):
    node = fleet.nodes[0]
    fleet.store.put('servers/i-app0', b'\xff\x00')
    fleet.store.put('servers/i-other', {'service': 'app'})
    await wait_until(lambda: node.list_events('upstream_dropped'))
    for number in range(6):
        assert (await fleet.call('/safe/', f'z{number}')).status == 200
    assert not fleet.upstreams['i-app0'].runs


async def check_upstream_at_reused_address_runs_no_calls(fleet):
    """An upstream runs no calls meant for the former one at its address."""
    for upstream in fleet.upstreams.values():
        upstream.instance = f'{upstream.instance}-anew'
    resp = await fleet.call('/safe/', 'a1')
    assert resp.status == 503
    assert fleet.count_runs('a1') == 0


@pytest.mark.parametrize(
    'steps',
    [
        check_newer_routes_are_adopted,
        check_revoked_key_is_refused,
        check_changes_apply_after_lost_history,
        check_draining_upstream_gets_no_calls,
        check_upstream_of_corrupt_entry_gets_no_calls,
        check_upstream_at_reused_address_runs_no_calls,
    ],
)
def test_routers_follow_store_changes(steps):
    async def run():
        async with run_routed_fleet(scripted_engines=0) as fleet:
            await steps(fleet)

    asyncio.run(run())


def test_stop_completes_open_calls():
    """A stopping process is unready at once, but serves open and new calls."""

    async def run():
        async with run_routed_fleet(
            app_upstreams=1, scripted_engines=1
        ) as fleet:
            node = fleet.nodes[0]
            engine = fleet.upstreams['i-llm0']
            engine.answers[:] = ['stream_hold']
            streaming = asyncio.create_task(
                fleet.call('/stream/', 's1', method='POST'),
            )
            await wait_until(lambda: engine.runs)
            assert (await fleet.call('/safe/', 's2')).status == 200
            node.signal(TERM)
            await wait_until(lambda: node.list_events('stopping'))
            assert not await node.is_ready(fleet.session)
            # The load balancer sends callers until two probes have failed.
            await asyncio.sleep(0.7)
            late = await fleet.call('/safe/', 's3')
            assert late.status == 200
            assert late.headers['connection'] == 'close'
            engine.release.set()
            whole = await streaming
            assert (whole.body, whole.whole) == (make_stream('s1'), True)
            assert await node.process.wait() == 0

    asyncio.run(run())


def test_answer_that_ends_in_a_stop_closes_its_connection():
    # A caller whose call was open at the SIGTERM kept its connection.
    async def run():
        async with run_routed_fleet(
            app_upstreams=1, scripted_engines=0
        ) as fleet:
            node = fleet.nodes[0]
            upstream = fleet.upstreams['i-app0']
            upstream.answers[:] = ['hold']
            call = asyncio.create_task(fleet.call('/safe/', 'o1'))
            await wait_until(lambda: upstream.runs)
            node.signal(TERM)
            await wait_until(lambda: node.list_events('stopping'))
            upstream.release.set()
            resp = await call
            assert resp.status == 200
            assert resp.headers['connection'] == 'close'

    asyncio.run(run())


def test_reload_keeps_open_calls():
    async def run():
        async with run_routed_fleet(
            scripted_engines=0, app_upstreams=1
        ) as fleet:
            node = fleet.nodes[0]
            upstream = fleet.upstreams['i-app0']
            upstream.answers[:] = ['hold']
            call = asyncio.create_task(fleet.call('/safe/', 'h1'))
            await wait_until(lambda: upstream.runs)
            node.signal(HUP)
            await wait_until(lambda: node.list_events('settings_checked'))
            node.boot_path.write_text('node: 3', encoding='utf-8')
            node.signal(HUP)
            await wait_until(lambda: node.list_events('settings_invalid'))
            upstream.release.set()
            assert (await call).status == 200

    asyncio.run(run())


@pytest.mark.parametrize('status', [503, 429, 0])
def test_vm_refused_by_store_gets_snapshot_from_peer(status):
    """A VM that the store refuses adopts a newer snapshot from a peer.

    Status 0 stands for a store that does not respond.
    """

    async def run():
        async with run_routed_fleet(scripted_engines=0, nodes=2) as fleet:
            refused = fleet.nodes[1]
            await wait_until(lambda: refused.list_events('peer_discovered'))
            fleet.store.refused[refused.ip] = status
            await wait_until(lambda: refused.list_events('store_lost'))
            tenants = [{'name': 'press', 'api-keys': ['key-2']}]
            fleet.store.put('op/config', build_config(8, tenants=tenants))
            fleet.write_upstream_entry('i-app0', 'app', state='draining')
            await wait_until(lambda: 8 in list_adopted_versions(refused))
            await wait_until(lambda: refused.list_events('upstream_leaving'))
            [line] = refused.list_events('routes_adopted')[1:]
            assert line['source'].startswith('peer ')
            revoked_key_resp = await fleet.call('/safe/', 'p1', node=1)
            valid_key_resp = await fleet.call(
                '/safe/', 'p2', node=1, key='key-2'
            )
            assert (revoked_key_resp.status, valid_key_resp.status) == (
                401,
                200,
            )
            assert not fleet.upstreams['i-app0'].runs
            fleet.store.refused.clear()
            await wait_until(lambda: refused.list_events('store_back'))

    asyncio.run(run())


SMUGGLING_REQUESTS = {
    'both lengths': (
        b'POST /once/ HTTP/1.1\r\nHost: calls.example\r\n'
        b'X-Attempt-Id: w1\r\nAuthorization: Bearer key-1\r\n'
        b'Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n'
        b'0\r\n\r\nGET /safe/ HTTP/1.1\r\nHost: calls.example\r\n'
        b'X-Attempt-Id: w2\r\nAuthorization: Bearer key-1\r\n\r\n'
    ),
    'bad chunk': (
        b'POST /once/ HTTP/1.1\r\nHost: calls.example\r\n'
        b'X-Attempt-Id: w3\r\nAuthorization: Bearer key-1\r\n'
        b'Transfer-Encoding: chunked\r\n\r\n'
        b'zz\r\nGET /safe/ HTTP/1.1\r\n\r\n'
    ),
    'space before the colon': (
        b'POST /once/ HTTP/1.1\r\nHost: calls.example\r\n'
        b'X-Attempt-Id: w4\r\nAuthorization: Bearer key-1\r\n'
        b'Content-Length : 4\r\n\r\nbody'
    ),
    'two lengths': (
        b'POST /once/ HTTP/1.1\r\nHost: calls.example\r\n'
        b'X-Attempt-Id: w5\r\nAuthorization: Bearer key-1\r\n'
        b'Content-Length: 4\r\nContent-Length: 5\r\n\r\nbody'
    ),
    'folded header': (
        b'POST /once/ HTTP/1.1\r\nHost: calls.example\r\n'
        b'X-Attempt-Id: w6\r\nAuthorization: Bearer key-1\r\n'
        b'X-Fold: a\r\n Transfer-Encoding: chunked\r\n'
        b'Connection: close\r\nContent-Length: 0\r\n\r\n'
    ),
}


@pytest.mark.parametrize(
    'raw', SMUGGLING_REQUESTS.values(), ids=SMUGGLING_REQUESTS.keys()
)
def test_request_smuggling_is_rejected(raw):
    """A request that can be parsed in two ways gets a 400 at the ingress.

    Otherwise an upstream could run a request that no caller made.
    """

    async def run():
        async with run_routed_fleet(
            scripted_engines=0, app_upstreams=1
        ) as fleet:
            answer = await exchange_raw(fleet.nodes[0], raw)
            assert answer.startswith(b'HTTP/1.1 400')
            assert not fleet.upstreams['i-app0'].runs

    asyncio.run(run())


async def check_incomplete_headers_time_out(fleet):
    """A caller that stops within its headers gets a 408 after the timeout."""
    limits = {'header-timeout-ms': 200}
    fleet.store.put('op/config', build_config(2, limits=limits))
    await wait_until(lambda: 2 in list_adopted_versions(fleet.nodes[0]))
    answer = await exchange_raw(fleet.nodes[0], b'GET /safe/ HTTP/1.1\r\nHo')
    assert answer.startswith(b'HTTP/1.1 408')


async def check_long_headers_are_refused(fleet):
    raw = b'GET /safe/ HTTP/1.1\r\nHost: calls.example\r\nX-Long: '
    answer = await exchange_raw(fleet.nodes[0], raw + b'x' * 20_000)
    assert answer.startswith(b'HTTP/1.1 431')


async def check_incomplete_body_times_out(fleet):
    raw = (
        b'POST /short/ HTTP/1.1\r\nHost: calls.example\r\n'
        b'X-Attempt-Id: l1\r\nAuthorization: Bearer key-1\r\n'
        b'Connection: close\r\nContent-Length: 10\r\n\r\nhalf'
    )
    answer = await exchange_raw(fleet.nodes[0], raw)
    assert answer.startswith(b'HTTP/1.1 408')


async def check_idle_connection_is_closed(fleet):
    """An idle connection is closed after the configured timeout."""
    limits = {'idle-timeout-ms': 200}
    fleet.store.put('op/config', build_config(2, limits=limits))
    await wait_until(lambda: 2 in list_adopted_versions(fleet.nodes[0]))
    raw = (
        b'GET /safe/ HTTP/1.1\r\nHost: calls.example\r\n'
        b'X-Attempt-Id: v1\r\nAuthorization: Bearer key-1\r\n\r\n'
    )
    answer = await exchange_raw(fleet.nodes[0], raw)
    assert answer.endswith(b'answer to v1')


@pytest.mark.parametrize(
    'steps',
    [
        check_incomplete_headers_time_out,
        check_long_headers_are_refused,
        check_incomplete_body_times_out,
        check_idle_connection_is_closed,
    ],
)
def test_connection_limits_are_enforced(steps):
    async def run():
        async with run_routed_fleet(
            scripted_engines=0, app_upstreams=1
        ) as fleet:
            await asyncio.wait_for(steps(fleet), 10)

    asyncio.run(run())


def test_callers_connect_during_imports():
    """The socket listens before the large imports, so no caller is refused."""

    async def run():
        async with run_routed_fleet(scripted_engines=0) as fleet:
            node = fleet.nodes[0]
            await node.stop()
            await node.start()
            connected = False
            while not connected:
                try:
                    socket.create_connection((node.ip, node.entry_port)).close()
                except ConnectionRefusedError:
                    await asyncio.sleep(0.001)
                else:
                    connected = True
            resp = await fleet.call('/safe/', 'i1')
            assert resp.status == 200

    asyncio.run(run())
