"""Connection that carries calls in turn and tells their answers apart."""

import asyncio
import math
from typing import Any

from aiohttp import ClientError
from aiohttp.client_proto import ResponseHandler

from bilberryspoke._internal.network.clock import read_boottime
from bilberryspoke._internal.platform.headers import find_req_id

# Bounds the memory for request ids.
_MAX_CALLS = 500
# Limits for the answers to earlier calls that arrive before the one that is
# due.
_MAX_SURPLUS_ANSWERS = 8
_MAX_SURPLUS_BYTES = 65_536
_SURPLUS_TIMEOUT_S = 0.3


class CallProtocol(ResponseHandler):
    """Connection to an upstream or a helper that calls use in turn.

    No request id goes over it twice. So an answer that bears the id of the
    call under way answers that call, and one that bears an earlier id answers
    none: it is passed over, whatever its status.

    ``number`` tells the connections of a VM apart; 0 before the first call.
    ``calls`` counts those that it carried, ``surplus`` the answers that were
    passed over for the last one. No call is sent on it from ``reusable_until``
    on, in seconds of the boot-time clock.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Create the protocol of a connection that is being opened."""
        super().__init__(loop=loop)
        self.number = 0
        self.calls = 0
        self.surplus = 0
        self.reusable_until = math.inf
        self._req_id = ''
        # Hashes, as callers choose ids of any length.
        self._earlier_ids: set[int] = set()

    def may_carry(self, req_id: str) -> bool:
        """Return whether a call with this request id may be sent on it."""
        if not self.calls:
            return True
        is_new = (
            req_id != self._req_id and hash(req_id) not in self._earlier_ids
        )
        return is_new and self.is_reusable()

    def is_reusable(self) -> bool:
        """Return whether another call may be sent on it after the last one."""
        return (
            self.calls < _MAX_CALLS
            and read_boottime() < self.reusable_until
            and not self.should_close
        )

    def begin_call(self, req_id: str) -> None:
        """Note that the next call is sent on it."""
        if self.calls:
            self._earlier_ids.add(hash(self._req_id))
        self._req_id = req_id
        self.surplus = 0
        self.calls += 1

    def get_peer_address(self) -> str:
        """Return the address at the other end, empty if it is closed."""
        peer = None
        if self.transport is not None:
            peer = self.transport.get_extra_info('peername')
        return f'{peer[0]}:{peer[1]}' if peer else ''

    async def read(self) -> Any:
        """Return the next answer that is not to an earlier call.

        One that can't be passed over within the limits is returned too; its id
        tells that it is not for this call.
        """
        for _ in range(_MAX_SURPLUS_ANSWERS):
            message, payload = await super().read()
            if not self._answers_earlier_call(message):
                return message, payload
            self.surplus += 1
            if not await _skip_body(payload):
                return message, payload
        return await super().read()

    def _answers_earlier_call(self, message: Any) -> bool:
        req_id = find_req_id(message.raw_headers)
        if req_id is None or req_id == self._req_id:
            return False
        return hash(req_id) in self._earlier_ids


async def _skip_body(payload: Any) -> bool:
    """Read a body to its end; return whether it was within the limits."""
    left = _MAX_SURPLUS_BYTES
    try:
        async with asyncio.timeout(_SURPLUS_TIMEOUT_S):
            while not payload.at_eof() and left >= 0:
                left -= len(await payload.readany())
    except (TimeoutError, ClientError):
        return False
    return left >= 0
