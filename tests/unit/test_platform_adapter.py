"""Decoding of the platform's settings, records and headers."""

import asyncio
import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bilberryspoke._internal.models.routing import RetrySafety
from bilberryspoke._internal.models.routing_messages import StoreSnapshot
from bilberryspoke._internal.network.peers import PeerTransport
from bilberryspoke._internal.network.routing.eventstream import EventSplitter
from bilberryspoke._internal.platform.boot import (
    parse_boot_settings,
    read_boot_settings,
)
from bilberryspoke._internal.platform.records import (
    decode_route_table,
    decode_upstream,
)
from bilberryspoke._internal.platform.requestheaders import (
    SendHeaders,
    make_send_headers,
    parse_call_headers,
)
from bilberryspoke._internal.platform.responseheaders import (
    parse_response_headers,
)
from tests.lib.platformdata import (
    build_boot_settings,
    build_config,
    build_server_entry,
)


def encode(document):
    return json.dumps(document).encode()


def test_settings_are_decoded_and_unknown_fields_ignored(tmp_path):
    path = tmp_path / 'settings.yaml'
    path.write_text(
        json.dumps(build_boot_settings(seeds=['10.1.0.1', '10.2.0.1']))
    )
    node = read_boot_settings(path).ok
    assert node.vm == 'front-1'
    assert node.seed_hosts == ('10.1.0.1', '10.2.0.1')
    assert (node.data_centre, node.bounds.stop_timeout_s) == ('levis', 8)
    assert node.bounds.retry_reserve == 56


def test_boot_settings_report_all_findings_at_once(tmp_path):
    boot = build_boot_settings(node='', **{'internal-ports': [1]})
    boot['listen']['front'] = 'nowhere'
    boot['platform'] = {}
    found = parse_boot_settings(boot, source='s.yaml').error
    places = {finding.path for finding in found}
    assert places == {
        'node',
        'internal-ports.1',
        'listen.front',
        'platform.address',
    }
    path = tmp_path / 'broken.yaml'
    path.write_text('node: "a\nlisten: [')
    [finding] = read_boot_settings(path).error
    assert finding.line > 0
    assert read_boot_settings(tmp_path / 'none.yaml').is_error()


def test_configuration_is_decoded_into_route_table():
    table = decode_route_table(encode(build_config(7))).ok
    repeats = {route.name: route.repeats for route in table.routes}
    assert repeats == {
        'safe': RetrySafety.any_time,
        'once': RetrySafety.never,
        'open': RetrySafety.any_time,
        'short': RetrySafety.any_time,
        'stream': RetrySafety.never,
        'draft': RetrySafety.resumed,
        'resume': RetrySafety.resumed,
    }
    assert table.api_key_holders['key-3'].workspace == 'desk'
    assert table.services['llm'].engine.kv_tokens == 232_000
    assert table.find_route('calls.example', '/safe/x').name == 'safe'
    assert table.find_route('calls.example', '/saf') is None


@pytest.mark.parametrize(
    ('change', 'place'),
    [
        ({'version': 'x'}, '$.version'),
        ({'routes': [{'name': 'r'}]}, '$.routes[0]'),
        (
            {'routes': [{**build_config()['routes'][0], 'kind': 'new'}]},
            '$.routes[0]',
        ),
        (
            {'routes': [{**build_config()['routes'][0], 'service': ''}]},
            '$.routes[0]',
        ),
    ],
)
def test_invalid_configuration_error_has_its_path(change, place):
    error = decode_route_table(encode(build_config(**change))).error
    assert place in error


@pytest.mark.parametrize(
    'change',
    [
        {'state': 'resting'},
        {'address': 'nowhere'},
        {'service': 7},
        {'slots': 'many'},
    ],
)
def test_invalid_server_entry_is_rejected(change):
    raw = encode(build_server_entry(**change))
    assert decode_upstream('servers/i-1', raw).is_error()
    assert decode_upstream('servers/i-1', b'\xff').is_error()
    assert decode_upstream('servers/i-1', encode(build_server_entry())).is_ok()


@pytest.mark.parametrize(
    'change',
    [
        {'slots': 10**30},
        {'sequence': 10**30},
        {'born': 10**30},
        {'cold-remaining-ms': 1e12},
        {'service': 'x' * 1_000_000},
    ],
)
def test_entry_that_other_vms_could_not_read_is_unusable(change):
    """A VM that passed such an entry on reached no other VM any more."""
    raw = encode(build_server_entry(**change))
    assert decode_upstream('servers/i-1', raw).is_error()


def test_message_that_can_not_be_encoded_holds_up_no_other():
    """Messages to other VMs in the same turn were lost with it."""

    async def run():
        receiver = PeerTransport('b', 1)
        address = receiver.bind('127.0.0.1', 0)
        received = asyncio.Queue()
        receiver.start_receiving(received.put_nowait)
        sender = PeerTransport('a', 1)
        sender.connect_peer('c', address)
        sender.connect_peer('b', address)
        async with asyncio.timeout(5):
            while received.empty():
                sender.send('c', StoreSnapshot(10**30, 1, b'', []))
                sender.send('b', StoreSnapshot(7, 1, b'', []))
                await asyncio.sleep(0.05)
        envelope = received.get_nowait()
        assert envelope.messages[0].version == 7
        sender.close()
        receiver.close()

    asyncio.run(run())


def test_router_headers_are_never_copied_from_caller():
    raw = [
        (b'host', b'calls.example'),
        (b'x-attempt-id', b'a1'),
        (b'x-deadline-ms', b'700'),
        (b'x-token-counts', b'1460,80'),
        (b'x-prompt-prefix', b'5c1e:800,broken,e440:250'),
        (b'authorization', b'Bearer secret'),
        (b'x-kv-backup', b'forged'),
        (b'connection', b'close, x-private'),
        (b'x-private', b'1'),
        (b'x-length-hint', b'20'),
    ]
    headers = parse_call_headers(raw, keep_authorization=False)
    assert (headers.req_id, headers.wait_s, headers.key) == (
        'a1',
        0.7,
        'secret',
    )
    assert (headers.prompt_tokens, headers.output_tokens) == (1460, 80)
    assert [part.tokens for part in headers.parts] == [800, 250]
    added = SendHeaders('i-1', 0.5, 3, 'press', 12)
    sent = dict(make_send_headers(headers.forwarded, added))
    assert sent == {
        b'host': b'calls.example',
        b'x-attempt-id': b'a1',
        b'x-token-counts': b'1460,80',
        b'x-prompt-prefix': b'5c1e:800,broken,e440:250',
        b'x-length-hint': b'20',
        b'x-expect-instance': b'i-1',
        b'x-deadline-ms': b'500',
        b'x-tenant': b'press',
        b'x-request-priority': b'3',
        b'last-event-id': b'12',
    }


def test_response_headers_give_not_run_and_keep_alive():
    parsed = parse_response_headers(200, [(b'Keep-Alive', b'timeout=7, max=3')])
    assert (parsed.keep_alive_s, parsed.not_run, parsed.has_seal) == (
        7,
        False,
        False,
    )
    assert parse_response_headers(421, []).not_run
    assert parse_response_headers(503, [(b'X-Not-Executed', b'1')]).not_run
    assert not parse_response_headers(503, []).not_run


@given(chunk_sizes=st.lists(st.integers(1, 60), max_size=40))
def test_event_splitter_returns_whole_events_for_any_chunks(chunk_sizes):
    raw = b''.join(b'id: %d\ndata: x%d\n\n' % (n, n) for n in range(1, 20))
    splitter = EventSplitter()
    passed = b''
    at = 0
    for size in [*chunk_sizes, len(raw)]:
        whole = splitter.feed(raw[at : at + size])
        at += size
        assert not whole or whole.endswith(b'\n\n')
        passed += whole
    assert (passed, splitter.last_id, splitter.remainder) == (raw, 19, b'')


@pytest.mark.parametrize('ids', [(1, 3), (1, 1), (2, 1)])
def test_missing_or_duplicate_event_ids_are_detected(ids):
    splitter = EventSplitter()
    for event_id in ids:
        splitter.feed(b'id: %d\n\n' % event_id)
    assert splitter.broken


def test_event_without_end_breaks_the_stream_before_memory_runs_out():
    """An event without a blank line was collected until the route's timeout."""
    splitter = EventSplitter()
    chunk = b'data: ' + b'x' * 65_530
    collected = 0
    while not splitter.broken and collected < 16 * 1_048_576:
        assert not splitter.feed(chunk)
        collected += len(chunk)
    assert splitter.broken
    assert collected <= 2 * 1_048_576


def test_unfinished_event_is_not_copied_with_each_part():
    """An event in many small parts took the processor for seconds."""
    splitter = EventSplitter()
    splitter.feed(b'id: 1\ndata: ')
    collected = splitter.remainder
    for _ in range(1000):
        splitter.feed(b'x')
    assert splitter.remainder is collected
    assert splitter.feed(b'\n') == b''
    assert splitter.feed(b'\n') == b'id: 1\ndata: %s\n\n' % (b'x' * 1000)
    assert splitter.remainder == b''


@pytest.mark.parametrize(
    ('last_event_id', 'resumed'),
    [(b'3', 'first'), (b'', ''), (b'x', ''), (None, '')],
)
def test_call_that_resumes_after_no_event_begins_a_stream_of_its_own(
    last_event_id, resumed
):
    """It was kept under the id of the other stream, and could not be found."""
    raw = [(b'resumes', b'first')]
    if last_event_id is not None:
        raw.append((b'last-event-id', last_event_id))
    headers = parse_call_headers(raw, keep_authorization=False)
    assert headers.resumed_req_id == resumed
