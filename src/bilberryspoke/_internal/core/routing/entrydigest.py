"""Digest of the known upstreams, by which VMs see that they differ.

Upstreams rewrite their entries continually. What only counts the rewrites is
left out, so that the digest changes only when calls may be sent differently.
The digest combines the hashes of the entries by exclusive or: one is taken out
in the same way as it is put in, and their order does not matter.
"""

from bilberryspoke._internal.core.routing.state import RoutingState
from bilberryspoke._internal.models.routing import ListedUpstream
from bilberryspoke._internal.utils.hashing import hash_parts


def toggle_entry(routing: RoutingState, listed: ListedUpstream) -> None:
    """Put an entry into the digest, or take it out again."""
    routing.upstreams_digest ^= hash_parts(
        listed.instance,
        listed.service,
        listed.address,
        listed.data_centre,
        listed.slots,
        listed.leaving,
        listed.created_ms,
        listed.software_version,
    )
