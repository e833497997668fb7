"""What the head of an answer alone says of the send that it ends.

This is the one place that decides which answers prove that a call did not run.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from bilberryspoke._internal.models.helperends import EndCause, HelperEnd
from bilberryspoke._internal.models.routing import (
    RoutedCall,
    SendStatus,
)
from bilberryspoke._internal.models.routing_effects import HandOff, Send
from bilberryspoke._internal.network.routing.handoff import (
    find_helper_end,
)
from bilberryspoke._internal.platform.headerfields import find_malformed
from bilberryspoke._internal.platform.responseheaders import ResponseHeaders


@dataclass(frozen=True, slots=True)
class SendResult:
    """How a send ended; the core gets it as part of ``SendEnded``.

    ``connection_lost`` is whether the upstream closed the connection before
    its answer was complete. ``cause`` is what a helper says of its end.
    """

    status: SendStatus
    detail: str = ''
    connection_lost: bool = False
    cause: EndCause = EndCause.unstated


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Status and headers of an answer, as received and decoded.

    ``is_joined`` is whether parts of several answers make up the head.
    """

    status: int
    raw: Iterable[tuple[bytes, bytes]]
    headers: ResponseHeaders
    is_joined: bool


def judge_head(
    call: RoutedCall, effect: Send | HandOff, head: AnswerHead
) -> SendResult | None:
    """Return how a send ended, None if its answer is to be relayed.

    The body of a refusal is to be read, so that its connection can be used
    again, and the connection of a broken answer is to be closed.
    """
    headers = head.headers
    if head.is_joined:
        return _break('joined answers: a status line within the head')
    if isinstance(effect, HandOff) and headers.req_id is None:
        # Only answers of upstreams, which helpers pass on, have an id.
        helper_end = find_helper_end(head.raw)
        if helper_end is not None:
            return _judge_helper_end(helper_end, head)
    if not answers_call(call, head):
        return _break(f'response has the id {headers.req_id}')
    if headers.not_run:
        return _judge_refusal(head)
    return _find_flaw(call, head)


def answers_call(call: RoutedCall, head: AnswerHead) -> bool:
    """Return whether a head is whole and names the call.

    Upstreams repeat the id of a request in each answer. One without an id may
    belong to any other request.
    """
    if head.is_joined:
        return False
    return (head.headers.req_id or '') == call.req_id


def _find_flaw(call: RoutedCall, head: AnswerHead) -> SendResult | None:
    """Return why an answer that names the call is not relayed, or None."""
    headers = head.headers
    if headers.has_content_encoding or not headers.has_seal:
        return _break(
            f'status {head.status} with a content-encoding header or'
            f' without an x-response-seal header'
        )
    malformed = find_malformed(headers.forwarded)
    if malformed is not None:
        return _break(f'a control character in the header {malformed}')
    if headers.looks_not_run and not call.allows_retry_after_run:
        return _break(f'status {head.status} of a call that may have run')
    return None


def _judge_helper_end(helper_end: HelperEnd, head: AnswerHead) -> SendResult:
    return SendResult(
        helper_end.status,
        f'helper: status {head.status}, by {helper_end.cause.value}',
        cause=helper_end.cause,
    )


def _judge_refusal(head: AnswerHead) -> SendResult:
    """Return the result of an answer that says that a call did not run."""
    status = SendStatus.refused
    if head.headers.misdirected:
        status = SendStatus.misdirected
    return SendResult(status, f'status {head.status}, not run')


def _break(detail: str) -> SendResult:
    return SendResult(SendStatus.broken, detail)
