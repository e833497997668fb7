"""Checks of the own interface that an answer is one message, and whole.

A connection carries one call, so that all bytes on it answer that call. An
upstream may still break off its answer and begin again on the connection.
"""

import re

import aiohttp

from bilberryspoke._internal.exceptions import BilberryspokeError
from bilberryspoke._internal.models.routing import Framing
from bilberryspoke._internal.network.listencheck import ListenCheck, Reach
from bilberryspoke._internal.network.routing.joinedanswers import (
    is_joined_head,
)
from bilberryspoke._internal.platform.headerfields import find_malformed
from bilberryspoke._internal.platform.responseheaders import (
    STATUSES_WITHOUT_BODY,
    find_framing,
)

# Within a body a status line counts with its end only: text may speak of HTTP.
_STATUS_LINE = re.compile(rb'HTTP/1\.[01] [1-5]\d\d(?: [^\r\n]*)?\r\n')
# Begin of one that the end of its connection cut off.
_CUT_STATUS_LINE = re.compile(rb'HTTP/1(?:\.(?:[01](?: [^\r\n]*)?)?)?\r?\Z')


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


class MalformedHeaderError(BilberryspokeError, aiohttp.ClientError):
    """A header of an answer has a control character; the answer is not used.

    ``name``: its name.
    """

    def __init__(self, name: str) -> None:
        """Create the error."""
        super().__init__(name)
        self.name = name

    def __str__(self) -> str:
        """Return the message."""
        return f'a control character in the header {self.name}'


class CutAnswerError(BilberryspokeError, aiohttp.ClientError):
    """The upstream was gone as a body ended that ends with its connection."""

    def __str__(self) -> str:
        """Return the message."""
        return 'the answer ended with its upstream'


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


async def check_end(
    resp: aiohttp.ClientResponse, listen_check: ListenCheck
) -> None:
    """Raise CutAnswerError if the end of a body may be that of its upstream.

    The kernel closes the connections of a process that ends. That looks like
    the end of a body which ends with its connection.
    """
    if _has_end(resp):
        return
    if await listen_check.check(resp.url.authority) is not Reach.accepted:
        raise CutAnswerError


def check_headers(resp: aiohttp.ClientResponse) -> None:
    """Raise MalformedHeaderError for a header that no caller may get."""
    name = find_malformed(resp.raw_headers)
    if name is not None:
        raise MalformedHeaderError(name)


def check_body(resp: aiohttp.ClientResponse, body: bytes) -> None:
    """Raise JoinedAnswerError for a body that has a status line within it.

    It shows joined answers where nothing says where the body ends, and in JSON,
    which has no line ends within text. Other bodies may have any bytes within
    their length.
    """
    has_end = _has_end(resp)
    if has_end and not resp.content_type.endswith('json'):
        return
    is_joined = _STATUS_LINE.search(body) is not None
    is_cut = not has_end and _CUT_STATUS_LINE.search(body) is not None
    if is_joined or is_cut:
        raise JoinedAnswerError('a status line within the body')


def check_events(raw: bytes) -> None:
    """Raise JoinedAnswerError for events that have a status line within them.

    They are in JSON, too.
    """
    if _STATUS_LINE.search(raw):
        raise JoinedAnswerError('a status line within the events')


def _has_end(resp: aiohttp.ClientResponse) -> bool:
    """Return whether the framing says where the body ends.

    Otherwise it ends with its connection.
    """
    has_no_body = resp.method == 'HEAD' or resp.status in STATUSES_WITHOUT_BODY
    headers = {name.lower(): text for name, text in resp.raw_headers}
    return has_no_body or find_framing(headers) is not Framing.connection
