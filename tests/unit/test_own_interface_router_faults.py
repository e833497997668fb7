"""Requests of the own interface that an unexpected exception ends."""

import asyncio
import json

import pytest

from bilberryspoke._internal.config.settings import LimitSettings
from bilberryspoke._internal.core import Core, CoreSettings
from bilberryspoke._internal.models.events import CatalogOffered
from bilberryspoke._internal.network.calldriver import CallDriver
from bilberryspoke._internal.network.endpointbase import EndpointContext
from bilberryspoke._internal.network.endpoints import make_entry_app
from bilberryspoke._internal.network.relaying import start_response
from bilberryspoke._internal.network.runtime import Runtime
from tests.lib.builders import build_catalog, build_class

# More than the upstreams have slots.
_MANY_CALLS = 40
_PATH = '/v1/chat/completions'
_BODY = b'{"model":"offer","stream":true,"messages":[{"content":""}]}'


class FaultError(Exception):
    """Stands for an exception that nobody expects."""


class FaultyClient:
    """Upstream client that fails, if told so within its answer."""

    def __init__(self, *, begins=False):
        self.attempts = 0
        self._begins = begins

    async def run(self, call, dispatch, base_url):
        self.attempts += 1
        if self._begins:
            await start_response(call, 200, 'text/event-stream')
        raise FaultError


class Entry:
    """The entry application, with a client that fails."""

    def __init__(self, client):
        self.runtime = Runtime(Core(CoreSettings('a', 'dc1', 1)))
        catalog = build_catalog(build_class('low', 4))
        self.runtime.submit(CatalogOffered(catalog, b''))
        limits = LimitSettings()
        driver = CallDriver(self.runtime, client, limits)
        self._app = make_entry_app(
            EndpointContext(self.runtime, driver, limits)
        )

    async def call(self, req_id):
        """Return what the caller gets, and whether it was raised."""
        sent = []
        messages = [{'type': 'http.request', 'body': _BODY}]

        async def receive():
            if messages:
                return messages.pop()
            return await asyncio.Event().wait()

        async def send(message):
            sent.append(message)

        scope = {
            'type': 'http',
            'method': 'POST',
            'path': _PATH,
            'raw_path': _PATH.encode(),
            'query_string': b'',
            'root_path': '',
            'headers': [
                (b'authorization', b'Bearer w'),
                (b'x-request-id', req_id.encode()),
            ],
        }
        try:
            async with asyncio.timeout(5):
                await self._app(scope, receive, send)
        except FaultError:
            return sent, True
        return sent, False


def test_request_that_the_router_fails_gets_502():
    # It had a 500 of the server, and the request stayed open for ever.
    async def run():
        entry = Entry(FaultyClient())
        return entry, await entry.call('r1')

    entry, (sent, raised) = asyncio.run(run())
    assert not raised
    assert sent[0]['status'] == 502
    error = json.loads(sent[1]['body'])['error']
    assert (error['type'], error['outcome']) == ('router_fault', 'unknown')
    record = entry.runtime.records.find('r1')
    assert (record.outcome, record.reason) == ('unknown', 'router_fault')
    assert entry.runtime.counters.read('calls_crashed') == 1


def test_request_that_the_router_fails_within_its_answer_is_raised():
    async def run():
        entry = Entry(FaultyClient(begins=True))
        return entry, await entry.call('r1')

    entry, (sent, raised) = asyncio.run(run())
    assert raised
    assert [each.get('status') for each in sent] == [200]
    assert entry.runtime.records.find('r1').reason == 'router_fault'


@pytest.mark.parametrize('begins', [False, True])
def test_requests_that_the_router_fails_keep_no_slots(begins):
    # Each kept its slot for ever: later ones got none.
    async def run():
        client = FaultyClient(begins=begins)
        entry = Entry(client)
        for number in range(_MANY_CALLS):
            await entry.call(f'r{number}')
        return client.attempts, entry.runtime.core.state.req_states

    attempts, open_requests = asyncio.run(run())
    assert attempts == _MANY_CALLS
    assert not open_requests
