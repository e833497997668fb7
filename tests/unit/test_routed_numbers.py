"""Numbers of callers, upstreams and the store that no VM can work with."""

import json

import msgspec
import pytest

from bilberryspoke._internal.models.effects import SendPeerMessage
from bilberryspoke._internal.models.events import PeerMessageReceived, Tick
from bilberryspoke._internal.models.messages import Envelope
from bilberryspoke._internal.models.routing_events import UpstreamChanged
from bilberryspoke._internal.models.routing_messages import RoutingHeartbeat
from bilberryspoke._internal.platform.records import decode_upstream
from bilberryspoke._internal.platform.requestheaders import parse_call_headers
from tests.lib.platformdata import build_server_entry
from tests.lib.routedcore import DRAFT_ROUTE, RoutedCore, build_call

HUGE = '9' * 30
TOO_LONG = '9' * 5000


def encode_for_peers(core, now):
    """Return the decoded messages that a peer gets, as the transport does."""
    heartbeat = RoutingHeartbeat('127.0.0.2:1', 1, 1, True)
    core.handle(PeerMessageReceived('vm-2', 1, heartbeat), now=now)
    effects = core.handle(Tick(), now=now + 0.2)
    messages = [each.message for each in effects if is_for_peer(each)]
    raw = msgspec.msgpack.encode(Envelope('vm-1', 1, messages))
    return msgspec.msgpack.decode(raw, type=Envelope).messages


def is_for_peer(effect):
    return isinstance(effect, SendPeerMessage) and effect.peer == 'vm-2'


@pytest.mark.parametrize('count', [HUGE, TOO_LONG, '-5', 'many', '1e9', ''])
def test_token_counts_of_a_caller_stop_no_heartbeat(count):
    """A caller's X-Token-Counts ended the process, or cut it off from peers."""
    raw = [
        (b'host', b'calls.example'),
        (b'x-token-counts', f'{count},{count}'.encode()),
        (b'x-prompt-prefix', f'a:{count},b:{count},c:5'.encode()),
    ]
    headers = parse_call_headers(raw, keep_authorization=False)
    core = RoutedCore()
    call = build_call(
        'd',
        DRAFT_ROUTE,
        prompt_tokens=headers.prompt_tokens,
        parts=headers.parts,
    )
    assert core.arrive(call, now=0.0) is not None
    assert encode_for_peers(core, now=0.1)


@pytest.mark.parametrize('field', ['slots', 'born', 'sequence'])
@pytest.mark.parametrize('number', [int(HUGE), 2**64, -(2**70), -1])
def test_numbers_of_an_upstream_stop_no_heartbeat(field, number):
    entry = build_server_entry(
        service='llm', address='10.0.0.1:80', **{field: number}
    )
    decoded = decode_upstream('servers/i-1', json.dumps(entry).encode())
    core = RoutedCore()
    if decoded.is_ok():
        core.handle(UpstreamChanged('i-1', decoded.ok), now=0.0)
    core.arrive(build_call('d'), now=0.0)
    assert encode_for_peers(core, now=0.1)


def test_upstream_with_a_negative_number_of_slots_has_one():
    entry = build_server_entry(service='llm', address='10.0.0.1:80', slots=-3)
    decoded = decode_upstream('servers/i-1', json.dumps(entry).encode())
    assert decoded.ok.slots == 1


@pytest.mark.parametrize('event_id', [1_764_000_000_000_000, 2**63 - 1])
def test_event_ids_of_64_bits_are_kept(event_id):
    """A stream whose ids are times in microseconds was resumed elsewhere."""
    raw = [(b'last-event-id', b'%d' % event_id)]
    headers = parse_call_headers(raw, keep_authorization=False)
    assert headers.last_event_id == event_id
