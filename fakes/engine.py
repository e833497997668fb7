"""Stand-in for a model engine with continuous batching, as an HTTP process.

It answers chat completions, reports its load at ``/load``, loads another model
at ``/orders``, injects faults at ``/admin/fault`` and shows its counts at
``/stats``. The load report lists every second cached prefix, without the two
most recently used. The demonstration runs it; tests of a router in the same
process use fakes/modelengine.py.
"""

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
from fakes.answers import encode_completion, encode_events, generate_answer
from fakes.serving import make_parser, serve

_PREFILL_S_PER_TOKEN = 0.0005
_PREFILL_FRACTION_IF_CACHED = 0.2
_IDLE_POLL_INTERVAL_S = 0.002
_END_EVENT = b'data: [DONE]\n\n'


class EngineCrashed(Exception):
    """Raised to cut a response stream when the engine crashes."""


@dataclass
class AnswerSequence:
    """One request in the engine, with the events of its answer.

    ``prefill_s`` is the prefill time left. ``queue`` passes events to the
    response; None in it cuts the response off.
    """

    events: list[bytes]
    prefill_s: float
    queue: asyncio.Queue = field(default_factory=asyncio.Queue)
    next_event_index: int = 0


@dataclass
class Engine:
    """State of one engine and its batch.

    A step takes ``step_s``, plus ``step_s_per_sequence`` for each running
    sequence; ``slow`` is a factor on both. Load reports are ``lag_s``
    old. ``hang`` stops all steps, ``refuse`` answers calls with 503.
    With ``fencing`` set, orders with an old fencing number are rejected.
    With an empty ``models`` every model is served; loading one takes
    ``load_model_s``.

    ``waiting`` is a heap of (priority, arrival number, sequence).
    ``load_history`` has (time, running, waiting) for the last 200 steps and
    idle polls. In ``stats``, ``tokens`` counts stream events, ``prefilled``
    prompt tokens, and ``cancelled`` only requests that were running.
    """

    slots: int
    step_s: float
    step_s_per_sequence: float
    lag_s: float
    max_cached_prefixes: int
    fencing: bool
    slow: float = 1.0
    hang: bool = False
    refuse: bool = False
    waiting: list = field(default_factory=list)
    running: list[AnswerSequence] = field(default_factory=list)
    prefix_cache: OrderedDict = field(default_factory=OrderedDict)
    load_history: deque = field(default_factory=lambda: deque(maxlen=200))
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

    def submit(self, sequence: AnswerSequence, priority: int) -> None:
        """Queue a sequence by priority, then by arrival."""
        self.arrivals += 1
        heapq.heappush(self.waiting, (priority, self.arrivals, sequence))

    def cancel(self, sequence: AnswerSequence) -> None:
        """Remove a running or waiting sequence."""
        if sequence in self.running:
            self.running.remove(sequence)
            self.stats['cancelled'] += 1
        self.waiting = [each for each in self.waiting if each[2] != sequence]
        heapq.heapify(self.waiting)

    def crash(self) -> None:
        """Cut off all running and waiting sequences."""
        for sequence in self.running + [each[2] for each in self.waiting]:
            sequence.queue.put_nowait(None)
        self.running = []
        self.waiting = []

    def touch_prefix(self, prefix_hash: int) -> bool:
        """Mark a prefix as the last used; return whether it was cached.

        The least recently used prefix is evicted when the cache is full.
        """
        hit = prefix_hash in self.prefix_cache
        self.prefix_cache[prefix_hash] = True
        self.prefix_cache.move_to_end(prefix_hash)
        if len(self.prefix_cache) > self.max_cached_prefixes:
            self.prefix_cache.popitem(last=False)
        return hit

    async def run(self) -> None:
        """Run decode steps until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            self._admit()
            self.load_history.append(
                (loop.time(), len(self.running), len(self.waiting)),
            )
            if not self.running or self.hang:
                await asyncio.sleep(_IDLE_POLL_INTERVAL_S)
                continue
            step_s = self.step_s + self.step_s_per_sequence * len(self.running)
            await asyncio.sleep(step_s * self.slow)
            for sequence in list(self.running):
                self._step(sequence, step_s)

    def report_load(self, now: float) -> tuple[int, int]:
        """Return the counts of running and waiting, ``lag_s`` ago.

        Both are 0 if no record is as old as that.
        """
        past = [
            each for each in self.load_history if each[0] <= now - self.lag_s
        ]
        return past[-1][1:] if past else (0, 0)

    def _admit(self) -> None:
        while self.waiting and len(self.running) < self.slots:
            sequence = heapq.heappop(self.waiting)[2]
            self.running.append(sequence)
            self.stats['started'] += 1

    def _step(self, sequence: AnswerSequence, step_s: float) -> None:
        if sequence.prefill_s > 0:
            sequence.prefill_s -= step_s
            return
        sequence.queue.put_nowait(sequence.events[sequence.next_event_index])
        sequence.next_event_index += 1
        self.stats['tokens'] += 1
        if sequence.next_event_index == len(sequence.events):
            sequence.queue.put_nowait(_END_EVENT)
            self.running.remove(sequence)
            self.stats['finished'] += 1


def make_app(engine: Engine) -> Starlette:
    """Return the HTTP application of one engine."""

    async def start(app: Starlette) -> None:
        app.state.task = asyncio.create_task(engine.run())

    async def complete(request: Request) -> Response:
        if engine.refuse:
            return JSONResponse({'error': {'message': 'busy'}}, 503)
        body = await request.json()
        if engine.models and body['model'] not in engine.models:
            return JSONResponse({'error': {'message': 'no such model'}}, 404)
        answer = generate_answer(body['messages'], body.get('max_tokens'))
        req_id = request.headers.get('x-request-id', 'none')
        offset = body.get('resume', {}).get('offset', 0)
        events = encode_events(answer, body['model'], req_id)[offset:]
        prefix_hash = hash_prefix(str(body['messages'][0].get('content', '')))
        prompt_tokens = len(json.dumps(body['messages'])) // 4 + offset
        prefill_s = prompt_tokens * _PREFILL_S_PER_TOKEN
        engine.stats['prefilled'] += prompt_tokens
        if engine.touch_prefix(prefix_hash):
            prefill_s *= _PREFILL_FRACTION_IF_CACHED
        sequence = AnswerSequence(events or [b''], prefill_s)
        engine.submit(sequence, body.get('priority', 0))
        if body.get('stream'):
            return StreamingResponse(
                _stream_events(engine, sequence),
                media_type='text/event-stream',
            )
        async for _ in _stream_events(engine, sequence):
            if await request.is_disconnected():
                engine.cancel(sequence)
        completion = encode_completion(answer, body['model'], req_id)
        return Response(completion, media_type='application/json')

    async def show_load(request: Request) -> Response:
        now = asyncio.get_running_loop().time()
        running, waiting = engine.report_load(now)
        prefixes = list(engine.prefix_cache)[:-2:2]
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

    async def accept_order(request: Request) -> Response:
        body = await request.json()
        fencing = body.get('fencing', 0)
        if engine.fencing and fencing < engine.highest_fencing:
            return JSONResponse({'error': 'old fencing number'}, 409)
        engine.highest_fencing = max(engine.highest_fencing, fencing)
        engine.orders.append(body)
        await asyncio.sleep(engine.load_model_s)
        engine.models = [body['model']]
        return JSONResponse({'accepted': True})

    async def inject_fault(request: Request) -> Response:
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
            Route('/load', show_load),
            Route('/orders', accept_order, methods=['POST']),
            Route('/admin/fault', inject_fault, methods=['POST']),
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


async def _stream_events(engine: Engine, sequence: AnswerSequence):
    ended = False
    try:
        while not ended:
            event = await sequence.queue.get()
            if event is None:
                ended = True
                raise EngineCrashed
            ended = event == _END_EVENT
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
        step_s_per_sequence=args.seq_ms / 1000,
        lag_s=args.lag_s,
        max_cached_prefixes=args.cache,
        fencing=args.fencing,
        models=args.model,
    )
    serve(make_app(engine), args)


if __name__ == '__main__':
    main()
