"""Commands of the core for the exchange of a call with its caller."""

import asyncio

from bilberryspoke._internal.models.routing_effects import (
    CancelSend,
    RefuseCall,
    Send,
)
from bilberryspoke._internal.network.routing import effects as effects
from bilberryspoke._internal.network.routing.exchange import Exchange
from bilberryspoke._internal.network.runtime import Runtime
from tests.lib.routedcore import RUN_ONCE_ROUTE, RoutedCore, build_call


def build_send(call_id, attempt):
    return Send(
        call_id=call_id,
        attempt=attempt,
        instance='app-0',
        address='app-0:80',
        priority=None,
        upstream_deadline_at=4.0,
        last_event_id=None,
    )


def test_send_cancelled_before_it_began_does_not_begin():
    # A VM that stood still sent a call that it had timed out in that turn.
    async def run():
        call = build_call('c1', RUN_ONCE_ROUTE)
        exchange = Exchange(call, 'POST', '/once/', b'', [], send=None)
        runtime = Runtime(RoutedCore().core)
        runtime.calls['c1'] = exchange
        refusal = RefuseCall('c1', 'timeout', not_run=False, timed_out=True)
        runtime.execute(build_send('c1', attempt=1))
        runtime.execute(CancelSend('c1', attempt=1))
        runtime.execute(refusal)
        assert await exchange.next_command() == refusal
        later = build_send('c1', attempt=2)
        runtime.execute(later)
        assert await exchange.next_command() == later

    asyncio.run(run())
