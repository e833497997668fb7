"""Upstreams that leave and return, outages of the store, route tables."""

from bilberryspoke._internal.models.effects import SendPeerMessage
from bilberryspoke._internal.models.events import PeerMessageReceived, Tick
from bilberryspoke._internal.models.routing import SendStatus, StorePosition
from bilberryspoke._internal.models.routing_effects import (
    DecodeRoutes,
)
from bilberryspoke._internal.models.routing_events import (
    CallArrived,
    DiscoverySynced,
    RoutesOffered,
    StoreReachReported,
    StoreWatch,
    UpstreamChanged,
    UpstreamsListed,
)
from bilberryspoke._internal.models.routing_messages import (
    SnapshotRequest,
    SnapshotUpstream,
    StoreSnapshot,
)
from tests.lib.routedcore import (
    RoutedCore,
    build_call,
    build_table,
    build_upstream,
    find_decision,
)


def test_leaving_and_removed_engines_get_no_calls():
    core = RoutedCore(engines=3)
    core.handle(StoreReachReported(True, StoreWatch.upstreams), now=0.0)
    leaving = build_upstream('engine-0', leaving=True)
    core.handle(UpstreamChanged('engine-0', leaving), now=10.0)
    core.handle(UpstreamChanged('engine-1', None), now=10.0)
    for number in range(12):
        call = build_call(f'd{number}', shared=str(number), now=10.0 + number)
        send = core.arrive(call, now=10.0 + number)
        assert send.instance == 'engine-2'
        core.end(send, SendStatus.finished, now=10.0 + number)


def simulate_store_outage(core, since, until):
    """Report the store as unreachable between two times in seconds."""
    core.handle(StoreReachReported(True, StoreWatch.upstreams), now=0.0)
    core.handle(StoreReachReported(False, StoreWatch.upstreams), now=since)
    core.handle(StoreReachReported(True, StoreWatch.upstreams), now=until)


def test_entries_expired_in_store_outage_are_kept_for_two_seconds():
    core = RoutedCore()
    simulate_store_outage(core, 1.0, 9.0)
    core.handle(UpstreamsListed((), StorePosition(0, 5)), now=9.0)
    kept = core.routing.list_accepting_upstreams('llm')
    assert len(kept) == 4
    returned = kept[0].listed
    core.handle(UpstreamChanged(returned.instance, returned), now=10.0)
    core.handle(Tick(), now=11.1)
    left = core.routing.list_accepting_upstreams('llm')
    assert [each.listed.instance for each in left] == [returned.instance]


def test_entry_removed_during_outage_of_one_vm_is_dropped_at_once():
    core = RoutedCore()
    simulate_store_outage(core, 1.0, 9.0)
    staying = [each for each in core.upstreams if each.instance != 'engine-0']
    core.handle(UpstreamsListed(tuple(staying), StorePosition(0, 5)), now=9.0)
    assert 'engine-0' not in core.routing.upstreams


def test_engine_restarted_under_its_name_has_fresh_state():
    core = RoutedCore(engines=1)
    send = core.arrive(build_call('d'), now=0.0)
    restarted = build_upstream('engine-0', created_ms=5)
    core.handle(UpstreamChanged('engine-0', restarted), now=1.0)
    assert not core.routing.upstreams['engine-0'].sends
    core.end(send, SendStatus.broken, now=1.1)
    assert not core.routing.upstreams['engine-0'].health.outcomes


def test_configuration_never_reverts():
    core = RoutedCore()
    core.handle(RoutesOffered(build_table(7)), now=0.0)
    core.handle(RoutesOffered(build_table(6)), now=1.0)
    assert core.routing.table.version == 7


def build_snapshot(version, revision, instances, era=0):
    snapshot_upstreams = [
        SnapshotUpstream(each, 'llm', '1:1', 'levis', 4, False, 0.0, 0)
        for each in instances
    ]
    return StoreSnapshot(version, revision, b'table', snapshot_upstreams, era)


def test_peer_snapshot_is_applied_only_without_the_store():
    core = RoutedCore(engines=2)
    core.handle(StoreReachReported(True, StoreWatch.upstreams), now=0.0)
    snapshot = build_snapshot(3, 9, ['engine-1'])
    core.handle(PeerMessageReceived('vm-2', 1, snapshot), now=0.1)
    assert 'engine-0' in core.routing.upstreams
    core.handle(StoreReachReported(False, StoreWatch.upstreams), now=0.2)
    effects = core.handle(PeerMessageReceived('vm-2', 1, snapshot), now=0.3)
    assert any(isinstance(each, DecodeRoutes) for each in effects)
    assert 'engine-0' not in core.routing.upstreams
    older = build_snapshot(3, 8, ['engine-0', 'engine-1'])
    core.handle(PeerMessageReceived('vm-2', 1, older), now=0.4)
    assert 'engine-0' not in core.routing.upstreams


def test_snapshot_is_sent_only_by_a_vm_that_reaches_the_store():
    core = RoutedCore()
    snapshot_req = SnapshotRequest(0, 0)
    assert not core.handle(
        PeerMessageReceived('vm-2', 1, snapshot_req), now=0.0
    )
    core.handle(StoreReachReported(True, StoreWatch.upstreams), now=0.1)
    core.handle(DiscoverySynced(StorePosition(0, 4)), now=0.1)
    [effect] = core.handle(
        PeerMessageReceived('vm-2', 1, snapshot_req), now=0.2
    )
    assert isinstance(effect, SendPeerMessage)
    assert effect.message.revision == 4
    current_snapshot_req = SnapshotRequest(1, 4)
    assert not core.handle(
        PeerMessageReceived('vm-2', 1, current_snapshot_req), now=0.3
    )


def test_refusal_without_upstream_guarantees_not_run():
    core = RoutedCore(engines=0, plain_upstreams=0)
    refusal = find_decision(
        core.handle(CallArrived(build_call('d')), now=0.0),
    )
    assert (refusal.reason, refusal.not_run) == ('no_upstream', True)


def test_peer_snapshot_of_a_newer_era_replaces_one_of_a_higher_revision():
    """Revisions of two eras were compared, so that the older list stayed."""
    core = RoutedCore(engines=2)
    core.handle(DiscoverySynced(StorePosition(1, 200)), now=0.0)
    core.handle(StoreReachReported(False, StoreWatch.upstreams), now=0.1)
    newer = build_snapshot(1, 160, ['engine-1'], era=2)
    core.handle(PeerMessageReceived('vm-2', 1, newer), now=0.2)
    assert list(core.routing.upstreams) == ['engine-1']
    older = build_snapshot(1, 300, ['engine-0', 'engine-1'], era=1)
    core.handle(PeerMessageReceived('vm-3', 1, older), now=0.3)
    assert list(core.routing.upstreams) == ['engine-1']


def test_half_of_the_upstreams_stay_after_an_outage_with_a_peer_in_between():
    core = RoutedCore(engines=8)
    core.handle(StoreReachReported(True, StoreWatch.upstreams), now=0.0)
    core.handle(StoreReachReported(False, StoreWatch.upstreams), now=1.0)
    half = [f'engine-{number}' for number in range(4)]
    snapshot = build_snapshot(1, 9, half)
    core.handle(PeerMessageReceived('vm-2', 1, snapshot), now=8.9)
    core.handle(StoreReachReported(True, StoreWatch.upstreams), now=9.0)
    core.handle(UpstreamsListed((), StorePosition(0, 10)), now=9.0)
    assert len(core.routing.list_accepting_upstreams('llm')) == 4


def test_upstream_is_used_after_another_writer_overwrote_its_entry():
    """Its own entries counted as older than that, and it was never used."""
    core = RoutedCore(engines=1)
    own = build_upstream('engine-0', created_ms=5, sequence=2)
    other = build_upstream('engine-0', service='elsewhere', created_ms=9)
    core.handle(UpstreamChanged('engine-0', own), now=1.0)
    core.handle(UpstreamChanged('engine-0', other), now=2.0)
    send = core.arrive(build_call('a', now=2.0), now=2.0)
    assert send.instance == 'engine-0'
    core.end(send, SendStatus.finished, now=2.0)
    again = build_upstream('engine-0', created_ms=5, sequence=3)
    core.handle(UpstreamChanged('engine-0', again), now=3.0)
    send = core.arrive(build_call('b', now=3.0), now=3.0)
    assert send.instance == 'engine-0'


def test_upstream_is_used_after_another_writer_was_read_first():
    """A process that starts then knows the other writer's entry only."""
    core = RoutedCore(engines=0)
    other = build_upstream('engine-0', service='elsewhere', created_ms=9)
    core.handle(UpstreamChanged('engine-0', other), now=1.0)
    own = build_upstream('engine-0', created_ms=5, sequence=3)
    core.handle(UpstreamChanged('engine-0', own), now=2.0)
    send = core.arrive(build_call('a', now=2.0), now=2.0)
    assert send.instance == 'engine-0'
