"""Answers, retries and not-run guarantees, as callers of processes see them."""

import asyncio

import pytest

from bilberryspoke._internal.network.routing.ingress import Ingress
from bilberryspoke._internal.network.runtime import Runtime
from fakes.upstream import make_stream
from tests.lib.routedcore import RoutedCore
from tests.lib.routedfleet import run_routed_fleet, wait_until


def script_answers(fleet, service, *answers):
    """Script the next answers of all upstreams of a service."""
    for upstream in fleet.upstreams.values():
        if upstream.instance.startswith(f'i-{service}'):
            upstream.answers[:] = answers


def list_runs(fleet):
    return [run for each in fleet.upstreams.values() for run in each.runs]


async def check_call_is_forwarded_without_forged_headers(fleet):
    resp = await fleet.call(
        '/once/a%20b/c?x=1&y=%2F',
        'a1',
        method='POST',
        body=b'\x00body\xff',
        X_Custom='kept',
        X_Tenant='forged',
        X_Expect_Instance='forged',
        X_Request_Priority='0',
        X_Kv_Hold='forged',
        Kv_From='forged',
        Connection='X-Hop',
        X_Hop='dropped',
    )
    assert (resp.status, resp.body) == (200, b'answer to a1')
    assert resp.headers['x-response-seal'] == 'seal-of-a1'
    [run] = list_runs(fleet)
    assert run.target == '/once/a%20b/c?x=1&y=%2F'
    assert (run.method, run.body) == ('POST', b'\x00body\xff')
    assert run.headers['host'] == 'calls.example'
    assert run.headers['x-custom'] == 'kept'
    assert run.headers['x-tenant'] == 'press'
    assert run.headers['x-expect-instance'] in fleet.upstreams
    assert int(run.headers['x-deadline-ms']) <= 5000
    dropped = {'authorization', 'x-kv-hold', 'kv-from', 'x-hop'}
    assert not dropped & set(run.headers)
    assert 'x-request-priority' not in run.headers


async def check_unmatched_calls_do_not_run(fleet):
    assert (await fleet.call('/nowhere/', 'm1')).status == 404
    assert (await fleet.call('/safe', 'm2')).status == 404
    assert (await fleet.call('/safe/', 'm3', key='wrong')).status == 401
    assert (await fleet.call('/safe/', 'm4', key=None)).status == 401
    assert (await fleet.call('/open/', 'm5', key=None)).status == 200
    assert (
        await fleet.call('/safe/', 'm6', Host='other.example')
    ).status == 404
    big = b'x' * 100_001
    too_large = await fleet.call('/once/', 'm7', method='POST', body=big)
    assert too_large.status == 413
    assert {run.req_id for run in list_runs(fleet)} == {'m5'}


@pytest.mark.parametrize(
    'steps',
    [
        check_call_is_forwarded_without_forged_headers,
        check_unmatched_calls_do_not_run,
    ],
)
def test_ingress_forwards_only_valid_calls(steps):
    async def run():
        async with run_routed_fleet(scripted_engines=0) as fleet:
            await steps(fleet)

    asyncio.run(run())


INVALID_ANSWERS = (
    'truncated',
    'unframed_reset',
    'reset',
    'unsealed',
    'foreign',
)


def test_invalid_answers_are_never_forwarded():
    """No caller gets a truncated, foreign or unsealed answer.

    A foreign answer has the id, seal and body of another call.
    Idempotent calls are retried once; others run once and get a 502, because
    it is unknown whether they took effect.
    """

    async def run():
        async with run_routed_fleet(scripted_engines=0) as fleet:
            for name in INVALID_ANSWERS:
                script_answers(fleet, 'app', name)
                once = await fleet.call('/once/', f'o-{name}', method='POST')
                assert (once.status, once.whole) == (502, True), name
                assert fleet.count_runs(f'o-{name}') == 1
                # Either upstream may be chosen first; the retry goes to the
                # other one, whose next answer is invalid as well.
                script_answers(fleet, 'app', name)
                safe = await fleet.call('/safe/', f's-{name}')
                both_invalid = safe.status == 502
                assert (
                    both_invalid or safe.body == f'answer to s-{name}'.encode()
                )
                assert fleet.count_runs(f's-{name}') == 2
                script_answers(fleet, 'app')

    asyncio.run(run())


def test_non_idempotent_get_runs_once_when_its_connection_breaks():
    """The HTTP client sent it again by itself, on a new connection too."""

    async def run():
        async with run_routed_fleet(
            scripted_engines=0, app_upstreams=1
        ) as fleet:
            script_answers(fleet, 'app', 'reset')
            resp = await fleet.call('/once/', 'g1')
            assert (resp.status, fleet.count_runs('g1')) == (502, 1)

    asyncio.run(run())


def test_answer_without_length_is_complete_after_orderly_close():
    async def run():
        async with run_routed_fleet(scripted_engines=0) as fleet:
            script_answers(fleet, 'app', 'unframed')
            resp = await fleet.call('/once/', 'u1', method='POST')
            assert (resp.status, resp.body) == (200, b'answer to u1')

    asyncio.run(run())


def test_unrequested_second_answer_is_discarded():
    """Bytes after an answer must not become the next caller's answer."""

    async def run():
        async with run_routed_fleet(
            scripted_engines=0, app_upstreams=1
        ) as fleet:
            upstream = fleet.upstreams['i-app0']
            for number in range(6):
                upstream.answers[:] = ['extra']
                req_id = f'x{number}'
                resp = await fleet.call('/safe/', req_id)
                assert resp.body == f'answer to {req_id}'.encode()
                # Long enough for the second answer to arrive on the idle
                # connection.
                await asyncio.sleep(0.1)

    asyncio.run(run())


def test_dead_connection_stops_use_of_other_idle_connections():
    """A broken network path fails one non-idempotent call, not several.

    Each idle connection to the upstream is dead. After the first failure the
    others must not be used, as each would fail one more call.
    """

    async def run():
        async with run_routed_fleet(
            scripted_engines=0, app_upstreams=1
        ) as fleet:
            upstream = fleet.upstreams['i-app0']
            upstream.default = 'hold'
            calls = [
                asyncio.create_task(
                    fleet.call('/once/', f'k{each}', method='POST'),
                )
                for each in range(5)
            ]
            await wait_until(lambda: len(upstream.runs) == 5)
            upstream.release.set()
            await asyncio.gather(*calls)
            assert upstream.connections == 5
            upstream.reset_on_next_use()
            statuses = [
                (await fleet.call('/once/', f'l{each}', method='POST')).status
                for each in range(5)
            ]
            assert statuses == [502, 200, 200, 200, 200]

    asyncio.run(run())


def test_upstream_error_is_forwarded_unchanged():
    async def run():
        async with run_routed_fleet(scripted_engines=0) as fleet:
            script_answers(fleet, 'app', 'error')
            resp = await fleet.call('/once/', 'f1', method='POST')
            assert (resp.status, resp.body) == (500, b'failed')
            assert resp.headers['x-response-seal'] == 'seal-of-f1'
            assert fleet.count_runs('f1') == 1
            script_answers(fleet, 'app', 'error', 'error')
            resp = await fleet.call('/safe/', 'f2')
            assert (resp.status, fleet.count_runs('f2')) == (500, 2)

    asyncio.run(run())


def test_refused_calls_never_run():
    """A call refused with 503 runs neither then nor later.

    One call is refused by the upstreams, and its response must have
    Retry-After; the other is refused by the router, which has no upstream.
    """

    async def run():
        async with run_routed_fleet(scripted_engines=0) as fleet:
            script_answers(fleet, 'app', 'busy')
            resp = await fleet.call('/once/', 'r1', method='POST')
            assert resp.status == 503
            assert float(resp.headers['retry-after']) > 0
            script_answers(fleet, 'app')
            for instance in list(fleet.upstreams):
                fleet.store.delete(f'servers/{instance}')
            await wait_until(
                lambda: (
                    len(fleet.nodes[0].list_events('upstream_dropped')) == 2
                ),
            )
            resp = await fleet.call('/once/', 'r2', method='POST')
            assert resp.status == 503
            assert fleet.count_runs('r1') + fleet.count_runs('r2') == 0

    asyncio.run(run())


def test_unreachable_upstream_does_not_count_as_attempt():
    async def run():
        async with run_routed_fleet(scripted_engines=0) as fleet:
            await fleet.upstreams['i-app0'].stop()
            for number in range(8):
                req_id = f'n{number}'
                resp = await fleet.call('/once/', req_id, method='POST')
                assert resp.status == 200
                assert fleet.count_runs(req_id) == 1

    asyncio.run(run())


def test_route_timeout_answers_504():
    async def run():
        async with run_routed_fleet(
            scripted_engines=0, app_upstreams=1
        ) as fleet:
            upstream = fleet.upstreams['i-app0']
            upstream.answers[:] = ['hold']
            resp = await fleet.call('/short/', 't1')
            assert resp.status == 504
            assert int(upstream.runs[0].headers['x-deadline-ms']) <= 300
            await wait_until(lambda: upstream.runs[0].ended)

    asyncio.run(run())


def test_caller_disconnect_aborts_upstream_call():
    """The connection to the upstream is closed with the caller's."""

    async def run():
        async with run_routed_fleet(
            scripted_engines=0, app_upstreams=1
        ) as fleet:
            upstream = fleet.upstreams['i-app0']
            upstream.answers[:] = ['hold']
            call = asyncio.create_task(fleet.call('/safe/', 'g1'))
            await wait_until(lambda: upstream.runs)
            call.cancel()
            await wait_until(lambda: upstream.runs[0].aborted)

    asyncio.run(run())


def test_streams_are_complete_or_visibly_truncated():
    """Streams start after Last-Event-Id; no event is missing or duplicated.

    On a route without resumption a broken stream is not sent again: the caller
    gets a prefix of the events and sees that the connection broke.
    """

    async def run():
        async with run_routed_fleet(app_upstreams=0) as fleet:
            resp = await fleet.call('/stream/', 'e0', method='POST')
            assert (resp.body, resp.whole) == (make_stream('e0'), True)
            resp = await fleet.call(
                '/resume/',
                'e1',
                method='POST',
                Last_Event_Id='2',
            )
            assert resp.body == make_stream('e1', first=3)
            for name in ('stream_cut', 'stream_gap'):
                script_answers(fleet, 'llm', name)
                resp = await fleet.call('/stream/', f'c-{name}', method='POST')
                assert resp.status == 200
                assert not resp.whole
                assert make_stream(f'c-{name}').startswith(resp.body)
                assert fleet.count_runs(f'c-{name}') == 1
                script_answers(fleet, 'llm')

    asyncio.run(run())


def test_broken_stream_resumes_at_another_engine():
    async def run():
        async with run_routed_fleet(app_upstreams=0) as fleet:
            for number in range(4):
                for upstream in fleet.upstreams.values():
                    upstream.default = 'stream'
                    upstream.answers[:] = ['stream_cut']
                req_id = f'b{number}'
                resp = await fleet.call('/resume/', req_id, method='POST')
                runs = [run for run in list_runs(fleet) if run.req_id == req_id]
                assert len(runs) == 2
                assert (
                    runs[0].headers['x-expect-instance']
                    != (runs[1].headers['x-expect-instance'])
                )
                resumed = [run.headers.get('last-event-id') for run in runs]
                assert sorted(resumed, key=str) == ['3', None]
                # The second engine breaks off at the fourth event as well.
                assert make_stream(req_id).startswith(resp.body)

    asyncio.run(run())


def test_retries_stay_within_budget():
    """If every call fails, retries stay within the ratio and the reserve.

    Otherwise retries would multiply the load of a failing upstream.
    """

    async def run():
        async with run_routed_fleet(
            scripted_engines=0, retry_reserve=6, retry_window_s=10
        ) as fleet:
            for upstream in fleet.upstreams.values():
                upstream.default = 'error'
            calls = [fleet.call('/safe/', f'q{each}') for each in range(60)]
            await asyncio.gather(*calls)
            retry_count = len(list_runs(fleet)) - 60
            assert 0 < retry_count <= 0.2 * 60 + 6

    asyncio.run(run())


def test_router_exception_is_answered_and_counted():
    runtime = Runtime(RoutedCore().core)
    ingress = Ingress(runtime, sender=None)
    sent = []

    async def send(message):
        sent.append(message)

    asyncio.run(ingress({'path': '/safe/'}, None, send))
    assert [each.get('status') for each in sent] == [502, None]
    assert runtime.counters.read('calls_crashed') == 1
