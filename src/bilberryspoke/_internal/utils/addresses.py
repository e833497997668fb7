"""Addresses of upstreams."""

import re

_ADDRESS = re.compile(r'[A-Za-z0-9._-]{1,253}:([0-9]{1,5})')
_MAX_PORT = 65_535


def is_address(text: str) -> bool:
    """Return whether a text is ``host:port`` with a port to connect to."""
    match = _ADDRESS.fullmatch(text)
    return match is not None and 0 < int(match.group(1)) <= _MAX_PORT
