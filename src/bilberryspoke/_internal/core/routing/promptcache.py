"""Which parts of prompts each engine has in its cache, as far as VMs know.

A part is in the cache for a while after any VM sent it to the engine, if all
parts before it are. VMs tell one another which parts they sent where, unless
the others know already. Times are in seconds of the boot-time clock.
"""

from bilberryspoke._internal.core.routing.state import RoutingState
from bilberryspoke._internal.core.routing.upstreamstate import UpstreamState
from bilberryspoke._internal.models.routing import RoutedCall

# A part that was sent to an engine again is told to other VMs this often.
_REPEAT_NEWS_INTERVAL_S = 3.0
# Above this number of recorded parts, those that the engine has dropped since
# are discarded.
_PARTS_CLEANUP_THRESHOLD = 2000


def count_own_tokens(call: RoutedCall) -> int:
    """Return the prompt tokens of a call that no other call shares.

    The last part always counts, even if the stated lengths of the prompt and
    its parts do not add up.
    """
    if not call.parts:
        return call.prompt_tokens
    shared_tokens = sum(part.tokens for part in call.shared_parts)
    return max(0, call.prompt_tokens - shared_tokens, call.parts[-1].tokens)


def get_cached_since(routing: RoutingState, service: str, now: float) -> float:
    """Return since when a part must have been sent to be in a cache now."""
    conf = routing.table.services.get(service) if routing.table else None
    engine = None if conf is None else conf.engine
    return now - routing.prefill_speeds[service].get_retention_s(engine)


def count_uncached_shared_tokens(
    upstream: UpstreamState, call: RoutedCall, cached_since: float
) -> int:
    """Return the shared prompt tokens that an engine would have to read.

    ``cached_since`` is as from ``get_cached_since``.
    """
    uncached_tokens = 0
    for part in call.shared_parts:
        sent_at = upstream.parts_sent_at.get(part.name)
        is_cached = sent_at is not None and sent_at >= cached_since
        if uncached_tokens or not is_cached:
            uncached_tokens += part.tokens
    return uncached_tokens


def record_sent_parts(
    routing: RoutingState,
    upstream: UpstreamState,
    names: list[str],
    now: float,
) -> list[str]:
    """Record that shared parts of a prompt were sent to an engine.

    Returns those that other VMs may not know of.
    """
    sent_at = upstream.parts_sent_at
    known_since = now - _REPEAT_NEWS_INTERVAL_S
    news = [
        name for name in names if sent_at.get(name, known_since) <= known_since
    ]
    sent_at.update(dict.fromkeys(names, now))
    if len(sent_at) > _PARTS_CLEANUP_THRESHOLD:
        cached_since = get_cached_since(routing, upstream.listed.service, now)
        upstream.parts_sent_at = {
            name: at for name, at in sent_at.items() if at >= cached_since
        }
    return news
