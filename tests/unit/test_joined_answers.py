"""Finding the begin of another answer within the bytes of one."""

import pytest

from bilberryspoke._internal.network.routing.joinedanswers import (
    BodyScan,
    is_joined_head,
)

HEAD = (
    b'HTTP/1.1 200 OK\r\nServer: s\r\nX-Attempt-Id: own\r\n'
    b'Content-Length: 4\r\n\r\n'
)
_MAX_OPEN_BYTES = 16_384


def scan(*parts):
    """Return a scan of a body whose connection carried the call ``own``."""
    scanned = BodyScan(lambda req_id: req_id == 'own')
    for part in parts:
        scanned.feed(part)
    return scanned


@pytest.mark.parametrize(
    ('reason', 'raw'),
    [
        ('HTTP/1.1 200 OK', ()),
        ('Internal HTTP/1.0 503 Full', ()),
        ('OK', ((b'Server', b'sHTTP/1.1 200 OK'),)),
    ],
)
def test_status_line_within_a_head_is_found(reason, raw):
    assert is_joined_head(reason, raw)


@pytest.mark.parametrize(
    ('reason', 'raw'),
    [
        ('OK', ()),
        ('', ((b'Via', b'HTTP/1.1 proxy'), (b'Upgrade', b'HTTP/2.0'))),
        ('\udce9', ((b'Server', b'\xe9'),)),
    ],
)
def test_sound_head_is_not_joined(reason, raw):
    assert not is_joined_head(reason, raw)


@pytest.mark.parametrize('size', [1, 7, 1000])
def test_head_of_a_call_is_found_however_its_bytes_arrive(size):
    body = b'begin of a body' + HEAD + b'rest'
    parts = [body[at : at + size] for at in range(0, len(body), size)]
    assert scan(*parts).found


@pytest.mark.parametrize(
    'head',
    [
        HEAD.replace(b'\r\n', b'\n'),
        HEAD.replace(b'X-Attempt-Id: own', b'x-attempt-id:own  '),
        HEAD.replace(b' OK', b' All right (mostly)'),
    ],
)
def test_head_of_a_call_is_found_in_each_form(head):
    assert scan(b'text', head).found


@pytest.mark.parametrize(
    'body',
    [
        b'',
        b'an answer',
        HEAD.replace(b'own', b'another') + b'rest',
        b'HTTP/1.1 200 OK\r\n\r\nX-Attempt-Id: own\r\n',
        b'POST / HTTP/1.1\r\nX-Attempt-Id: own\r\n\r\n',
        b'{"text": "HTTP/1.1 200 OK\\r\\nX-Attempt-Id: own\\r\\n"}',
        b'{"text": "the status line HTTP/1.1 404 Not Found"}',
    ],
)
def test_text_that_quotes_a_head_is_a_sound_body(body):
    scanned = scan(body)
    assert not scanned.found
    assert not scanned.open_bytes


@pytest.mark.parametrize('length', range(1, len(HEAD) - 3))
def test_begin_of_a_head_at_the_end_stays_open_until_its_id(length):
    named = length >= HEAD.index(b'own') + len(b'own\r\n')
    for parts in ([b'text' + HEAD[:length]], [b'text', HEAD[:length]]):
        scanned = scan(*parts)
        assert scanned.found == named
        assert scanned.found or scanned.open_bytes == length


@pytest.mark.parametrize(
    'raw',
    [
        b'HTTP/1.1 200',
        b'HTTP/1.1 200 OK\r\nA: b\r\n',
        b'HTTP/1.1 200 OK\r\n' + b'a: HTTP/1.1 200\r\n' * 500,
        b'A: b\r\n',
    ],
)
def test_head_without_end_is_not_kept(raw):
    # Each part was searched from the first status line on.
    scanned = scan(b'HTTP/1.1 200 OK\r\n', *[raw] * 10_000)
    assert scanned.open_bytes <= _MAX_OPEN_BYTES
