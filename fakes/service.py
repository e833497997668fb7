"""Stand-in for a plain service, as an HTTP process.

It lists each executed call at ``/audit`` and injects faults at
``/admin/fault``.
"""

import asyncio
import hashlib
import time
from dataclasses import dataclass, field

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from fakes.serving import make_parser, serve


@dataclass
class Service:
    """Executions and faults of one replica.

    With ``deduplicates`` a call whose idempotency key was seen before is
    answered from ``answers``, by key, and not executed. ``delay_s`` is the time
    an execution takes; ``slow`` is a factor on it. ``hang`` withholds the
    answers to calls that were executed, ``refuse`` answers with 503 before
    executing.
    """

    delay_s: float
    deduplicates: bool = False
    hang: bool = False
    refuse: bool = False
    slow: float = 1.0
    executions: list[dict] = field(default_factory=list)
    answers: dict[str, dict] = field(default_factory=dict)


def make_app(service: Service) -> Starlette:
    """Return the HTTP application of one replica."""

    async def execute(request: Request) -> Response:
        if service.refuse:
            headers = {'x-request-outcome': 'not_run'}
            return JSONResponse({'error': 'busy'}, 503, headers)
        body = await request.body()
        key = request.headers.get('idempotency-key', '').strip('"')
        if service.deduplicates and key in service.answers:
            return JSONResponse(service.answers[key])
        execution = {
            'idempotency_key': key or None,
            'method': request.method,
            'path': request.url.path,
            'body_sha256': hashlib.sha256(body).hexdigest(),
            'at_ms': time.time_ns() // 1_000_000,
        }
        service.executions.append(execution)
        answer = {'executed': len(service.executions), **execution}
        service.answers[key] = answer
        await asyncio.sleep(service.delay_s * service.slow)
        while service.hang:
            await asyncio.sleep(0.05)
        return JSONResponse(answer)

    async def show_audit(request: Request) -> Response:
        return JSONResponse({'executions': service.executions})

    async def inject_fault(request: Request) -> Response:
        body = await request.json()
        for name in ('hang', 'refuse', 'slow'):
            if name in body:
                setattr(service, name, body[name])
        return JSONResponse({'done': True})

    methods = ['GET', 'POST', 'PUT', 'PATCH', 'DELETE']
    return Starlette(
        routes=[
            Route('/audit', show_audit),
            Route('/admin/fault', inject_fault, methods=['POST']),
            Route('/{path:path}', execute, methods=methods),
        ],
    )


def main() -> None:
    """Run one replica."""
    parser = make_parser(__doc__)
    parser.add_argument('--delay-ms', type=float, default=30)
    parser.add_argument('--deduplicates', action='store_true')
    args = parser.parse_args()
    serve(make_app(Service(args.delay_ms / 1000, args.deduplicates)), args)


if __name__ == '__main__':
    main()
