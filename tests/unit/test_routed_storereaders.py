"""Few VMs of a large fleet read the store; the others follow them."""

import pytest

from bilberryspoke._internal.models.routing import StorePosition
from bilberryspoke._internal.models.routing_events import UpstreamsListed
from tests.lib.routedcore import RoutedCore, build_upstream
from tests.lib.storefleet import StoreFleet

# As in the grown and large deployments.
CONFIG_APPLY_S = 3.0
START_S = 9.0


def build_fleet(vms=26, data_centres=2):
    """Return a fleet that has run until its readers are named."""
    fleet = StoreFleet(vms, data_centres=data_centres)
    fleet.run_until(START_S)
    return fleet


def check_change_arrives(fleet, within_s=CONFIG_APPLY_S):
    fleet.change()
    fleet.run_until(fleet.now + within_s)
    assert fleet.find_outdated() == set()


def count_readers(fleet):
    return {name: len(each) for name, each in fleet.find_readers().items()}


@pytest.mark.parametrize(('vms', 'data_centres'), [(26, 2), (63, 5)])
def test_one_vm_of_each_data_centre_reads_the_store(vms, data_centres):
    """195 VMs made 1.8 calls a second each."""
    fleet = build_fleet(vms, data_centres)
    readers = count_readers(fleet)
    assert readers == {f'dc-{number}': 1 for number in range(data_centres)}
    before = fleet.reads
    for _ in range(5):
        fleet.rewrite()
        fleet.run_until(fleet.now + 0.4)
    # Each reader reads five times a second.
    assert fleet.reads - before <= data_centres * 11


def test_change_reaches_the_vms_that_do_not_read_within_a_second():
    fleet = build_fleet()
    check_change_arrives(fleet, within_s=1.0)
    check_change_arrives(fleet, within_s=1.0)


def test_small_fleet_reads_by_itself():
    fleet = build_fleet(8, 2)
    assert count_readers(fleet) == {'dc-0': 4, 'dc-1': 4}
    check_change_arrives(fleet, within_s=0.5)


@pytest.mark.parametrize('with_relay', [False, True])
def test_killed_reader_is_replaced(with_relay):
    """All readers of a data centre are gone at once, and its relay too."""
    fleet = build_fleet()
    doomed = set(fleet.find_readers()['dc-1'])
    if with_relay:
        routing = next(iter(fleet.cores.values())).state.routing
        doomed.add(routing.relays['dc-1'])
    for name in doomed:
        fleet.kill(name)
    check_change_arrives(fleet)
    fleet.run_until(fleet.now + 5)
    assert count_readers(fleet) == {'dc-0': 1, 'dc-1': 1}


def test_paused_reader_is_replaced_and_follows_when_it_wakes_up():
    fleet = build_fleet()
    fleet.paused.update(fleet.find_readers()['dc-0'])
    fleet.change()
    fleet.run_until(fleet.now + CONFIG_APPLY_S)
    assert fleet.find_outdated() <= fleet.paused
    fleet.paused.clear()
    fleet.run_until(fleet.now + CONFIG_APPLY_S)
    assert fleet.find_outdated() == set()
    fleet.run_until(fleet.now + 5)
    assert count_readers(fleet) == {'dc-0': 1, 'dc-1': 1}


def test_reader_of_an_older_copy_holds_up_no_other_vm():
    """The store answers the reader of one data centre with an old state."""
    fleet = build_fleet()
    fleet.behind.update(fleet.find_readers()['dc-0'])
    fleet.change()
    fleet.run_until(fleet.now + CONFIG_APPLY_S)
    assert fleet.find_outdated() <= fleet.behind
    versions = {
        name: core.state.routing.table.version
        for name, core in fleet.cores.items()
    }
    assert set(versions.values()) == {2}


def test_readers_that_the_store_turns_away_are_replaced():
    fleet = build_fleet()
    fleet.turned_away.update(fleet.find_readers()['dc-0'])
    check_change_arrives(fleet)
    fleet.run_until(fleet.now + 3)
    assert not fleet.turned_away & set(fleet.find_readers()['dc-0'])


def test_half_of_the_vms_are_turned_away():
    """Those that are served keep reading; nobody alternates."""
    fleet = build_fleet()
    fleet.turned_away.update(sorted(fleet.cores)[::2])
    check_change_arrives(fleet)
    fleet.run_until(fleet.now + 6)
    before = fleet.reads
    fleet.run_until(fleet.now + 2)
    assert fleet.reads - before <= 2 * 2 * 11
    check_change_arrives(fleet)


def test_data_centre_cut_off_from_the_others_follows_its_own_readers():
    fleet = build_fleet()
    fleet.cut_off('dc-0')
    check_change_arrives(fleet)


def test_change_arrives_when_the_store_is_back():
    fleet = build_fleet()
    fleet.turned_away.update(fleet.cores)
    fleet.run_until(fleet.now + 5)
    fleet.turned_away.clear()
    check_change_arrives(fleet, within_s=1.5)
    fleet.run_until(fleet.now + 8)
    assert all(count <= 1 for count in count_readers(fleet).values())


def test_restart_of_all_vms_reads_at_once():
    fleet = build_fleet()
    fleet.change()
    for name in list(fleet.cores):
        fleet.kill(name)
        fleet.start(name)
    # Engines that are missing at the start may be listed again for 2 s.
    fleet.run_until(fleet.now + CONFIG_APPLY_S)
    assert fleet.find_outdated() == set()
    fleet.run_until(fleet.now + START_S)
    assert count_readers(fleet) == {'dc-0': 1, 'dc-1': 1}


def list_upstreams(core, revision, *listed):
    position = StorePosition(0, revision)
    core.handle(UpstreamsListed(listed, position), now=float(revision))
    return core.routing.upstreams_digest


def test_digest_tells_what_is_known_and_not_how_it_was_learned():
    """VMs that know the same would ask each other for snapshots for ever."""
    core = RoutedCore(engines=0, plain_upstreams=0)
    first = build_upstream('e-1', created_ms=1, sequence=1)
    second = build_upstream('e-2', created_ms=1, sequence=1)
    rewritten = build_upstream('e-1', created_ms=1, sequence=9)
    leaving = build_upstream('e-1', created_ms=1, sequence=10, leaving=True)
    restarted = build_upstream('e-1', created_ms=2, sequence=1)
    both = list_upstreams(core, 2, first, second)
    assert list_upstreams(core, 3, second, rewritten) == both
    assert list_upstreams(core, 4, leaving, second) != both
    list_upstreams(core, 5, second)
    learned = list_upstreams(core, 6, restarted, second)
    list_upstreams(core, 7, leaving, restarted, second)
    fresh = RoutedCore(engines=0, plain_upstreams=0)
    assert list_upstreams(fresh, 2, second, restarted) == learned
    assert core.routing.upstreams_digest == learned
