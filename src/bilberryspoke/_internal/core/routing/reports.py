"""Reports of the backlog and waiting calls of one or more VMs."""

from collections.abc import Iterable
from dataclasses import dataclass

from bilberryspoke._internal.core.routing.backlog import measure_own_backlog
from bilberryspoke._internal.core.routing.crashnews import make_crash_news
from bilberryspoke._internal.core.routing.partnews import list_part_news
from bilberryspoke._internal.core.routing.peerstate import PeerBacklog, PeerView
from bilberryspoke._internal.core.routing.ratelimits import (
    list_stated_limits,
)
from bilberryspoke._internal.core.routing.relays import is_relay
from bilberryspoke._internal.core.routing.state import RoutingState
from bilberryspoke._internal.core.routing.tightdemand import (
    add_demands,
    list_reported,
)
from bilberryspoke._internal.core.routing.withdrawal import list_leaving
from bilberryspoke._internal.core.state import VmState
from bilberryspoke._internal.models.routing import StorePosition
from bilberryspoke._internal.models.routing_messages import (
    CachedParts,
    CrashNews,
    LeavingUpstream,
    ReportScope,
    RoutingHeartbeat,
    StatedLimit,
    TightDemand,
    UpstreamBacklog,
)


@dataclass(frozen=True, slots=True)
class HeartbeatNews:
    """What all heartbeats of one round pass on; a relay sends many of them."""

    limits: list[StatedLimit]
    leaving: list[LeavingUpstream]
    crashes: CrashNews | None
    parts: dict[ReportScope, list[CachedParts]]


def collect_news(routing: RoutingState, now: float) -> HeartbeatNews:
    """Return what the heartbeats of a round pass on."""
    return HeartbeatNews(
        list_stated_limits(routing, now),
        list_leaving(routing),
        make_crash_news(routing, now),
        {scope: list_part_news(routing, scope) for scope in ReportScope},
    )


def make_report(
    state: VmState,
    views: list[PeerView],
    news: HeartbeatNews,
    scope: ReportScope = ReportScope.vm,
    *,
    to_relay: bool = False,
) -> RoutingHeartbeat:
    """Make a heartbeat that reports the calls of ``views`` and passes on news.

    One of them is this VM's own, see ``view_own_state``. The version and
    position are the newest of those VMs that reach the store.
    """
    routing = state.routing
    reader = max(views, key=_get_store_position)
    return RoutingHeartbeat(
        address=state.settings.peer_address,
        version=reader.version,
        revision=reader.position.revision,
        store_reachable=reader.store_reachable,
        backlog=[
            UpstreamBacklog(instance, each.prefill_tokens, each.calls)
            for instance, each in _add_backlogs(views).items()
        ],
        waiting=_find_most_urgent_ranks(views),
        tight_demand=_add_tight_demands(views),
        members=routing.members_digest,
        data_centre=state.settings.data_centre,
        scope=scope,
        vms=sum(view.vms for view in views),
        store_reader='' if reader.name == state.vm else reader.store_reader,
        relay=routing.relays.get(state.settings.data_centre, ''),
        to_relay=to_relay,
        era=reader.position.era,
        limits=news.limits,
        crash_news=news.crashes,
        leaving=news.leaving,
        cached_parts=news.parts[scope],
        named_reader=routing.store_reader if is_relay(state) else '',
        upstreams_digest=reader.upstreams_digest,
    )


def view_own_state(state: VmState, now: float) -> PeerView:
    """Return this VM as other VMs see it."""
    routing = state.routing
    backlog = {}
    for instance, upstream in routing.upstreams.items():
        own = measure_own_backlog(upstream)
        if own.calls:
            backlog[instance] = PeerBacklog(own.prefill_tokens, own.calls)
    return PeerView(
        state.vm,
        state.settings.peer_address,
        version=routing.table.version if routing.confirmed else 0,
        position=routing.position,
        store_reachable=routing.is_store_reader,
        store_reader=state.vm,
        upstreams_digest=routing.upstreams_digest,
        backlog=backlog,
        waiting=routing.waiting.get_most_urgent_ranks(),
        tight_demand={
            service: load.measure(now)
            for service, load in routing.tight_loads.items()
        },
    )


def _add_backlogs(views: Iterable[PeerView]) -> dict[str, PeerBacklog]:
    totals: dict[str, PeerBacklog] = {}
    for view in views:
        for instance, backlog in view.backlog.items():
            total = totals.setdefault(instance, PeerBacklog(0, 0))
            total.prefill_tokens += backlog.prefill_tokens
            total.calls += backlog.calls
    return totals


def _add_tight_demands(views: list[PeerView]) -> dict[str, TightDemand]:
    services = {service for view in views for service in view.tight_demand}
    return {
        service: add_demands(list_reported(service, views))
        for service in services
    }


def _find_most_urgent_ranks(views: Iterable[PeerView]) -> dict[str, int]:
    ranks: dict[str, int] = {}
    for view in views:
        for group, rank in view.waiting.items():
            ranks[group] = min(rank, ranks.get(group, rank))
    return ranks


def _get_store_position(view: PeerView) -> tuple[bool, int, StorePosition]:
    return (view.store_reachable, view.version, view.position)
