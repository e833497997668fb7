"""A store that comes back from a copy, as the core of one VM sees it."""

from bilberryspoke._internal.models.effects import SendPeerMessage
from bilberryspoke._internal.models.events import PeerMessageReceived, Tick
from bilberryspoke._internal.models.routing import StorePosition
from bilberryspoke._internal.models.routing_events import (
    RoutesOffered,
    SeedsConfigured,
    StoreReachReported,
    StoreWatch,
    UpstreamChanged,
    UpstreamsListed,
)
from bilberryspoke._internal.models.routing_messages import (
    RoutingHeartbeat,
    SnapshotRequest,
)
from tests.lib.routedcore import (
    RoutedCore,
    build_core,
    build_table,
    build_upstream,
)


def answer_watches(core, *, now):
    for watch in StoreWatch:
        core.handle(
            StoreReachReported(True, watch, position=StorePosition(2, 150)),
            now=now,
        )


def receive_heartbeat(core, version, *, now, sender='vm-2'):
    beat = RoutingHeartbeat(f'{sender}:1', version, 200, True, era=1)
    return core.handle(PeerMessageReceived(sender, 1, beat), now=now)


def list_snapshot_requests(effects):
    return [
        effect.message
        for effect in effects
        if isinstance(effect, SendPeerMessage)
        and isinstance(effect.message, SnapshotRequest)
    ]


def start_core_with_seed():
    """Return a core that has just started, read version 1 and heard nobody."""
    core = build_core()
    core.handle(SeedsConfigured(('vm-2:1',)), now=0.0)
    answer_watches(core, now=0.1)
    core.handle(RoutesOffered(build_table(1)), now=0.1)
    core.handle(UpstreamsListed((), StorePosition(2, 150)), now=0.1)
    return core


def test_new_process_is_not_ready_with_routes_older_than_those_of_a_peer():
    core = start_core_with_seed()
    receive_heartbeat(core, 7, now=0.2)
    asked = list_snapshot_requests(core.handle(Tick(), now=0.25))
    assert [each.version for each in asked] == [1]
    assert not core.state.routing.ready
    core.handle(RoutesOffered(build_table(7), 'peer vm-2'), now=0.3)
    assert core.state.routing.ready


def test_new_process_asks_the_first_peer_that_has_newer_routes_at_once():
    """A request for which there was no peer yet put off the next one."""
    core = build_core()
    core.handle(Tick(), now=0.0)
    receive_heartbeat(core, 7, now=0.2)
    assert list_snapshot_requests(core.handle(Tick(), now=0.2))


def test_new_process_is_ready_once_all_peers_have_no_confirmed_routes_either():
    """After a restart of the whole fleet nobody knows better than the store."""
    core = start_core_with_seed()
    core.handle(Tick(), now=0.15)
    assert not core.state.routing.ready
    receive_heartbeat(core, 0, now=0.2)
    core.handle(Tick(), now=0.25)
    assert core.state.routing.ready


def test_new_process_without_a_peer_to_ask_is_ready_after_half_a_second():
    core = start_core_with_seed()
    core.handle(Tick(), now=0.45)
    assert not core.state.routing.ready
    core.handle(Tick(), now=0.55)
    assert core.state.routing.ready


def test_vm_that_reaches_the_store_asks_a_peer_with_newer_routes():
    """A watch without answers left it behind, and it asked nobody."""
    core = RoutedCore()
    answer_watches(core, now=0.0)
    receive_heartbeat(core, 7, now=0.1)
    assert not list_snapshot_requests(core.handle(Tick(), now=0.15))
    receive_heartbeat(core, 7, now=0.4)
    assert list_snapshot_requests(core.handle(Tick(), now=0.5))


def test_silent_watch_of_routes_is_noticed_beside_a_watch_that_is_answered():
    """Each answer to one watch restarted the time since the other was lost."""
    core = RoutedCore()
    answer_watches(core, now=0.0)
    receive_heartbeat(core, 1, now=0.0)
    core.handle(StoreReachReported(False, StoreWatch.routes), now=0.1)
    answered = StoreReachReported(True, StoreWatch.upstreams)
    core.handle(answered, now=0.4)
    receive_heartbeat(core, 1, now=0.4)
    assert list_snapshot_requests(core.handle(Tick(), now=0.55))


def build_entry(sequence, **changes):
    return build_upstream('app-0', service='app', sequence=sequence, **changes)


def restore_upstreams(core, *entries, now):
    """Let the store answer from a copy that holds the given entries."""
    position = StorePosition(3, 90)
    restored = StoreReachReported(True, StoreWatch.upstreams, position=position)
    core.handle(restored, now=now)
    core.handle(UpstreamsListed(entries, position), now=now)


def test_leaving_upstream_that_the_copy_calls_ready_stays_leaving():
    core = RoutedCore(engines=0, plain_upstreams=0)
    answer_watches(core, now=0.0)
    core.handle(UpstreamChanged('app-0', build_entry(7)), now=0.0)
    leaving = build_entry(8, leaving=True)
    core.handle(UpstreamChanged('app-0', leaving), now=0.1)
    restore_upstreams(core, build_entry(7), now=0.2)
    assert core.routing.upstreams['app-0'].listed.leaving


def test_removed_upstream_is_listed_again_only_by_a_later_entry():
    """The copy listed an upstream that had left, and calls were sent to it."""
    core = RoutedCore(engines=0, plain_upstreams=0)
    answer_watches(core, now=0.0)
    core.handle(UpstreamChanged('app-0', build_entry(7)), now=0.0)
    core.handle(UpstreamChanged('app-0', None), now=0.1)
    restore_upstreams(core, build_entry(7), now=0.2)
    assert 'app-0' not in core.routing.upstreams
    core.handle(UpstreamChanged('app-0', build_entry(9)), now=0.3)
    assert 'app-0' in core.routing.upstreams


def test_upstream_that_the_copy_does_not_have_yet_is_kept_for_two_seconds():
    core = RoutedCore(engines=0, plain_upstreams=0)
    answer_watches(core, now=0.0)
    core.handle(UpstreamChanged('app-0', build_entry(1)), now=0.0)
    restore_upstreams(core, now=0.2)
    core.handle(Tick(), now=2.1)
    assert 'app-0' in core.routing.upstreams
    core.handle(Tick(), now=2.3)
    assert 'app-0' not in core.routing.upstreams


def test_upstream_restarted_under_a_removed_id_is_listed_with_its_first_entry():
    """Its sequence starts anew, and was compared with that of before."""
    core = RoutedCore(engines=0, plain_upstreams=0)
    answer_watches(core, now=0.0)
    core.handle(UpstreamChanged('app-0', build_entry(1)), now=0.0)
    core.handle(UpstreamChanged('app-0', None), now=0.1)
    restarted = build_entry(1, created_ms=5)
    core.handle(UpstreamChanged('app-0', restarted), now=0.2)
    assert 'app-0' in core.routing.upstreams
