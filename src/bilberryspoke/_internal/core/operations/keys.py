"""Operation keys: their forms, and the parsing of ``Idempotency-Key``."""

import re
from dataclasses import dataclass
from enum import StrEnum

_ISSUED_KEY = re.compile(
    '^bsk:([a-z0-9][a-z0-9._-]{0,62}):([0-9a-f]{1,16}):([0-9a-f]{16,64})$',
)
_UUID_KEY = re.compile(
    '^[0-9a-f]{8}-[0-9a-f]{4}-([0-9a-f])[0-9a-f]{3}-[0-9a-f]{4}-[0-9a-f]{12}$',
)
_TIME_ORDERED_UUID_VERSION = '7'
_UUID_TIME_HEX_DIGITS = 12
_MAX_KEY_LENGTH = 255
_HEX_BASE = 16


class KeyForm(StrEnum):
    """Form of an operation key.

    An ``issued`` key was made by a VM for a workspace. A ``time_ordered`` key
    is a caller's UUIDv7, which carries the time of its creation. Any other
    key is ``opaque``: its age is not known.
    """

    issued = 'issued'
    time_ordered = 'time_ordered'
    opaque = 'opaque'


@dataclass(frozen=True, slots=True)
class OperationKey:
    """A parsed operation key.

    ``vm`` and ``incarnation`` are the issuer of an issued key, and
    ``created_ms`` is the Unix time in milliseconds of a time-ordered one.
    """

    text: str
    form: KeyForm
    vm: str = ''
    incarnation: int = 0
    created_ms: int = 0


def make_issued_key(vm: str, incarnation: int, token: str) -> str:
    """Return the text of an issued key, which only its issuer may run.

    ``token`` is 16 to 64 lower-case hexadecimal digits.
    """
    return f'bsk:{vm}:{incarnation:x}:{token}'


def normalize_key(header: str) -> str:
    """Return the text that a key is stored under, or '' if it is malformed."""
    key = parse_key(header)
    return key.text if key else ''


def parse_key(header: str) -> OperationKey | None:
    """Parse an ``Idempotency-Key`` header, quoted or bare.

    The first 48 bits of a UUIDv7 are its Unix time in milliseconds (RFC 9562).
    Returns ``None`` for an empty, over-long or unprintable key.
    """
    text = header.strip()
    if len(text) > 1 and text.startswith('"') and text.endswith('"'):
        text = text[1:-1]
    if not text or len(text) > _MAX_KEY_LENGTH or not text.isprintable():
        return None
    issued = _ISSUED_KEY.match(text)
    if issued is not None:
        return OperationKey(
            text,
            KeyForm.issued,
            vm=issued.group(1),
            incarnation=int(issued.group(2), _HEX_BASE),
        )
    uuid_match = _UUID_KEY.match(text.lower())
    if (
        uuid_match is not None
        and uuid_match.group(1) == _TIME_ORDERED_UUID_VERSION
    ):
        digits = text.lower().replace('-', '')[:_UUID_TIME_HEX_DIGITS]
        return OperationKey(
            text.lower(),
            KeyForm.time_ordered,
            created_ms=int(digits, _HEX_BASE),
        )
    return OperationKey(text, KeyForm.opaque)
