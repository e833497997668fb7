"""Upstreams of the soak: slots, a queue, and faults that are drawn."""

import asyncio
import contextlib
import random
import time
from collections import Counter
from dataclasses import dataclass, field

from fakes.upstream import (
    PROBE_PATH,
    STREAM_HEADERS,
    Run,
    UpstreamStandIn,
    make_body,
    make_event,
    reset,
    write_chunk,
    write_head,
    write_whole,
)
from tests.soak.copies import Answer, Copier

_WORK_S = (0.01, 0.12)
EVENTS = 12
STREAM_PATHS = frozenset(('/stream/', '/resume/'))
_EVENT_INTERVAL_S = 0.06
_EXTRA_DELAY_S = 0.03
# Delay of a late refusal; a call of the route ``once`` has 0.8 s.
_LATE_S = (0.0, 0.7)
_REFUSALS = (503, 429)
_LAST_CHUNK = b'0\r\n\r\n'
_NOT_RUN = {'X-Not-Executed': '1'}


@dataclass(slots=True)
class WorkRecord:
    """One run of a call: by which upstream, and from when to when it worked.

    Times are in seconds of the monotonic clock; ``ended_at`` is None while it
    works. ``resumes`` is whether it goes on after an event.
    """

    req_id: str
    instance: str
    began_at: float
    resumes: bool
    ended_at: float | None = None


@dataclass(slots=True)
class SoakUpstream(UpstreamStandIn):
    """An upstream that runs ``slots`` calls and queues as many more.

    ``faults`` maps a fault to the fraction of the answers that have it:
    ``lose`` resets the connection after the run, ``fail`` and ``shed`` answer
    500 and 503 after the run, ``extra`` sends the answer twice, ``mute`` sends
    none, ``cut`` closes within the answer. ``refusing`` is the fraction of the
    calls that it refuses, ``late`` that of the refusals that come late, and
    ``copier`` sends copies of answers. ``records`` and ``counts`` are shared
    by all.
    """

    records: list[WorkRecord] = field(default_factory=list)
    source: random.Random = field(default_factory=random.Random)
    counts: Counter[str] = field(default_factory=Counter)
    faults: dict[str, float] = field(default_factory=dict)
    refusing: float = 0.0
    late: float = 0.0
    slots: int = 6
    copier: Copier | None = None
    _free: asyncio.Semaphore | None = None
    _accepted: int = 0

    def __post_init__(self) -> None:
        """Create the slots."""
        self._free = asyncio.Semaphore(self.slots)
        self.copier = Copier(self.source, self.counts)

    async def _answer(self, run: Run, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError):
            if run.target == PROBE_PATH:
                write_whole(writer, run, 200, b'{}', sealed=False)
                return
            status = self._choose_refusal(run)
            self.copier.begin_call(run, writer)
            if status is not None:
                await self._refuse(run, writer, status)
                return
            self._accepted += 1
            try:
                async with self._free:
                    await self._work(run, writer)
            finally:
                self._accepted -= 1

    def _choose_refusal(self, run: Run) -> int | None:
        """Return the status of a refusal, None if the call runs."""
        expected = run.headers.get('x-expect-instance', self.instance)
        if expected != self.instance:
            return 421
        if self._accepted >= 2 * self.slots:
            return 503
        if self.source.random() < self.refusing:
            return self.source.choice(_REFUSALS)
        return None

    async def _refuse(
        self, run: Run, writer: asyncio.StreamWriter, status: int
    ) -> None:
        if self.source.random() < self.late:
            await asyncio.sleep(self.source.uniform(*_LATE_S))
        self.counts[f'refusal {status}'] += 1
        self._send_whole(run, writer, status, b'', _NOT_RUN, sealed=False)

    def _send_whole(
        self,
        run: Run,
        writer: asyncio.StreamWriter,
        status: int,
        body: bytes,
        headers: dict[str, str] | None = None,
        *,
        sealed: bool = True,
    ) -> None:
        recorder = _Recorder()
        write_whole(recorder, run, status, body, headers, sealed=sealed)
        raw = bytes(recorder.raw)
        writer.write(raw)
        self.copier.end_answer(writer, Answer(str(status), run.req_id, raw))

    async def _work(self, run: Run, writer: asyncio.StreamWriter) -> None:
        resumes = 'last-event-id' in run.headers
        record = WorkRecord(
            run.req_id, self.instance, time.monotonic(), resumes
        )
        self.records.append(record)
        self.counts['resumed streams'] += resumes
        try:
            if run.target in STREAM_PATHS:
                await self._write_events(run, writer)
                return
            await asyncio.sleep(self.source.uniform(*_WORK_S))
            await self._write_answer(run, writer)
        finally:
            record.ended_at = time.monotonic()

    def _draw_fault(self) -> str:
        drawn = self.source.random()
        for fault, fraction in self.faults.items():
            drawn -= fraction
            if drawn < 0:
                return fault
        return ''

    async def _write_answer(
        self, run: Run, writer: asyncio.StreamWriter
    ) -> None:
        fault = self._draw_fault()
        if fault == 'lose':
            reset(writer)
        elif fault == 'fail':
            self._send_whole(run, writer, 500, b'failed')
        elif fault == 'shed':
            self._send_whole(run, writer, 503, b'failed')
        elif fault == 'mute':
            await asyncio.sleep(3600)
        elif fault == 'cut':
            self.copier.begin_answer(writer)
            write_head(writer, run, 200, {'Content-Length': '100'})
            writer.write(make_body(run))
            writer.close()
        else:
            self._send_whole(run, writer, 200, make_body(run))
        if fault == 'extra':
            await asyncio.sleep(self.source.uniform(0, _EXTRA_DELAY_S))
            write_whole(writer, run, 200, make_body(run))

    async def _write_events(
        self, run: Run, writer: asyncio.StreamWriter
    ) -> None:
        fault = self._draw_fault()
        recorder = _Recorder()
        self.copier.begin_answer(writer)
        write_head(recorder, run, 200, STREAM_HEADERS)
        writer.write(bytes(recorder.raw))
        first = int(run.headers.get('last-event-id', 0)) + 1
        for number in range(first, EVENTS + 1):
            await asyncio.sleep(_EVENT_INTERVAL_S)
            if fault and number == EVENTS // 2:
                reset(writer)
                return
            write_chunk(writer, make_event(run, number))
            write_chunk(recorder, make_event(run, number))
            await writer.drain()
        writer.write(_LAST_CHUNK)
        recorder.write(_LAST_CHUNK)
        kind = '200, resumed' if first > 1 else '200, stream'
        answer = Answer(kind, run.req_id, bytes(recorder.raw))
        self.copier.end_answer(writer, answer)


class _Recorder:
    """Collects the bytes of an answer instead of a connection."""

    def __init__(self) -> None:
        self.raw = bytearray()

    def write(self, raw: bytes) -> None:
        self.raw += raw
