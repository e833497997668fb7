"""What two VMs tell each other about a call that one hands off to the other.

The call itself goes as its caller sent it.
"""

from collections.abc import Iterable

from bilberryspoke._internal.models.helperends import (
    HelperEnd,
    judge_may_have_run,
    judge_not_run,
)
from bilberryspoke._internal.platform.headerfields import RawHeaders

# Maximum number of sends that reach an upstream, for the helper.
_MAX_ATTEMPTS = b'bilberryspoke-max-attempts'
# That the other VM did not count the call for its retry budget, so that the
# helper counts it if it sends it. VMs of before 2026-12 neither write nor read
# it: nobody counts what a new VM hands off to an old one.
_COUNTS_THERE = (b'bilberryspoke-counts', b'helper')
# Why the helper refused a call that did not run and will not run.
_NOT_RUN_REASON = b'bilberryspoke-not-run'
# Why the helper ended a call that may have run. VMs of before 2026-12 don't
# write it.
_MAY_HAVE_RUN_REASON = b'bilberryspoke-may-have-run'


def make_limit_headers(max_attempts: int, *, counted: bool) -> RawHeaders:
    """Return the headers that limit the sends of the helper.

    ``counted`` is whether this VM counted the call for its retry budget.
    """
    limit = (_MAX_ATTEMPTS, b'%d' % max_attempts)
    return [limit] if counted else [limit, _COUNTS_THERE]


def parse_counted(raw: Iterable[tuple[bytes, bytes]]) -> bool:
    """Return whether the other VM counted a call for its retry budget."""
    name, text = _COUNTS_THERE
    return dict(raw).get(name) != text


def parse_max_attempts(raw: Iterable[tuple[bytes, bytes]], default: int) -> int:
    """Return the limit on sends that another VM set, at most ``default``.

    A missing or malformed one counts as ``default``.
    """
    text = dict(raw).get(_MAX_ATTEMPTS, b'')
    return min(default, int(text)) if text.isdigit() else default


def drop_handoff_headers(headers: RawHeaders) -> RawHeaders:
    """Return headers without those that only VMs exchange."""
    names = {_MAX_ATTEMPTS, _COUNTS_THERE[0]}
    return [pair for pair in headers if pair[0] not in names]


def make_reason_header(reason: str, *, not_run: bool) -> tuple[bytes, bytes]:
    """Return the header by which a helper says why it ended a call.

    ``not_run`` is whether the call certainly did not run.
    """
    name = _NOT_RUN_REASON if not_run else _MAY_HAVE_RUN_REASON
    return (name, reason.encode('latin-1'))


def find_helper_end(raw: Iterable[tuple[bytes, bytes]]) -> HelperEnd | None:
    """Return how a helper says that a call ended, None if it does not say."""
    texts = {name.lower(): text.decode('latin-1') for name, text in raw}
    reason = texts.get(_NOT_RUN_REASON)
    if reason is not None:
        return judge_not_run(reason)
    reason = texts.get(_MAY_HAVE_RUN_REASON)
    return None if reason is None else judge_may_have_run(reason)
