"""Streams taken up at a VM that was out of step as a version joined."""

import pytest

from tests.lib.routedcore import build_upstream
from tests.lib.skewedcores import SkewedCores

OUT_OF_STEP = 'vm-5'
STREAMS = 12
# Longer than callers of the route take a stream up again.
WARM_UP_S = 14.0
# Time for a VM to read of a change, and for a call to end.
NOTICE_S = 1.0
OLD_ENGINES = 8


def run_fleet(vms=6, **settings):
    settings = {'software_versions': ('v1',), **settings}
    return SkewedCores(vms, warm_up_s=WARM_UP_S, **settings)


def join_new_version(fleet):
    """Let engines of v2 take the place of those of v1, and all VMs read it."""
    for number in range(3):
        joining = build_upstream(f'new-{number}', software_version='v2')
        fleet.put(joining)
    for number in range(OLD_ENGINES):
        fleet.remove(f'engine-{number}')
    fleet.run_until(fleet.now + NOTICE_S)


def leave_new_version(fleet):
    """Let the engines of v1 be back in the place of those of v2."""
    for number in range(OLD_ENGINES):
        back = build_upstream(f'engine-{number}', software_version='v1')
        fleet.put(back)
    for number in range(3):
        fleet.remove(f'new-{number}')


def begin_streams(fleet, name):
    begun = [fleet.begin(name) for _ in range(STREAMS)]
    assert fleet.find_versions(*begun) == {'v2'}
    return begun


def restart(fleet, names):
    for name in names:
        fleet.kill(name)
        fleet.start(name)


def list_others(fleet):
    return [name for name in fleet.cores if name != OUT_OF_STEP]


def take_up(fleet, begun, name=OUT_OF_STEP):
    calls = [fleet.take_up(name, each) for each in begun]
    fleet.run_until(fleet.now + 2 * NOTICE_S)
    return calls


def assert_none_is_mixed(fleet, calls):
    """Check that calls went on at v2, or were refused as not run."""
    assert fleet.find_versions(*calls) <= {'v2'}
    for call in calls:
        if call.call_id not in fleet.sends:
            assert fleet.refusals[call.call_id].not_run


@pytest.mark.parametrize('heard', ['vm-1', 'vm-2', 'vm-3'])
def test_stream_is_not_taken_up_by_the_denial_of_vms_that_were_not_told(heard):
    """The VMs that knew its version were silent, one other said no."""
    fleet = run_fleet()
    others = list_others(fleet)
    fleet.store_cut.add(OUT_OF_STEP)
    fleet.cut_from(OUT_OF_STEP, set(others) - {heard})
    join_new_version(fleet)
    begun = begin_streams(fleet, 'vm-0')
    fleet.run_until(fleet.now + 0.2)
    assert_none_is_mixed(fleet, take_up(fleet, begun))


@pytest.mark.parametrize('cut_s', [0.3, 1.0, 2.0])
def test_stream_is_not_taken_up_by_a_list_from_before_a_cut(cut_s):
    """All VMs that knew its version had been restarted."""
    fleet = run_fleet()
    fleet.cut_from_all(OUT_OF_STEP)
    join_new_version(fleet)
    begun = begin_streams(fleet, 'vm-0')
    fleet.run_until(fleet.now + cut_s)
    restart(fleet, list_others(fleet))
    fleet.peers_cut.clear()
    fleet.run_until(fleet.now + 0.3)
    assert_none_is_mixed(fleet, take_up(fleet, begun))


@pytest.mark.parametrize('later_s', [0.5, 3.0, 6.0])
@pytest.mark.parametrize('cut_s', [0.5, 3.0])
@pytest.mark.parametrize('keeps_history', [True, False])
def test_stream_of_a_version_that_came_and_went_in_a_cut_is_not_taken_up(
    cut_s, later_s, keeps_history
):
    """A new list tells nothing of what joined and left before it."""
    fleet = run_fleet()
    fleet.keeps_history = keeps_history
    fleet.cut_from_all(OUT_OF_STEP)
    join_new_version(fleet)
    begun = begin_streams(fleet, 'vm-0')
    leave_new_version(fleet)
    fleet.run_until(fleet.now + cut_s)
    restart(fleet, list_others(fleet))
    fleet.heal()
    fleet.run_until(fleet.now + later_s)
    calls = take_up(fleet, begun)
    assert_none_is_mixed(fleet, calls)


@pytest.mark.parametrize('paused_s', [0.4, 1.0, 4.0])
def test_stream_is_not_taken_up_by_a_list_from_before_a_pause(paused_s):
    fleet = run_fleet()
    fleet.run_until(fleet.now + 0.3)
    fleet.frozen.add(OUT_OF_STEP)
    join_new_version(fleet)
    begun = begin_streams(fleet, 'vm-0')
    restart(fleet, list_others(fleet))
    fleet.run_until(fleet.now + paused_s)
    calls = [fleet.take_up(OUT_OF_STEP, each) for each in begun]
    fleet.thaw(OUT_OF_STEP)
    fleet.run_until(fleet.now + 2 * NOTICE_S)
    assert_none_is_mixed(fleet, calls)


def begin_old_streams(fleet, name):
    begun = [fleet.begin(name) for _ in range(STREAMS)]
    fleet.run_until(fleet.now + 0.2)
    return begun


def assert_all_go_on(fleet, calls):
    assert all(call.call_id in fleet.sends for call in calls)


def test_streams_of_one_version_go_on_while_those_who_know_are_silent():
    """The VM has followed each change for long enough."""
    fleet = run_fleet()
    others = list_others(fleet)
    begun = begin_old_streams(fleet, 'vm-0')
    fleet.cut_from(OUT_OF_STEP, others[:4])
    assert_all_go_on(fleet, take_up(fleet, begun))


@pytest.mark.parametrize('name', ['vm-1', OUT_OF_STEP])
def test_streams_of_one_version_go_on_after_a_restart_of_those_who_know(name):
    fleet = run_fleet()
    begun = begin_old_streams(fleet, 'vm-0')
    restart(fleet, list_others(fleet))
    fleet.run_until(fleet.now + NOTICE_S)
    assert_all_go_on(fleet, take_up(fleet, begun, name))


def test_streams_of_one_version_go_on_at_a_vm_cut_off_from_the_store():
    """Another VM has followed each change."""
    fleet = run_fleet()
    begun = begin_old_streams(fleet, 'vm-0')
    fleet.store_cut.add('vm-2')
    fleet.run_until(fleet.now + 4.0)
    restart(fleet, ['vm-0', 'vm-1', 'vm-3', 'vm-4'])
    fleet.run_until(fleet.now + NOTICE_S)
    assert_all_go_on(fleet, take_up(fleet, begun, 'vm-2'))


def take_up_after_store_outage(fleet):
    """Let the store be away, and restart all VMs but one without a record."""
    fleet.cut_from(OUT_OF_STEP, list_others(fleet))
    begun = begin_old_streams(fleet, 'vm-0')
    fleet.peers_cut.clear()
    fleet.store_cut.update(fleet.cores)
    fleet.run_until(fleet.now + 3.0)
    fleet.heal()
    fleet.run_until(fleet.now + NOTICE_S)
    restart(fleet, list_others(fleet))
    fleet.run_until(fleet.now + NOTICE_S)
    return take_up(fleet, begun)


def test_streams_of_one_version_go_on_after_the_store_did_not_answer():
    """The changes of that time were read from the store's history."""
    fleet = run_fleet()
    assert_all_go_on(fleet, take_up_after_store_outage(fleet))


def test_no_stream_goes_on_by_a_list_after_the_store_lost_its_history():
    fleet = run_fleet()
    fleet.keeps_history = False
    calls = take_up_after_store_outage(fleet)
    assert not any(call.call_id in fleet.sends for call in calls)
