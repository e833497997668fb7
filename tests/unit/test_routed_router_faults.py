"""Calls that an unexpected exception of the router itself ends."""

import asyncio

import pytest

from bilberryspoke._internal.models.routing import IngressLimits, SendStatus
from bilberryspoke._internal.models.routing_events import (
    RoutesOffered,
    SendEnded,
)
from bilberryspoke._internal.network.routing import effects as effects
from bilberryspoke._internal.network.routing.holding import HeldBytes
from bilberryspoke._internal.network.routing.ingress import Ingress
from bilberryspoke._internal.network.runtime import Runtime
from tests.lib.routedcore import RoutedCore, build_table


class FaultError(Exception):
    """Stands for an exception that nobody expects."""


class FaultySender:
    """Sender that fails after it sent parts of an answer."""

    def __init__(self, parts=0):
        self.held = HeldBytes()
        self.runs = 0
        self._parts = parts

    async def run(self, exchange, effect):
        self.runs += 1
        for number in range(self._parts):
            if not number:
                await exchange.start(200, [])
            await exchange.write(b'part')
        raise FaultError


class LoggedRuntime(Runtime):
    """Runtime that keeps the decisions that it logs."""

    def log_decision(self, event, fields, *, important):
        self.__dict__.setdefault('logged', []).append((event, dict(fields)))


def make_scope(path='/once/'):
    return {
        'path': path,
        'raw_path': path.encode(),
        'query_string': b'',
        'method': 'POST',
        'headers': [
            (b'host', b'calls.example'),
            (b'authorization', b'Bearer key-1'),
            (b'x-attempt-id', b'r1'),
        ],
    }


def call_ingress(sender, *, scope=None, **options):
    """Return what a caller gets, the runtime, and whether it was raised."""
    sent = []
    messages = [{'type': 'http.request', 'body': b''}]

    async def receive():
        if messages:
            return messages.pop()
        return await asyncio.Event().wait()

    async def send(message):
        sent.append(message)

    async def run():
        core = RoutedCore()
        table = build_table(2, limits=IngressLimits())
        core.handle(RoutesOffered(table), now=0.0)
        runtime = LoggedRuntime(core.core)
        ingress = Ingress(runtime, sender, **options)
        try:
            await ingress(scope or make_scope(), receive, send)
        except FaultError:
            return runtime, True
        return runtime, False

    runtime, raised = asyncio.run(run())
    return sent, runtime, raised


def read_outcome(runtime):
    """Return the outcomes that the log has of calls."""
    return [
        fields['outcome']
        for event, fields in runtime.logged
        if event == 'call_ended'
    ]


@pytest.mark.parametrize('takes_handoffs', [False, True])
@pytest.mark.parametrize('path', ['/once/', '/read/', '/drafts/'])
def test_call_that_the_router_fails_gets_502(path, takes_handoffs):
    # The connection closed without an answer; the log said caller_gone.
    sender = FaultySender()
    sent, runtime, raised = call_ingress(
        sender, scope=make_scope(path), takes_handoffs=takes_handoffs
    )
    assert not raised
    assert [each.get('status') for each in sent] == [502, None]
    assert sent[1]['body'] == b'router_fault'
    # Nothing says that the call did not run.
    assert {name for name, _ in sent[0]['headers']} == {
        b'content-type',
        b'content-length',
    }
    assert sender.runs == 1
    assert read_outcome(runtime) == ['router_fault']
    assert runtime.counters.read('calls_crashed') == 1
    assert not runtime.core.state.routing.calls


def test_call_that_the_router_fails_within_its_answer_is_raised():
    sent, runtime, raised = call_ingress(FaultySender(parts=2))
    assert raised
    assert [each.get('status') for each in sent] == [200, None, None]
    assert all(each.get('more_body') for each in sent[1:])
    assert read_outcome(runtime) == ['router_fault']
    assert runtime.counters.read('calls_crashed') == 1


def test_call_that_the_router_fails_takes_no_slot():
    _, runtime, _ = call_ingress(FaultySender())
    upstreams = runtime.core.state.routing.upstreams.values()
    assert not any(upstream.sends for upstream in upstreams)


def test_call_that_the_router_fails_before_it_is_taken_gets_502():
    scope = make_scope()
    del scope['method']
    sent, runtime, _ = call_ingress(FaultySender(), scope=scope)
    assert [each.get('status') for each in sent] == [502, None]
    assert runtime.counters.read('calls_crashed') == 1


def test_call_whose_send_ended_before_the_fault_keeps_its_outcome():
    # Control: a finished call is not ended again.
    class FinishingSender(FaultySender):
        async def run(self, exchange, effect):
            await exchange.start(200, [])
            await exchange.finish(b'whole')
            return SendEnded('vm-1/1', effect.attempt, SendStatus.finished)

    sent, runtime, raised = call_ingress(FinishingSender())
    assert not raised
    assert sent[0]['status'] == 200
    assert read_outcome(runtime) == ['finished']
