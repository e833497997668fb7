"""Crowds of callers that make a process keep as much as the limits allow.

What is checked does not depend on the speed of the machine: that the process
lives, that its memory and descriptors stay below what the settings say, and
that an ordinary call is answered afterwards, the crowd still there.
"""

import asyncio

import pytest

from tests.lib.badclients import (
    BODY_BYTES,
    HEADER_BYTES,
    Crowd,
    count_descriptors,
    make_body_request,
    make_lines_request,
    make_trailers_request,
    read_peak_kb,
)
from tests.lib.platformdata import build_config
from tests.lib.routedfleet import (
    list_adopted_versions,
    run_routed_fleet,
    wait_until,
)

MEMORY_MB = 110
MAX_DESCRIPTORS = 400
CROWD = 100
LARGE_CROWD = 600
PIECE_BYTES = 65_536
KB_PER_MB = 1000
LIMITS = {
    'max-header-bytes': HEADER_BYTES,
    'max-body-bytes': BODY_BYTES,
    'header-timeout-ms': 3000,
    'idle-timeout-ms': 15_000,
}


def press(requests, piece=0, *, script='whole'):
    """Check what a process does under a crowd, each with one request."""

    async def run():
        async with run_routed_fleet(
            scripted_engines=1,
            limits={'memory-mb': MEMORY_MB, 'max-fds': MAX_DESCRIPTORS},
        ) as fleet:
            node = fleet.nodes[0]
            fleet.store.put('op/config', build_config(2, limits=LIMITS))
            await wait_until(lambda: 2 in list_adopted_versions(node))
            for name in ('i-app0', 'i-app1'):
                fleet.upstreams[name].default = script
                fleet.upstreams[name].scripts = {'alone': 'whole'}
            crowd = Crowd(node.ip, node.entry_port)
            await crowd.send_all(requests, piece)
            # Of another service: the crowd's calls may take all its slots.
            answer = await fleet.call(
                '/stream/', 'ordinary', method='POST', body=b'prompt'
            )
            descriptors = count_descriptors(node.process.pid)
            assert node.process.returncode is None
            assert answer.status == 200
            assert read_peak_kb(node.process.pid) < MEMORY_MB * KB_PER_MB
            assert descriptors < MAX_DESCRIPTORS
            crowd.leave()
            alone = await fleet.call(
                '/safe/', 'alone', method='POST', body=b'x' * BODY_BYTES
            )
            assert alone.status == 200

    asyncio.run(run())


@pytest.mark.parametrize('piece', [0, PIECE_BYTES])
def test_bodies_that_lack_their_last_byte_do_not_fill_the_memory(piece):
    press([make_body_request(f'c{n}', 1) for n in range(CROWD)], piece)


@pytest.mark.parametrize('piece', [0, PIECE_BYTES])
def test_whole_bodies_do_not_fill_the_memory(piece):
    requests = [make_body_request(f'c{n}', 0) for n in range(CROWD)]
    press(requests, piece, script='hold')


@pytest.mark.parametrize('line', ['a:', 'a:1', '~!:\t"'])
@pytest.mark.parametrize('whole', [True, False])
def test_heads_of_many_short_lines_do_not_fill_the_memory(line, whole):
    requests = [
        make_lines_request(f'c{n}', line, whole=whole) for n in range(2 * CROWD)
    ]
    press(requests)


def test_trailers_without_end_do_not_fill_the_memory():
    press([make_trailers_request(f'c{n}', 200_000) for n in range(CROWD)])


def test_idle_connections_do_not_use_up_the_descriptors():
    press([b'' for _ in range(LARGE_CROWD)])


def test_refused_body_gets_its_response_while_it_is_sent():
    # The reset of an early close took the promise that it did not run along.
    async def run():
        async with run_routed_fleet(
            scripted_engines=0, limits={'memory-mb': 32}
        ) as fleet:
            node = fleet.nodes[0]
            fleet.store.put('op/config', build_config(2, limits=LIMITS))
            await wait_until(lambda: 2 in list_adopted_versions(node))
            crowd = Crowd(node.ip, node.entry_port)
            await crowd.send_all(
                [make_body_request(f'c{n}', 1) for n in range(8)]
            )
            await wait_until(lambda: node.list_events('request_refused'))
            heads = await crowd.read_heads()
            refused = [each for each in heads if each.startswith(b'HTTP/1.1')]
            lines = node.list_events('request_refused')
            assert len(refused) == len(lines) > 0
            assert all(b' 503 ' in each for each in refused)
            crowd.leave()
            assert fleet.count_runs('c0') == 0

    asyncio.run(run())
