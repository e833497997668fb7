"""Stand-in for a model engine that runs the simulation in real time.

It speaks HTTP like the stand-in of fakes/upstream.py and runs inside a test.
The simulated engine of fakes/batching.py decides when the events of a stream
are sent. Load reports also come from it, 300 ms late.
"""

import asyncio
import json
import time
from collections import deque
from dataclasses import dataclass, field

from fakes.batching import TOKENS_PER_EVENT, BatchEngine, Sequence
from fakes.upstream import (
    STREAM_HEADERS,
    Run,
    UpstreamStandIn,
    make_event,
    register_script,
    write_chunk,
    write_head,
    write_whole,
)

REPORT_PATH = '/-/report'
_REPORT_LAG_S = 0.3
_DEFAULT_PRIORITY = 5


@dataclass(slots=True)
class ModelEngine(UpstreamStandIn):
    """An upstream that runs calls in batches.

    ``model`` is the simulated engine. With ``leaving`` set its reports say that
    it is draining; it still runs its calls to their end.
    """

    model: BatchEngine = field(default_factory=BatchEngine)
    leaving: bool = False
    _step_task: asyncio.Task[None] | None = None
    _progressed: dict[str, asyncio.Event] = field(default_factory=dict)
    # Its script answers with the load of the model.
    answers_probes: bool = False
    _reports: deque[tuple[float, dict[str, int]]] = field(default_factory=deque)

    def __post_init__(self) -> None:
        """Make the simulated engine give the answers."""
        self.default = 'model'

    async def stop(self) -> None:
        """Stop decoding, reset all connections and stop listening."""
        if self._step_task is not None:
            self._step_task.cancel()
        await UpstreamStandIn.stop(self)

    def submit(self, sequence: Sequence) -> asyncio.Event | None:
        """Queue a request; return an event that is set at each new token.

        Returns None if the request is larger than the engine's memory.
        """
        if not self.model.submit(sequence):
            return None
        progressed = asyncio.Event()
        self._progressed[sequence.req_id] = progressed
        if self._step_task is None or self._step_task.done():
            self._step_task = asyncio.create_task(self._run_steps())
        return progressed

    def cancel(self, req_id: str) -> None:
        """Remove a running or waiting request; ignore an unknown id."""
        self.model.cancel(req_id)
        self._progressed.pop(req_id, None)

    def report_load(self) -> dict[str, object]:
        """Return the newest load report that is at least 300 ms old.

        If all are newer, the oldest one is returned; before the first report,
        the present load.
        """
        cutoff_at = time.monotonic() - _REPORT_LAG_S
        while len(self._reports) > 1 and self._reports[1][0] <= cutoff_at:
            self._reports.popleft()
        usage = (
            self._reports[0][1] if self._reports else self.model.report_load()
        )
        stage = 'draining' if self.leaving else 'ready'
        return {'stage': stage, **usage}

    async def _run_steps(self) -> None:
        while not self.model.is_idle:
            step_s, decoded = self.model.step()
            self._reports.append((time.monotonic(), self.model.report_load()))
            await asyncio.sleep(step_s)
            for sequence in decoded:
                progressed = self._progressed.get(sequence.req_id)
                if progressed is not None:
                    progressed.set()
        self._reports.append((time.monotonic(), self.model.report_load()))


@register_script('model')
async def answer_by_model(
    upstream: ModelEngine,
    run: Run,
    writer: asyncio.StreamWriter,
) -> None:
    """Stream the events of a call, or answer with a load report."""
    if run.target == REPORT_PATH:
        write_whole(
            writer, run, 200, json.dumps(upstream.report_load()).encode()
        )
        return
    sequence = _parse_sequence(run)
    progressed = upstream.submit(sequence)
    if progressed is None:
        extra_headers = {'X-Not-Executed': '1'}
        write_whole(writer, run, 503, b'', extra_headers, sealed=False)
        return
    try:
        await _write_model_events(run, writer, sequence, progressed)
    finally:
        upstream.cancel(run.req_id)


async def _write_model_events(
    run: Run,
    writer: asyncio.StreamWriter,
    sequence: Sequence,
    progressed: asyncio.Event,
) -> None:
    last_event_id = int(run.headers.get('last-event-id', 0))
    written = 0
    while sequence.output_tokens_left or written < sequence.events:
        await progressed.wait()
        progressed.clear()
        if not written and sequence.events:
            write_head(writer, run, 200, STREAM_HEADERS)
        while written < sequence.events:
            written += 1
            write_chunk(writer, make_event(run, last_event_id + written))
        await writer.drain()
    writer.write(b'0\r\n\r\n')


def _parse_sequence(run: Run) -> Sequence:
    """Return the request that a call's headers describe.

    Events up to a ``Last-Event-ID`` count as sent and are not decoded again.
    """
    parts = []
    for entry in run.headers.get('x-prompt-prefix', 'own:1').split(','):
        name, _, tokens = entry.partition(':')
        parts.append((name, int(tokens)))
    _, max_output_tokens = run.headers.get('x-token-counts', '1,3').split(',')
    priority = int(run.headers.get('x-request-priority', _DEFAULT_PRIORITY))
    already_sent_tokens = (
        int(run.headers.get('last-event-id', 0)) * TOKENS_PER_EVENT
    )
    output_tokens_left = max(1, int(max_output_tokens) - already_sent_tokens)
    return Sequence(run.req_id, priority, tuple(parts), output_tokens_left)
