"""Which statuses an answer may have.

This is the one place that decides it, for all clients of HTTP.
"""

import aiohttp

from bilberryspoke._internal.exceptions import BilberryspokeError

_FIRST_INTERIM = 100
_FIRST_FINAL = 200
_LAST_FINAL = 599
# Final in effect, as another protocol follows. No request here asks for one.
_SWITCHING = 101


class AnswerStatusError(BilberryspokeError, aiohttp.ClientError):
    """An answer has a status that none may have; it is not used.

    ``status``: that status.
    """

    def __init__(self, status: int) -> None:
        """Create the error."""
        super().__init__(status)
        self.status = status

    def __str__(self) -> str:
        """Return the message."""
        return f'status {self.status:03}, which no answer may have'


def is_interim(status: int) -> bool:
    """Return whether another answer follows one with this status."""
    return _FIRST_INTERIM <= status < _FIRST_FINAL and status != _SWITCHING


def check_status(status: int) -> None:
    """Raise AnswerStatusError unless an answer may have this status."""
    if not is_interim(status) and not _FIRST_FINAL <= status <= _LAST_FINAL:
        raise AnswerStatusError(status)
