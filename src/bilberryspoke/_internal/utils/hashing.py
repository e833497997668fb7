"""Deterministic hashing, equal on every VM.

Used for ownership, traffic splits, jitter and other choices that must be spread
evenly and still be reproducible.
"""

import functools
import hashlib
from collections.abc import Iterable

_HASH_BYTES = 8
_MAX_CACHED_RANK_HASHES = 16_384


def hash_parts(*parts: object) -> int:
    """Return an unsigned 64-bit hash of the parts' text, equal on every VM."""
    text = '\x1f'.join(str(part) for part in parts)
    raw = hashlib.blake2b(text.encode(), digest_size=_HASH_BYTES).digest()
    return int.from_bytes(raw, 'big')


def hash_bytes(*parts: bytes) -> int:
    """Return an unsigned 64-bit hash of byte strings, equal on every VM."""
    digest = hashlib.blake2b(digest_size=_HASH_BYTES)
    for part in parts:
        digest.update(b'%d:' % len(part))
        digest.update(part)
    return int.from_bytes(digest.digest(), 'big')


def rank_members(subject: str, members: Iterable[str]) -> list[str]:
    """Return the members in the order of rendezvous hashing for a subject.

    The first one is the owner of the subject.
    """
    return sorted(
        members,
        key=lambda member: hash_member(subject, member),
        reverse=True,
    )


@functools.lru_cache(maxsize=_MAX_CACHED_RANK_HASHES)
def hash_member(subject: str, member: str) -> int:
    """Return the hash of a member for a subject, as ``hash_parts`` does.

    The hashes of the same members are needed for each choice.
    """
    return hash_parts(subject, member)


def hash_prefix(text: str, max_chars: int = 256) -> int:
    """Return a 62-bit hash of the beginning of a prompt, for prefix affinity.

    Only the first ``max_chars`` characters are hashed.
    """
    return hash_parts('prefix', text[:max_chars]) >> 2
