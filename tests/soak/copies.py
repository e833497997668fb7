"""Copies of answers, which upstreams of the soak send too many."""

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field
from weakref import WeakKeyDictionary

from fakes.upstream import Run

# When a copy is sent: right behind its answer, some time later, or where the
# next answer is due on the connection.
_MOMENTS = ('at once', 'later', 'due')
_LATER_S = (0.01, 0.3)


@dataclass(frozen=True, slots=True)
class Answer:
    """An answer as it was sent; ``kind`` is its status, and what it answers."""

    kind: str
    req_id: str
    raw: bytes


@dataclass(slots=True)
class _Connection:
    """What an upstream knows of a connection.

    ``req_id`` is that of the call under way, empty if there is none.
    """

    req_id: str = ''
    earlier_ids: set[str] = field(default_factory=set)
    in_answer: bool = False
    due: list[Answer] = field(default_factory=list)


@dataclass(slots=True)
class Copier:
    """Sends copies of an upstream's answers on the connections they went over.

    ``fraction`` is that of the answers that are copied, ``stuttering`` that of
    the answers that are copied in part. ``counts`` is shared by all upstreams:
    copies by kind of answer, moment and what the connection carried then; and
    calls whose id came before.
    """

    source: random.Random
    counts: Counter[str]
    fraction: float = 0.0
    stuttering: float = 0.0
    _connections: WeakKeyDictionary = field(default_factory=WeakKeyDictionary)
    _arrived_ids: set[str] = field(default_factory=set)
    _tasks: set[asyncio.Task] = field(default_factory=set)

    def begin_call(self, run: Run, writer: asyncio.StreamWriter) -> None:
        """Note the arrival of a call, and send the copies that wait for it."""
        connection = self._connections.setdefault(writer, _Connection())
        if run.req_id in connection.earlier_ids:
            self.counts['id again, same connection'] += 1
        elif run.req_id in self._arrived_ids:
            self.counts['id again, other connection'] += 1
        self._arrived_ids.add(run.req_id)
        connection.earlier_ids.add(run.req_id)
        connection.req_id = run.req_id
        for answer in connection.due:
            self._send(writer, connection, answer, 'due')
        connection.due.clear()

    def begin_answer(self, writer: asyncio.StreamWriter) -> None:
        """Send no copy until the answer that begins now has ended."""
        self._connections.setdefault(writer, _Connection()).in_answer = True

    def end_answer(self, writer: asyncio.StreamWriter, answer: Answer) -> None:
        """Note that an answer was sent, and copy it if this is drawn."""
        connection = self._connections.setdefault(writer, _Connection())
        connection.req_id = ''
        connection.in_answer = False
        if self.stuttering and self.source.random() < self.stuttering:
            self._copy(writer, connection, self._cut(answer))
        if self.source.random() < self.fraction:
            self._copy(writer, connection, answer)

    def _cut(self, answer: Answer) -> Answer:
        length = self.source.randrange(1, len(answer.raw))
        return Answer(f'{answer.kind}, cut', answer.req_id, answer.raw[:length])

    def _copy(
        self,
        writer: asyncio.StreamWriter,
        connection: _Connection,
        answer: Answer,
    ) -> None:
        moment = self.source.choice(_MOMENTS)
        if moment == 'at once':
            self._send(writer, connection, answer, moment)
        elif moment == 'due':
            connection.due.append(answer)
        else:
            task = asyncio.create_task(
                self._send_later(writer, connection, answer)
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _send_later(
        self,
        writer: asyncio.StreamWriter,
        connection: _Connection,
        answer: Answer,
    ) -> None:
        await asyncio.sleep(self.source.uniform(*_LATER_S))
        if connection.in_answer:
            connection.due.append(answer)
        else:
            self._send(writer, connection, answer, 'later')

    def _send(
        self,
        writer: asyncio.StreamWriter,
        connection: _Connection,
        answer: Answer,
        moment: str,
    ) -> None:
        if writer.is_closing():
            return
        writer.write(answer.raw)
        carried = 'no call'
        if connection.req_id:
            same = connection.req_id == answer.req_id
            carried = 'same id' if same else 'other call'
        self.counts[f'copy of {answer.kind}, {moment}, {carried}'] += 1
