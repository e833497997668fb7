"""What an upstream says of itself when it is asked for its load."""

import msgspec


class _Report(msgspec.Struct):
    """The fields that are used, by the platform's names.

    ``born``: Unix time of the upstream's start, in milliseconds.
    """

    born: int | None = None


def parse_created_ms(raw: bytes) -> int | None:
    """Return when an upstream was started, None if its report does not say.

    That is a Unix time in milliseconds, as in ``ListedUpstream``.
    """
    try:
        return msgspec.json.decode(raw, type=_Report).born
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return None
