"""Ranks of routed calls: their order of urgency."""

# Number of route priorities that ``RoutedCall.rank`` tells apart; those from
# the last one on count as equal.
_ROUTE_PRIORITY_LEVELS = 100


def make_rank(priority: int, route_priority: int) -> int:
    """Return the position of a call in the order of urgency.

    The lowest is the most urgent. Calls are ordered by ``priority``, which a
    workspace may set, and among equal ones by the priority of their routes.
    """
    return priority * _ROUTE_PRIORITY_LEVELS + min(
        _ROUTE_PRIORITY_LEVELS - 1, route_priority
    )


def get_priority(rank: int) -> int:
    """Return the priority, a workspace's or a route's, that made a rank."""
    return rank // _ROUTE_PRIORITY_LEVELS
