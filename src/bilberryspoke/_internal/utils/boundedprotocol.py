"""Client connections that bound what a faulty server makes them keep.

aiohttp bounds single lines of a head and the unread part of a body. It bounds
neither the bytes of a whole head, of chunk extensions and of trailers, nor the
number of answers that nobody has read yet.
"""

import asyncio
import functools
import os
from collections.abc import Iterator
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler

from bilberryspoke._internal.exceptions import BilberryspokeError
from bilberryspoke._internal.utils.answerstatus import (
    check_status,
    is_interim,
)
from bilberryspoke._internal.utils.socketstate import has_unsent, take_error

# Received bytes are parsed in pieces, as one read may hold thousands of
# answers.
_PIECE_BYTES = 16_384
# Limit for bytes in a row that neither complete a head nor belong to a body.
_MAX_BARREN_BYTES = 131_072
# Limit for interim answers (1xx) in a row.
_MAX_INTERIM_ANSWERS = 32
# Limits for what arrives while an answer is unread. aiohttp stops reading at
# 0.8 MB if it is the body of that answer.
_MAX_UNREAD_ANSWERS = 64
_MAX_UNREAD_BYTES = 1_048_576

# From the end of an answer that a server sends while a request is on its way to
# the reset by which a closed connection answers the rest of the request.
_RESET_TIMEOUT_S = 0.2

_ANSWER_BEGIN = b'HTTP/1.'


class AnswerLimitError(BilberryspokeError, aiohttp.ClientPayloadError):
    """A server sent more than is read or kept; its connection was closed.

    ``surplus``: what there was too much of.
    """

    def __init__(self, surplus: str) -> None:
        """Create the error."""
        super().__init__(surplus)
        self.surplus = surplus

    def __str__(self) -> str:
        """Return the message."""
        return f'connection closed: {self.surplus}'


class BoundedProtocol(ResponseHandler):
    """Connection that closes when its server sends without end.

    It is for requests whose answers end them, not for upgraded connections.
    Whoever waits for an answer or reads a body then gets
    ``AnswerLimitError``. Answers that were complete before can still be read.
    Bytes that arrive after an answer, before the next request, close it at
    once.

    ``has_junk`` is set once bytes arrived that neither begin an answer nor
    belong to one.
    """

    def __init__(self, *args: Any, **options: Any) -> None:
        """Create the protocol of a connection that is being opened."""
        super().__init__(*args, **options)
        self.has_junk = asyncio.Event()
        self._exceeded = False
        self._answers = 0
        self._interim_answers = 0
        self._barren_bytes = 0
        self._unread_bytes = 0
        # Body of the answer to the current request, once it is read.
        self._body: Any = None

    def set_response_params(self, **params: Any) -> None:
        """Note that a request is sent on it."""
        self.begin_request()
        super().set_response_params(**params)

    def begin_request(self) -> None:
        """Begin to count what arrives for the next request."""
        self._interim_answers = 0
        self._barren_bytes = 0
        self._unread_bytes = 0
        self._body = None

    async def read(self) -> Any:
        """Return the next answer that is not passed over.

        Raises AnswerStatusError if its status is none. aiohttp checks no more
        than its digits.
        """
        while True:
            message, body = await super().read()
            if not await self.pass_over(message, body):
                break
        check_status(message.code)
        if not is_interim(message.code):
            self._body = body
        return message, body

    async def pass_over(self, message: Any, body: Any) -> bool:
        """Read an answer that is not due; return whether it was one.

        Here each answer is due; subclasses may know better.
        """
        return False

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Add an answer whose head is complete to those that are unread."""
        if self._exceeded:
            return
        message, _ = data
        self._answers += 1
        if is_interim(message.code):
            self._interim_answers += 1
        else:
            self._interim_answers = 0
        if self._interim_answers > _MAX_INTERIM_ANSWERS:
            self._end('too many interim answers')
        elif len(self) >= _MAX_UNREAD_ANSWERS:
            self._end('too many answers')
        else:
            super().feed_data(data, size)

    def end_malformed(self, cause: BaseException) -> None:
        """Fail the reads of the current body: no answer has bytes like these.

        aiohttp lets them wait. ``cause`` is the error of the parser.
        """
        self.has_junk.set()
        self._fail_body(make_payload_error(cause))

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; none resume what the parser has put off."""
        if data and self._is_between_requests():
            if not _may_begin_answer(data):
                self.has_junk.set()
            self._end('bytes without a request')
        for piece in _split(data):
            if self._exceeded or self._exception is not None:
                return
            progress = self._describe_progress()
            super().data_received(piece)
            if self._exception is not None and not self._exceeded:
                self.end_malformed(self._exception)
            self._count_bytes(
                len(piece), progressed=self._describe_progress() != progress
            )

    def eof_received(self) -> bool:
        """Take the end of what the server sends; return whether to write on.

        A body without a length ends here. If the request is still on its way,
        the server may end its answer and read on, or be gone, so that the rest
        of the request is reset. Only what follows tells.
        """
        super().eof_received()
        body = self._payload
        if body is None or body.is_eof() or self.transport.is_closing():
            return False
        if self._fail_if_reset() or not has_unsent(self.transport):
            return False
        self._loop.call_later(_RESET_TIMEOUT_S, self._close_ended)
        return True

    def _close_ended(self) -> None:
        """Close the connection of an ended answer that no write has broken."""
        if self.transport is None or self.transport.is_closing():
            return
        self._fail_if_reset()
        self.transport.abort()

    def _fail_if_reset(self) -> bool:
        """Fail the reads of the body if the server has reset the connection.

        After the end of what it sends only a write, or this, notices.
        """
        code = take_error(self.transport)
        if code:
            cause = os.strerror(code)
            self._fail_body(aiohttp.ClientPayloadError(f'not whole: {cause}'))
        return bool(code)

    def _count_bytes(self, count: int, *, progressed: bool) -> None:
        self._barren_bytes = 0 if progressed else self._barren_bytes + count
        self._unread_bytes = self._unread_bytes + count if len(self) else 0
        if self._barren_bytes > _MAX_BARREN_BYTES:
            self._end('too many bytes of heads, chunk extensions or trailers')
        elif self._unread_bytes > _MAX_UNREAD_BYTES:
            self._end('too many bytes of answers')

    def _describe_progress(self) -> tuple[int, int]:
        """Return the numbers of heads and of bytes of the last body."""
        body = self._payload
        return self._answers, 0 if body is None else body.total_bytes

    def _is_between_requests(self) -> bool:
        return self._body is not None and self._body.is_eof()

    def _end(self, surplus: str) -> None:
        if self._exceeded:
            return
        self._exceeded = True
        exc = AnswerLimitError(surplus)
        self._fail_body(exc)
        self.set_exception(exc)
        if self.transport is not None:
            self.transport.abort()

    def _fail_body(self, exc: BaseException) -> None:
        """Fail the reads of the current body unless it is complete."""
        body = self._payload
        if body is not None and not body.is_eof():
            body.set_exception(exc)


class BoundedConnector(aiohttp.TCPConnector):
    """Connector whose connections are those of ``protocol_type``."""

    protocol_type: type[BoundedProtocol] = BoundedProtocol

    def __init__(self, **options: Any) -> None:
        """Create a connector; ``options`` are those of aiohttp's."""
        super().__init__(**options)
        self._factory = functools.partial(self.protocol_type, loop=self._loop)


def _split(raw: bytes) -> Iterator[bytes]:
    """Yield pieces of received bytes, also if there are none."""
    for start in range(0, max(len(raw), 1), _PIECE_BYTES):
        yield raw[start : start + _PIECE_BYTES]


def _may_begin_answer(raw: bytes) -> bool:
    return raw[: len(_ANSWER_BEGIN)] == _ANSWER_BEGIN[: len(raw)]


def make_payload_error(cause: BaseException) -> aiohttp.ClientPayloadError:
    """Return the error that readers of a malformed body get.

    They do not expect those of the parser.
    """
    exc = aiohttp.ClientPayloadError(f'malformed body: {cause}')
    exc.__cause__ = cause
    return exc
