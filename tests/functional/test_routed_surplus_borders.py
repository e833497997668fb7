"""Answers too many, at the borders between one call and the next."""

import asyncio
import contextlib
import socket
import weakref

import pytest
from multidict import CIMultiDict

from fakes.surplus import CopyingUpstream
from fakes.upstream import (
    UpstreamStandIn,
    make_body,
    register_script,
    write_whole,
)
from tests.functional.test_routed_surplus_answers import (
    run_moved_fleet,
    start_copying,
)
from tests.lib.routedfleet import run_routed_fleet, wait_until

# An engine that still works on a call this long after it was sent elsewhere
# breaks a rule of the platform.
_MAX_OVERLAP_S = 0.4
_PAUSE_S = 0.1
# Connections whose first answer is copied.
_copied: weakref.WeakSet[asyncio.StreamWriter] = weakref.WeakSet()


def _write_foreign(writer: asyncio.StreamWriter) -> None:
    # One write, so that head and body arrive in the same read.
    writer.write(
        b'HTTP/1.1 200 OK\r\nX-Attempt-Id: another\r\nX-Response-Seal: s\r\n'
        b'Content-Length: 5\r\n\r\nother'
    )


@register_script('foreign, then hold')
async def answer_foreign_first(upstream, run, writer):
    """Write the whole answer to another call, and go on with this one."""
    _write_foreign(writer)
    await upstream.release.wait()
    write_whole(writer, run, 200, make_body(run))


@register_script('none, then hold')
async def answer_unnamed_first(upstream, run, writer):
    """Write a whole answer without an id, and go on with this one."""
    await upstream.run_script('unnamed', run, writer)
    await upstream.release.wait()
    write_whole(writer, run, 200, make_body(run))


@register_script('half a copy later')
async def answer_half_copy_later(upstream, run, writer):
    """Answer; then begin a copy, whose rest comes where the next is due."""
    write_whole(writer, run, 200, make_body(run))
    await asyncio.sleep(_PAUSE_S)
    writer.write(b'HTTP/1.1 200 Scripted\r\nX-Attempt-')
    await writer.drain()
    upstream.release.set()
    await wait_until(lambda: len(upstream.runs) > 1)
    writer.write(b'Id: %s\r\nContent-Length: 0\r\n\r\n' % run.req_id.encode())
    await asyncio.sleep(_PAUSE_S)


@register_script('answer and half a copy')
async def answer_with_half_copy(upstream, run, writer):
    """Answer and begin a copy at once; its rest comes with the next run."""
    body = make_body(run)
    writer.write(
        b'HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Seal: s\r\n'
        b'Content-Length: %d\r\n\r\n%sHTTP/1.1 200 OK\r\nX-Attempt-'
        % (run.req_id.encode(), len(body), body)
    )
    await wait_until(lambda: len(upstream.runs) > 1)
    writer.write(b'Id: %s\r\nContent-Length: 0\r\n\r\n' % run.req_id.encode())
    await asyncio.sleep(_PAUSE_S)


@register_script('answer later')
async def answer_later(upstream, run, writer):
    """Answer after a copy has arrived."""
    await asyncio.sleep(3 * _PAUSE_S)
    write_whole(writer, run, 200, make_body(run))


@register_script('body refused')
async def answer_refusal_with_body(upstream, run, writer):
    """Refuse with a body."""
    _copied.add(writer)
    write_whole(
        writer, run, 503, b'full', {'X-Not-Executed': '1'}, sealed=False
    )


@register_script('copy of the first, then head')
async def answer_behind_copy(upstream, run, writer):
    """Write a copy of the answer to the first run, then the own head."""
    if writer in _copied:
        await upstream.run_script('body refused', upstream.runs[0], writer)
        await asyncio.sleep(_PAUSE_S)
    write_whole(writer, run, 200, b'', {'Content-Length': '64'})


@register_script('head')
async def answer_head(upstream, run, writer):
    """Answer a HEAD request: a length, and no body."""
    _copied.add(writer)
    write_whole(writer, run, 200, b'', {'Content-Length': '64'})


@register_script('copy of the head, then whole')
async def answer_behind_head_copy(upstream, run, writer):
    """Write a copy of the answer to a HEAD request, then the own answer."""
    if writer in _copied:
        await upstream.run_script('head', upstream.runs[0], writer)
        await asyncio.sleep(_PAUSE_S)
    await upstream.run_script('whole', run, writer)


@pytest.mark.parametrize('script', ['foreign, then hold', 'none, then hold'])
@pytest.mark.parametrize('path', ['/safe/', '/resume/'])
def test_call_goes_on_elsewhere_only_after_its_connection_was_closed(
    path, script
):
    # A whole answer of another call left the connection in the pool.
    async def run():
        async with run_routed_fleet() as fleet:
            for upstream in fleet.upstreams.values():
                upstream.answers.append(script)
            call = asyncio.create_task(fleet.call(path, 'm1', method='POST'))
            await wait_until(lambda: fleet.count_runs('m1') == 2)
            await asyncio.sleep(_MAX_OVERLAP_S)
            runs = [
                each
                for upstream in fleet.upstreams.values()
                for each in upstream.runs
            ]
            first = min(runs, key=lambda each: each.arrived_at)
            aborted = first.aborted
            for upstream in fleet.upstreams.values():
                upstream.release.set()
            await call
            assert aborted

    asyncio.run(run())


def test_no_call_is_sent_behind_one_that_may_still_run():
    # The connection of a broken send was used for the next call.
    async def run():
        async with run_routed_fleet(
            scripted_engines=0, app_upstreams=1
        ) as fleet:
            upstream = fleet.upstreams['i-app0']
            upstream.answers.append('foreign, then hold')
            first = await fleet.call('/once/', 'm1', method='POST')
            assert first.status == 502
            again = await fleet.call('/once/', 'm2', method='POST')
            assert again.status == 200
            assert upstream.connections == 2

    asyncio.run(run())


def test_part_of_a_head_on_an_idle_connection_breaks_no_later_call():
    # The old parser held the begin of a copy, and a new one got its rest.
    async def run():
        async with run_routed_fleet(
            scripted_engines=0, app_upstreams=1
        ) as fleet:
            upstream = fleet.upstreams['i-app0']
            upstream.answers += ['half a copy later', 'answer later']
            first = await fleet.call('/once/', 'm1', method='POST')
            assert first.status == 200
            await upstream.release.wait()
            await asyncio.sleep(_PAUSE_S)
            later = await fleet.call('/once/', 'm2', method='POST')
            assert fleet.count_runs('m2') == 1
            assert later.status == 200

    asyncio.run(run())


def test_part_of_a_head_behind_an_answer_breaks_no_later_call():
    # The same read brought an answer and the begin of a copy.
    async def run():
        async with run_routed_fleet(
            scripted_engines=0, app_upstreams=1
        ) as fleet:
            upstream = fleet.upstreams['i-app0']
            upstream.answers += ['answer and half a copy', 'answer later']
            first = await fleet.call('/once/', 'm1', method='POST')
            assert first.status == 200
            later = await fleet.call('/once/', 'm2', method='POST')
            assert fleet.count_runs('m2') == 1
            assert later.status == 200

    asyncio.run(run())


def test_head_call_behind_a_copy_with_a_body_is_answered():
    # The body of the copy was read as the next answer.
    async def run():
        async with run_routed_fleet(
            scripted_engines=0, app_upstreams=1
        ) as fleet:
            upstream = fleet.upstreams['i-app0']
            upstream.answers += [
                'body refused',
                'copy of the first, then head',
            ]
            first = await fleet.call('/once/', 'm1', method='POST')
            assert first.status == 503
            later = await fleet.call('/safe/', 'm2', method='HEAD')
            assert fleet.count_runs('m2') == 1
            assert later.status == 200

    asyncio.run(run())


def test_call_behind_a_copy_of_an_answer_to_head_is_answered():
    # The length of the copy was taken from the sound answer.
    async def run():
        async with run_routed_fleet(
            scripted_engines=0, app_upstreams=1
        ) as fleet:
            upstream = fleet.upstreams['i-app0']
            upstream.answers += ['head', 'copy of the head, then whole']
            first = await fleet.call('/safe/', 'm1', method='HEAD')
            assert first.status == 200
            later = await fleet.call('/once/', 'm2', method='POST')
            assert fleet.count_runs('m2') == 1
            assert later.status == 200

    asyncio.run(run())


async def _call_with_ids(fleet, path, *req_ids):
    headers = CIMultiDict(
        {'Host': 'calls.example', 'Authorization': 'Bearer key-1'}
    )
    for each in req_ids:
        headers.add('X-Attempt-Id', each)
    url = fleet.nodes[0].url + path
    async with fleet.session.post(url, headers=headers) as resp:
        await resp.read()
        return resp.status


def test_copy_of_refusal_ends_no_call_with_two_ids():
    # Only the first of two ids was compared where a connection was chosen.
    async def run():
        async with run_moved_fleet('app', 'whole') as (fleet, moved):
            start_copying(moved)
            moved.answers.append('503')
            assert await _call_with_ids(fleet, '/once/', 'a', 'm1') != 200
            status = await _call_with_ids(fleet, '/once/', 'b', 'm1')
            assert not fleet.count_runs('m1') or status != 503

    asyncio.run(run())


@pytest.mark.parametrize(
    ('req_id', 'status', 'arrived'),
    [
        (b'm\xe9', 400, []),
        ('m\xe9'.encode(), 400, []),
        (b'm 1', 400, []),
        (b'm1 \t', 200, ['m1']),
    ],
)
@pytest.mark.parametrize('path', ['/safe/', '/once/'])
def test_call_runs_under_the_id_that_was_sent_or_not_at_all(
    path, req_id, status, arrived
):
    # The client encoded an id again, and no answer was the call's own.
    async def run():
        async with run_routed_fleet(
            scripted_engines=0, app_upstreams=1
        ) as fleet:
            node = fleet.nodes[0]
            reader, writer = await asyncio.open_connection(
                node.ip, node.entry_port
            )
            writer.write(
                b'POST %s HTTP/1.1\r\nHost: calls.example\r\n'
                b'Authorization: Bearer key-1\r\nX-Attempt-Id: %s\r\n'
                b'Content-Length: 0\r\n\r\n' % (path.encode(), req_id)
            )
            status_line = await reader.readline()
            writer.close()
            upstream = fleet.upstreams['i-app0']
            ran = [each.req_id.strip() for each in upstream.runs]
            assert ran == arrived
            assert b' %d ' % status in status_line

    asyncio.run(run())


_LONG_BODY = 99_000


async def _serve_early(bodies, reader, writer):
    """Answer each request before its body was read, and read it later."""
    while head := await reader.readuntil(b'\r\n\r\n'):
        fields = dict(
            line.lower().split(b': ', 1)
            for line in head.split(b'\r\n')
            if b': ' in line
        )
        writer.write(
            b'HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n'
            b'X-Response-Seal: s\r\nContent-Length: 2\r\n\r\nok'
            % fields[b'x-attempt-id']
        )
        await asyncio.sleep(3 * _PAUSE_S)
        length = int(fields.get(b'content-length', 0))
        bodies.append(await reader.readexactly(length))


def test_rest_of_an_unwritten_body_is_never_another_request():
    # Control: the upstream answers early, keeps the connection and reads on.
    async def run():
        async with run_routed_fleet(
            scripted_engines=0, app_upstreams=0
        ) as fleet:
            bodies = []

            async def serve(reader, writer):
                with contextlib.suppress(asyncio.IncompleteReadError):
                    await _serve_early(bodies, reader, writer)

            listener = socket.socket()
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            listener.bind(('127.0.0.1', 0))
            server = await asyncio.start_server(
                serve, sock=listener, limit=4096
            )
            port = listener.getsockname()[1]
            upstream = UpstreamStandIn('i-early')
            upstream.address = f'127.0.0.1:{port}'
            fleet.upstreams['i-early'] = upstream
            fleet.write_upstream_entry('i-early', 'app')
            node = fleet.nodes[0]
            await wait_until(lambda: node.list_events('upstream_listed'))
            await asyncio.sleep(_PAUSE_S)
            body = b'b' * _LONG_BODY
            for number in range(4):
                resp = await fleet.call(
                    '/safe/', f'm{number}', method='POST', body=body
                )
                assert resp.status == 200
            await asyncio.sleep(10 * _PAUSE_S)
            server.close()
            assert not set(bodies) - {body}

    asyncio.run(run())


def test_late_copy_with_same_id_as_in_the_pool_is_not_taken():
    # Control: a copy on another connection than that of the call.
    async def run():
        async with run_moved_fleet('app', 'whole') as (fleet, moved):
            assert isinstance(moved, CopyingUpstream)
            start_copying(moved)
            moved.answers.append('503')
            first = await fleet.call('/once/', 'm1', method='POST')
            assert first.status == 503
            both = await asyncio.gather(
                fleet.call('/once/', 'm1', method='POST'),
                fleet.call('/once/', 'm2', method='POST'),
            )
            assert [each.status for each in both] == [200, 200]
            assert [each.body for each in both] == [
                b'answer to m1',
                b'answer to m2',
            ]

    asyncio.run(run())
