"""Cookies of upstreams on the project's own interface."""

import asyncio

from tests.lib.ownupstream import ScriptedUpstream, run_call, run_client


async def _answer_with_cookie(received, writer):
    writer.write(
        b'HTTP/1.1 200 OK\r\nSet-Cookie: session=%s\r\n'
        b'Content-Length: 0\r\n\r\n' % received.req_id.encode()
    )


def test_cookie_of_one_caller_goes_with_no_call_of_another():
    # The client kept cookies of upstreams with a host name for all callers.
    async def run():
        async with (
            ScriptedUpstream(_answer_with_cookie) as upstream,
            run_client() as client,
        ):
            url = f'http://localhost:{upstream.port}'
            for req_id in ('r1', 'r2'):
                answered = await run_call(client, url, req_id)
                cookie = f'session={req_id}'.encode()
                assert answered.headers[b'set-cookie'] == cookie
        assert len(upstream.received) == 2
        for received in upstream.received:
            assert 'cookie' not in received.headers

    asyncio.run(run())
