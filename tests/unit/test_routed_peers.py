"""Peers of a VM that routes calls: who knows whom, and what follows."""

import pytest

from bilberryspoke._internal.core.routing.backlog import (
    count_live_vms,
    measure_backlog,
)
from bilberryspoke._internal.models.events import PeerMessageReceived
from bilberryspoke._internal.models.routing import SendStatus
from bilberryspoke._internal.models.routing_events import CallArrived, SendEnded
from bilberryspoke._internal.models.routing_messages import (
    Introduction,
    RoutingHeartbeat,
)
from tests.lib.corefleet import RETRY_RESERVE, RETRY_SHARE, CoreFleet
from tests.lib.routedcore import READ_ROUTE, build_call, list_sends


def retry_refused_calls(fleet, *, calls_per_vm):
    """Let each first send be refused; return the numbers of calls and retries.

    Each VM gets ``calls_per_vm`` calls at once.
    """
    first_sends, retries = 0, 0
    for name in fleet.cores:
        for number in range(calls_per_vm):
            call = build_call(f'{name}/{number}', READ_ROUTE, now=fleet.now)
            sends = list_sends(fleet.handle(name, CallArrived(call)))
            first_sends += len(sends)
            for send in sends:
                refused = SendEnded(
                    send.call_id, send.attempt, SendStatus.refused
                )
                retries += len(list_sends(fleet.handle(name, refused)))
    return first_sends, retries


@pytest.mark.parametrize('vms', [5, 8, 63])
def test_all_vms_find_each_other_through_three_seeds(vms):
    """The only introduction went out before its connection was open."""
    fleet = CoreFleet(vms)
    fleet.run_until(4.0)
    assert set(fleet.count_known_peers().values()) == {vms - 1}


def test_retries_of_all_vms_stay_within_the_fleet_budget():
    """VMs that knew the three seeds only took a quarter of the reserve each."""
    fleet = CoreFleet(63)
    fleet.run_until(12.0)
    calls, retries = retry_refused_calls(fleet, calls_per_vm=40)
    assert calls == 63 * 40
    assert 0 < retries <= RETRY_SHARE * calls + RETRY_RESERVE


@pytest.mark.parametrize(
    ('uptime_s', 'calls_per_vm'), [(0.2, 40), (0.4, 40), (3.0, 3)]
)
def test_restarted_vms_do_not_spend_the_reserve_again(uptime_s, calls_per_vm):
    """Without peers a VM took a third of the reserve, and after each start."""
    fleet = CoreFleet(63)
    fleet.run_until(12.0)
    calls, retries = retry_refused_calls(fleet, calls_per_vm=calls_per_vm)
    for _ in range(2):
        for name in list(fleet.cores):
            fleet.kill(name)
            fleet.start(name)
        fleet.run_until(fleet.now + uptime_s)
        more_calls, more_retries = retry_refused_calls(
            fleet, calls_per_vm=calls_per_vm
        )
        calls += more_calls
        retries += more_retries
    assert retries <= RETRY_SHARE * calls + RETRY_RESERVE


def count_live_peers(fleet, now):
    """Return how many other VMs the reports known to each VM cover."""
    return {
        name: count_live_vms(core.state.routing, now)
        for name, core in fleet.cores.items()
    }


def get_relay(fleet, name, data_centre):
    return fleet.cores[name].state.routing.relays[data_centre]


def list_seen_calls(fleet, instance):
    """Return the calls under way at an engine in the view of each VM."""
    return {
        measure_backlog(
            core.state.routing,
            core.state.routing.upstreams[instance],
            fleet.now,
        ).calls
        for core in fleet.cores.values()
    }


@pytest.mark.parametrize('vms', [8, 13, 14, 63, 120])
def test_reports_cover_every_vm_once(vms):
    fleet = CoreFleet(vms)
    for now in range(5, 11):
        fleet.run_until(now)
        assert set(count_live_peers(fleet, now).values()) == {vms - 1}


def test_messages_for_each_vm_do_not_grow_with_the_fleet():
    """Heartbeats went from each VM to all others."""
    messages_per_vm = []
    for vms in (30, 120):
        fleet = CoreFleet(vms)
        fleet.run_until(5.0)
        before = fleet.sent_messages.total()
        fleet.run_until(10.0)
        sent = fleet.sent_messages.total() - before
        messages_per_vm.append(sent / vms)
    small, large = messages_per_vm
    assert large < 1.1 * small


def test_call_of_one_vm_is_seen_by_all_within_half_a_second():
    fleet = CoreFleet(63)
    fleet.run_until(8.0)
    [send] = list_sends(
        fleet.handle('vm-9', CallArrived(build_call('c', now=fleet.now)))
    )
    fleet.run_until(8.5)
    assert list_seen_calls(fleet, send.instance) == {1}


@pytest.mark.parametrize('killed', [1, 5, 30])
def test_reports_cover_all_again_after_relays_are_killed(killed):
    fleet = CoreFleet(63)
    fleet.run_until(8.0)
    relays = [get_relay(fleet, 'vm-0', f'dc-{each}') for each in range(4)]
    victims = [*relays, *(each for each in fleet.cores if each not in relays)]
    for name in victims[:killed]:
        fleet.kill(name)
    fleet.run_until(10.5)
    assert set(count_live_peers(fleet, 10.5).values()) == {62 - killed}
    for name in victims[:killed]:
        fleet.start(name)
    fleet.run_until(14.0)
    assert set(count_live_peers(fleet, 14.0).values()) == {62}


def test_reports_cover_all_again_after_a_data_centre_was_cut_off():
    fleet = CoreFleet(63)
    fleet.run_until(8.0)
    fleet.cut_off('dc-1')
    fleet.run_until(14.0)
    inside = [
        name for name, each in fleet.data_centre_of.items() if each == 'dc-1'
    ]
    live = count_live_peers(fleet, 14.0)
    for name, count in live.items():
        same_side = len(inside) if name in inside else 63 - len(inside)
        assert count == same_side - 1
    assert set(fleet.count_known_peers().values()) == {62}
    fleet.cut_off(None)
    fleet.run_until(20.0)
    assert set(count_live_peers(fleet, 20.0).values()) == {62}


def test_relay_whose_data_centre_becomes_known_later_is_no_error():
    """An older VM introduces others without their data centres."""
    fleet = CoreFleet(20, data_centres=1)
    fleet.run_until(3.0)
    name = get_relay(fleet, 'vm-0', 'dc-0')
    stranger = Introduction({'vm-x': 'vm-x:1'})
    fleet.handle(name, PeerMessageReceived('vm-old', 1, stranger))
    fleet.run_until(3.3)
    heartbeat = RoutingHeartbeat('vm-x:1', 1, 1, True, data_centre='dc-x')
    fleet.handle(name, PeerMessageReceived('vm-x', 1, heartbeat))
    fleet.run_until(4.0)
    assert get_relay(fleet, name, 'dc-x') == 'vm-x'


def test_vm_that_never_returns_is_forgotten():
    fleet = CoreFleet(14)
    fleet.run_until(5.0)
    fleet.kill('vm-7')
    fleet.run_until(90.0)
    assert set(fleet.count_known_peers().values()) == {12}
