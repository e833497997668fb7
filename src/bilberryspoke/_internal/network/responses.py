"""Answers the router gives by itself."""

import json
from collections.abc import Mapping
from typing import Any

from bilberryspoke._internal.models.requests import Outcome

OUTCOME_HEADER = 'x-request-outcome'
REQUEST_ID_HEADER = 'x-request-id'
_STATUS_OF_OUTCOME = {
    Outcome.not_run: 503,
    Outcome.unknown: 504,
    Outcome.interrupted: 502,
}


def status_of(outcome: Outcome) -> int:
    """Return the HTTP status that goes with an outcome."""
    return _STATUS_OF_OUTCOME[outcome]


def encode_headers(headers: Mapping[str, str]) -> list[tuple[bytes, bytes]]:
    """Encode headers as ASGI wants them."""
    return [
        (name.encode('latin-1'), text.encode('latin-1'))
        for name, text in headers.items()
    ]


def make_error(
    kind: str,
    message: str,
    outcome: Outcome,
    req_id: str,
) -> dict[str, Any]:
    """Return the body of an error."""
    return {
        'error': {
            'type': kind,
            'message': message,
            'outcome': outcome.value,
            'request_id': req_id,
        },
    }


async def send_json(
    send: Any,
    status: int,
    document: Any,
    headers: Mapping[str, str] | None = None,
) -> None:
    """Send a whole JSON answer."""
    body = json.dumps(document).encode()
    sent = {'content-type': 'application/json', **(headers or {})}
    await send_whole(send, status, sent, body)


async def send_whole(
    send: Any,
    status: int,
    headers: Mapping[str, str],
    body: bytes,
) -> None:
    """Send a whole answer with headers of its own."""
    sent = {**headers, 'content-length': str(len(body))}
    await send(
        {
            'type': 'http.response.start',
            'status': status,
            'headers': encode_headers(sent),
        },
    )
    await send({'type': 'http.response.body', 'body': body})


async def send_error(
    send: Any,
    status: int,
    kind: str,
    message: str,
    *,
    outcome: Outcome,
    req_id: str,
    retry_after_s: float | None = None,
) -> None:
    """Send a whole error answer."""
    headers = {OUTCOME_HEADER: outcome.value, REQUEST_ID_HEADER: req_id}
    if retry_after_s is not None:
        headers['retry-after'] = str(max(1, round(retry_after_s)))
    document = make_error(kind, message, outcome, req_id)
    await send_json(send, status, document, headers)


def encode_error_event(
    kind: str,
    message: str,
    outcome: Outcome,
    req_id: str,
) -> bytes:
    """Encode an error as the last event of a stream."""
    document = make_error(kind, message, outcome, req_id)
    return b'data: ' + json.dumps(document).encode() + b'\n\n'
