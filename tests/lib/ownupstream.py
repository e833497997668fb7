"""Scripted upstream of the project's own interface, and calls to it."""

import asyncio
import contextlib
import math
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from bilberryspoke._internal.config.settings import LimitSettings
from bilberryspoke._internal.models.effects import Dispatch
from bilberryspoke._internal.models.requests import Request
from bilberryspoke._internal.network.answers import AnswerStore
from bilberryspoke._internal.network.calls import Call
from bilberryspoke._internal.network.relaying import AttemptResult
from bilberryspoke._internal.network.upstreams import UpstreamClient
from fakes.stuttering import PAUSE_S as PAUSE_S
from fakes.stuttering import write_pieces as write_pieces

_HEAD_END = b'\r\n\r\n'


@dataclass
class Received:
    """A request, with those that came before it on its connection."""

    headers: dict[str, str]
    earlier: list['Received']

    @property
    def req_id(self) -> str:
        """The request id, empty for one that is no call."""
        return self.headers.get('x-request-id', '')


Script = Callable[[Received, asyncio.StreamWriter], Awaitable[None]]


class ScriptedUpstream:
    """Upstream that answers each request as its script says.

    It closes a connection only if its client or the script does.
    """

    def __init__(self, script: Script) -> None:
        """Create an upstream; ``async with`` starts and stops it."""
        self.received: list[Received] = []
        self.port = 0
        self._script = script

    @property
    def url(self) -> str:
        """The base URL."""
        return f'http://127.0.0.1:{self.port}'

    async def __aenter__(self) -> 'ScriptedUpstream':
        """Start to listen."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Stop to listen."""
        self.stop_listening()

    def stop_listening(self) -> None:
        """Accept no more connections."""
        self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        earlier: list[Received] = []
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while not writer.is_closing():
                head = (await reader.readuntil(_HEAD_END)).decode()
                lines = [line.split(': ', 1) for line in head.split('\r\n')[1:]]
                headers = {each[0].lower(): each[-1] for each in lines}
                await reader.readexactly(int(headers.get('content-length', 0)))
                received = Received(headers, list(earlier))
                earlier.append(received)
                self.received.append(received)
                await self._script(received, writer)
        writer.close()


@dataclass
class Answered:
    """What the caller of a call got, and how its attempt ended.

    ``status`` is 0 if nothing was sent to the caller.
    """

    result: AttemptResult | None = None
    status: int = 0
    body: bytearray = field(default_factory=bytearray)
    headers: dict[bytes, bytes] = field(default_factory=dict)

    async def send(self, message: dict) -> None:
        """Take a message to the caller."""
        if 'status' in message:
            self.status = message['status']
            self.headers = dict(message['headers'])
        self.body += message.get('body', b'')


@contextlib.asynccontextmanager
async def run_client():
    """Yield a client of the own interface; close it at the end."""
    client = UpstreamClient(LimitSettings(), AnswerStore())
    try:
        yield client
    finally:
        await client.close()


def make_call(
    req_id: str,
    answered: Answered,
    *,
    method: str = 'POST',
    stream: bool = False,
    repeatable: bool = True,
) -> Call:
    """Return a call, a completion if it is a stream."""
    path = '/v1/chat/completions' if stream else '/x'
    return Call(
        req=Request(
            req_id=req_id,
            workspace='w',
            service_class='c',
            pool='p',
            arrived_at=0,
            repeatable=repeatable,
        ),
        method=method,
        path=path,
        public_path=path,
        body=b'{"a":1}',
        headers={},
        stream=stream,
        send=answered.send,
    )


async def run_call(
    client: UpstreamClient, url: str, req_id: str, **options: bool | str
) -> Answered:
    """Run one attempt of a call; return what its caller got."""
    answered = Answered()
    call = make_call(req_id, answered, **options)
    dispatch = Dispatch(req_id, 1, 'u', 0, 0, math.inf)
    answered.result = await client.run(call, dispatch, url)
    return answered
