"""Clients of the store and of upstreams before heads without end."""

import asyncio

import aiohttp
import pytest

from bilberryspoke._internal.config.settings import LimitSettings
from bilberryspoke._internal.exceptions import PlatformUnavailableError
from bilberryspoke._internal.models.routing_effects import ProbeUpstream
from bilberryspoke._internal.network.answers import AnswerStore
from bilberryspoke._internal.network.routing.linkprobes import LinkProber
from bilberryspoke._internal.network.upstreams import UpstreamClient
from bilberryspoke._internal.platform.store import StoreClient
from fakes.endless import EndlessServer, Flood, make_answer

# What a head may have, with what the buffers of two sockets hold.
MAX_SENT_BYTES = 8_000_000
PIECES = 2000
HEADS = {
    'status line': Flood(b'HTTP/1.1 200 ', b'x' * 65_536),
    'header name': Flood(b'HTTP/1.1 200 OK\r\n', b'x' * 65_536),
    'header value': Flood(b'HTTP/1.1 200 OK\r\na: ', b'x' * 65_536),
    'headers': Flood(b'HTTP/1.1 200 OK\r\n', b'a: b\r\n' * PIECES),
    'no answer': Flood(b'\0', b'\0' * 65_536),
}
UNANSWERED = {
    'line ends': Flood(b'\r\n', b'\r\n' * PIECES),
    '100': Flood(b'', b'HTTP/1.1 100 Continue\r\n\r\n' * PIECES),
    '103': Flood(b'', b'HTTP/1.1 103 Early Hints\r\na: b\r\n\r\n' * PIECES),
}
SOUND_ITEM = make_answer(
    b'{"key":"op/config","mod-revision":7,"at":9,"running":1,"waiting":1}'
)
# What comes before a sound answer, which a bounded client does not reach.
SURPLUS = {
    'line ends': b'\r\n' * 500 * PIECES,
    '100': b'HTTP/1.1 100 Continue\r\n\r\n' * PIECES,
    '103': b'HTTP/1.1 103 Early Hints\r\na: b\r\n\r\n' * PIECES,
}


async def check_store(flood):
    """Read from a store that floods, and beside it from a sound one."""
    server, sound = EndlessServer(flood), EndlessServer(SOUND_ITEM)
    await server.start()
    await sound.start()
    client = StoreClient(server.address, '127.0.0.1')
    other = StoreClient(sound.address, '127.0.0.1')
    read = asyncio.create_task(client.read('op/config'))
    stored = await other.read('op/config')
    assert stored.position.revision == 9
    with pytest.raises(PlatformUnavailableError):
        await read
    await check_end(server)
    await client.close()
    await other.close()
    await sound.stop()
    await server.stop()


async def check_probe(flood):
    """Probe an upstream that floods, and beside it a sound one."""
    server, sound = EndlessServer(flood), EndlessServer(make_answer(b''))
    await server.start()
    await sound.start()
    probed = {}
    expired = []

    def submit(event):
        probed[event.instance] = event.accepts

    prober = LinkProber(submit, expired.append)
    for instance, address in (('bad', server.address), ('ok', sound.address)):
        prober.start(ProbeUpstream(instance, 1, address))
    async with asyncio.timeout(10):
        while len(probed) < 2:
            await asyncio.sleep(0.01)
    assert probed == {'bad': False, 'ok': True}
    assert expired == [server.address]
    await check_end(server)
    await prober.close()
    await sound.stop()
    await server.stop()


async def check_load_report(flood):
    """Read a load report of an engine that floods."""
    server = EndlessServer(flood)
    await server.start()
    client = UpstreamClient(LimitSettings(), AnswerStore())
    with pytest.raises((aiohttp.ClientError, TimeoutError)):
        await client.read_load_report(f'http://{server.address}', 1.0)
    await check_end(server)
    await client.close()
    await server.stop()


async def check_end(server):
    """Check that the client ended an answer that goes on, and when."""
    if not server.default.piece:
        return
    async with asyncio.timeout(10):
        while not server.ended:
            await asyncio.sleep(0.01)
    assert max(server.sent_bytes) < MAX_SENT_BYTES


CLIENTS = {
    'store': check_store,
    'probe': check_probe,
    'load report': check_load_report,
}


@pytest.mark.parametrize('check', CLIENTS.values(), ids=CLIENTS.keys())
@pytest.mark.parametrize('flood', HEADS.values(), ids=HEADS.keys())
def test_head_without_end_is_not_kept(check, flood):
    asyncio.run(check(flood))


@pytest.mark.parametrize('check', CLIENTS.values(), ids=CLIENTS.keys())
@pytest.mark.parametrize('flood', UNANSWERED.values(), ids=UNANSWERED.keys())
def test_bytes_before_an_answer_do_not_go_on_without_end(check, flood):
    # Each interim answer was kept, and was read before other work.
    asyncio.run(check(flood))


@pytest.mark.parametrize('check', CLIENTS.values(), ids=CLIENTS.keys())
@pytest.mark.parametrize('surplus', SURPLUS.values(), ids=SURPLUS.keys())
def test_too_many_bytes_before_an_answer_end_the_connection(check, surplus):
    # They were read to their end, how long that might take.
    asyncio.run(check(Flood(surplus + SOUND_ITEM.beginning)))
