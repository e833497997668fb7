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
from tests.soak.belonging import (
    ANSWER_HEADER,
    EVENTS,
    STREAM_PATHS,
    make_failure,
    name_answer,
)
from tests.soak.copies import Answer, Copier
from tests.soak.stutters import Recorder, Reply, Stutterer, make_raw

_WORK_S = (0.01, 0.12)
_EVENT_INTERVAL_S = 0.06
_EXTRA_DELAY_S = 0.03
# Delay of a late refusal; a call of the route ``once`` has 0.8 s.
_LATE_S = (0.0, 0.7)
_REFUSALS = (503, 429)
_FAILURES = {'fail': 500, 'shed': 503}
# Of the answers of an upstream that stutters, besides its faults.
_FAILING = 0.2
_LAST_CHUNK = b'0\r\n\r\n'
_NOT_RUN = {'X-Not-Executed': '1'}


@dataclass(slots=True)
class WorkRecord:
    """One run of a call: by which upstream, and from when to when it worked.

    Times are in seconds of the monotonic clock; ``ended_at`` is None while it
    works. ``resumes`` is whether it goes on after an event. ``first`` and
    ``written`` are the numbers of its first and its last event so far.
    """

    req_id: str
    instance: str
    began_at: float
    resumes: bool
    version: str = ''
    first: int = 1
    written: int = 0
    ended_at: float | None = None


@dataclass(slots=True)
class SoakUpstream(UpstreamStandIn):
    """An upstream that runs ``slots`` calls and queues as many more.

    ``faults`` maps a fault to the fraction of the answers that have it:
    ``lose`` resets the connection after the run, ``fail`` and ``shed`` answer
    500 and 503 after the run, ``extra`` sends the answer twice, ``mute`` sends
    none, ``cut`` closes within the answer. ``unframed`` is the fraction of the
    streams that end with their connection. ``refusing`` is the fraction of the
    calls that it refuses, ``late`` that of the refusals that come late, and
    ``copier`` sends copies of answers, ``stutterer`` two where one is due.
    ``records`` and ``counts`` are shared by all. ``version`` is that of its
    software, ``born_s`` the Unix time of its begin in seconds.
    """

    records: list[WorkRecord] = field(default_factory=list)
    source: random.Random = field(default_factory=random.Random)
    counts: Counter[str] = field(default_factory=Counter)
    faults: dict[str, float] = field(default_factory=dict)
    refusing: float = 0.0
    late: float = 0.0
    unframed: float = 0.0
    slots: int = 6
    version: str = 'v1'
    born_s: float = 0.0
    copier: Copier | None = None
    stutterer: Stutterer | None = None
    _free: asyncio.Semaphore | None = None
    _accepted: int = 0

    def __post_init__(self) -> None:
        """Create the slots."""
        self._free = asyncio.Semaphore(self.slots)
        self.copier = Copier(self.source, self.counts)
        self.stutterer = Stutterer(self.source, self.counts)

    async def _answer(self, run: Run, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError):
            if run.target == PROBE_PATH:
                await self._answer_probe(run, writer)
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

    async def _answer_probe(
        self, run: Run, writer: asyncio.StreamWriter
    ) -> None:
        if self._is_misdirected(run):
            write_whole(writer, run, 421, b'', sealed=False)
            return
        reply = Reply(run, 200, [b'{}'], {}, sealed=False)
        if self.stutterer.draw():
            await self.stutterer.send(reply, writer)
        else:
            write_whole(writer, run, 200, b'{}', sealed=False)

    def _choose_refusal(self, run: Run) -> int | None:
        """Return the status of a refusal, None if the call runs."""
        if self._is_misdirected(run):
            return 421
        if self._accepted >= 2 * self.slots:
            return 503
        if self.source.random() < self.refusing:
            return self.source.choice(_REFUSALS)
        return None

    def _is_misdirected(self, run: Run) -> bool:
        expected = run.headers.get('x-expect-instance', self.instance)
        return expected != self.instance

    async def _refuse(
        self, run: Run, writer: asyncio.StreamWriter, status: int
    ) -> None:
        if self.source.random() < self.late:
            await asyncio.sleep(self.source.uniform(*_LATE_S))
        self.counts[f'refusal {status}'] += 1
        reply = Reply(run, status, [b''], _NOT_RUN, sealed=False)
        await self._send(reply, writer)

    async def _send(self, reply: Reply, writer: asyncio.StreamWriter) -> None:
        """Send an answer, which may stutter."""
        if self.stutterer.draw():
            self.copier.begin_answer(writer)
            answer = await self.stutterer.send(reply, writer)
        else:
            answer = _make_whole(reply)
            writer.write(answer.raw)
            self.stutterer.note(writer, answer)
        self.copier.end_answer(writer, answer)

    async def _work(self, run: Run, writer: asyncio.StreamWriter) -> None:
        resumes = 'last-event-id' in run.headers
        record = WorkRecord(
            run.req_id,
            self.instance,
            time.monotonic(),
            resumes,
            self.version,
            int(run.headers.get('last-event-id', 0)) + 1,
        )
        self.records.append(record)
        self.counts['resumed streams'] += resumes
        try:
            if run.target in STREAM_PATHS:
                await self._write_events(run, writer, record)
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
        if not fault and self.stutterer.draw(_FAILING):
            fault = 'fail'
        if fault == 'lose':
            reset(writer)
        elif fault in _FAILURES:
            await self._send(_make_failed(run, _FAILURES[fault]), writer)
        elif fault == 'mute':
            await asyncio.sleep(3600)
        elif fault == 'cut':
            self.copier.begin_answer(writer)
            headers = {'Content-Length': '100', **_name(run, 200)}
            write_head(writer, run, 200, headers)
            writer.write(make_body(run))
            writer.close()
        else:
            reply = Reply(run, 200, [make_body(run)], _name(run, 200))
            await self._send(reply, writer)
        if fault == 'extra':
            await asyncio.sleep(self.source.uniform(0, _EXTRA_DELAY_S))
            write_whole(writer, run, 200, make_body(run), _name(run, 200))

    async def _write_events(
        self, run: Run, writer: asyncio.StreamWriter, record: WorkRecord
    ) -> None:
        fault = self._draw_fault()
        first = record.first
        if self.stutterer.draw():
            record.written = EVENTS
            await self._stutter_events(run, writer, first)
            return
        if self.source.random() < self.unframed:
            await self._write_unframed(run, writer, record)
            return
        recorder = Recorder()
        self.copier.begin_answer(writer)
        write_head(recorder, run, 200, {**STREAM_HEADERS, **_name(run, 200)})
        writer.write(bytes(recorder.raw))
        for number in range(first, EVENTS + 1):
            await asyncio.sleep(_EVENT_INTERVAL_S)
            if fault and number == EVENTS // 2:
                reset(writer)
                return
            record.written = number
            write_chunk(writer, make_event(run, number))
            write_chunk(recorder, make_event(run, number))
            await writer.drain()
        writer.write(_LAST_CHUNK)
        recorder.write(_LAST_CHUNK)
        kind = '200, resumed' if first > 1 else '200, stream'
        answer = Answer(kind, run.req_id, bytes(recorder.raw))
        self.stutterer.note(writer, answer)
        self.copier.end_answer(writer, answer)

    async def _write_unframed(
        self,
        run: Run,
        writer: asyncio.StreamWriter,
        record: WorkRecord,
    ) -> None:
        headers = {'Content-Type': 'text/event-stream', **_name(run, 200)}
        write_head(writer, run, 200, headers)
        for number in range(record.first, EVENTS + 1):
            await asyncio.sleep(_EVENT_INTERVAL_S)
            record.written = number
            writer.write(make_event(run, number))
            await writer.drain()
        self.counts['unframed'] += 1
        writer.close()

    async def _stutter_events(
        self, run: Run, writer: asyncio.StreamWriter, first: int
    ) -> None:
        headers = {'Content-Type': 'text/event-stream', **_name(run, 200)}
        events = [make_event(run, each) for each in range(first, EVENTS + 1)]
        reply = Reply(run, 200, events, headers, interval_s=_EVENT_INTERVAL_S)
        self.copier.begin_answer(writer)
        answer = await self.stutterer.send(reply, writer)
        self.copier.end_answer(writer, answer)


def _name(run: Run, status: int) -> dict[str, str]:
    """Return headers by which a caller tells whose answer it has."""
    return {
        'Server': 'stand-in',
        ANSWER_HEADER: name_answer(status, run.req_id),
    }


def _make_failed(run: Run, status: int) -> Reply:
    return Reply(run, status, [make_failure(run)], _name(run, status))


def _make_whole(reply: Reply) -> Answer:
    """Return an answer with its length."""
    raw = make_raw(reply, 'length')
    return Answer(str(reply.status), reply.run.req_id, raw)
