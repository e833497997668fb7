"""Stand-in for an upstream of the platform, with scripted answers.

It speaks HTTP/1.1 on raw connections, so that it can truncate, reset, corrupt
or duplicate its answers. Each answer is a function registered under a name:
see fakes/scripts.py, fakes/unframedstreams.py and, for model engines,
fakes/modelengine.py.
"""

import asyncio
import socket
import struct
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import httptools

from fakes.addresses import STAND_IN_HOST

Headers = dict[str, str]
STREAM_EVENT_COUNT = 6
STREAM_HEADERS = {
    'Content-Type': 'text/event-stream',
    'Transfer-Encoding': 'chunked',
}
# Answered without running anything, as a model engine does with its load.
PROBE_PATH = '/-/report'
# SO_LINGER on with 0 s: closing sends a TCP reset.
_LINGER_ZERO = struct.pack('ii', 1, 0)


@dataclass(slots=True)
class Run:
    """One execution of a call at the upstream.

    ``aborted`` means that the connection was lost before the answer ended.
    ``arrived_at`` is in seconds of the monotonic clock. ``stated`` are headers
    of the answer in which the upstream says something of itself.
    """

    method: str
    target: str
    headers: Headers
    body: bytes
    ended: bool = False
    aborted: bool = False
    arrived_at: float = field(default_factory=time.monotonic)
    stated: Headers = field(default_factory=dict)

    @property
    def req_id(self) -> str:
        """The request id; the platform's header calls it an attempt id."""
        return self.headers.get('x-attempt-id', '')


Script = Callable[
    ['UpstreamStandIn', Run, asyncio.StreamWriter], Awaitable[None]
]
_SCRIPTS: dict[str, Script] = {}


def register_script(name: str) -> Callable[[Script], Script]:
    """Register the decorated function as the answer of a name."""

    def register(function: Script) -> Script:
        _SCRIPTS[name] = function
        return function

    return register


class _RequestCollector:
    """Collects the requests of one connection from parser callbacks."""

    def __init__(self) -> None:
        self.runs: list[Run] = []
        self._headers: Headers = {}
        self._url = b''
        self._body = b''
        self.parser = httptools.HttpRequestParser(self)

    def on_message_begin(self) -> None:
        self._headers = {}
        self._url = b''
        self._body = b''

    def on_url(self, url: bytes) -> None:
        self._url += url

    def on_header(self, name: bytes, text: bytes) -> None:
        self._headers[name.decode().lower()] = text.decode('latin-1')

    def on_body(self, body: bytes) -> None:
        self._body += body

    def on_message_complete(self) -> None:
        method = self.parser.get_method().decode()
        run = Run(method, self._url.decode(), self._headers, self._body)
        self.runs.append(run)


@dataclass(slots=True)
class UpstreamStandIn:
    """An upstream whose answers are chosen by the test.

    ``instance`` is its instance id; calls that expect another one are refused.
    ``address`` is host and port, ``connections`` counts those accepted so far.
    ``answers`` names the scripts of its next answers; when they are used up,
    the script named ``default`` answers. ``scripts`` names those of calls by
    their request id, before all others. ``runs`` are the calls that ran,
    ``refused_at`` is when those refused unexecuted arrived, in seconds of the
    monotonic clock. Setting ``release`` lets
    scripts that wait for it go on. ``stated`` are headers that all of its
    answers carry. Probes count as no runs while ``answers_probes`` is true.
    """

    instance: str
    default: str = 'whole'
    answers: list[str] = field(default_factory=list)
    scripts: dict[str, str] = field(default_factory=dict)
    runs: list[Run] = field(default_factory=list)
    refused_at: list[float] = field(default_factory=list)
    connections: int = 0
    address: str = ''
    stated: Headers = field(default_factory=dict)
    release: asyncio.Event = field(default_factory=asyncio.Event)
    answers_probes: bool = True
    _server: asyncio.Server | None = None
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)
    _reset_on_use: set[asyncio.StreamWriter] = field(default_factory=set)

    async def start(self, host: str = STAND_IN_HOST) -> None:
        """Listen on a free port, or on that of before if it was stopped."""
        _, _, port = self.address.rpartition(':')
        self._server = await asyncio.start_server(
            self._serve, host, int(port or 0)
        )
        bound_address = self._server.sockets[0].getsockname()
        self.address = f'{bound_address[0]}:{bound_address[1]}'

    def reset_on_next_use(self) -> None:
        """Make each open connection reset when it next receives bytes."""
        self._reset_on_use.update(self._writers)

    async def stop(self) -> None:
        """Reset all connections and stop listening."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            reset(writer)

    def end_process(self) -> None:
        """Do what the kernel does when a process ends; it does not restart."""
        if self._server is not None:
            self._server.close()
            self._server = None
        self.close_connections()

    def close_connections(
        self, but: asyncio.StreamWriter | None = None
    ) -> None:
        """Close all connections, or all but one, with a FIN."""
        for writer in list(self._writers):
            if writer is not but:
                writer.close()

    @property
    def refusals(self) -> int:
        """Number of calls refused unexecuted."""
        return len(self.refused_at)

    @property
    def is_down(self) -> bool:
        """Whether it does not listen."""
        return self._server is None

    async def run_script(
        self, name: str, run: Run, writer: asyncio.StreamWriter
    ) -> None:
        """Answer a call by the script of a name."""
        await _SCRIPTS[name](self, run, writer)

    def count_runs(self, req_id: str) -> int:
        """Return how often a call ran at this upstream."""
        return sum(run.req_id == req_id for run in self.runs)

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.connections += 1
        self._writers.add(writer)
        collector = _RequestCollector()
        answer_task: asyncio.Task[None] | None = None
        try:
            while raw := await reader.read(65536):
                if writer in self._reset_on_use:
                    reset(writer)
                    return
                collector.parser.feed_data(raw)
                while collector.runs:
                    run = collector.runs.pop(0)
                    answer_task = asyncio.create_task(self._answer(run, writer))
        except (ConnectionError, httptools.HttpParserError):
            pass
        finally:
            self._writers.discard(writer)
            self._reset_on_use.discard(writer)
            if answer_task is not None and not answer_task.done():
                answer_task.cancel()
            writer.close()

    def _choose_script(self, run: Run) -> str:
        if run.req_id in self.scripts:
            return self.scripts[run.req_id]
        return self.answers.pop(0) if self.answers else self.default

    async def _answer(self, run: Run, writer: asyncio.StreamWriter) -> None:
        expected = run.headers.get('x-expect-instance', self.instance)
        if expected != self.instance:
            self.refused_at.append(run.arrived_at)
            extra_headers = {'X-Instance-Id': self.instance}
            write_whole(writer, run, 421, b'', extra_headers, sealed=False)
            return
        if run.target == PROBE_PATH and self.answers_probes:
            write_whole(writer, run, 200, b'{}', sealed=False)
            return
        name = self._choose_script(run)
        # The script refuses the call, so it does not count as run.
        if name == 'busy':
            self.refused_at.append(run.arrived_at)
        else:
            self.runs.append(run)
        try:
            run.stated = dict(self.stated)
            await self.run_script(name, run, writer)
            await writer.drain()
        except asyncio.CancelledError:
            run.aborted = True
            raise
        except ConnectionError:
            run.aborted = True
        finally:
            run.ended = True


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a TCP reset."""
    sock = writer.get_extra_info('socket')
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO)
    writer.transport.abort()


def write_head(
    writer: asyncio.StreamWriter,
    run: Run,
    status: int,
    headers: Headers,
    *,
    sealed: bool = True,
) -> None:
    """Write the status line and the headers of an answer.

    ``sealed`` adds the seal that shows that the answer is the upstream's own.
    """
    lines = [f'HTTP/1.1 {status} Scripted']
    lines.append(f'X-Attempt-Id: {run.req_id}')
    if sealed:
        lines.append(f'X-Response-Seal: seal-of-{run.req_id}')
    stated = {**run.stated, **headers}
    lines += [f'{name}: {text}' for name, text in stated.items()]
    writer.write('\r\n'.join([*lines, '', '']).encode())


def write_whole(
    writer: asyncio.StreamWriter,
    run: Run,
    status: int,
    body: bytes,
    headers: Headers | None = None,
    *,
    sealed: bool = True,
) -> None:
    """Write an answer with a ``Content-Length`` and its whole body."""
    sized = {'Content-Length': str(len(body)), **(headers or {})}
    write_head(writer, run, status, sized, sealed=sealed)
    writer.write(body)


def make_body(run: Run) -> bytes:
    """Return the body of the answer to a call."""
    return f'answer to {run.req_id}'.encode()


def make_event(run: Run, number: int) -> bytes:
    """Return one server-sent event, with its number as the event id."""
    return f'id: {number}\ndata: {run.req_id} {number}\n\n'.encode()


def make_stream(req_id: str, first: int = 1) -> bytes:
    """Return the body of a stream from the event numbered ``first`` on."""
    run = Run('POST', '', {'x-attempt-id': req_id}, b'')
    numbers = range(first, STREAM_EVENT_COUNT + 1)
    return b''.join(make_event(run, number) for number in numbers)


def write_chunk(writer: asyncio.StreamWriter, raw: bytes) -> None:
    """Write one chunk of a body in chunked transfer encoding."""
    writer.write(b'%x\r\n%s\r\n' % (len(raw), raw))
