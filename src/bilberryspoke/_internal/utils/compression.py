"""Compression of what VMs send one another, with a bound on its size."""

import zlib

# A larger table would not fit into the memory of a small VM.
_MAX_BYTES = 16_000_000
_FASTEST_LEVEL = 1


def compress(raw: bytes) -> bytes:
    """Return compressed bytes."""
    return zlib.compress(raw, _FASTEST_LEVEL)


def decompress(compressed: bytes) -> bytes | None:
    """Return the bytes, or None if they are invalid or too many."""
    decoder = zlib.decompressobj()
    try:
        raw = decoder.decompress(compressed, _MAX_BYTES)
    except zlib.error:
        return None
    return raw if decoder.eof else None
