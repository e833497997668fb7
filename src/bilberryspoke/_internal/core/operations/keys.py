"""Forms of operation keys."""

import re
from dataclasses import dataclass
from enum import StrEnum

_ISSUED = re.compile(
    '^bsk:([a-z0-9][a-z0-9._-]{0,62}):([0-9a-f]{1,16}):([0-9a-f]{16,64})$',
)
_UUID = re.compile(
    '^[0-9a-f]{8}-[0-9a-f]{4}-([0-9a-f])[0-9a-f]{3}-[0-9a-f]{4}-[0-9a-f]{12}$',
)
_TIME_ORDERED = '7'
_TIME_DIGITS = 12
_MAX_LENGTH = 255
_HEX = 16


class KeyForm(StrEnum):
    """Who made a key, and whether its age can be told."""

    issued = 'issued'
    time_ordered = 'time_ordered'
    opaque = 'opaque'


@dataclass(frozen=True, slots=True)
class OperationKey:
    """A parsed key; ``made_ms`` is Unix time for time-ordered keys."""

    text: str
    form: KeyForm
    vm: str = ''
    incarnation: int = 0
    made_ms: int = 0


def make_issued_key(vm: str, incarnation: int, token: str) -> str:
    """Return the text of a key that only one process may run."""
    return f'bsk:{vm}:{incarnation:x}:{token}'


def normalize_key(header: str) -> str:
    """Return the text under which a key's operation is kept, or nothing."""
    key = parse_key(header)
    return key.text if key else ''


def parse_key(header: str) -> OperationKey | None:
    """Parse an ``Idempotency-Key`` header, quoted or bare.

    Returns ``None`` for an empty, over-long or unprintable key.
    """
    text = header.strip()
    if len(text) > 1 and text.startswith('"') and text.endswith('"'):
        text = text[1:-1]
    if not text or len(text) > _MAX_LENGTH or not text.isprintable():
        return None
    issued = _ISSUED.match(text)
    if issued is not None:
        return OperationKey(
            text,
            KeyForm.issued,
            vm=issued.group(1),
            incarnation=int(issued.group(2), _HEX),
        )
    found = _UUID.match(text.lower())
    if found is not None and found.group(1) == _TIME_ORDERED:
        digits = text.lower().replace('-', '')[:_TIME_DIGITS]
        return OperationKey(
            text.lower(),
            KeyForm.time_ordered,
            made_ms=int(digits, _HEX),
        )
    return OperationKey(text, KeyForm.opaque)
