"""Checks of the own interface that an answer is one message, and whole.

A connection carries one call, so that all bytes on it answer that call. An
upstream may still break off its answer and begin again on the connection.
"""

import aiohttp

from bilberryspoke._internal.exceptions import BilberryspokeError
from bilberryspoke._internal.network.routing.joinedanswers import (
    is_joined_head,
)


class JoinedAnswerError(BilberryspokeError, aiohttp.ClientError):
    """Bytes of several answers were received as one; none of them is used.

    ``evidence``: what shows it.
    """

    def __init__(self, evidence: str) -> None:
        """Create the error."""
        super().__init__(evidence)
        self.evidence = evidence

    def __str__(self) -> str:
        """Return the message."""
        return f'joined answers: {self.evidence}'


async def refuse_joined_heads(
    req: aiohttp.ClientRequest, send: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Raise JoinedAnswerError for a head that has a status line within it.

    It is a middleware of the client, so that it covers all that is sent.
    """
    resp = await send(req)
    if is_joined_head(resp.reason or '', resp.raw_headers):
        resp.close()
        raise JoinedAnswerError('a status line within the head')
    return resp
