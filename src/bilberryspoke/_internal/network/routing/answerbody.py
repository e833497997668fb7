"""Body of an answer, and what shows that it is whole and the only one."""

import asyncio
import contextlib

import aiohttp

from bilberryspoke._internal.network.routing.connections import CallConnection
from bilberryspoke._internal.network.routing.joinedanswers import BodyScan
from bilberryspoke._internal.platform.responseheaders import (
    STATUSES_WITHOUT_BODY,
    ResponseHeaders,
)

# Details of sends that end as broken, for the log.
HEAD_WITHIN_BODY = 'joined answers: a head within the body'
FILLED_UP = 'joined answers: the begin of a head ends the body'

# The rest of another answer arrives with its begin, or right behind it.
_REST_TIMEOUT_S = 0.05
# Fewer bytes that look like the begin of a head end many sound bodies.
_MIN_DOUBTED_BYTES = 4


class AnswerBody:
    """Body of an answer that is being received.

    ``scan`` gets all of its bytes. ``resp`` and ``headers`` are those of the
    answer, ``connection`` the one that it came over. ``is_stream`` is whether
    its events are relayed as they arrive.
    """

    def __init__(
        self,
        resp: aiohttp.ClientResponse,
        headers: ResponseHeaders,
        connection: CallConnection,
        *,
        is_stream: bool,
    ) -> None:
        """Create the body of an answer whose head was received."""
        self.resp = resp
        self.headers = headers
        # What follows a plain body with a length tells besides.
        needs_own_id = headers.has_length and not is_stream
        self.scan = BodyScan(
            connection.protocol.carried if needs_own_id else _knows_any
        )
        self._connection = connection

    @property
    def says_its_end(self) -> bool:
        """Whether the end of the body is not just that of its connection.

        An answer that has no body in any case ends with its head. The parser
        may read a body to the end of its connection whose head says otherwise.
        """
        if self._connection.protocol.ended_within_answer:
            return False
        return self.headers.has_length or _has_no_body(self.resp)

    def is_closed_cleanly(self) -> bool:
        """Return whether the upstream closed the connection, without a reset.

        The body has been read to its end. This process closes connections too,
        as it stops.
        """
        if not self._connection.protocol.ended_within_answer:
            return False
        close_future = self._connection.close_future
        if close_future is None or not close_future.done():
            return False
        return not close_future.cancelled() and close_future.exception() is None

    async def is_filled_up(self) -> bool:
        """Return whether the begin of another answer fills up a complete body.

        Behind a body with a length the rest of that answer must follow, so
        that any status line in the body is enough for a doubt. What would
        follow a body that ends with its connection is never received.
        """
        if not self.headers.has_length:
            return self.scan.open_bytes >= _MIN_DOUBTED_BYTES
        if not self.scan.doubted_bytes:
            return False
        has_junk = self._connection.protocol.has_junk
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_REST_TIMEOUT_S):
                await has_junk.wait()
        return has_junk.is_set()


def _knows_any(req_id: str) -> bool:
    """Take any id in a body for that of another answer.

    The copy may have come over another connection first, or have an empty id.
    """
    return True


def _has_no_body(resp: aiohttp.ClientResponse) -> bool:
    return resp.method == 'HEAD' or resp.status in STATUSES_WITHOUT_BODY
