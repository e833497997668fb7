"""Upstream that answers while it still reads the body of a request."""

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator, Callable

from fakes.addresses import STAND_IN_HOST
from fakes.upstream import Run

_PAUSE_S = 0.1
# Small, so that the sender of a long body has to wait.
_BUFFER_BYTES = 4096

Make = Callable[[Run], bytes]


@contextlib.asynccontextmanager
async def read_slowly(make_copy: Make, make_own: Make) -> AsyncIterator[str]:
    """Run an upstream; yield its address.

    Where a request has a body, a copy comes while that is read. The own
    answer follows once it has been read.
    """

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                await _serve_request(reader, writer, make_copy, make_own)

    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _BUFFER_BYTES)
    listener.bind((STAND_IN_HOST, 0))
    server = await asyncio.start_server(
        serve, sock=listener, limit=_BUFFER_BYTES
    )
    host, port = listener.getsockname()
    try:
        yield f'{host}:{port}'
    finally:
        server.close()


async def _serve_request(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    make_copy: Make,
    make_own: Make,
) -> None:
    head = await reader.readuntil(b'\r\n\r\n')
    headers = dict(
        line.lower().split(': ', 1)
        for line in head.decode().split('\r\n')
        if ': ' in line
    )
    run = Run('POST', '', headers, b'')
    length = int(headers.get('content-length', 0))
    if length:
        writer.write(make_copy(run))
        await asyncio.sleep(_PAUSE_S)
    await reader.readexactly(length)
    writer.write(make_own(run))
