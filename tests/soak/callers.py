"""Callers of the soak, who try again only where the pages allow it."""

import asyncio
import itertools
import random
import re
import time
from dataclasses import dataclass, field

from tests.soak.belonging import (
    RESUMED_PATH,
    ReceivedAnswer,
    find_foreign_part,
)
from tests.soak.machines import Machine

# Statuses that promise that the call did not run and never will.
PROMISES = frozenset((408, 421, 429, 503))
_CONNECT_TIMEOUT_S = 1.0
_MAX_TRIES = 3
_MAX_TRIES_OF_STREAM = 5
# Fraction of the streams that are taken up at a VM that is out of step.
_AT_SKEWED = 0.6
_STATUS_OK = 200
_EVENT = re.compile(rb'id: (\d+)\n[^\n]*\n\n')
_MAX_IDLE_S = 12.0
# Path, method and the caller's patience in seconds of each kind of call.
_KINDS = (
    ('/once/', 'POST', 1.6),
    ('/once/', 'POST', 1.6),
    ('/once/', 'PUT', 1.6),
    ('/safe/', 'GET', 1.6),
    ('/stream/', 'POST', 4.0),
    ('/resume/', 'POST', 4.0),
)


@dataclass(slots=True)
class Attempt:
    """One attempt of a caller, by its own request id, and its outcome.

    The outcome is a status, with ``cut off`` behind it if the answer was not
    whole, or says why there is none. ``foreign`` names a part of the answer
    that is not the call's own, and is empty if there is none.

    An attempt that takes a stream up names in ``resumes`` the attempt that
    brought its first event, and goes on behind the event ``resumes_after``.
    ``last_event_id`` is that of the last whole event that the caller has,
    ``broken`` whether the connection broke, ``skewed``
    whether the machine was out of step as it was sent.
    """

    req_id: str
    path: str
    machine: str
    reused: bool
    sent_at: float
    outcome: str = 'open'
    status: int = 0
    ended_at: float = 0.0
    foreign: str = ''
    resumes: str = ''
    resumes_after: int = 0
    last_event_id: int = 0
    broken: bool = False
    skewed: bool = False

    @property
    def promised(self) -> bool:
        """Whether the answer says that it did not run and never will."""
        return self.status in PROMISES


@dataclass(slots=True)
class _Connection:
    machine: Machine
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    idle_since: float = 0.0


@dataclass(slots=True)
class Callers:
    """Callers that send calls at a rate, over new and kept connections.

    ``same_id`` is the fraction of the repeated calls that keep their id,
    ``resuming`` that of the calls that are of the kind that may be taken up, in
    addition to those of the usual mix.
    """

    machines: list[Machine]
    source: random.Random
    same_id: float = 0.0
    resuming: float = 0.0
    attempts: list[Attempt] = field(default_factory=list)
    _numbers: itertools.count = field(default_factory=itertools.count)
    _kept: list[_Connection] = field(default_factory=list)
    _tasks: set[asyncio.Task] = field(default_factory=set)

    async def send_calls(self, seconds: float, per_s: float) -> None:
        """Send calls for some seconds, without waiting for their answers."""
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            task = asyncio.create_task(self._make_call())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(self.source.expovariate(per_s))

    async def wait(self, seconds: float) -> None:
        """Wait for the open calls, at most so long."""
        if self._tasks:
            await asyncio.wait(set(self._tasks), timeout=seconds)

    def close(self) -> None:
        """Close all kept connections."""
        for connection in self._kept:
            connection.writer.close()
        self._kept.clear()

    async def _make_call(self) -> None:
        number = next(self._numbers)
        path, method, patience_s = self._draw_kind()
        deadline_at = time.monotonic() + patience_s
        req_id = ''
        attempt = Attempt('', path, '', False, time.monotonic())
        for tries in range(_MAX_TRIES_OF_STREAM):
            attempt = _follow(attempt)
            if (
                not req_id
                or attempt.resumes
                or self.source.random() >= self.same_id
            ):
                req_id = f'c{number}.{tries}'
            attempt.req_id = req_id
            self.attempts.append(attempt)
            retry_after_s = await self._try(attempt, method, deadline_at)
            attempt.ended_at = time.monotonic()
            if attempt.broken and attempt.last_event_id:
                retry_after_s = 0.0
            if retry_after_s is None or (
                not attempt.last_event_id and tries + 1 >= _MAX_TRIES
            ):
                return
            await asyncio.sleep(retry_after_s)
            if time.monotonic() >= deadline_at:
                return

    def _draw_kind(self) -> tuple[str, str, float]:
        if self.resuming and self.source.random() < self.resuming:
            return _KINDS[-1]
        return self.source.choice(_KINDS)

    async def _try(
        self, attempt: Attempt, method: str, deadline_at: float
    ) -> float | None:
        """Send a call; return when to try again, None if not at all."""
        connection = None
        try:
            connection = await self._connect(attempt)
        except (OSError, TimeoutError):
            attempt.outcome = 'no connection'
            return 0.05
        answer = ReceivedAnswer()
        try:
            async with asyncio.timeout_at(
                deadline_at
                - time.monotonic()
                + asyncio.get_running_loop().time()
            ):
                return await self._exchange(
                    attempt, connection, method, deadline_at, answer
                )
        except TimeoutError:
            attempt.outcome = 'gave up'
        except (OSError, asyncio.IncompleteReadError, ValueError) as exc:
            attempt.outcome = f'{type(exc).__name__} {attempt.status}'
            attempt.status = 0
            attempt.broken = True
        finally:
            attempt.foreign = find_foreign_part(
                attempt.path, attempt.req_id, answer, attempt.resumes_after
            )
            if attempt.path == RESUMED_PATH and answer.status == _STATUS_OK:
                for each in _EVENT.findall(answer.body):
                    attempt.last_event_id = int(each)
        connection.writer.transport.abort()
        return None

    async def _connect(self, attempt: Attempt) -> _Connection:
        now = time.monotonic()
        while self._kept and not attempt.resumes and self.source.random() < 0.7:
            index = self.source.randrange(len(self._kept))
            connection = self._kept.pop(index)
            if (
                now - connection.idle_since > _MAX_IDLE_S
                or connection.reader.at_eof()
                or connection.writer.is_closing()
            ):
                connection.writer.close()
                continue
            attempt.machine = connection.machine.name
            attempt.skewed = bool(connection.machine.skews)
            attempt.reused = True
            return connection
        machine = self._choose_machine(attempt)
        attempt.machine = machine.name
        attempt.skewed = bool(machine.skews)
        async with asyncio.timeout(_CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(
                machine.ip, machine.entry_port
            )
        return _Connection(machine, reader, writer)

    def _choose_machine(self, attempt: Attempt) -> Machine:
        ready = [each for each in self.machines if each.in_rotation]
        if not attempt.resumes:
            return self.source.choice(ready or self.machines)
        # Broken streams come again elsewhere.
        others = [
            each
            for each in ready or self.machines
            if each.name != attempt.machine
        ]
        skewed = [each for each in others if each.skews]
        if skewed and self.source.random() < _AT_SKEWED:
            return self.source.choice(skewed)
        return self.source.choice(others or self.machines)

    async def _exchange(
        self,
        attempt: Attempt,
        connection: _Connection,
        method: str,
        deadline_at: float,
        answer: ReceivedAnswer,
    ) -> float | None:
        wait_ms = max(1, int((deadline_at - time.monotonic()) * 1000))
        body = b'' if method == 'GET' else b'x' * 300
        head = (
            f'{method} {attempt.path} HTTP/1.1\r\nHost: calls.example\r\n'
            f'X-Attempt-Id: {attempt.req_id}\r\nX-Deadline-Ms: {wait_ms}\r\n'
            f'Authorization: Bearer key-1\r\nContent-Length: {len(body)}\r\n'
            f'X-Token-Counts: 200,40\r\n'
        )
        if attempt.resumes:
            head += (
                f'Last-Event-Id: {attempt.resumes_after}\r\n'
                f'Resumes: {attempt.resumes}\r\n'
            )
        head += '\r\n'
        connection.writer.write(head.encode() + body)
        reader = connection.reader
        raw = await reader.readuntil(b'\r\n\r\n')
        lines = raw.decode('latin-1').split('\r\n')
        attempt.status = int(lines[0].split()[1])
        answer.pairs = [
            tuple(line.lower().split(': ', 1))
            for line in lines[1:]
            if ': ' in line
        ]
        answer.status = attempt.status
        headers = dict(answer.pairs)
        await _read_body(reader, headers, answer)
        answer.whole = True
        attempt.outcome = str(attempt.status)
        if _ends_with_connection(headers):
            attempt.outcome += ' by close'
            connection.writer.close()
        elif headers.get('connection') == 'close':
            connection.writer.close()
        else:
            connection.idle_since = time.monotonic()
            self._kept.append(connection)
        if attempt.promised:
            return min(0.5, float(headers.get('retry-after', 0)))
        return None


def _follow(before: Attempt) -> Attempt:
    """Return the attempt behind another, which takes up what that brought."""
    attempt = Attempt('', before.path, before.machine, False, time.monotonic())
    if before.last_event_id:
        attempt.resumes = before.resumes or before.req_id
        attempt.resumes_after = before.last_event_id
        attempt.last_event_id = before.last_event_id
    return attempt


async def _read_body(
    reader: asyncio.StreamReader,
    headers: dict[str, str],
    answer: ReceivedAnswer,
) -> None:
    """Read the body of an answer, which has what came if it breaks off."""
    if _ends_with_connection(headers):
        answer.body += await reader.read()
    elif 'chunked' in headers.get('transfer-encoding', ''):
        while size := int(await reader.readuntil(b'\r\n'), 16):
            await _read_part(reader, size, answer)
            await reader.readexactly(2)
        await reader.readuntil(b'\r\n')
    else:
        await _read_part(reader, int(headers['content-length']), answer)


async def _read_part(
    reader: asyncio.StreamReader, size: int, answer: ReceivedAnswer
) -> None:
    try:
        answer.body += await reader.readexactly(size)
    except asyncio.IncompleteReadError as exc:
        answer.body += exc.partial
        raise


def _ends_with_connection(headers: dict[str, str]) -> bool:
    """Whether only the close of its connection ends an answer."""
    return not {'content-length', 'transfer-encoding'} & headers.keys()
