"""What callers may take as a promise that a call did not run."""

import asyncio
import socket

import pytest

from fakes.scripts import (
    make_head,
    register_cut_head_script,
    register_status_script,
)
from fakes.upstream import Run
from tests.lib.platformdata import build_config, build_server_entry
from tests.lib.routedfleet import run_routed_fleet, wait_until

_LARGE_BYTES = 4_000_000
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


@pytest.mark.parametrize('path', ['/safe/', '/stream/'])
def test_answer_that_ends_within_its_head_is_never_passed_on(path):
    # Other operators saw a 200 with an empty body, framed as whole.
    async def run():
        async with run_routed_fleet(
            app_upstreams=1, scripted_engines=1
        ) as fleet:
            streams = path == '/stream/'
            sample = Run('POST', path, {'x-attempt-id': 'h100'}, b'')
            for length in range(len(make_head(sample, streams=streams)) + 1):
                name = register_cut_head_script(length, streams=streams)
                for upstream in fleet.upstreams.values():
                    upstream.default = name
                req_id = f'h{100 + length}'
                resp = await fleet.call(path, req_id, method='POST')
                assert resp.status != 200 or not resp.whole, length

    asyncio.run(run())


async def open_deaf_upstream(fleet):
    """Return a listening socket that the only upstream's entry names."""
    listener = socket.socket()
    # Small, so that most of a large request waits at its sender.
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    listener.setblocking(False)
    listener.bind(('127.0.0.1', 0))
    listener.listen()
    address = f'127.0.0.1:{listener.getsockname()[1]}'
    fleet.store.put('servers/i-deaf', build_server_entry(address=address))
    limits = {**build_config()['limits'], 'max-body-bytes': _LARGE_BYTES}
    fleet.store.put('op/config', build_config(2, limits=limits))
    node = fleet.nodes[0]
    await wait_until(lambda: len(node.list_events('routes_adopted')) == 2)
    await wait_until(lambda: node.list_events('upstream_listed'))
    return listener


async def count_bytes(connection):
    """Return how many bytes arrive until the connection ends."""
    loop = asyncio.get_running_loop()
    count = 0
    try:
        while raw := await loop.sock_recv(connection, 65536):
            count += len(raw)
    except ConnectionError:
        pass
    return count


def test_rest_of_cancelled_call_is_not_delivered_later():
    # Bytes that waited in the sender arrived after the call had ended.
    async def run():
        async with run_routed_fleet(
            scripted_engines=0, app_upstreams=0
        ) as fleet:
            with await open_deaf_upstream(fleet) as listener:
                loop = asyncio.get_running_loop()
                call = asyncio.create_task(
                    fleet.call(
                        '/once/', 'd1', method='POST', body=b'x' * _LARGE_BYTES
                    )
                )
                connection, _ = await loop.sock_accept(listener)
                connection.setblocking(False)
                node = fleet.nodes[0]
                await wait_until(lambda: node.list_events('call_placed'))
                call.cancel()
                await wait_until(lambda: node.list_events('call_ended'))
                with connection:
                    assert await count_bytes(connection) < _LARGE_BYTES

    asyncio.run(run())
