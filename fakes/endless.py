"""Stand-in for a server whose answers do not end."""

import asyncio
import contextlib
import json
from collections.abc import Callable
from dataclasses import dataclass, field

PIECE_BYTES = 65_536
_OK = b'HTTP/1.1 200 OK\r\n'
_CHUNKED = b'transfer-encoding: chunked\r\n\r\n'


@dataclass(frozen=True, slots=True)
class Flood:
    """An answer: its beginning, and a piece that follows without end.

    ``interval_s`` is the time between two pieces. Without a piece the
    connection is closed after the beginning.
    """

    beginning: bytes
    piece: bytes = b''
    interval_s: float = 0


def make_answer(body: bytes) -> Flood:
    """Return an answer with status 200 that ends."""
    head = b'content-length: %d\r\n\r\n' % len(body)
    return Flood(_OK + head + body)


def make_body_flood(beginning: bytes, piece: bytes) -> Flood:
    """Return an answer whose body goes on until the connection closes.

    ``piece`` is repeated to about ``PIECE_BYTES`` bytes.
    """
    return Flood(_OK + b'\r\n' + beginning, _repeat(piece))


def make_chunk_flood(beginning: bytes, piece: bytes) -> Flood:
    """Return an answer whose body has chunks without end."""
    first = _OK + _CHUNKED + _make_chunk(beginning)
    return Flood(first, _make_chunk(_repeat(piece)))


def make_length_flood(beginning: bytes, piece: bytes) -> Flood:
    """Return an answer that names a length which it does not reach."""
    head = b'content-length: %d\r\n\r\n' % 10**15
    return Flood(_OK + head + beginning, _repeat(piece))


@dataclass(slots=True)
class EndlessServer:
    """A server that gives the floods of ``answers`` to the paths they stand at.

    Paths that are not in ``answers`` get ``default``. ``started`` counts the
    answers that were begun, ``ended`` those whose connection the client
    closed, and ``sent_bytes`` lists the size of each that has ended.
    """

    default: Flood
    answers: dict[str, Flood] = field(default_factory=dict)
    address: str = ''
    started: int = 0
    sent_bytes: list[int] = field(default_factory=list)
    _server: asyncio.Server | None = None
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    @property
    def ended(self) -> int:
        """Number of answers that the client ended."""
        return len(self.sent_bytes)

    async def start(self, address: str = '127.0.0.1:0') -> None:
        """Listen at an address (``host:port``), on port 0 at a free one."""
        host, _, port = address.rpartition(':')
        self._server = await asyncio.start_server(self._serve, host, int(port))
        bound = self._server.sockets[0].getsockname()
        self.address = f'{bound[0]}:{bound[1]}'

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def choose_answer(self, path: str) -> Flood:
        """Return the answer to a request for a path."""
        return self.answers.get(path, self.default)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._tasks.add(asyncio.current_task())
        try:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                head = await reader.readuntil(b'\r\n\r\n')
                path = head.split()[1].decode().partition('?')[0]
                await self._pour(self.choose_answer(path), writer)
        finally:
            self._tasks.discard(asyncio.current_task())
            writer.close()

    async def _pour(self, flood: Flood, writer: asyncio.StreamWriter) -> None:
        self.started += 1
        sent = len(flood.beginning)
        try:
            writer.write(flood.beginning)
            await writer.drain()
            while flood.piece:
                writer.write(flood.piece)
                await writer.drain()
                sent += len(flood.piece)
                # Also without an interval: drain does not always yield.
                await asyncio.sleep(flood.interval_s)
        except OSError:
            self.sent_bytes.append(sent)


@dataclass(slots=True)
class EndlessPages(EndlessServer):
    """A store that has more pages after each page of a range.

    ``pages`` counts those that were read. Each has one item; its key is above
    that of the page before if ``goes_on`` is true, otherwise the same.
    """

    goes_on: bool = True
    value_bytes: int = 0
    pages: int = 0

    def choose_answer(self, path: str) -> Flood:
        """Return the next page of a range."""
        self.pages += 1
        number = self.pages if self.goes_on else 1
        item = {
            'key': f'servers/{number:09}',
            'mod-revision': 1,
            'value': 'AAAA' * (self.value_bytes // 3),
        }
        page = {'items': [item], 'at': 1, 'has-more': True}
        return make_answer(json.dumps(page).encode())


def _repeat(piece: bytes) -> bytes:
    return piece * max(1, PIECE_BYTES // max(1, len(piece)))


def _make_chunk(raw: bytes) -> bytes:
    return b'%x\r\n%s\r\n' % (len(raw), raw) if raw else b''


FloodMaker = Callable[[bytes, bytes], Flood]
FRAMINGS: dict[str, FloodMaker] = {
    'to the close': make_body_flood,
    'chunks': make_chunk_flood,
    'length': make_length_flood,
}


@dataclass(slots=True)
class EndlessCaller:
    """A caller that sends a beginning and then one piece without end.

    It stops after ``max_bytes``. ``received`` are the bytes of the answers,
    ``sent_bytes`` counts what the server took, and ``closed`` is whether the
    server closed the connection.
    """

    address: str
    beginning: bytes = b''
    piece: bytes = b''
    interval_s: float = 0
    max_bytes: int = 64_000_000
    sent_bytes: int = 0
    received: bytearray = field(default_factory=bytearray)
    closed: bool = False
    _writer: asyncio.StreamWriter | None = None

    async def run(self, timeout_s: float = 10) -> None:
        """Send until the server closes the connection, or for a time."""
        host, _, port = self.address.rpartition(':')
        reader, self._writer = await asyncio.open_connection(host, int(port))
        reading = asyncio.create_task(self._read(reader))
        sending = asyncio.create_task(self._send())
        try:
            await asyncio.wait({reading}, timeout=timeout_s)
        finally:
            for task in (reading, sending):
                task.cancel()
            self._writer.transport.abort()
        await asyncio.gather(reading, sending, return_exceptions=True)

    async def _read(self, reader: asyncio.StreamReader) -> None:
        with contextlib.suppress(OSError):
            while raw := await reader.read(PIECE_BYTES):
                self.received += raw
        self.closed = True

    async def _send(self) -> None:
        raw = self.beginning
        while raw and self.sent_bytes < self.max_bytes:
            self._writer.write(raw)
            await self._writer.drain()
            self.sent_bytes += len(raw)
            await asyncio.sleep(self.interval_s)
            raw = self.piece if self.interval_s else _repeat(self.piece)
