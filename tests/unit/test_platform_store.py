"""The client of the platform's store before connections that go silent."""

import asyncio

from bilberryspoke._internal.network.routing.discovery import RETRY_INTERVAL_S
from bilberryspoke._internal.network.routing.storewatch import WATCH_TIMEOUT_S
from bilberryspoke._internal.platform.store import (
    WATCH_TIMEOUT_MARGIN_S,
    StoreClient,
)
from fakes.links import Link
from fakes.store import StoreStandIn

# A VM has to know again so long after its connections went silent.
STABILITY_WINDOW_S = 3.0
# Retries are delayed by up to this multiple of their interval.
MAX_JITTER = 1.5


def test_watch_uses_no_connection_that_was_idle_and_went_silent():
    """It got no answer there, while new connections worked."""

    async def run():
        store = StoreStandIn()
        await store.start()
        link = Link(store.address)
        await link.start()
        client = StoreClient(link.address, '127.0.0.1')
        store.put('servers/i-1', {})
        first = await client.read_prefix('servers/')
        link.silence()
        store.put('servers/i-1', {'state': 'draining'})
        changes = await client.watch(
            'servers/', first.position.revision, wait_s=0.2
        )
        assert len(changes.values) == 1
        await client.close()
        await link.stop()
        await store.stop()

    asyncio.run(run())


def test_silent_watch_is_noticed_within_the_stability_window():
    """Upstreams that drained meanwhile got calls for 3.4 s."""
    noticed_s = WATCH_TIMEOUT_S + WATCH_TIMEOUT_MARGIN_S
    assert noticed_s + RETRY_INTERVAL_S * MAX_JITTER < STABILITY_WINDOW_S
