"""Configurations whose encoded form is far smaller than what they become."""

import json

import pytest

from bilberryspoke._internal.platform.records import decode_route_table
from bilberryspoke._internal.utils.compression import compress, decompress
from tests.lib.platformdata import build_config

# A value of the store has at most so many bytes.
VALUE_BYTES = 1_048_576


def encode_config(size):
    """Return a valid configuration of about a size in bytes."""
    keys = [f'{number:08}' for number in range(size // 11)]
    tenants = [{'name': 'press', 'api-keys': keys}]
    config = build_config(tenants=tenants)
    return json.dumps(config, separators=(',', ':')).encode()


def test_largest_configuration_of_the_store_is_read():
    raw = encode_config(VALUE_BYTES - 4000)
    assert VALUE_BYTES - 10_000 < len(raw) < VALUE_BYTES
    assert decompress(compress(raw)) == raw
    assert decode_route_table(raw).is_ok()


@pytest.mark.parametrize('factor', [3, 12])
def test_configuration_larger_than_a_value_is_not_kept(factor):
    # Routes of 13 MB took 0.4 GB and 1.1 s.
    raw = encode_config(factor * VALUE_BYTES)
    assert decompress(compress(raw)) is None
    assert decode_route_table(raw).is_error()
