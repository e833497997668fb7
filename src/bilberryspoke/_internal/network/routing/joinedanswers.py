"""What shows that received bytes are not one answer but parts of several.

An upstream in trouble may break off an answer and begin again on the same
connection, or add an answer before the end of one that ends with its
connection. The framing then makes one message of both.
"""

import re
from collections.abc import Iterable

# Begin of an answer, as far as it is the same for all of a status.
_STATUS_LINE = re.compile(rb'HTTP/1\.[01] [1-5]\d\d')


def is_joined_head(reason: str, raw: Iterable[tuple[bytes, bytes]]) -> bool:
    """Return whether a status line stands within a head.

    ``reason`` is the phrase behind the status, ``raw`` are the headers. The
    head then has the begin of one answer and the rest of another one.
    """
    if _STATUS_LINE.search(reason.encode(errors='surrogateescape')):
        return True
    return any(_STATUS_LINE.search(text) for _, text in raw)
