"""Candidate engines for a call, with the estimates they are judged by.

Times are in seconds of the boot-time clock.
"""

from dataclasses import dataclass

from bilberryspoke._internal.core.routing.backlog import (
    EngineBacklog,
    add_peer_backlogs,
    estimate_first_event_s,
    list_live_peers,
)
from bilberryspoke._internal.core.routing.callstate import CallState
from bilberryspoke._internal.core.routing.promptcache import (
    count_own_tokens,
    count_uncached_shared_tokens,
    get_cached_since,
)
from bilberryspoke._internal.core.routing.state import RoutingState
from bilberryspoke._internal.core.routing.upstreamstate import UpstreamState
from bilberryspoke._internal.models.routing import RoutedCall
from bilberryspoke._internal.utils.hashing import rank_members

# Weight of the time in which an engine reads shared parts that another engine
# may have in its cache. It delays other calls, the more engines are busy.
_IDLE_REREAD_WEIGHT = 2.0
_BUSY_REREAD_WEIGHT = 8.0
_BUSY_BACKLOG_S = 0.1
# A call that would raise the prefill backlog of a busy engine above this waits
# at its VM: what waits at an engine holds memory there and delays later calls.
_MAX_PREFILL_BACKLOG_S = 0.2
# An engine with at most this backlog is not busy: it gets a prompt of any
# length, as it would be idle before the next one arrives.
_FREE_BACKLOG_S = 0.03
# Fraction of an engine's slots for less urgent calls in a large fleet. The VMs
# see one another's calls late there, so that an engine gets more than it has
# slots for, and urgent calls would wait in its queue.
_LESS_URGENT_SLOT_FRACTION = 0.85


@dataclass(slots=True)
class Placement:
    """A candidate upstream for a call, with the estimates it is judged by.

    ``slots`` are those that calls of its urgency may use, ``prefill_tokens``
    the prompt tokens that the call would add there, and ``backlog`` is that of
    the calls of all VMs. ``backlog_s`` are the seconds in which the engine
    reads the prompts of the backlog, ``prefill_s`` those for the call's own
    and ``reread_s`` those for the shared parts among its tokens.
    ``first_event_s`` are the expected seconds from the send to the first event.
    """

    upstream: UpstreamState
    slots: float
    prefill_tokens: int
    backlog: EngineBacklog
    backlog_s: float
    prefill_s: float
    first_event_s: float
    reread_s: float


def list_placements(
    routing: RoutingState,
    group: list[UpstreamState],
    call_state: CallState,
    now: float,
) -> list[Placement]:
    """Return the engines of a group in the order of prefix affinity.

    The order decides between engines that are equally good, so that all VMs
    choose the same one for a part of a prompt that no engine has yet.
    """
    # Calls with the same last shared part prefer the same engine. The last part
    # of a prompt is not shared.
    parts = call_state.call.parts
    hash_key = call_state.call.call_id
    if parts:
        hash_key = parts[-2].name if len(parts) > 1 else parts[-1].name
    by_name = {each.listed.instance: each for each in group}
    ranked = [by_name[name] for name in rank_members(hash_key, by_name)]
    return estimate_placements(routing, ranked, call_state.call, now)


def estimate_placements(
    routing: RoutingState,
    upstreams: list[UpstreamState],
    call: RoutedCall,
    now: float,
) -> list[Placement]:
    """Return upstreams as candidates for a call, in the order given."""
    peers = list_live_peers(routing, now)
    speed = routing.prefill_speeds[call.service]
    cached_since = get_cached_since(routing, call.service, now)
    own_tokens = count_own_tokens(call)
    slot_fraction = _get_slot_fraction(routing, call)
    placements = []
    for upstream in upstreams:
        backlog = add_peer_backlogs(upstream, peers)
        uncached_tokens = count_uncached_shared_tokens(
            upstream, call, cached_since
        )
        prefill_tokens = own_tokens + uncached_tokens
        placements.append(
            Placement(
                upstream=upstream,
                slots=upstream.listed.slots * slot_fraction,
                prefill_tokens=prefill_tokens,
                backlog=backlog,
                backlog_s=speed.get_prefill_s(backlog.prefill_tokens),
                prefill_s=speed.get_prefill_s(prefill_tokens),
                first_event_s=estimate_first_event_s(
                    upstream, speed, backlog, prefill_tokens
                ),
                reread_s=speed.get_prefill_s(uncached_tokens),
            ),
        )
    return placements


def _get_slot_fraction(routing: RoutingState, call: RoutedCall) -> float:
    priorities = routing.table.latency_targets_of_service.get(call.service)
    if not routing.relays or not priorities:
        return 1.0
    is_urgent = call.route.priority <= min(priorities)
    return 1.0 if is_urgent else _LESS_URGENT_SLOT_FRACTION


def has_capacity(placement: Placement) -> bool:
    """Return whether an engine may get a call, by its load.

    It needs a free slot and room in its backlog. An engine that is not busy
    accepts a prompt of any length.
    """
    if placement.backlog.calls >= placement.slots:
        return False
    return (
        placement.backlog_s <= _FREE_BACKLOG_S
        or placement.backlog_s + placement.prefill_s <= _MAX_PREFILL_BACKLOG_S
    )


def list_costs_s(placements: list[Placement]) -> list[float]:
    """Return what a call costs at each engine, in seconds.

    That is the time to its first event, and a price for reading shared parts
    that another engine has in its cache. A part that no engine has must be read
    by one: it has no price at the first in order, as the other VMs send it
    there at the same time.
    """
    busy = [each for each in placements if each.backlog_s > _BUSY_BACKLOG_S]
    busy_fraction = len(busy) / max(1, len(placements))
    unavoidable_s = min((each.reread_s for each in placements), default=0)
    costs_s = []
    for position, placement in enumerate(placements):
        reread_s = placement.reread_s
        if not position or not unavoidable_s:
            reread_s -= unavoidable_s
        weight = _get_reread_weight(placement, busy_fraction)
        costs_s.append(placement.first_event_s + weight * reread_s)
    return costs_s


def _get_reread_weight(placement: Placement, busy_fraction: float) -> float:
    """Return the weight of the time to read shared parts again at an engine.

    ``busy_fraction`` is the fraction of engines that are busy.
    """
    if not placement.backlog.calls:
        return _IDLE_REREAD_WEIGHT
    extra = _BUSY_REREAD_WEIGHT - _IDLE_REREAD_WEIGHT
    return _IDLE_REREAD_WEIGHT + extra * busy_fraction
