"""Digest of the known upstreams, by which VMs see that they differ.

Upstreams rewrite their entries continually. What only counts the rewrites is
left out, so that the digest changes only when calls may be sent differently.
"""

from bilberryspoke._internal.core.routing.state import RoutingState
from bilberryspoke._internal.models.routing import ListedUpstream
from bilberryspoke._internal.utils.hashing import hash_parts


def hash_entry(listed: ListedUpstream) -> int:
    """Return a hash of what an entry says that matters for calls."""
    return hash_parts(
        listed.instance,
        listed.service,
        listed.address,
        listed.data_centre,
        listed.slots,
        listed.leaving,
        listed.created_ms,
        listed.software_version,
    )


def update_upstreams_digest(routing: RoutingState) -> None:
    """Compute the digest again after an upstream has changed."""
    hashes = sorted(
        hash_entry(each.listed) for each in routing.upstreams.values()
    )
    routing.upstreams_digest = hash_parts(*hashes)
