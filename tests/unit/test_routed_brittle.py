"""Shares of the slots of brittle upstreams while VMs don't hear each other."""

import math

import pytest

from bilberryspoke._internal.models.routing_events import BrittlenessStated
from tests.lib.corefleet import TICK_INTERVAL_S, CoreFleet

BRITTLE = 'app-0'
SLOTS = 6
WARM_UP_S = 8.0
# Longer than VMs count as alive without a heartbeat.
CUT_S = 3.0


def run_fleet(vms):
    """Return a fleet in which each VM was told that an upstream is brittle."""
    fleet = CoreFleet(vms, store_answers=True)
    fleet.run_until(WARM_UP_S)
    for name in fleet.cores:
        fleet.handle(name, BrittlenessStated(BRITTLE, 0, is_brittle=True))
    fleet.run_until(fleet.now + 0.5)
    assert count_slots(fleet) == SLOTS
    return fleet


def count_slots(fleet):
    """Return how many calls all VMs together may have at the upstream."""
    return sum(
        core.state.routing.upstreams[BRITTLE].slot_share
        for core in fleet.cores.values()
    )


def run_and_count_most(fleet, seconds):
    """Run the fleet; return the most slots that its VMs took at once."""
    until = fleet.now + seconds
    counts = []
    while fleet.now < until:
        fleet.run_until(fleet.now + TICK_INTERVAL_S)
        counts.append(count_slots(fleet))
    return max(counts)


@pytest.mark.parametrize('vms', [4, 8, 12])
def test_vm_that_hears_nobody_takes_no_more_than_its_share(vms):
    """It took all slots, beside the others."""
    fleet = run_fleet(vms)
    fleet.isolated.add('vm-3')
    most = run_and_count_most(fleet, CUT_S)
    assert most <= SLOTS + math.ceil(SLOTS / vms)


@pytest.mark.parametrize('vms', [4, 8, 12])
def test_vms_that_hear_nobody_take_no_more_than_their_shares(vms):
    """Each of them took all slots."""
    fleet = run_fleet(vms)
    fleet.isolated.update(sorted(fleet.cores)[: vms // 2])
    # They don't notice it at the same moment.
    most = run_and_count_most(fleet, CUT_S)
    assert most <= SLOTS + math.ceil(SLOTS / vms)
    assert count_slots(fleet) <= SLOTS


@pytest.mark.parametrize('vms', [8, 12])
def test_data_centre_that_is_cut_off_takes_no_more_than_its_share(vms):
    fleet = run_fleet(vms)
    fleet.cut_off('dc-1')
    most = run_and_count_most(fleet, CUT_S)
    assert most <= SLOTS + math.ceil(SLOTS / vms) * vms // 4


@pytest.mark.parametrize('vms', [4, 8])
def test_vm_that_stood_still_wakes_with_its_share(vms):
    """It had heard nobody for as long as it stood still."""
    fleet = run_fleet(vms)
    fleet.frozen.add('vm-3')
    fleet.run_until(fleet.now + CUT_S)
    fleet.frozen.clear()
    most = run_and_count_most(fleet, 0.5)
    assert most <= SLOTS + math.ceil(SLOTS / vms)


def test_slots_of_vms_that_ended_go_to_the_others():
    fleet = run_fleet(8)
    for name in ('vm-1', 'vm-2', 'vm-3'):
        fleet.kill(name)
    fleet.run_until(fleet.now + CUT_S)
    assert count_slots(fleet) == SLOTS
