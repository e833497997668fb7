"""A source of server-sent events for speed measurements, and a bare relay."""

import argparse
import asyncio
import json
from typing import Any

import aiohttp
import uvicorn
from starlette.applications import Starlette
from starlette.responses import JSONResponse
from starlette.routing import Route

from fakes.answers import encode_events, plan_answer

_START = {
    'type': 'http.response.start',
    'status': 200,
    'headers': [(b'content-type', b'text/event-stream')],
}


class Source:
    """Streams as many events as the request asks for.

    ``pause_s`` is the pause between two events in seconds: with one, each
    event reaches the relay by itself, as those of a model engine do.
    """

    def __init__(self) -> None:
        """Prepare one event."""
        answer = plan_answer([{'role': 'user', 'content': 'x'}], 1)
        self._event = encode_events(answer, 'speed', 'speed')[0]

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Serve one stream as an ASGI application."""
        raw = b''
        more = True
        while more:
            message = await receive()
            raw += message.get('body', b'')
            more = message.get('more_body', False)
        document = json.loads(raw)
        count = document.get('max_tokens', 1)
        pause_s = document.get('pause_s', 0)
        await send(_START)
        for _ in range(count):
            await send(_body(self._event))
            await asyncio.sleep(pause_s)
        await send(_body(b'data: [DONE]\n\n'))
        await send({'type': 'http.response.body', 'body': b''})


class Relay:
    """Passes raw chunks on and does nothing else."""

    def __init__(self, upstream: str) -> None:
        """Create a relay to one upstream."""
        self._upstream = upstream
        self._session: aiohttp.ClientSession | None = None

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Relay one stream as an ASGI application."""
        if self._session is None:
            connector = aiohttp.TCPConnector(limit=0)
            self._session = aiohttp.ClientSession(connector=connector)
        raw = b''
        more = True
        while more:
            message = await receive()
            raw += message.get('body', b'')
            more = message.get('more_body', False)
        url = f'{self._upstream}/v1/chat/completions'
        async with self._session.post(url, data=raw) as resp:
            await send(_START)
            async for chunk in resp.content.iter_any():
                await send(_body(chunk))
        await send({'type': 'http.response.body', 'body': b''})


def _body(raw: bytes) -> dict[str, Any]:
    return {'type': 'http.response.body', 'body': raw, 'more_body': True}


async def _report_load(request: Any) -> JSONResponse:
    return JSONResponse({'running': 0, 'waiting': 0})


def main() -> None:
    """Serve the source or, with an upstream, the bare relay."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--port', type=int, required=True)
    parser.add_argument('--upstream', default='')
    args = parser.parse_args()
    endpoint = Relay(args.upstream) if args.upstream else Source()
    app = Starlette(
        routes=[
            Route('/v1/chat/completions', endpoint, methods=['POST']),
            Route('/load', _report_load),
        ],
    )
    uvicorn.run(
        app,
        port=args.port,
        log_level='warning',
        access_log=False,
        loop='uvloop',
        lifespan='off',
    )


if __name__ == '__main__':
    main()
