"""What two VMs tell each other about a call that one hands off to the other.

The call itself goes as its caller sent it.
"""

from collections.abc import Iterable

from bilberryspoke._internal.platform.headerfields import RawHeaders

# Maximum number of sends that reach an upstream, for the helper.
_MAX_ATTEMPTS = b'bilberryspoke-max-attempts'
# Why the helper refused a call that did not run and will not run.
_NOT_RUN_REASON = b'bilberryspoke-not-run'


def make_attempts_header(max_attempts: int) -> tuple[bytes, bytes]:
    """Return the header that limits the sends of the helper."""
    return (_MAX_ATTEMPTS, b'%d' % max_attempts)


def parse_max_attempts(raw: Iterable[tuple[bytes, bytes]], default: int) -> int:
    """Return the limit on sends that another VM set, at most ``default``.

    A missing or malformed one counts as ``default``.
    """
    text = dict(raw).get(_MAX_ATTEMPTS, b'')
    return min(default, int(text)) if text.isdigit() else default


def drop_handoff_headers(headers: RawHeaders) -> RawHeaders:
    """Return headers without those that only VMs exchange."""
    return [pair for pair in headers if pair[0] != _MAX_ATTEMPTS]


def make_reason_header(reason: str) -> tuple[bytes, bytes]:
    """Return the header by which a helper says that a call did not run."""
    return (_NOT_RUN_REASON, reason.encode('latin-1'))


def find_not_run_reason(raw: Iterable[tuple[bytes, bytes]]) -> str | None:
    """Return why a helper did not run a call, None if it does not say so."""
    for name, text in raw:
        if name.lower() == _NOT_RUN_REASON:
            return text.decode('latin-1')
    return None
