"""News of the parts of prompts that engines got, in a fleet with relays.

A VM tells its relay of the parts that it sent. The relay passes those of its
data centre on to the other relays, and all that it hears to its data centre.
In a small fleet they are sent at once instead, see ``BacklogChange``.
"""

from collections import defaultdict

from bilberryspoke._internal.core.routing.promptcache import record_sent_parts
from bilberryspoke._internal.core.routing.relays import is_relay
from bilberryspoke._internal.core.routing.state import RoutingState
from bilberryspoke._internal.core.state import VmState
from bilberryspoke._internal.models.routing_messages import (
    CachedParts,
    ReportScope,
    RoutingHeartbeat,
)

# More parts than this are left out of a heartbeat: they cost no correctness.
_MAX_NEWS_PARTS = 400


def remember_new_parts(
    routing: RoutingState, instance: str, names: list[str]
) -> None:
    """Keep parts that were sent to an engine for the next heartbeat."""
    if names and len(routing.part_news) < _MAX_NEWS_PARTS:
        routing.part_news.append(CachedParts(instance, names))


def apply_part_news(
    state: VmState, message: RoutingHeartbeat, now: float
) -> None:
    """Record the parts that a heartbeat names, and pass them on as a relay."""
    routing = state.routing
    for each in message.cached_parts:
        upstream = routing.upstreams.get(each.instance)
        if upstream is not None:
            record_sent_parts(routing, upstream, each.names, now)
    if not is_relay(state):
        return
    passed_on = routing.part_news
    if message.scope is ReportScope.data_centre:
        passed_on = routing.foreign_part_news
    if len(passed_on) < _MAX_NEWS_PARTS:
        passed_on.extend(message.cached_parts)


def list_part_news(
    routing: RoutingState, scope: ReportScope
) -> list[CachedParts]:
    """Return the parts to name in a heartbeat of a scope, by engine."""
    news = routing.part_news
    if scope is ReportScope.others:
        news = [*news, *routing.foreign_part_news]
    names: dict[str, dict[str, None]] = defaultdict(dict)
    for each in news:
        names[each.instance].update(dict.fromkeys(each.names))
    return [
        CachedParts(instance, list(parts)) for instance, parts in names.items()
    ]


def clear_part_news(routing: RoutingState) -> None:
    """Forget the news that were sent with a round of heartbeats."""
    routing.part_news.clear()
    routing.foreign_part_news.clear()
