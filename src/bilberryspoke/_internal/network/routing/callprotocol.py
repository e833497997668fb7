"""Connection that carries calls in turn and tells their answers apart."""

import asyncio
import math
from collections.abc import Callable
from typing import Any

from bilberryspoke._internal.models.routing import Framing
from bilberryspoke._internal.network.clock import read_boottime
from bilberryspoke._internal.network.routing.joinedanswers import (
    is_joined_head,
)
from bilberryspoke._internal.platform.headerfields import find_req_id
from bilberryspoke._internal.platform.responseheaders import find_framing
from bilberryspoke._internal.utils.answerstatus import is_interim
from bilberryspoke._internal.utils.boundedprotocol import BoundedProtocol
from bilberryspoke._internal.utils.boundedreads import skip_body

# Bounds the memory for request ids.
_MAX_CALLS = 100
# Limits for the answers to earlier calls that arrive before the one that is
# due.
_MAX_SURPLUS_ANSWERS = 8
_MAX_SURPLUS_BYTES = 65_536
_SURPLUS_TIMEOUT_S = 0.3


class CallProtocol(BoundedProtocol):
    """Connection to an upstream or a helper that calls use in turn.

    No request id goes over it twice. So an answer that bears the id of the
    call under way answers that call, and one that bears an earlier id answers
    none: it is passed over, whatever its status.

    ``number`` tells the connections of a VM apart; 0 before the first call.
    ``calls`` counts those that it carried, ``surplus`` the answers that were
    passed over for the last one. No call is sent on it from ``reusable_until``
    on, in seconds of the boot-time clock. ``ended_within_answer`` is whether
    the connection ended before the parser saw the end of the last answer.
    ``on_break`` is called with the
    address at the other end when the connection ends within an answer, unless
    that is how the answer ends.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Create the protocol of a connection that is being opened."""
        super().__init__(loop=loop)
        self.number = 0
        self.calls = 0
        self.surplus = 0
        self.reusable_until = math.inf
        self.on_break: Callable[[str], None] = _ignore
        self.ended_within_answer = False
        self._address = ''
        self._ends_with_answer = False
        self._req_id = ''
        # Hashes, as callers choose ids of any length.
        self._earlier_ids: set[int] = set()

    def connection_made(self, transport: Any) -> None:
        """Note the address at the other end."""
        super().connection_made(transport)
        self._address = self.get_peer_address()

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Note whether an answer ends with the connection."""
        message, _ = data
        if not is_interim(message.code):
            headers = {name.lower(): text for name, text in message.raw_headers}
            framing = find_framing(headers)
            self._ends_with_answer = framing is Framing.connection
        super().feed_data(data, size)

    def eof_received(self) -> bool:
        """Take the end of what the server sends; note if it cuts an answer."""
        if self._is_within_answer():
            self.ended_within_answer = True
            if not self._ends_with_answer:
                self.on_break(self._address)
        return super().eof_received()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Note a reset that cuts an answer."""
        if exc is not None and self._is_within_answer():
            self.ended_within_answer = True
            self.on_break(self._address)
        super().connection_lost(exc)

    def may_carry(self, req_id: str) -> bool:
        """Return whether a call with this request id may be sent on it."""
        if not self.calls:
            return True
        return not self.carried(req_id) and self.is_reusable()

    def is_reusable(self) -> bool:
        """Return whether another call may be sent on it after the last one."""
        return (
            self.calls < _MAX_CALLS
            and read_boottime() < self.reusable_until
            and not self.should_close
        )

    def carried(self, req_id: str) -> bool:
        """Return whether a call with this request id was sent on it."""
        return req_id == self._req_id or hash(req_id) in self._earlier_ids

    def begin_call(self, req_id: str) -> None:
        """Note that the next call is sent on it."""
        if self.calls:
            self._earlier_ids.add(hash(self._req_id))
        self._req_id = req_id
        self.surplus = 0
        self.calls += 1
        self.ended_within_answer = False
        self._ends_with_answer = False

    def set_response_params(self, **params: Any) -> None:
        """Note that a request is sent on it, and keep its parser if it has one.

        It may hold the begin of a surplus answer. All calls on a connection
        have the same parameters: those with others use one of their own.
        """
        if self._parser is None:
            super().set_response_params(**params)
        else:
            self.begin_request()

    def get_peer_address(self) -> str:
        """Return the address at the other end, empty if it is closed."""
        peer = None
        if self.transport is not None:
            peer = self.transport.get_extra_info('peername')
        return f'{peer[0]}:{peer[1]}' if peer else ''

    async def pass_over(self, message: Any, body: Any) -> bool:
        """Read an answer to an earlier call; return whether it was one.

        One that can't be passed over within the limits is not: its id tells
        that it is not for this call.
        """
        is_due = not self._answers_earlier_call(message)
        if is_due or self.surplus >= _MAX_SURPLUS_ANSWERS:
            return False
        self.surplus += 1
        return await skip_body(
            body, max_bytes=_MAX_SURPLUS_BYTES, timeout_s=_SURPLUS_TIMEOUT_S
        )

    def _is_within_answer(self) -> bool:
        """Return whether an answer has begun and has not ended."""
        return self._payload is not None and not self._payload.is_eof()

    def _answers_earlier_call(self, message: Any) -> bool:
        if is_joined_head(message.reason, message.raw_headers):
            return False
        req_id = find_req_id(message.raw_headers)
        if req_id is None or req_id == self._req_id:
            return False
        return hash(req_id) in self._earlier_ids


def _ignore(address: str) -> None:
    """Do nothing when a connection breaks that carries no call yet."""
