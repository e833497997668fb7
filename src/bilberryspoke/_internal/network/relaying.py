"""Relaying of an upstream's response to the caller."""

from dataclasses import dataclass

import aiohttp

from bilberryspoke._internal.models.requests import AttemptStatus
from bilberryspoke._internal.network.answerchecks import (
    check_body,
    check_end,
    check_events,
    check_headers,
)
from bilberryspoke._internal.network.answers import (
    AnswerStore,
    RecordedAnswer,
)
from bilberryspoke._internal.network.calls import Call
from bilberryspoke._internal.network.listencheck import ListenCheck
from bilberryspoke._internal.network.responses import (
    REQUEST_ID_HEADER,
    encode_headers,
    send_response,
)
from bilberryspoke._internal.utils.boundedreads import read_body

# An upstream in trouble may send an event without end.
MAX_EVENT_BYTES = 1_048_576
_LINE_FEED = b'\n'
# An answer that is no stream is relayed once it is whole.
_MAX_ANSWER_BYTES = 16_777_216
_EVENT_END = b'\n\n'
_DONE_EVENT = b'data: [DONE]\n\n'


# Headers of an upstream that belong to its connection or that the router sets.
_NOT_RELAYED_HEADERS = frozenset(
    (
        'connection',
        'content-length',
        'date',
        'keep-alive',
        'server',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'x-request-id',
    )
)


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """How an attempt ended, with a short detail for the request's record.

    ``upstream_crashed`` is whether the upstream closed the connection and no
    longer listens.
    """

    status: AttemptStatus
    detail: str = ''
    upstream_crashed: bool = False


async def relay_events(
    call: Call,
    resp: aiohttp.ClientResponse,
) -> AttemptResult:
    """Relay a stream of server-sent events without parsing each of them.

    Only complete events are relayed; bytes of an incomplete one wait for its
    end, so that a resumed answer continues at an event's boundary. An
    attempt whose stream ends without ``[DONE]`` is broken. Raises
    ``JoinedAnswerError`` before it relays bytes of several answers.
    """
    tail = b''
    if not call.started:
        await start_response(call, 200, 'text/event-stream')
    read = resp.content.readany
    record_events = call.record_events if call.req.resumable else None
    while chunk := await read():
        raw_events, tail = split_events(tail + chunk if tail else chunk)
        if len(tail) > MAX_EVENT_BYTES:
            return AttemptResult(
                AttemptStatus.broken, 'event too long in the stream'
            )
        if not raw_events:
            continue
        raw_events = _cut_behind_done(raw_events)
        check_events(raw_events)
        call.delivered += raw_events.count(_EVENT_END)
        if record_events is not None:
            record_events(raw_events)
        await _send_events(call, raw_events)
        if raw_events.endswith(_DONE_EVENT):
            # The [DONE] event is not an answer token.
            call.delivered -= 1
            call.complete = True
            return AttemptResult(AttemptStatus.finished)
    return AttemptResult(
        AttemptStatus.broken, 'stream ended without the [DONE] event'
    )


def _cut_behind_done(raw_events: bytes) -> bytes:
    """Return the events up to the first [DONE], which ends a stream."""
    done = raw_events.find(_DONE_EVENT)
    return raw_events if done < 0 else raw_events[: done + len(_DONE_EVENT)]


async def _send_events(call: Call, raw: bytes) -> None:
    call.sending = True
    await call.send(
        {'type': 'http.response.body', 'body': raw, 'more_body': True},
    )
    call.sending = False
    if call.on_first_delivery is not None:
        call.on_first_delivery()
        call.on_first_delivery = None


def split_events(raw: bytes) -> tuple[bytes, bytes]:
    """Split bytes into complete events and an incomplete rest."""
    if raw.endswith(_EVENT_END):
        # The last of an odd number of line feeds begins an empty event.
        line_feeds = len(raw) - len(raw.rstrip(_LINE_FEED))
        end = len(raw) - line_feeds % 2
        return raw[:end], raw[end:]
    end = raw.rfind(_EVENT_END) + len(_EVENT_END)
    if end < len(_EVENT_END):
        return b'', raw
    return raw[:end], raw[end:]


async def start_response(call: Call, status: int, content_type: str) -> None:
    """Send the status and the headers of a stream to the caller."""
    call.started = True
    call.status = status
    headers = {
        'content-type': content_type,
        REQUEST_ID_HEADER: call.req.req_id,
        'cache-control': 'no-cache',
    }
    await call.send(
        {
            'type': 'http.response.start',
            'status': status,
            'headers': encode_headers(headers),
        }
    )


async def relay_response(
    call: Call,
    resp: aiohttp.ClientResponse,
    listen_check: ListenCheck,
    answers: AnswerStore | None = None,
) -> AttemptResult:
    """Relay a response after reading its body completely.

    Raises ``AnswerTooLargeError`` if it has over ``_MAX_ANSWER_BYTES``,
    ``JoinedAnswerError`` if it has bytes of several answers,
    ``MalformedHeaderError`` if a header has a control character, and
    ``CutAnswerError`` if the body may have ended with its upstream, as
    ``listen_check`` shows.

    An operation's answer is stored in ``answers`` before it is sent, so that
    a retry with the same key gets it even if the caller has gone.
    ``answers`` is None for a call forwarded to the VM that owns its key.
    """
    check_headers(resp)
    body = await read_body(resp, _MAX_ANSWER_BYTES)
    check_body(resp, body)
    await check_end(resp, listen_check)
    headers = {
        name.lower(): text
        for name, text in resp.headers.items()
        if name.lower() not in _NOT_RELAYED_HEADERS
    }
    if answers is not None and call.req.operation_key:
        recorded = RecordedAnswer(resp.status, dict(headers), body)
        answers.store(call.req.operation_key, recorded)
    headers[REQUEST_ID_HEADER] = call.req.req_id
    call.status = resp.status
    # A complete response counts as one event.
    call.delivered = 1
    call.started = True
    await send_response(call.send, resp.status, headers, body)
    call.complete = True
    return AttemptResult(AttemptStatus.finished, f'status {resp.status}')
