"""Whether all parts of an answer belong to the call that it answers."""

import os
from collections import Counter
from dataclasses import dataclass, field

from fakes.upstream import Run, make_body, make_event

EVENTS = 12
RESUMED_PATH = '/resume/'
STREAM_PATHS = frozenset(('/stream/', RESUMED_PATH))
# Header in which upstreams of the soak name status and id of an answer.
ANSWER_HEADER = 'X-Answer'
_SEAL = 'x-response-seal'
_STATUS_OK = 200
_STATUSES_WITHOUT_BODY = frozenset((204, 304))
_BEGIN_OF_ANSWER = b'HTTP/1.'
# Bytes of a foreign body that are shown on each side of where it begins.
_SHOWN_BYTES = 160


@dataclass(slots=True)
class ReceivedAnswer:
    """An answer as far as a caller received it, with names in lower case."""

    status: int = 0
    pairs: list[tuple[str, str]] = field(default_factory=list)
    body: bytearray = field(default_factory=bytearray)
    whole: bool = False


def make_failure(run: Run) -> bytes:
    """Return the body of an upstream's failure."""
    return f'failed {run.req_id}'.encode()


def name_answer(status: int, req_id: str) -> str:
    """Return what the header ``X-Answer`` has."""
    return f'{status} {req_id}'


def make_own_body(
    path: str, req_id: str, status: int, resumes_after: int = 0
) -> bytes:
    """Return the body that the whole answer to a call has.

    A stream goes on behind the event numbered ``resumes_after``.
    """
    run = Run('', path, {'x-attempt-id': req_id}, b'')
    if status in _STATUSES_WITHOUT_BODY:
        return b''
    if status != _STATUS_OK:
        return make_failure(run)
    if path in STREAM_PATHS:
        numbers = range(resumes_after + 1, EVENTS + 1)
        return b''.join(make_event(run, number) for number in numbers)
    return make_body(run)


def find_foreign_part(
    path: str, req_id: str, answer: ReceivedAnswer, resumes_after: int = 0
) -> str:
    """Return which part of an answer is not the call's own, '' if none is.

    Answers that an upstream has sealed must be its own in status, headers and
    body, whatever their status. Of one that is not whole, the body must be the
    begin of it.
    """
    if not answer.status:
        return ''
    names = Counter(name for name, _ in answer.pairs)
    headers = dict(answer.pairs)
    if _SEAL not in headers:
        return _find_part_without_seal(headers, answer)
    expected = {
        _SEAL: f'seal-of-{req_id}',
        ANSWER_HEADER.lower(): name_answer(answer.status, req_id),
        'server': 'stand-in',
    }
    for name, text in expected.items():
        if names[name] != 1 or headers[name] != text:
            return f'{names[name]} {name}: {headers.get(name)}'
    own = make_own_body(path, req_id, answer.status, resumes_after)
    if not own.startswith(answer.body):
        return _describe_difference(own, bytes(answer.body), answer.status)
    if answer.whole and own != answer.body:
        return f'body ends at {len(answer.body)} of {len(own)} bytes'
    return ''


def _describe_difference(own: bytes, body: bytes, status: int) -> str:
    same = len(os.path.commonprefix([own, body]))
    shown = body[max(0, same - _SHOWN_BYTES) : same + _SHOWN_BYTES]
    return f'body {shown!r} around byte {same} with {status}'


def _find_part_without_seal(
    headers: dict[str, str], answer: ReceivedAnswer
) -> str:
    """Return which part of an answer of the router itself is not its own."""
    if answer.status == _STATUS_OK:
        return 'status 200 without a seal'
    if ANSWER_HEADER.lower() in headers:
        return 'headers of an upstream without a seal'
    if _BEGIN_OF_ANSWER in answer.body:
        return f'body {bytes(answer.body[-80:])!r} without a seal'
    return ''
