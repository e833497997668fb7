"""Adoption of route tables, and tracking of the upstreams in the store.

Times are in seconds of the boot-time clock.
"""

from collections.abc import Iterable

from bilberryspoke._internal.core.reducer import on_event
from bilberryspoke._internal.core.routing.confirmation import confirm_routes
from bilberryspoke._internal.core.routing.entrydigest import toggle_entry
from bilberryspoke._internal.core.routing.listcoverage import HistoryRead
from bilberryspoke._internal.core.routing.origins import doubt_origins
from bilberryspoke._internal.core.routing.relisting import (
    RELIST_TIMEOUT_S,
    count_upstreams,
    expect_relisting,
    may_be_relisted,
)
from bilberryspoke._internal.core.routing.state import RoutingState
from bilberryspoke._internal.core.routing.unixtimes import find_boottime
from bilberryspoke._internal.core.routing.upstreamstate import (
    RemovedUpstream,
    UpstreamState,
)
from bilberryspoke._internal.core.state import VmState
from bilberryspoke._internal.models.effects import (
    Count,
)
from bilberryspoke._internal.models.routing import (
    NO_POSITION,
    ListedUpstream,
    StorePosition,
)
from bilberryspoke._internal.models.routing_effects import (
    LogDecision,
)
from bilberryspoke._internal.models.routing_events import (
    DiscoverySynced,
    MissedUpstreamsRead,
    RoutesOffered,
    StoreReachReported,
    StoreWatch,
    UpstreamChanged,
    UpstreamsListed,
)

# A store that was restored from a copy may list an upstream that was removed up
# to this long ago.
_REMOVED_RETENTION_S = 60.0


@on_event(RoutesOffered)
def adopt_routes(state: VmState, event: RoutesOffered, now: float) -> None:
    """Adopt a route table if it is newer than the current one.

    An older one is counted as a stale offer.
    """
    routing = state.routing
    offered = event.table
    current = routing.table.version if routing.table else None
    if current is not None and offered.version <= current:
        if offered.version < current:
            state.emit(Count('routes_stale_offers'))
        return
    routing.table = offered
    longest_s = routing.longest_timeouts_s
    routing.longest_timeouts_s = {
        each.name: max(each.timeout_s, longest_s.get(each.name, 0))
        for each in offered.routes
    }
    state.emit(Count('routes_adopted'))
    state.emit(
        LogDecision(
            'routes_adopted',
            {
                'version': offered.version,
                'before': current,
                'source': event.source,
                **_describe_position(event.position),
                'routes': len(offered.routes),
            },
        ),
    )
    confirm_routes(state, now)


@on_event(StoreReachReported)
def update_store_reach(
    state: VmState, event: StoreReachReported, now: float
) -> None:
    """Record that the store stopped to answer a watch, or answers it again."""
    routing = state.routing
    _record_answer(state, event, now)
    lost_at = routing.lost_watches.get(event.watch)
    if event.store_reachable == (lost_at is None):
        return
    if lost_at is None:
        routing.lost_watches[event.watch] = now
        if event.watch is StoreWatch.upstreams:
            routing.counts_around_outage = count_upstreams(routing)
    else:
        routing.lost_watches.pop(event.watch)
        if event.watch is StoreWatch.upstreams:
            expect_relisting(routing, now, now - lost_at)
    name = 'store_back' if event.store_reachable else 'store_lost'
    state.emit(Count(name))
    state.emit(LogDecision(name, {'watch': event.watch, 'cause': event.cause}))


@on_event(UpstreamsListed)
def apply_upstream_list(
    state: VmState, event: UpstreamsListed, now: float
) -> None:
    """Replace the known upstreams by the complete list from discovery."""
    state.routing.position = event.position
    replace_upstreams(state, event.upstreams, now)
    state.routing.coverage.begin(_get_asked_at(event, now))


@on_event(MissedUpstreamsRead)
def note_missed_upstreams(
    state: VmState, event: MissedUpstreamsRead, now: float
) -> None:
    """Note the software versions that came and went before the last list."""
    routing = state.routing
    for entry in event.entries:
        known = routing.upstreams.get(entry.instance)
        version = entry.software_version
        if known is None or known.listed.software_version != version:
            routing.origins.note_withdrawn(entry, now)
    if event.is_complete:
        routing.coverage.close_gap()
    else:
        routing.coverage.history = HistoryRead(
            event.is_answered,
            event.since,
            find_boottime(state, event.dated_ms),
        )


@on_event(DiscoverySynced)
def update_position(
    state: VmState,
    event: DiscoverySynced,
    now: float,
) -> None:
    """Record up to which position, and as of when, the upstreams are known."""
    state.routing.position = event.position
    state.routing.coverage.extend(_get_asked_at(event, now))


def replace_upstreams(
    state: VmState,
    upstreams: Iterable[ListedUpstream],
    now: float,
) -> None:
    """Replace the known upstreams by ``upstreams``.

    Those that are not in it are dropped, at once or after the time in which
    they may be listed again.
    """
    routing = state.routing
    routing.listed = True
    listed = {each.instance: each for each in upstreams}
    for instance in list(routing.upstreams):
        if instance not in listed:
            _apply_entry_removal(state, instance, now)
    for upstream in listed.values():
        _put_upstream(state, upstream, now)


@on_event(UpstreamChanged)
def apply_upstream_change(
    state: VmState, event: UpstreamChanged, now: float
) -> None:
    """Apply the write or removal of one discovery entry."""
    if event.listed is None:
        _apply_entry_removal(state, event.instance, now)
    else:
        _note_heartbeat(state.routing, event.listed)
        _put_upstream(state, event.listed, now)


def drop_missing_upstreams(state: VmState, now: float) -> None:
    """Drop upstreams that were not listed again in time after an outage."""
    for instance, upstream in list(state.routing.upstreams.items()):
        drop_at = upstream.drop_at
        if drop_at is not None and now >= drop_at:
            _drop_upstream(
                state,
                instance,
                'not listed again in time after a store outage',
                now,
            )


def _get_asked_at(
    event: UpstreamsListed | DiscoverySynced, now: float
) -> float:
    return now if event.asked_at is None else event.asked_at


def _record_answer(
    state: VmState, event: StoreReachReported, now: float
) -> None:
    """Record when and with which position the store answered a watch.

    A position below that of the answer before means that the store was
    restored from a copy.
    """
    if not event.store_reachable or event.position is None:
        return
    routing = state.routing
    routing.store_answered_at[event.watch] = now
    previous = routing.answered_positions.get(event.watch, NO_POSITION)
    if not event.position.revision:
        return
    routing.answered_positions[event.watch] = event.position
    if previous.revision and not previous.is_continued_by(event.position):
        fields = {
            'watch': event.watch,
            'previous_era': previous.era,
            'previous_revision': previous.revision,
            **_describe_position(event.position),
        }
        if event.watch is StoreWatch.upstreams:
            routing.store_restored_at = now
        state.emit(Count('store_restored'))
        state.emit(LogDecision('store_restored', fields))


def _put_upstream(state: VmState, listed: ListedUpstream, now: float) -> None:
    """Record an entry, unless a later one of the upstream is known.

    A store that was restored from a copy returns earlier entries.
    """
    routing = state.routing
    known = routing.upstreams.get(listed.instance)
    if known is not None and _replaces_other_writer(routing, known, listed):
        _drop_upstream(state, listed.instance, 'of another writer', now)
        routing.removed.pop(listed.instance)
        known = None
    elif known is not None and _is_of_other_writer(routing, known, listed):
        state.emit(Count('upstream_entries_of_others'))
        return
    if known is None or known.listed.created_ms < listed.created_ms:
        if known is not None:
            _withdraw_version(state, known, listed.software_version, now)
        _add_upstream(state, listed, now)
        return
    if listed.is_older_than(known.listed):
        _ignore_outdated(state, known.listed, listed, now)
        return
    if listed.leaving and not known.listed.leaving:
        state.emit(LogDecision('upstream_leaving', _describe_upstream(listed)))
    _withdraw_version(state, known, listed.software_version, now)
    toggle_entry(routing, known.listed)
    toggle_entry(routing, listed)
    known.listed = listed
    known.drop_at = None


def _note_heartbeat(routing: RoutingState, listed: ListedUpstream) -> None:
    """Note that the store records each heartbeat, if a change is only that.

    An entry that returns after an outage is none.
    """
    known = routing.upstreams.get(listed.instance)
    if known is not None and known.drop_at is None:
        is_heartbeat = listed.is_heartbeat_after(known.listed)
        routing.coverage.has_heartbeats |= is_heartbeat


def _ignore_outdated(
    state: VmState, known: ListedUpstream, listed: ListedUpstream, now: float
) -> None:
    """Leave an entry out; VMs that know none of its upstream may use it."""
    state.emit(Count('upstream_entries_outdated'))
    if listed.software_version != known.software_version:
        state.routing.origins.note_withdrawn(listed, now)


def _is_of_other_writer(
    routing: RoutingState, known: UpstreamState, listed: ListedUpstream
) -> bool:
    """Return whether an entry moves an upstream to a service that is none.

    An upstream stays with its service.
    """
    if routing.table is None or listed.service == known.listed.service:
        return False
    return listed.service not in routing.table.services


def _replaces_other_writer(
    routing: RoutingState, known: UpstreamState, listed: ListedUpstream
) -> bool:
    """Return whether an upstream's own entry follows another writer's."""
    services = {} if routing.table is None else routing.table.services
    return known.listed.service not in services and listed.service in services


def _withdraw_version(
    state: VmState, upstream: UpstreamState, successor: str, now: float
) -> None:
    """Note that an upstream no longer runs a software version.

    ``successor`` is the version that it runs now.
    """
    listed = upstream.listed
    if listed.software_version == successor:
        return
    state.routing.origins.note_withdrawn(listed, now)
    doubt_origins(state, list(upstream.sends.values()), now)


def _add_upstream(state: VmState, listed: ListedUpstream, now: float) -> None:
    routing = state.routing
    removed = routing.removed.get(listed.instance)
    if removed is not None and not listed.may_follow(removed.listed):
        _ignore_outdated(state, removed.listed, listed, now)
        return
    routing.removed.pop(listed.instance, None)
    replaced = routing.upstreams.get(listed.instance)
    if replaced is not None:
        toggle_entry(routing, replaced.listed)
    toggle_entry(routing, listed)
    added = UpstreamState(listed)
    if removed is not None:
        added = removed.make_successor(listed)
    if listed.service in routing.unreached_services:
        # It is likely to be out of reach as well.
        added.health.expect_probe(now)
    routing.upstreams[listed.instance] = added
    state.emit(LogDecision('upstream_listed', _describe_upstream(listed)))


def _apply_entry_removal(state: VmState, instance: str, now: float) -> None:
    """Drop an upstream without an entry, or keep it for the time to relist it.

    It is kept if its entry may have expired in an outage of the store.
    """
    routing = state.routing
    upstream = routing.upstreams.get(instance)
    if upstream is None or upstream.drop_at is not None:
        return
    if may_be_relisted(routing, upstream, now):
        returned_at = max(routing.store_back_at, routing.store_restored_at)
        upstream.drop_at = returned_at + RELIST_TIMEOUT_S
        state.emit(
            LogDecision('upstream_entry_missing', {'upstream': instance})
        )
        return
    _drop_upstream(state, instance, 'discovery entry removed', now)


def _drop_upstream(
    state: VmState, instance: str, reason: str, now: float
) -> None:
    routing = state.routing
    dropped = routing.upstreams.pop(instance)
    routing.removed = {
        name: each
        for name, each in routing.removed.items()
        if each.removed_at >= now - _REMOVED_RETENTION_S
    }
    last_state = dropped.relist(dropped.listed)
    routing.removed[instance] = RemovedUpstream(last_state, now)
    toggle_entry(routing, dropped.listed)
    routing.origins.note_withdrawn(dropped.listed, now)
    fields = {'upstream': instance, 'reason': reason}
    state.emit(LogDecision('upstream_dropped', fields))


def _describe_position(position: StorePosition | None) -> dict[str, object]:
    if position is None:
        return {}
    return {'era': position.era, 'revision': position.revision}


def _describe_upstream(listed: ListedUpstream) -> dict[str, object]:
    return {
        'upstream': listed.instance,
        'service': listed.service,
        'data_centre': listed.data_centre,
        'address': listed.address,
        'created_ms': listed.created_ms,
        'sequence': listed.sequence,
        'software_version': listed.software_version,
    }
