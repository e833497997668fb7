"""Deterministic hashing for ownership and for choices without chance."""

import hashlib
from collections.abc import Iterable

_WORD_BYTES = 8


def hash_word(*parts: object) -> int:
    """Return a 64-bit hash of the parts, equal on every VM."""
    text = '\x1f'.join(str(part) for part in parts)
    raw = hashlib.blake2b(text.encode(), digest_size=_WORD_BYTES).digest()
    return int.from_bytes(raw, 'big')


def rank_members(subject: str, members: Iterable[str]) -> list[str]:
    """Order members by rendezvous hashing for a subject, the owner first."""
    return sorted(
        members,
        key=lambda member: hash_word(subject, member),
        reverse=True,
    )


def hash_prefix(text: str, length: int = 256) -> int:
    """Return a positive 62-bit hash of the beginning of a prompt."""
    return hash_word('prefix', text[:length]) >> 2
