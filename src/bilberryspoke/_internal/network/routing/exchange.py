"""HTTP exchange of one routed call with its caller."""

import asyncio
from dataclasses import dataclass, field
from typing import Any

from bilberryspoke._internal.models.routing import RoutedCall
from bilberryspoke._internal.models.routing_effects import (
    FinishStream,
    HandOff,
    RefuseCall,
    RelayFailure,
    Send,
)
from bilberryspoke._internal.platform.headerfields import RawHeaders

_CONNECTION_CLOSE = (b'connection', b'close')

Command = Send | HandOff | RelayFailure | RefuseCall | FinishStream


@dataclass(frozen=True, slots=True)
class BufferedResponse:
    """Complete response that has not been sent to the caller."""

    status: int
    headers: RawHeaders
    body: bytes


@dataclass(slots=True)
class Exchange:
    """Request of a routed call and the state of its response.

    ``request_target`` is the path with its query as the caller sent it,
    ``forwarded`` the headers that go on to upstreams, ``key`` the caller's API
    key, ``send`` the ASGI send callable. ``close_connection`` asks the caller
    to open a new connection for its next call. ``commands`` holds decisions of
    the core; None ends the exchange. ``task`` is the running send to an
    upstream, ``cancelled_attempt`` the last one that was cancelled.
    ``held`` is the last failure response of an upstream, kept in case the core
    relays it. ``last_event_id`` is the id of the last event of the caller.
    ``may_be_whole`` is true while the caller has all events of an answer that
    ended between two events, but did not say that this was its end.
    ``unsent_headers`` are those of that answer, if it had no event.
    ``started`` is true once the status line was sent, ``complete`` once the
    whole response was.
    """

    call: RoutedCall
    method: str
    request_target: str
    body: bytes
    forwarded: RawHeaders
    send: Any
    key: str | None = None
    close_connection: bool = False
    commands: asyncio.Queue[Command | None] = field(
        default_factory=asyncio.Queue
    )
    task: asyncio.Task[Any] | None = None
    cancelled_attempt: int = 0
    held: BufferedResponse | None = None
    last_event_id: int | None = None
    may_be_whole: bool = False
    unsent_headers: RawHeaders = field(default_factory=list)
    started: bool = False
    complete: bool = False

    async def next_command(self) -> Command | None:
        """Wait for the next command but sends that were cancelled."""
        while True:
            command = await self.commands.get()
            is_send = isinstance(command, Send | HandOff)
            if not is_send or command.attempt > self.cancelled_attempt:
                return command

    def cancel_send(self, attempt: int) -> None:
        """Cancel a send, also if it has not begun."""
        self.cancelled_attempt = attempt
        if self.task is not None:
            self.task.cancel()

    async def start(self, status: int, headers: RawHeaders) -> None:
        """Send the status line and the headers to the caller."""
        self.started = True
        sent_headers = add_close_header(
            headers, close_connection=self.close_connection
        )
        await send_response_start(self.send, status, sent_headers)

    async def write(self, raw: bytes) -> None:
        """Send a part of the body."""
        await self.send(
            {'type': 'http.response.body', 'body': raw, 'more_body': True},
        )

    async def finish(self, raw: bytes = b'') -> None:
        """Send the last part of the body."""
        await self.send({'type': 'http.response.body', 'body': raw})
        self.complete = True

    async def finish_if_whole(self) -> None:
        """End the body unless the stream has gone on since it seemed whole."""
        if not self.may_be_whole:
            return
        if not self.started:
            await self.start(200, self.unsent_headers)
        await self.finish()

    async def send_response(self, response: BufferedResponse) -> None:
        """Send a complete response to the caller."""
        await self.start(response.status, response.headers)
        await self.finish(response.body)


def add_close_header(
    headers: RawHeaders, *, close_connection: bool
) -> RawHeaders:
    """Return headers with ``connection: close`` if ``close_connection``."""
    return [*headers, _CONNECTION_CLOSE] if close_connection else headers


async def send_response_start(
    send: Any, status: int, headers: RawHeaders
) -> None:
    """Send the status line and the headers through an ASGI callable."""
    await send(
        {
            'type': 'http.response.start',
            'status': status,
            'headers': headers,
        },
    )
