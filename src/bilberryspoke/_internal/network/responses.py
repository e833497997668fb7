"""HTTP responses that the router sends, and errors of its own."""

import json
from collections.abc import Mapping
from typing import Any

from bilberryspoke._internal.models.requests import Outcome

OUTCOME_HEADER = 'x-request-outcome'
REQUEST_ID_HEADER = 'x-request-id'
_STATUS_BY_OUTCOME = {
    Outcome.not_run: 503,
    Outcome.unknown: 504,
    Outcome.interrupted: 502,
}


def get_failure_status(outcome: Outcome) -> int:
    """Return the HTTP status for the outcome of a failed request.

    Raises ``KeyError`` for ``completed``.
    """
    return _STATUS_BY_OUTCOME[outcome]


def encode_headers(headers: Mapping[str, str]) -> list[tuple[bytes, bytes]]:
    """Encode headers as ASGI requires: pairs of bytes.

    Those of an upstream get the bytes again that aiohttp decoded.
    """
    return [
        (name.encode('latin-1'), text.encode(errors='surrogateescape'))
        for name, text in headers.items()
    ]


def make_error_body(
    kind: str,
    message: str,
    outcome: Outcome,
    req_id: str,
) -> dict[str, Any]:
    """Return the JSON document of an error; ``kind`` is its code."""
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
    """Send a complete response with a JSON body."""
    body = json.dumps(document).encode()
    sent_headers = {'content-type': 'application/json', **(headers or {})}
    await send_response(send, status, sent_headers, body)


async def send_response(
    send: Any,
    status: int,
    headers: Mapping[str, str],
    body: bytes,
) -> None:
    """Send a complete response; ``content-length`` is added."""
    sent_headers = {**headers, 'content-length': str(len(body))}
    await send(
        {
            'type': 'http.response.start',
            'status': status,
            'headers': encode_headers(sent_headers),
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
    """Send a complete error response.

    ``retry_after_s`` is sent as ``retry-after``, rounded to whole seconds and
    at least 1; None leaves the header out.
    """
    headers = {OUTCOME_HEADER: outcome.value, REQUEST_ID_HEADER: req_id}
    if retry_after_s is not None:
        headers['retry-after'] = str(max(1, round(retry_after_s)))
    document = make_error_body(kind, message, outcome, req_id)
    await send_json(send, status, document, headers)


def encode_error_event(
    kind: str,
    message: str,
    outcome: Outcome,
    req_id: str,
) -> bytes:
    """Encode an error as the last server-sent event of a stream."""
    document = make_error_body(kind, message, outcome, req_id)
    return b'data: ' + json.dumps(document).encode() + b'\n\n'
