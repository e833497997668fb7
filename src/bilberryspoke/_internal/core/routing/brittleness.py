"""Upstreams that fall over if they have to refuse many calls.

Such an upstream says so in all its answers. It then gets only calls that it has
a slot for: the VMs divide its slots, and further calls wait at their VM. Times
are in seconds of the boot-time clock.
"""

from bilberryspoke._internal.core.reducer import on_event
from bilberryspoke._internal.core.routing.members import list_live_names
from bilberryspoke._internal.core.routing.upstreamstate import UpstreamState
from bilberryspoke._internal.core.state import VmState
from bilberryspoke._internal.models.effects import Count
from bilberryspoke._internal.models.routing_effects import LogDecision
from bilberryspoke._internal.models.routing_events import BrittlenessStated
from bilberryspoke._internal.utils.hashing import rank_members

# An upstream that refused a call this long before it ended fell over.
_FALL_WINDOW_S = 1.5


@on_event(BrittlenessStated)
def record_brittleness(
    state: VmState, event: BrittlenessStated, now: float
) -> None:
    """Record whether an upstream said in an answer that it is brittle."""
    upstream = state.routing.find_incarnation(event.instance, event.created_ms)
    if upstream is None or upstream.is_brittle == event.is_brittle:
        return
    upstream.is_brittle = event.is_brittle
    _update_share(state, upstream, _list_sharers(state, now))
    fields = {
        'upstream': event.instance,
        'service': upstream.listed.service,
        'is_brittle': event.is_brittle,
        'slots': upstream.slot_share,
    }
    state.emit(Count('upstreams_brittle_changed'))
    state.emit(LogDecision('upstream_brittle', fields))


def review_brittle_upstreams(state: VmState, now: float) -> None:
    """Update this VM's share of the slots of brittle upstreams."""
    brittle = [
        upstream
        for upstream in state.routing.upstreams.values()
        if upstream.is_brittle
    ]
    if not brittle:
        return
    names = _list_sharers(state, now)
    for upstream in brittle:
        _update_share(state, upstream, names)


def has_fallen_over(upstream: UpstreamState | None, now: float) -> bool:
    """Return whether an upstream that ended did so for its refusals.

    The calls under way there are then not the reason.
    """
    return (
        upstream is not None
        and upstream.is_brittle
        and now - upstream.refused_at < _FALL_WINDOW_S
    )


def _list_sharers(state: VmState, now: float) -> list[str]:
    """Return the names of the VMs that the slots are divided among.

    Silent VMs leave their share to the others. A VM that does not hear most of
    them is more likely cut off itself, or has just stood still: they are there
    and use their shares, so that it keeps to its own.
    """
    peers = state.routing.peers
    live = list_live_names(state, now)
    if 2 * len(live) > 1 + len(peers):
        return live
    return [state.vm, *peers]


def _update_share(
    state: VmState, upstream: UpstreamState, names: list[str]
) -> None:
    """Set this VM's share of the slots; the shares add up to all of them."""
    listed = upstream.listed
    share, rest = divmod(listed.slots, len(names))
    ranked = rank_members(f'brittle {listed.instance}', names)
    if ranked.index(state.vm) < rest:
        share += 1
    upstream.slot_share = share
