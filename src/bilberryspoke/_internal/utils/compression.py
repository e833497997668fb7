"""Compression of what VMs send one another, with a bound on its size."""

import zlib

# Routes are compressed, which have at most half as many. Decoded ones are many
# times as large, and must fit into the memory of a small VM.
_MAX_BYTES = 2_097_152
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
