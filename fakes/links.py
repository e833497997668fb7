"""Stand-in for the network between a VM and an upstream, which can be cut."""

import asyncio
import contextlib
import socket
from dataclasses import dataclass, field

from fakes.addresses import STAND_IN_HOST
from fakes.upstream import reset

# Connections that fill the queue of a socket that accepts none.
_FILLERS = 8


@dataclass(slots=True)
class Link:
    """A TCP relay to ``target`` (``host:port``) that listens at ``address``.

    While it is cut, connections are refused, hang, or are accepted and fail
    then; open ones are reset, hang or live on.
    """

    target: str
    address: str = ''
    _server: asyncio.Server | None = None
    _blocked: list[socket.socket] = field(default_factory=list)
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)
    _passes: asyncio.Event = field(default_factory=asyncio.Event)
    _resets: bool = False
    _silent: set[asyncio.StreamWriter] = field(default_factory=set)

    async def start(self) -> None:
        """Listen on a free port, or on that of before, and relay all bytes."""
        if self._server is not None:
            self._server.close()
        for sock in self._blocked:
            sock.close()
        self._blocked.clear()
        _, _, port = self.address.rpartition(':')
        self._server = await asyncio.start_server(
            self._relay, STAND_IN_HOST, int(port or 0)
        )
        host, port = self._server.sockets[0].getsockname()
        self.address = f'{host}:{port}'
        self._passes.set()
        self._resets = False

    def accept_and_reset(self) -> None:
        """Reset all connections as soon as they carry bytes, new ones too."""
        self._resets = True

    def accept_and_hang(self) -> None:
        """Open new connections, and pass no bytes on any."""
        self._passes.clear()

    def silence(self) -> None:
        """Pass nothing on any connection that is open now; new ones work."""
        self._silent.update(self._writers)

    def refuse(self) -> None:
        """Refuse new connections; open ones live on."""
        if self._server is not None:
            self._server.close()
            self._server = None

    def reset(self) -> None:
        """Refuse new connections and reset the open ones."""
        self.refuse()
        for writer in list(self._writers):
            reset(writer)

    def hang(self) -> None:
        """Let all connections hang, new ones too."""
        self.refuse()
        self._passes.clear()
        if self._blocked:
            return
        host, _, port = self.address.rpartition(':')
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, int(port)))
        listener.listen(0)
        self._blocked.append(listener)
        for _ in range(_FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                filler.connect((host, int(port)))
            self._blocked.append(filler)

    async def stop(self) -> None:
        """Close everything."""
        self.reset()
        for sock in self._blocked:
            sock.close()
        for task in self._tasks:
            task.cancel()

    async def _relay(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._tasks.add(asyncio.current_task())
        host, _, port = self.target.rpartition(':')
        try:
            far_reader, far_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            reset(writer)
            return
        pair = {writer, far_writer}
        self._writers |= pair
        try:
            await asyncio.gather(
                self._pump(reader, far_writer), self._pump(far_reader, writer)
            )
        finally:
            self._writers -= pair
            self._tasks.discard(asyncio.current_task())
            for each in pair:
                each.close()

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while raw := await reader.read(65536):
                if self._resets:
                    raise ConnectionResetError
                await self._passes.wait()
                if reader.exception() is not None:
                    # A reset of the sender drops what was held up.
                    raise ConnectionResetError
                if writer in self._silent:
                    continue
                writer.write(raw)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            reset(writer)
        else:
            writer.close()
