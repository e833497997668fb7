"""I/O of routed calls: ingress, sends to upstreams, discovery.

Importing this package registers the functions that carry out the effects of
routing decisions.
"""

from bilberryspoke._internal.network.routing import effects

__all__ = ('effects',)
