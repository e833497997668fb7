"""Callers that do not behave: crowds of raw connections to one process."""

import asyncio
import contextlib
from dataclasses import dataclass, field
from pathlib import Path

BODY_BYTES = 1_000_000
HEADER_BYTES = 16_384
_READ_TIMEOUT_S = 1.5


@dataclass(slots=True)
class Crowd:
    """Connections to a process that stay open until the crowd leaves."""

    ip: str
    port: int
    _readers: list[asyncio.StreamReader] = field(default_factory=list)
    _writers: list[asyncio.StreamWriter] = field(default_factory=list)

    async def send(self, raw: bytes, piece: int = 0) -> None:
        """Open a connection and send bytes on it, in pieces if asked to.

        Whatever the process does with it is no failure of the client's.
        """
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection(self.ip, self.port)
            self._readers.append(reader)
            self._writers.append(writer)
            size = piece or max(1, len(raw))
            for start in range(0, len(raw), size):
                writer.write(raw[start : start + size])
                await writer.drain()

    async def send_all(self, requests: list[bytes], piece: int = 0) -> None:
        """Send each of several requests on a connection of its own."""
        await asyncio.gather(*(self.send(each, piece) for each in requests))

    async def read_heads(self) -> list[bytes]:
        """Return the first bytes of each response that arrives in 1.5 s.

        They are empty for a connection that gets none.
        """
        return await asyncio.gather(*map(_read_some, self._readers))

    def leave(self) -> None:
        """Reset all connections."""
        for writer in self._writers:
            writer.transport.abort()


def make_head(req_id: str, *lines: str) -> bytes:
    """Return the head of a call to the route ``safe`` with some more lines."""
    return '\r\n'.join(
        [
            'POST /safe/ HTTP/1.1',
            'Host: calls.example',
            f'X-Attempt-Id: {req_id}',
            'X-Deadline-Ms: 5000',
            'Authorization: Bearer key-1',
            *lines,
            '\r\n',
        ]
    ).encode()


def make_body_request(req_id: str, missing: int) -> bytes:
    """Return a call with a body of the limit, but for its last bytes."""
    head = make_head(req_id, f'Content-Length: {BODY_BYTES}')
    return head + b'x' * (BODY_BYTES - missing)


def make_lines_request(req_id: str, line: str, *, whole: bool) -> bytes:
    """Return a call whose head is nearly at the limit, of one line repeated.

    One that is not whole lacks the blank line.
    """
    room = HEADER_BYTES - 600
    raw = make_head(
        req_id, 'Content-Length: 0', *[line] * (room // (len(line) + 2))
    )
    return raw if whole else raw[:-2]


def make_trailers_request(req_id: str, trailers: int) -> bytes:
    """Return a call with a chunked body and many bytes of trailers."""
    head = make_head(req_id, 'Transfer-Encoding: chunked')
    return head + b'1\r\nx\r\n0\r\n' + b't: 1\r\n' * trailers


def read_peak_kb(pid: int) -> int:
    """Return the largest memory that a process had in use so far."""
    status = Path(f'/proc/{pid}/status').read_text('ascii')
    [line] = [each for each in status.splitlines() if 'VmHWM' in each]
    return int(line.split()[1])


def count_descriptors(pid: int) -> int:
    """Return how many descriptors a process has open."""
    return len(list(Path(f'/proc/{pid}/fd').iterdir()))


async def _read_some(reader: asyncio.StreamReader) -> bytes:
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(_READ_TIMEOUT_S):
            return await reader.read(1024)
    return b''
