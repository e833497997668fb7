"""What upstreams say of themselves in their answers to calls."""

from collections.abc import Callable

import structlog

from bilberryspoke._internal.models.routing_effects import Send
from bilberryspoke._internal.models.routing_events import (
    BrittlenessStated,
    LeavingStated,
    PauseRequested,
    RateLimitStated,
)
from bilberryspoke._internal.platform.responseheaders import ResponseHeaders

logger = structlog.get_logger()

Statement = RateLimitStated | LeavingStated | PauseRequested | BrittlenessStated


def report_statements(
    submit: Callable[[Statement], None], effect: Send, headers: ResponseHeaders
) -> None:
    """Submit what the upstream of a send says of itself in its answer.

    Another upstream at its address, which says that it is another, says
    nothing of it.
    """
    if headers.misdirected:
        return
    if headers.is_leaving:
        submit(LeavingStated(effect.instance, effect.created_ms))
    if headers.is_brittle or effect.is_brittle:
        submit(
            BrittlenessStated(
                effect.instance, effect.created_ms, headers.is_brittle
            )
        )
    if headers.pause_s is not None:
        submit(
            PauseRequested(effect.instance, effect.created_ms, headers.pause_s)
        )
    _report_rate_limit(submit, effect, headers)


def _report_rate_limit(
    submit: Callable[[Statement], None], effect: Send, headers: ResponseHeaders
) -> None:
    """Submit a limit that the upstream names, or its end.

    An answer without a limit ends it only if the limit was known when the
    call was sent: another answer may overtake one from before the limit.
    """
    malformed = headers.names_rate_limit and headers.rate_limit_per_s is None
    if malformed:
        logger.warning('rate_limit_malformed', upstream=effect.instance)
    elif headers.names_rate_limit or effect.rate_limited:
        submit(
            RateLimitStated(
                effect.instance, headers.rate_limit_per_s, effect.created_ms
            )
        )
