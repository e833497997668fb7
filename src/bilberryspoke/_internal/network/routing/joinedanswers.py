"""What shows that received bytes are not one answer but parts of several.

An upstream in trouble may break off an answer and begin again on the same
connection, or add an answer before the end of one that ends with its
connection. The framing then makes one message of both.
"""

import re
from collections.abc import Callable, Iterable

from bilberryspoke._internal.platform.headerfields import REQUEST_ID

# Begin of an answer, as far as it is the same for all of a status.
_STATUS_LINE = re.compile(rb'HTTP/1\.[01] [1-5]\d\d')
_STATUS_LINE_BYTES = 12
# A head from its status line on, as far as its lines are those of a head.
_HEAD = re.compile(
    rb'HTTP/1\.[01] [1-5]\d\d[^\r\n]{0,128}+'
    rb"(?:\r?\n[!#-'*+.^`|~\w-]+:[^\r\n]*+)*+"
)
# The same up to the end of the received bytes, with a usual reason phrase or
# with the line end of heads.
_OPEN_HEAD = re.compile(
    rb"HTTP/1\.[01] [1-5]\d\d(?:[ \w'-]{0,64}+|[^\r\n]{0,128}+(?=\r\n))"
    rb"(?:\r?\n[!#-'*+.^`|~\w-]+:[^\r\n]*+)*+"
    rb"(?:\r|\r?\n[!#-'*+.^`|~\w-]*+)?\Z"
)
_REQ_ID_LINE = re.compile(
    rb'\n%s:([^\r\n]*+)\r?\n' % re.escape(REQUEST_ID),
    re.IGNORECASE,
)
# Longer ones are no heads of answers.
_MAX_HEAD_BYTES = 16_384


def is_joined_head(reason: str, raw: Iterable[tuple[bytes, bytes]]) -> bool:
    """Return whether a status line stands within a head.

    ``reason`` is the phrase behind the status, ``raw`` are the headers. The
    head then has the begin of one answer and the rest of another one.
    """
    if _STATUS_LINE.search(reason.encode(errors='surrogateescape')):
        return True
    return any(_STATUS_LINE.search(text) for _, text in raw)


class BodyScan:
    """Looks for the begin of another answer within a body.

    ``found`` is whether the head of an answer with an id that is known stands
    in the body. A text that quotes some other head is a sound body.
    ``has_status_line`` is whether any status line stands in it.
    """

    def __init__(self, knows_id: Callable[[str], bool]) -> None:
        """Create a scan; ``knows_id`` returns whether an id is a call's."""
        self.found = False
        self.has_status_line = False
        self._knows_id = knows_id
        # Bytes from where a head may begin that goes on behind them.
        self._open = b''

    @property
    def open_bytes(self) -> int:
        """Number of bytes at the end that may be the begin of a head."""
        return len(self._open)

    @property
    def doubted_bytes(self) -> int:
        """Number of bytes at the end that wait for what follows the body."""
        return max(len(self._open), int(self.has_status_line))

    def feed(self, raw: bytes) -> None:
        """Add bytes of the body."""
        searched = self._open + raw
        position = 0
        while head := _HEAD.search(searched, position):
            self.has_status_line = True
            if self._names_call(searched, head):
                self.found = True
                return
            if _is_open(searched, head):
                self._open = searched[head.start() :]
                return
            position = head.end()
        self._open = _find_partial_status_line(searched[position:])

    def _names_call(self, searched: bytes, head: re.Match[bytes]) -> bool:
        # With the line end behind the last line of the head.
        lines = searched[head.start() : head.end() + 2]
        return any(
            self._knows_id(line.group(1).strip(b' \t').decode('latin-1'))
            for line in _REQ_ID_LINE.finditer(lines)
        )


def _is_open(searched: bytes, head: re.Match[bytes]) -> bool:
    """Return whether a head may go on behind the bytes."""
    if len(searched) - head.start() > _MAX_HEAD_BYTES:
        return False
    return _OPEN_HEAD.match(searched, head.start()) is not None


def _find_partial_status_line(searched: bytes) -> bytes:
    """Return the end of the bytes that may be the begin of a status line."""
    for length in range(min(len(searched), _STATUS_LINE_BYTES - 1), 0, -1):
        end = searched[-length:]
        if _STATUS_LINE.match(end + b'HTTP/1.1 200'[length:]):
            return end
    return b''
