"""Stand-in for the platform: configuration service, VM list, weight store."""

import asyncio
import hashlib
import json
import time
from collections import Counter, deque
from dataclasses import dataclass, field

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from fakes.serving import make_parser, serve

_MAX_VALUE_BYTES = 1_000_000
_WATCH_POLL_INTERVAL_S = 0.02
_EMPTY_VM_LIST = b'{"vms":[]}'


@dataclass
class Platform:
    """Values, VM lists and the mode: ``up``, ``down`` or ``stale``.

    When ``down`` it answers callers with 503, when ``stale`` with the values
    of the time at which that mode began. ``reads_per_s`` limits all calls but
    those for weights. ``calls`` counts calls by kind, and those over a limit as
    ``limited``.

    ``vm_lists`` has each list with the time at which it was written; callers
    see lists ``list_lag_s`` late. ``recent_call_times`` and
    ``recent_weight_call_times`` hold the times of the admitted calls of the
    last second, for the rate limits.
    """

    reads_per_s: int = 2000
    weights_per_s: int = 4
    list_lag_s: float = 1.0
    mode: str = 'up'
    values: dict[str, bytes] = field(default_factory=dict)
    stale_values: dict[str, bytes] = field(default_factory=dict)
    vm_lists: deque = field(default_factory=deque)
    calls: Counter = field(default_factory=Counter)
    recent_call_times: deque = field(default_factory=deque)
    recent_weight_call_times: deque = field(default_factory=deque)

    def read(self, name: str) -> bytes | None:
        """Return a value; in stale mode, as of when that mode began.

        A value that was first written later is returned in stale mode too.
        """
        if self.mode == 'stale':
            return self.stale_values.get(name, self.values.get(name))
        return self.values.get(name)

    def set_mode(self, mode: str) -> None:
        """Change the mode; stale mode keeps serving the present values."""
        if mode == 'stale':
            self.stale_values = dict(self.values)
        self.mode = mode

    def read_vm_list(self) -> bytes:
        """Return the list of VMs as it was ``list_lag_s`` ago."""
        cutoff_at = time.monotonic() - self.list_lag_s
        while len(self.vm_lists) > 1 and self.vm_lists[1][0] <= cutoff_at:
            self.vm_lists.popleft()
        if not self.vm_lists or self.vm_lists[0][0] > cutoff_at:
            return _EMPTY_VM_LIST
        return self.vm_lists[0][1]

    def admit(self, kind: str) -> bool:
        """Count a call; return whether it is within the rate limit."""
        self.calls[kind] += 1
        recent_call_times, limit = self.recent_call_times, self.reads_per_s
        if kind == 'weights':
            recent_call_times, limit = (
                self.recent_weight_call_times,
                self.weights_per_s,
            )
        now = time.monotonic()
        while recent_call_times and recent_call_times[0] < now - 1:
            recent_call_times.popleft()
        if len(recent_call_times) >= limit:
            self.calls['limited'] += 1
            return False
        recent_call_times.append(now)
        return True


def make_app(platform: Platform) -> Starlette:
    """Return the HTTP application of the platform."""

    def check_limits(kind: str) -> Response | None:
        if not platform.admit(kind):
            return JSONResponse({'error': 'rate limited'}, 429)
        if platform.mode == 'down':
            return JSONResponse({'error': 'down'}, 503)
        return None

    async def read_value(request: Request) -> Response:
        refused = check_limits('read')
        if refused:
            return refused
        raw = platform.read(request.path_params['name'])
        if raw is None:
            return JSONResponse({'error': 'no such value'}, 404)
        return Response(raw)

    async def watch_value(request: Request) -> Response:
        refused = check_limits('watch')
        if refused:
            return refused
        name = request.path_params['name']
        known_digest = request.query_params.get('digest', '')
        deadline_at = time.monotonic() + float(request.query_params['wait_s'])
        while time.monotonic() < deadline_at and platform.mode != 'down':
            raw = platform.read(name)
            if raw is not None:
                if hashlib.sha256(raw).hexdigest() != known_digest:
                    return Response(raw)
            await asyncio.sleep(_WATCH_POLL_INTERVAL_S)
        return Response(status_code=204)

    async def list_vms(request: Request) -> Response:
        refused = check_limits('vms')
        if refused:
            return refused
        document = json.loads(platform.read_vm_list())
        lag_ms = round(platform.list_lag_s * 1000)
        document['as_of_ms'] = time.time_ns() // 1_000_000 - lag_ms
        return JSONResponse(document)

    async def read_weights(request: Request) -> Response:
        return check_limits('weights') or Response(b'weights')

    async def put_value(request: Request) -> Response:
        raw = await request.body()
        if len(raw) > _MAX_VALUE_BYTES:
            return JSONResponse({'error': 'over 1 MB'}, 413)
        platform.values[request.path_params['name']] = raw
        return JSONResponse({'stored': len(raw)})

    async def put_vms(request: Request) -> Response:
        platform.vm_lists.append((time.monotonic(), await request.body()))
        return JSONResponse({'stored': True})

    async def put_mode(request: Request) -> Response:
        platform.set_mode((await request.json())['mode'])
        return JSONResponse({'mode': platform.mode})

    async def show_stats(request: Request) -> Response:
        return JSONResponse(dict(platform.calls))

    return Starlette(
        routes=[
            Route('/v1/values/{name}', read_value),
            Route('/v1/watch/{name}', watch_value),
            Route('/v1/vms', list_vms),
            Route('/v1/weights/{name}', read_weights),
            Route('/admin/values/{name}', put_value, methods=['PUT']),
            Route('/admin/vms', put_vms, methods=['PUT']),
            Route('/admin/mode', put_mode, methods=['PUT']),
            Route('/admin/stats', show_stats),
        ],
    )


def main() -> None:
    """Run the platform stand-in."""
    parser = make_parser(__doc__)
    parser.add_argument('--list-lag-s', type=float, default=1.0)
    args = parser.parse_args()
    serve(make_app(Platform(list_lag_s=args.list_lag_s)), args)


if __name__ == '__main__':
    main()
