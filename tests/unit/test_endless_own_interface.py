"""The clients of the project's own interface before answers without end."""

import asyncio
import json

import aiohttp
import pytest

from bilberryspoke._internal.config.settings import (
    LimitSettings,
    PlatformSettings,
)
from bilberryspoke._internal.exceptions import PlatformUnavailableError
from bilberryspoke._internal.models.effects import Dispatch
from bilberryspoke._internal.models.requests import AttemptStatus, Request
from bilberryspoke._internal.network.answers import AnswerStore
from bilberryspoke._internal.network.calls import Call
from bilberryspoke._internal.network.clock import read_boottime
from bilberryspoke._internal.network.platformclient import PlatformClient
from bilberryspoke._internal.network.upstreams import UpstreamClient
from fakes.endless import FRAMINGS, EndlessServer, make_answer

# What a read may take in, with what the buffers of two sockets hold.
MAX_SENT_BYTES = 40_000_000
SOUND_REPORT = make_answer(b'{"running":3,"waiting":1}')


async def wait_for_end(server, ended):
    """Wait until the client ended answers, and check how long they were."""
    async with asyncio.timeout(10):
        while server.ended < ended:
            await asyncio.sleep(0.01)
    assert max(server.sent_bytes) < MAX_SENT_BYTES


@pytest.mark.parametrize('make_flood', FRAMINGS.values(), ids=FRAMINGS.keys())
def test_configuration_service_that_answers_without_end(make_flood):
    # All bytes of 5 s were kept.
    async def run():
        server = EndlessServer(make_flood(b'', b' '))
        server.answers['/v1/vms'] = make_answer(b'{"vms":[]}')
        await server.start()
        settings = PlatformSettings(url=f'http://{server.address}')
        async with aiohttp.ClientSession() as session:
            client = PlatformClient(settings, session)
            reads = [
                asyncio.create_task(client.read_manifest()),
                asyncio.create_task(client.watch_manifest('x')),
            ]
            assert (await client.list_vms()).vms == ()
            for read in reads:
                with pytest.raises(PlatformUnavailableError):
                    await read
            await wait_for_end(server, 2)
        await server.stop()

    asyncio.run(run())


@pytest.mark.parametrize('make_flood', FRAMINGS.values(), ids=FRAMINGS.keys())
def test_engine_whose_load_report_does_not_end(make_flood):
    async def run():
        server = EndlessServer(make_flood(b'{"prefixes":[', b'1,'))
        sound = EndlessServer(SOUND_REPORT)
        await server.start()
        await sound.start()
        client = UpstreamClient(LimitSettings(), AnswerStore())
        read = asyncio.create_task(
            client.read_load_report(f'http://{server.address}', 1.0)
        )
        report = await client.read_load_report(f'http://{sound.address}', 1.0)
        assert report.running == 3
        with pytest.raises((aiohttp.ClientError, TimeoutError)):
            await read
        await wait_for_end(server, 1)
        await client.close()
        await sound.stop()
        await server.stop()

    asyncio.run(run())


def make_call(send):
    """Return a call of a service, whose answer is relayed whole."""
    return Call(
        req=Request('r1', 'w', 'low', 'p', read_boottime()),
        method='POST',
        path='/x',
        public_path='/x',
        body=b'',
        headers={},
        stream=False,
        send=send,
    )


@pytest.mark.parametrize('make_flood', FRAMINGS.values(), ids=FRAMINGS.keys())
def test_upstream_whose_answer_does_not_end(make_flood):
    # The answer was kept until the deadline of the call.
    async def run():
        server = EndlessServer(make_flood(b'', b'x'))
        sound = EndlessServer(make_answer(b'whole'))
        await server.start()
        await sound.start()
        client = UpstreamClient(LimitSettings(), AnswerStore())
        sent = []

        async def send(message):
            sent.append(message)

        dispatch = Dispatch('r1', 1, 'u', 0, 1, read_boottime() + 60)
        run = client.run(make_call(send), dispatch, f'http://{server.address}')
        task = asyncio.create_task(run)
        call = make_call(send)
        result = await client.run(call, dispatch, f'http://{sound.address}')
        assert result.status is AttemptStatus.finished
        assert sent[-1]['body'] == b'whole'
        async with asyncio.timeout(20):
            result = await task
        assert result.status is AttemptStatus.broken
        await wait_for_end(server, 1)
        await client.close()
        await sound.stop()
        await server.stop()

    asyncio.run(run())


def test_bundle_of_values_without_end_is_given_up():
    # All values that the manifest names were kept.
    async def run():
        server = EndlessServer(make_answer(b'x' * 900_000))
        await server.start()
        settings = PlatformSettings(url=f'http://{server.address}')
        values = [f'{number:064x}' for number in range(200)]
        manifest = {'format': 1, 'revision': 1, 'values': values}
        async with aiohttp.ClientSession() as session:
            client = PlatformClient(settings, session)
            with pytest.raises(PlatformUnavailableError):
                await client.read_bundle(json.dumps(manifest).encode(), {})
        assert server.started < 100
        await server.stop()

    asyncio.run(run())
