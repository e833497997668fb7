"""Finding the begin of another answer within the bytes of one."""

import pytest

from bilberryspoke._internal.network.routing.joinedanswers import (
    is_joined_head,
)


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
