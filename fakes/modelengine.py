"""Stand-in for a model engine: the batching model on the real clock.

It speaks as any upstream's stand-in does; its answers come from the model,
and so do its reports, which are some hundred milliseconds old.
"""

import asyncio
import json
import time
from collections import deque
from dataclasses import dataclass, field

from fakes.batching import EVENT_TOKENS, BatchEngine, Sequence
from fakes.upstream import (
    STREAM_HEADERS,
    Run,
    UpstreamStandIn,
    make_event,
    script,
    write_chunk,
    write_head,
    write_whole,
)

REPORT_PATH = '/-/report'
_REPORT_LAG_S = 0.3
_USUAL_PRIORITY = 5


@dataclass(slots=True)
class ModelEngine(UpstreamStandIn):
    """An upstream that runs what it gets in batches.

    ``leaving`` is told in its reports; it then goes on with what it has.
    """

    model: BatchEngine = field(default_factory=BatchEngine)
    leaving: bool = False
    _stepping: asyncio.Task[None] | None = None
    _moved: dict[str, asyncio.Event] = field(default_factory=dict)
    _reports: deque[tuple[float, dict[str, int]]] = field(default_factory=deque)

    def __post_init__(self) -> None:
        """Answer as the model does."""
        self.default = 'model'

    async def stop(self) -> None:
        """Stop with all that runs."""
        if self._stepping is not None:
            self._stepping.cancel()
        await UpstreamStandIn.stop(self)

    def submit(self, sequence: Sequence) -> asyncio.Event | None:
        """Take a request; the event is set whenever it gains tokens.

        None if it is larger than the engine's memory.
        """
        if not self.model.submit(sequence):
            return None
        moved = asyncio.Event()
        self._moved[sequence.req_id] = moved
        if self._stepping is None or self._stepping.done():
            self._stepping = asyncio.create_task(self._step())
        return moved

    def cancel(self, req_id: str) -> None:
        """Stop all work for a request."""
        self.model.cancel(req_id)
        self._moved.pop(req_id, None)

    def report(self) -> dict[str, object]:
        """Return the newest report that is old enough to be told."""
        told = time.monotonic() - _REPORT_LAG_S
        while len(self._reports) > 1 and self._reports[1][0] <= told:
            self._reports.popleft()
        usage = self._reports[0][1] if self._reports else self.model.report()
        stage = 'draining' if self.leaving else 'ready'
        return {'stage': stage, **usage}

    async def _step(self) -> None:
        while not self.model.is_idle:
            step_s, gained = self.model.step()
            self._reports.append((time.monotonic(), self.model.report()))
            await asyncio.sleep(step_s)
            for sequence in gained:
                moved = self._moved.get(sequence.req_id)
                if moved is not None:
                    moved.set()
        self._reports.append((time.monotonic(), self.model.report()))


@script('model')
async def answer_by_model(
    upstream: ModelEngine,
    run: Run,
    writer: asyncio.StreamWriter,
) -> None:
    """Answer with a stream whose events come as the model makes them."""
    if run.target == REPORT_PATH:
        write_whole(writer, run, 200, json.dumps(upstream.report()).encode())
        return
    sequence = _read_sequence(run)
    moved = upstream.submit(sequence)
    if moved is None:
        head = {'X-Not-Executed': '1'}
        write_whole(writer, run, 503, b'', head, sealed=False)
        return
    try:
        await _write_model_events(run, writer, sequence, moved)
    finally:
        upstream.cancel(run.req_id)


async def _write_model_events(
    run: Run,
    writer: asyncio.StreamWriter,
    sequence: Sequence,
    moved: asyncio.Event,
) -> None:
    base = int(run.headers.get('last-event-id', 0))
    written = 0
    while sequence.left or written < sequence.events:
        await moved.wait()
        moved.clear()
        if not written and sequence.events:
            write_head(writer, run, 200, STREAM_HEADERS)
        while written < sequence.events:
            written += 1
            write_chunk(writer, make_event(run, base + written))
        await writer.drain()
    writer.write(b'0\r\n\r\n')


def _read_sequence(run: Run) -> Sequence:
    """Read parts of the prompt, tokens to produce and the priority."""
    parts = []
    for entry in run.headers.get('x-prompt-prefix', 'own:1').split(','):
        name, _, tokens = entry.partition(':')
        parts.append((name, int(tokens)))
    _, most = run.headers.get('x-token-counts', '1,3').split(',')
    priority = int(run.headers.get('x-request-priority', _USUAL_PRIORITY))
    made = int(run.headers.get('last-event-id', 0)) * EVENT_TOKENS
    left = max(1, int(most) - made)
    return Sequence(run.req_id, priority, tuple(parts), left)
