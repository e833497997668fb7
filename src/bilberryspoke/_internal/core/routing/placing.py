"""Choice of the upstream for the next send of a call."""

from bilberryspoke._internal.core.routing.state import (
    OpenCall,
    RoutingState,
    UpstreamState,
)
from bilberryspoke._internal.models.routing import Route
from bilberryspoke._internal.utils.hashing import hash_word, rank_members

# Part of a service's engines kept for streams with the tightest pauses.
_TIGHT_PART = 0.25
# Calls under way here by which the preferred engine may exceed the next one.
_SPILL_CALLS = 2
_HALF_WORD_BITS = 32


def choose_upstream(
    routing: RoutingState,
    opened: OpenCall,
    now: float,
) -> UpstreamState | None:
    """Return the upstream that should run a call, if any may."""
    service = opened.call.service
    usable = _list_usable(routing, opened, now)
    if not usable:
        return None
    known = routing.table.services.get(service)
    if known is None or known.engine is None:
        return _take_less_loaded(usable, opened)
    tight, loose = split_engines(usable, service)
    if _is_tight(routing, opened.call.route, service):
        return _take_less_loaded(tight, opened)
    return _take_by_prompt(loose, opened)


def split_engines(
    usable: list[UpstreamState],
    service: str,
) -> tuple[list[UpstreamState], list[UpstreamState]]:
    """Split engines into those for tight streams and those for the others.

    The order by hash is the same at all VMs and changes little when engines
    come and go.
    """
    if len(usable) < 2:
        return usable, usable
    ranked = sorted(
        usable,
        key=lambda each: hash_word(service, each.listed.instance),
    )
    kept = max(1, round(len(ranked) * _TIGHT_PART))
    return ranked[:kept], ranked[kept:]


def _list_usable(
    routing: RoutingState,
    opened: OpenCall,
    now: float,
) -> list[UpstreamState]:
    """Return upstreams that stay; doubtful ones if there are no others."""
    staying = [
        upstream
        for upstream in routing.list_staying(opened.call.service)
        if upstream.listed.instance not in opened.tried
    ]
    sound = [
        upstream
        for upstream in staying
        if not upstream.suspicion.is_avoided(now)
    ]
    return sound or staying


def _is_tight(routing: RoutingState, route: Route, service: str) -> bool:
    if route.event_gap_s is None:
        return False
    gaps = {
        each.event_gap_s
        for each in routing.table.routes
        if each.event_gap_s is not None
        and any(target.service == service for target in each.targets)
    }
    return len(gaps) > 1 and route.event_gap_s <= min(gaps)


def _take_less_loaded(
    usable: list[UpstreamState],
    opened: OpenCall,
) -> UpstreamState:
    drawn = hash_word(opened.call.call_id, opened.attempt)
    first = usable[drawn % len(usable)]
    second = usable[(drawn >> _HALF_WORD_BITS) % len(usable)]
    return min(first, second, key=_relative_load)


def _take_by_prompt(
    usable: list[UpstreamState],
    opened: OpenCall,
) -> UpstreamState:
    parts = opened.call.parts
    if not parts:
        return _take_less_loaded(usable, opened)
    shared = parts[-2] if len(parts) > 1 else parts[-1]
    by_name = {each.listed.instance: each for each in usable}
    ranked = [by_name[name] for name in rank_members(shared.name, by_name)]
    preferred = ranked[0]
    if len(ranked) > 1:
        spill = len(preferred.sends) - len(ranked[1].sends)
        if spill > _SPILL_CALLS:
            return ranked[1]
    return preferred


def _relative_load(upstream: UpstreamState) -> float:
    return len(upstream.sends) / upstream.listed.slots
