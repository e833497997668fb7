"""The client of the platform's store before answers without end."""

import asyncio
import functools
import json

import pytest

from bilberryspoke._internal.exceptions import PlatformUnavailableError
from bilberryspoke._internal.platform.store import StoreClient
from fakes.endless import (
    FRAMINGS,
    EndlessPages,
    EndlessServer,
    Flood,
    make_answer,
)

PREFIX = 'servers/'
# What a read may take in, with what the buffers of two sockets hold.
MAX_SENT_BYTES = 32_000_000
BEGINNINGS = {
    'junk': (b'', b'x'),
    'value': (b'{"items":[{"key":"servers/a","value":"', b'AAAA'),
    'spaces': (b'', b' '),
}
# The largest list of a fleet has two pages, each of a megabyte.
MAX_PAGES = 256
PAGES = {
    'short': EndlessPages,
    'large': functools.partial(EndlessPages, value_bytes=900_000),
    'same': functools.partial(EndlessPages, goes_on=False),
}
SOUND_ITEM = make_answer(b'{"key":"op/config","mod-revision":7,"at":9}')


@pytest.mark.parametrize('make_flood', FRAMINGS.values(), ids=FRAMINGS.keys())
@pytest.mark.parametrize('parts', BEGINNINGS.values(), ids=BEGINNINGS.keys())
def test_store_answer_without_end_is_not_kept(make_flood, parts):
    # All bytes of a second were kept.
    async def run():
        server = EndlessServer(make_flood(*parts))
        server.answers['/-/kv-key'] = SOUND_ITEM
        await server.start()
        client = StoreClient(server.address, '127.0.0.1')
        range_read = asyncio.create_task(client.read_prefix(PREFIX))
        watch = asyncio.create_task(client.watch(PREFIX, 1, wait_s=0.2))
        sound = await client.read('op/config')
        assert sound.position.revision == 9
        for read in (range_read, watch):
            with pytest.raises(PlatformUnavailableError):
                await read
        async with asyncio.timeout(10):
            while server.ended < 2:
                await asyncio.sleep(0.01)
        assert max(server.sent_bytes) < MAX_SENT_BYTES
        await client.close()
        await server.stop()

    asyncio.run(run())


def test_store_answer_of_countless_items_is_not_decoded():
    # Items of two bytes took 447 MB and 1.9 s.
    async def run():
        items = b','.join([b'{}'] * 100_000)
        server = EndlessServer(make_answer(b'{"at":1,"items":[%s]}' % items))
        events = b'{"at":1,"events":[%s]}' % items
        server.answers['/-/kv-watch'] = make_answer(events)
        await server.start()
        client = StoreClient(server.address, '127.0.0.1')
        with pytest.raises(PlatformUnavailableError):
            await client.read_prefix(PREFIX)
        with pytest.raises(PlatformUnavailableError):
            await client.watch(PREFIX, 1, wait_s=0.2)
        await client.close()
        await server.stop()

    asyncio.run(run())


def test_page_of_a_fleet_and_watch_of_its_changes_are_decoded():
    async def run():
        items = [
            {'key': f'servers/{number:04}', 'mod-revision': 1, 'value': 'e30='}
            for number in range(600)
        ]
        page = json.dumps({'at': 1, 'items': items}).encode()
        server = EndlessServer(make_answer(page))
        changes = json.dumps({'at': 1, 'events': items * 10}).encode()
        server.answers['/-/kv-watch'] = make_answer(changes)
        await server.start()
        client = StoreClient(server.address, '127.0.0.1')
        stored = await client.read_prefix(PREFIX)
        assert len(stored.values) == 600
        stored = await client.watch(PREFIX, 1, wait_s=0.2)
        assert len(stored.values) == 6000
        await client.close()
        await server.stop()

    asyncio.run(run())


@pytest.mark.parametrize('make_server', PAGES.values(), ids=PAGES.keys())
def test_list_of_the_store_that_has_always_one_more_page_is_given_up(
    make_server,
):
    # The values of all pages were kept, and no change was watched for.
    async def run():
        server = make_server(make_answer(b''))
        await server.start()
        client = StoreClient(server.address, '127.0.0.1')
        with pytest.raises(PlatformUnavailableError):
            async with asyncio.timeout(20):
                await client.read_prefix(PREFIX)
        assert server.pages <= MAX_PAGES
        await client.close()
        await server.stop()

    asyncio.run(run())


@pytest.mark.parametrize('digits', [20, 5000])
def test_era_of_countless_digits_ends_no_watcher(digits):
    # The number could not be parsed, and the process ended.
    async def run():
        head = b'HTTP/1.1 200 OK\r\nstore-era: %s\r\n' % (b'9' * digits)
        body = b'{"key":"op/config","mod-revision":7,"at":9}'
        length = b'content-length: %d\r\n\r\n' % len(body)
        server = EndlessServer(Flood(head + length + body))
        await server.start()
        client = StoreClient(server.address, '127.0.0.1')
        stored = await client.read('op/config')
        assert stored.position == (0, 9)
        await client.close()
        await server.stop()

    asyncio.run(run())


@pytest.mark.parametrize('digits', [20, 4000])
def test_revision_of_countless_digits_is_not_passed_on(digits):
    # No message to another VM could be encoded from then on.
    async def run():
        at = b'9' * digits
        server = EndlessServer(make_answer(b'{"key":"op/config","at":%s}' % at))
        page = b'{"items":[{"key":"a","mod-revision":%s}],"at":1}' % at
        server.answers['/-/kv-range'] = make_answer(page)
        server.answers['/-/kv-watch'] = make_answer(
            b'{"events":[],"at":%s}' % at
        )
        await server.start()
        client = StoreClient(server.address, '127.0.0.1')
        for read in (
            client.read('op/config'),
            client.read_prefix(PREFIX),
            client.watch(PREFIX, 1, wait_s=0.2),
        ):
            with pytest.raises(PlatformUnavailableError):
                await read
        await client.close()
        await server.stop()

    asyncio.run(run())


SLOW = {
    'head': Flood(b'HTTP/1.1 200 OK\r\na: ', b'x', interval_s=0.1),
    'body': Flood(b'HTTP/1.1 200 OK\r\n\r\n', b' ', interval_s=0.1),
    'nothing': Flood(b'', b'\r\n', interval_s=0.1),
}


@pytest.mark.parametrize('flood', SLOW.values(), ids=SLOW.keys())
def test_store_answer_that_comes_byte_by_byte_is_given_up(flood):
    async def run():
        server = EndlessServer(flood)
        await server.start()
        client = StoreClient(server.address, '127.0.0.1')
        reads = (
            client.read('op/config'),
            client.read_prefix(PREFIX),
            client.watch(PREFIX, 1, wait_s=0.2),
        )
        results = await asyncio.gather(*reads, return_exceptions=True)
        assert [type(each) for each in results] == (
            [PlatformUnavailableError] * 3
        )
        async with asyncio.timeout(10):
            while server.ended < 3:
                await asyncio.sleep(0.01)
        await client.close()
        await server.stop()

    asyncio.run(run())
