"""Arbitrary input from outside the process gives a finding or a clear error.

Covers settings, operator objects, bundles, peer messages, keys, bodies and
calls to the entry application. None of them may raise or answer with 500.
"""

import asyncio
import json

import msgspec
import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from bilberryspoke._internal.config.bundles import (
    Bundle,
    load_bundle,
    make_bundle,
)
from bilberryspoke._internal.config.jsonc import parse_jsonc
from bilberryspoke._internal.config.settings import (
    LimitSettings,
    Settings,
    parse_settings,
)
from bilberryspoke._internal.config.validation import (
    RawObject,
    validate_objects,
)
from bilberryspoke._internal.core import Core, CoreSettings
from bilberryspoke._internal.core.operations.keys import (
    make_issued_key,
    parse_key,
)
from bilberryspoke._internal.models.events import (
    CatalogOffered,
    KeyRequested,
    PeerMessageReceived,
)
from bilberryspoke._internal.models.messages import Envelope, PeerMessage
from bilberryspoke._internal.models.requests import AttemptStatus
from bilberryspoke._internal.network.bodies import parse_chat_request
from bilberryspoke._internal.network.calldriver import CallDriver
from bilberryspoke._internal.network.endpointbase import EndpointContext
from bilberryspoke._internal.network.endpoints import make_entry_app
from bilberryspoke._internal.network.relaying import AttemptResult, split_events
from bilberryspoke._internal.network.runtime import Runtime
from tests.lib.builders import build_catalog, build_class, build_objects

FUZZ = settings(max_examples=150, derandomize=True, deadline=None)
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=8), inner, max_size=4)
    ),
    max_leaves=12,
)


@FUZZ
@given(text=st.text())
def test_any_text_parses_or_gives_a_finding(text):
    found = parse_jsonc(text, source='f')
    assert found.is_ok() or found.error.source == 'f'


def test_syntax_error_has_its_line_number():
    found = parse_jsonc('{\n  // note\n  "a": ,\n}', source='f')
    assert found.error.line == 3


@FUZZ
@given(
    document=JSON
    | st.dictionaries(st.sampled_from(sorted(Settings.model_fields)), JSON),
)
def test_any_settings_are_accepted_or_give_findings(document):
    found = parse_settings(document, source='f')
    assert found.is_ok() or all(each.source == 'f' for each in found.error)


def test_settings_report_all_findings_at_once():
    document = {
        'vm': 'BAD NAME',
        'limits': {'body_bytes': -1, 'surprise': 1},
        'entry': {'port': 70000},
    }
    found = parse_settings(document, source='s.jsonc')
    paths = {each.path for each in found.error}
    assert {
        'vm',
        'data_centre',
        'limits.body_bytes',
        'limits.surprise',
        'entry.port',
    } <= paths


@FUZZ
@given(
    position=st.integers(0, 5),
    name=st.sampled_from(['name', 'kind', 'tier', 'url', 'pool', 'slots']),
    replacement=JSON,
)
def test_any_objects_are_accepted_or_give_findings(position, name, replacement):
    objects = build_objects()
    objects[position][name] = replacement
    validate_objects(RawObject('f', '', each) for each in objects)


@FUZZ
@given(raw=st.binary(max_size=200))
def test_any_bytes_are_no_bundle(raw):
    assert not Bundle(raw, {'x': raw}).prune().values
    assert load_bundle(Bundle(raw, {})).is_error()


@FUZZ
@given(position=st.integers(0, 10_000), flip=st.integers(1, 255))
def test_any_changed_byte_of_a_bundle_is_refused(position, flip):
    raw = [RawObject('f', '', each) for each in build_objects()]
    bundle = make_bundle(validate_objects(raw), 3)
    digest, value = next(iter(bundle.values.items()))
    changed = bytearray(value)
    changed[position % len(changed)] ^= flip
    assert load_bundle(bundle).is_ok()
    spoilt = Bundle(bundle.manifest, {digest: bytes(changed)})
    assert load_bundle(spoilt).is_error()


NAMES = st.sampled_from(['w', 'p', 'low', 'e1', 'r1', 'r2', 'a', 'z', ''])
MESSAGE_TYPES = [
    each for each in PeerMessage.__args__ if each.__name__ != 'ConfigPush'
]


def make_field_strategy(field_type):
    """Return a strategy for a field's values in MessagePack."""
    if field_type is str:
        return NAMES
    if field_type is bool:
        return st.booleans()
    if field_type is AttemptStatus:
        return st.sampled_from([*(each.value for each in AttemptStatus), 'x'])
    if getattr(field_type, '__origin__', None) is list:
        return st.lists(NAMES, max_size=2)
    return st.integers(-3, 10**10) | st.floats()


def make_message_strategy(message_type):
    """Return a strategy for the encoded array of a message: tag, fields."""
    fields = msgspec.structs.fields(message_type)
    tag = message_type.__struct_config__.tag
    return st.tuples(
        st.just(tag), *(make_field_strategy(each.type) for each in fields)
    )


WIRE = st.one_of(*(make_message_strategy(each) for each in MESSAGE_TYPES))


@settings(max_examples=400, derandomize=True, deadline=None)
@given(messages=st.lists(WIRE, min_size=1, max_size=8))
def test_any_peer_messages_leave_the_core_working(messages):
    core = Core(CoreSettings('a', 'dc1', 1))
    catalog = build_catalog(build_class('low', 4))
    core.handle(CatalogOffered(catalog, b''), now=10.0)
    for wire in messages:
        raw = msgspec.msgpack.encode(['z', 5, [list(wire)]])
        try:
            envelope = msgspec.msgpack.decode(raw, type=Envelope)
        except msgspec.MsgspecError:
            continue
        for message in envelope.messages:
            event = PeerMessageReceived('z', 5, message)
            core.handle(event, now=11.0)


@FUZZ
@given(text=st.text(max_size=300))
def test_any_header_is_a_key_or_none(text):
    key = parse_key(text)
    assert key is None or key.text


@FUZZ
@given(raw=st.binary(max_size=100) | JSON.map(lambda d: json.dumps(d).encode()))
def test_any_body_is_summarized_or_refused(raw):
    found = parse_chat_request(raw)
    assert found.is_ok() or found.error.status == 400


class UnreachableClient:
    """Upstream client whose attempts all end as unreachable."""

    async def run(self, call, dispatch, base_url):
        return AttemptResult(AttemptStatus.unreachable)


def make_scope(path, method, headers):
    """Return the ASGI scope of one HTTP request."""
    return {
        'type': 'http',
        'method': method,
        'path': path,
        'raw_path': path.encode(),
        'query_string': b'',
        'root_path': '',
        'headers': headers,
    }


def call_entry(path, method, headers, body):
    """Send a request to the entry application; return its ASGI messages."""

    async def run():
        core = Core(CoreSettings('a', 'dc1', 1))
        runtime = Runtime(core)
        runtime.submit(CatalogOffered(build_catalog(), b''))
        limits = LimitSettings(body_bytes=1000)
        front = EndpointContext(
            runtime, CallDriver(runtime, UnreachableClient(), limits), limits
        )
        sent = []
        messages = [{'type': 'http.request', 'body': body}]

        async def receive():
            if messages:
                return messages.pop()
            await asyncio.sleep(60)

        async def send(message):
            sent.append(message)

        scope = make_scope(path, method, headers)
        await make_entry_app(front)(scope, receive, send)
        return sent

    return asyncio.run(run())


@settings(max_examples=150, derandomize=True, deadline=None)
@given(
    path=st.sampled_from(
        [
            '/v1/chat/completions',
            '/v1/services/offer/x',
            '/v1/services//',
            '/v1/operation-keys',
            '/v1/models',
            '/nothing',
        ]
    ),
    method=st.sampled_from(['GET', 'POST', 'DELETE']),
    names=st.lists(
        st.sampled_from(
            [
                b'authorization',
                b'x-request-id',
                b'x-request-class',
                b'idempotency-key',
            ]
        ),
        max_size=4,
    ),
    texts=st.lists(
        st.binary(max_size=20) | st.sampled_from([b'Bearer w', b'top']),
        min_size=4,
        max_size=4,
    ),
    body=st.binary(max_size=60)
    | st.sampled_from(
        [
            b'x' * 2000,
            b'{"model":"offer","messages":[{"content":"x"}],"stream":true}',
        ]
    ),
)
def test_any_call_gets_one_whole_answer(path, method, names, texts, body):
    headers = list(zip(names, texts, strict=False))
    sent = call_entry(path, method, headers, body)
    assert sent[0]['type'] == 'http.response.start'
    assert 200 <= sent[0]['status'] < 600
    assert sent[0]['status'] != 500
    assert len([each for each in sent if 'status' in each]) == 1


@pytest.mark.parametrize(
    ('body', 'status', 'kind'),
    [
        (b'{', 400, 'malformed'),
        (b'{"model":"offer","messages":[]}', 400, 'malformed'),
        (b'{"model":"no","messages":[{"content":""}]}', 404, 'unknown_model'),
        (b'x' * 2000, 413, 'too_large'),
        (b'{"model":"offer","messages":[{"content":""}]}', 503, 'unreachable'),
    ],
)
def test_errors_have_their_status_type_and_outcome(body, status, kind):
    headers = [(b'authorization', b'Bearer w')]
    sent = call_entry('/v1/chat/completions', 'POST', headers, body)
    assert sent[0]['status'] == status
    error = json.loads(sent[1]['body'])['error']
    assert error['type'] == kind
    assert error['outcome'] == 'not_run'
    assert error['request_id']


# Chunk that ends after the first line feed of an empty event.
@example(events=[b'', b''], cuts=[3])
@FUZZ
@given(
    events=st.lists(st.binary(max_size=8).filter(lambda b: b'\n' not in b)),
    cuts=st.lists(st.integers(0, 200), max_size=6),
)
def test_events_are_cut_at_their_ends_wherever_chunks_break(events, cuts):
    check_split(events, cuts)


@FUZZ
@given(
    events=st.lists(
        st.binary(min_size=1, max_size=8).filter(lambda b: b'\n' not in b),
    ),
    cuts=st.lists(st.integers(0, 200), max_size=6),
)
def test_events_with_data_are_split_wherever_chunks_break(events, cuts):
    check_split(events, cuts)


def check_split(events, cuts):
    raw = b''.join(event + b'\n\n' for event in events)
    places = sorted({min(cut, len(raw)) for cut in cuts} | {0, len(raw)})
    tail = b''
    passed = b''
    for start, end in zip(places, places[1:], strict=False):
        whole, tail = split_events(tail + raw[start:end])
        assert not whole or whole.endswith(b'\n\n')
        passed += whole
    assert passed + tail == raw
    assert tail == b''


class HangingClient:
    """Upstream client whose attempts get no response for 60 s."""

    async def run(self, call, dispatch, base_url):
        await asyncio.sleep(60)


def test_queued_operation_is_dropped_when_caller_disconnects():
    async def run():
        core = Core(CoreSettings('a', 'dc1', 1))
        runtime = Runtime(core)
        booking = build_class('book', 1, protected=True, repeatable=False)
        catalog = build_catalog(
            booking, serves='service', upstream_count=1, slots=1
        )
        runtime.submit(CatalogOffered(catalog, b''))
        limits = LimitSettings()
        call_driver = CallDriver(runtime, HangingClient(), limits)
        app = make_entry_app(EndpointContext(runtime, call_driver, limits))
        tasks = []
        disconnected = asyncio.Event()
        for number in range(2):
            runtime.submit(KeyRequested('w', f'{number:032x}'))
            key = make_issued_key('a', 1, f'{number:032x}')
            messages = [{'type': 'http.request', 'body': b'{}'}]

            async def receive(left=messages):
                if left:
                    return left.pop()
                await disconnected.wait()
                return {'type': 'http.disconnect'}

            async def send(message):
                """Discard the response; the caller has disconnected."""

            headers = [
                (b'authorization', b'Bearer w'),
                (b'idempotency-key', key.encode()),
            ]
            scope = make_scope('/v1/services/offer/x', 'POST', headers)
            tasks.append(asyncio.create_task(app(scope, receive, send)))
            await asyncio.sleep(0)
            await asyncio.sleep(0.01)
        assert len(runtime.calls) == 2
        disconnected.set()
        await asyncio.wait_for(tasks[1], 5)
        # The running operation continues; its key must not be reported free.
        assert len(runtime.calls) == 1
        assert len(core.state.req_states) == 1
        tasks[0].cancel()

    asyncio.run(run())


def test_oversized_headers_are_refused():
    headers = [(b'authorization', b'Bearer w'), (b'x-long', b'x' * 40_000)]
    sent = call_entry('/v1/models', 'GET', headers, b'')
    assert sent[0]['status'] == 431
    assert json.loads(sent[1]['body'])['error']['outcome'] == 'not_run'


class CountingHangingClient:
    """Upstream client that counts attempts, which get no response for 60 s."""

    def __init__(self):
        self.attempts = 0

    async def run(self, call, dispatch, base_url):
        self.attempts += 1
        await asyncio.sleep(60)


def test_attempts_time_out_at_hanging_upstream():
    async def run():
        core = Core(CoreSettings('a', 'dc1', 1, retry_share=0.0))
        core.state.retries.balance = 1
        runtime = Runtime(core)
        catalog = build_catalog(build_class('low', 4))
        runtime.submit(CatalogOffered(catalog, b''))
        client = CountingHangingClient()
        limits = LimitSettings()
        call_driver = CallDriver(runtime, client, limits)
        app = make_entry_app(EndpointContext(runtime, call_driver, limits))
        sent = []
        messages = [
            {
                'type': 'http.request',
                'body': b'{"model":"offer","messages":[{"content":""}]}',
            },
        ]

        async def receive():
            if messages:
                return messages.pop()
            await asyncio.sleep(60)

        async def send(message):
            sent.append(message)

        headers = [(b'authorization', b'Bearer w')]
        scope = make_scope('/v1/chat/completions', 'POST', headers)
        task = asyncio.create_task(app(scope, receive, send))
        for _ in range(400):
            await asyncio.sleep(0.005)
            runtime.abort_stalled_calls(30, 0.01)
            if task.done():
                break
        await asyncio.wait_for(task, 5)
        assert client.attempts == 2
        assert sent[0]['status'] == 504
        assert json.loads(sent[1]['body'])['error']['outcome'] == 'unknown'

    asyncio.run(run())
