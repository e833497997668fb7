"""Answers in every framing, and scripts that send pieces of them.

Sealed answers name status and id in ``X-Answer``, so that a caller can tell
whose each part is.
"""

import asyncio
from collections.abc import Callable, Sequence

from fakes.stuttering import PAUSE_S, write_pieces
from fakes.upstream import Headers, Run, UpstreamStandIn, register_script

# Of a body, so that breaks fall within chunks and between them.
_CHUNK_BYTES = 7
_CHUNK_EXTENSION = b';name="a text"'
_TRAILERS = b'X-Sum: 17\r\nX-Trailer: a text\r\n'

MakePieces = Callable[[Run], Sequence[bytes]]


def make_framed(
    run: Run,
    framing: str,
    *,
    status: int = 200,
    body: bytes | None = None,
    headers: Headers | None = None,
    sealed: bool = True,
) -> bytes:
    """Return an answer, as it would be sent.

    ``framing`` is ``length``, ``chunks``, ``trailers`` (chunks with extensions
    and trailers), ``close``, or ``none`` for one without a body.
    """
    own_body = make_text(run, status) if body is None else body
    lines = [f'HTTP/1.1 {status} Scripted', f'X-Attempt-Id: {run.req_id}']
    if sealed:
        lines += [
            f'X-Response-Seal: seal-of-{run.req_id}',
            'Server: stand-in',
            f'X-Answer: {status} {run.req_id}',
        ]
    lines += [f'{name}: {text}' for name, text in (headers or {}).items()]
    field, framed = _frame(own_body, framing)
    return '\r\n'.join([*lines, *field, '', '']).encode() + framed


def make_text(run: Run, status: int = 200) -> bytes:
    """Return the body of an answer with a status."""
    kind = 'answer to' if status == 200 else 'failed'
    return f'{kind} {run.req_id}'.encode()


def _frame(body: bytes, framing: str) -> tuple[list[str], bytes]:
    """Return the header lines of a framing, and the body in it."""
    if framing == 'none':
        return [], b''
    if framing == 'close':
        return ['Connection: close'], body
    if framing == 'length':
        return [f'Content-Length: {len(body)}'], body
    extension = _CHUNK_EXTENSION if framing == 'trailers' else b''
    trailers = _TRAILERS if framing == 'trailers' else b''
    parts = [
        body[start : start + _CHUNK_BYTES]
        for start in range(0, len(body), _CHUNK_BYTES)
    ]
    chunks = [
        b'%x%s\r\n%s\r\n' % (len(each), extension, each) for each in parts
    ]
    end = b'0%s\r\n%s\r\n' % (extension, trailers)
    return ['Transfer-Encoding: chunked'], b''.join([*chunks, end])


def register_pieces(
    name: str, make_pieces: MakePieces, *, closes: bool = False
) -> str:
    """Register a script that sends pieces with pauses; return its name.

    ``closes`` is whether it closes the connection after them.
    """

    @register_script(name)
    async def send_pieces(
        upstream: UpstreamStandIn, run: Run, writer: asyncio.StreamWriter
    ) -> None:
        await write_pieces(writer, *make_pieces(run))
        if closes:
            await asyncio.sleep(PAUSE_S)
            writer.close()

    return name


def make_earlier() -> Run:
    """Return a call to which an upstream has sent its answer before."""
    return Run('POST', '', {'x-attempt-id': 'earlier'}, b'')
