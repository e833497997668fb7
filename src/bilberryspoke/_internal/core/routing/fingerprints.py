"""Fingerprints: what a call has in common with others that may crash upstreams.

A fingerprint is a hash, so that messages and logs do not hold what a prompt
says.
"""

from bilberryspoke._internal.models.routing import RoutedCall
from bilberryspoke._internal.utils.hashing import hash_parts


def list_fingerprints(call: RoutedCall) -> dict[int, str]:
    """Return the fingerprints of a call, with a description for the log.

    There is one for each part of its prompt but the last, which no other call
    has, and one for the whole call, which its caller may send again under
    another request id. They are those of one service: its upstreams run the
    same program.
    """
    fingerprints = {
        hash_parts('part', call.service, part.name): f'part {part.name}'
        for part in call.shared_parts
    }
    if call.content_hash:
        whole = hash_parts(
            'call', call.service, call.workspace, call.content_hash
        )
        fingerprints[whole] = f'content {call.content_hash:016x}'
    return fingerprints


def describe_content(call: RoutedCall) -> dict[str, object]:
    """Return log fields by which calls with the same content are recognized."""
    return {
        'parts': [part.name for part in call.shared_parts],
        'content': f'{call.content_hash:016x}',
    }
