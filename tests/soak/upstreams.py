"""Upstreams of the soak: slots, a queue, and faults that are drawn."""

import asyncio
import contextlib
import random
import time
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

_WORK_S = (0.01, 0.12)
_EVENTS = 12
_EVENT_INTERVAL_S = 0.06
_EXTRA_DELAY_S = 0.03


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
    none, ``cut`` closes within the answer. ``records`` is shared by all.
    """

    records: list[WorkRecord] = field(default_factory=list)
    source: random.Random = field(default_factory=random.Random)
    faults: dict[str, float] = field(default_factory=dict)
    slots: int = 6
    _free: asyncio.Semaphore | None = None
    _accepted: int = 0

    def __post_init__(self) -> None:
        """Create the slots."""
        self._free = asyncio.Semaphore(self.slots)

    async def _answer(self, run: Run, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError):
            if run.target == PROBE_PATH:
                write_whole(writer, run, 200, b'{}', sealed=False)
                return
            expected = run.headers.get('x-expect-instance', self.instance)
            if expected != self.instance:
                headers = {'X-Not-Executed': '1'}
                write_whole(writer, run, 421, b'', headers, sealed=False)
                return
            if self._accepted >= 2 * self.slots:
                headers = {'X-Not-Executed': '1'}
                write_whole(writer, run, 503, b'', headers, sealed=False)
                return
            self._accepted += 1
            try:
                async with self._free:
                    await self._work(run, writer)
            finally:
                self._accepted -= 1

    async def _work(self, run: Run, writer: asyncio.StreamWriter) -> None:
        resumes = 'last-event-id' in run.headers
        record = WorkRecord(
            run.req_id, self.instance, time.monotonic(), resumes
        )
        self.records.append(record)
        try:
            if run.target.startswith(('/stream/', '/resume/')):
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
            write_whole(writer, run, 500, b'failed')
        elif fault == 'shed':
            write_whole(writer, run, 503, b'failed')
        elif fault == 'mute':
            await asyncio.sleep(3600)
        elif fault == 'cut':
            write_head(writer, run, 200, {'Content-Length': '100'})
            writer.write(make_body(run))
            writer.close()
        else:
            write_whole(writer, run, 200, make_body(run))
        if fault == 'extra':
            await asyncio.sleep(self.source.uniform(0, _EXTRA_DELAY_S))
            write_whole(writer, run, 200, make_body(run))

    async def _write_events(
        self, run: Run, writer: asyncio.StreamWriter
    ) -> None:
        fault = self._draw_fault()
        write_head(writer, run, 200, STREAM_HEADERS)
        first = int(run.headers.get('last-event-id', 0)) + 1
        for number in range(first, _EVENTS + 1):
            await asyncio.sleep(_EVENT_INTERVAL_S)
            if fault and number == _EVENTS // 2:
                reset(writer)
                return
            write_chunk(writer, make_event(run, number))
            await writer.drain()
        writer.write(b'0\r\n\r\n')
