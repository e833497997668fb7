"""Stand-in for a model engine with continuous batching."""

import asyncio
import heapq
import json
from collections import OrderedDict, deque
from dataclasses import dataclass, field

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

from bilberryspoke._internal.utils.hashing import hash_prefix
from fakes.answers import encode_events, encode_whole, plan_answer
from fakes.serving import make_parser, serve

_PREFILL_S_PER_TOKEN = 0.0005
_CACHED_PART = 0.2
_IDLE_STEP_S = 0.002
_END = b'data: [DONE]\n\n'


class EngineCrashed(Exception):
    """The engine broke off all its answers."""


@dataclass
class Sequence:
    """One request in the engine."""

    events: list[bytes]
    prefill_s: float
    queue: asyncio.Queue = field(default_factory=asyncio.Queue)
    sent: int = 0


@dataclass
class Engine:
    """Batch state; a step takes ``step_s`` plus ``seq_s`` a sequence."""

    slots: int
    step_s: float
    seq_s: float
    lag_s: float
    cache_size: int
    fencing: bool
    slow: float = 1.0
    hang: bool = False
    refuse: bool = False
    waiting: list = field(default_factory=list)
    running: list[Sequence] = field(default_factory=list)
    cache: OrderedDict = field(default_factory=OrderedDict)
    history: deque = field(default_factory=lambda: deque(maxlen=200))
    highest_fencing: int = 0
    orders: list = field(default_factory=list)
    models: list[str] = field(default_factory=list)
    load_model_s: float = 0.5
    arrivals: int = 0
    stats: dict = field(
        default_factory=lambda: {
            'started': 0,
            'finished': 0,
            'cancelled': 0,
            'tokens': 0,
            'prefilled': 0,
        },
    )

    def submit(self, sequence: Sequence, priority: int) -> None:
        """Queue a sequence by priority, then by arrival."""
        self.arrivals += 1
        heapq.heappush(self.waiting, (priority, self.arrivals, sequence))

    def cancel(self, sequence: Sequence) -> None:
        """Stop computing a sequence."""
        if sequence in self.running:
            self.running.remove(sequence)
            self.stats['cancelled'] += 1
        self.waiting = [each for each in self.waiting if each[2] != sequence]
        heapq.heapify(self.waiting)

    def crash(self) -> None:
        """Break off everything that runs or waits."""
        for sequence in self.running + [each[2] for each in self.waiting]:
            sequence.queue.put_nowait(None)
        self.running = []
        self.waiting = []

    def touch_prefix(self, prefix: int) -> bool:
        """Use the prefix cache; tell whether the prefix was in it."""
        hit = prefix in self.cache
        self.cache[prefix] = True
        self.cache.move_to_end(prefix)
        if len(self.cache) > self.cache_size:
            self.cache.popitem(last=False)
        return hit

    async def run(self) -> None:
        """Run decode steps for ever."""
        loop = asyncio.get_running_loop()
        while True:
            self._admit()
            self.history.append(
                (loop.time(), len(self.running), len(self.waiting)),
            )
            if not self.running or self.hang:
                await asyncio.sleep(_IDLE_STEP_S)
                continue
            step_s = self.step_s + self.seq_s * len(self.running)
            await asyncio.sleep(step_s * self.slow)
            for sequence in list(self.running):
                self._step(sequence, step_s)

    def report(self, now: float) -> tuple[int, int]:
        """Return running and waiting as they were before the lag."""
        past = [each for each in self.history if each[0] <= now - self.lag_s]
        return past[-1][1:] if past else (0, 0)

    def _admit(self) -> None:
        while self.waiting and len(self.running) < self.slots:
            sequence = heapq.heappop(self.waiting)[2]
            self.running.append(sequence)
            self.stats['started'] += 1

    def _step(self, sequence: Sequence, step_s: float) -> None:
        if sequence.prefill_s > 0:
            sequence.prefill_s -= step_s
            return
        sequence.queue.put_nowait(sequence.events[sequence.sent])
        sequence.sent += 1
        self.stats['tokens'] += 1
        if sequence.sent == len(sequence.events):
            sequence.queue.put_nowait(_END)
            self.running.remove(sequence)
            self.stats['finished'] += 1


def make_app(engine: Engine) -> Starlette:
    """Return the application of one engine."""

    async def start(app: Starlette) -> None:
        app.state.task = asyncio.create_task(engine.run())

    async def complete(request: Request) -> Response:
        if engine.refuse:
            return JSONResponse({'error': {'message': 'busy'}}, 503)
        body = await request.json()
        if engine.models and body['model'] not in engine.models:
            return JSONResponse({'error': {'message': 'no such model'}}, 404)
        answer = plan_answer(body['messages'], body.get('max_tokens'))
        req_id = request.headers.get('x-request-id', 'none')
        offset = body.get('resume', {}).get('offset', 0)
        events = encode_events(answer, body['model'], req_id)[offset:]
        prefix = hash_prefix(str(body['messages'][0].get('content', '')))
        prompt_tokens = len(json.dumps(body['messages'])) // 4 + offset
        prefill_s = prompt_tokens * _PREFILL_S_PER_TOKEN
        engine.stats['prefilled'] += prompt_tokens
        if engine.touch_prefix(prefix):
            prefill_s *= _CACHED_PART
        sequence = Sequence(events or [b''], prefill_s)
        engine.submit(sequence, body.get('priority', 0))
        if body.get('stream'):
            return StreamingResponse(
                _stream(engine, sequence),
                media_type='text/event-stream',
            )
        async for _ in _stream(engine, sequence):
            if await request.is_disconnected():
                engine.cancel(sequence)
        whole = encode_whole(answer, body['model'], req_id)
        return Response(whole, media_type='application/json')

    async def load(request: Request) -> Response:
        now = asyncio.get_running_loop().time()
        running, waiting = engine.report(now)
        prefixes = list(engine.cache)[:-2:2]
        return JSONResponse(
            {
                'running': running,
                'waiting': waiting,
                'slots': engine.slots,
                'prefixes': prefixes,
                'models': engine.models or None,
                'fencing': engine.highest_fencing,
            }
        )

    async def order(request: Request) -> Response:
        body = await request.json()
        fencing = body.get('fencing', 0)
        if engine.fencing and fencing < engine.highest_fencing:
            return JSONResponse({'error': 'old fencing number'}, 409)
        engine.highest_fencing = max(engine.highest_fencing, fencing)
        engine.orders.append(body)
        await asyncio.sleep(engine.load_model_s)
        engine.models = [body['model']]
        return JSONResponse({'accepted': True})

    async def fault(request: Request) -> Response:
        body = await request.json()
        for name in ('slow', 'hang', 'refuse'):
            if name in body:
                setattr(engine, name, body[name])
        if body.get('crash'):
            engine.crash()
        return JSONResponse({'done': True})

    async def show_stats(request: Request) -> Response:
        return JSONResponse({**engine.stats, 'orders': engine.orders})

    app = Starlette(
        routes=[
            Route('/v1/chat/completions', complete, methods=['POST']),
            Route('/load', load),
            Route('/orders', order, methods=['POST']),
            Route('/admin/fault', fault, methods=['POST']),
            Route('/stats', show_stats),
        ],
        lifespan=None,
    )
    app.router.lifespan_context = _lifespan(start)
    return app


def _lifespan(start):
    import contextlib

    @contextlib.asynccontextmanager
    async def run(app):
        await start(app)
        yield
        app.state.task.cancel()

    return run


async def _stream(engine: Engine, sequence: Sequence):
    ended = False
    try:
        while not ended:
            event = await sequence.queue.get()
            if event is None:
                ended = True
                raise EngineCrashed
            ended = event == _END
            yield event
    finally:
        if not ended:
            engine.cancel(sequence)


def main() -> None:
    """Run one engine."""
    parser = make_parser(__doc__)
    parser.add_argument('--slots', type=int, default=8)
    parser.add_argument('--step-ms', type=float, default=10)
    parser.add_argument('--seq-ms', type=float, default=1)
    parser.add_argument('--lag-s', type=float, default=0.5)
    parser.add_argument('--cache', type=int, default=32)
    parser.add_argument('--fencing', action='store_true')
    parser.add_argument('--model', action='append', default=[])
    args = parser.parse_args()
    engine = Engine(
        slots=args.slots,
        step_s=args.step_ms / 1000,
        seq_s=args.seq_ms / 1000,
        lag_s=args.lag_s,
        cache_size=args.cache,
        fencing=args.fencing,
        models=args.model,
    )
    serve(make_app(engine), args)


if __name__ == '__main__':
    main()
