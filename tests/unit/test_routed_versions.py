"""Streams of several VMs before engines of two software versions."""

import pytest

from bilberryspoke._internal.models.routing import SendStatus
from bilberryspoke._internal.models.routing_events import (
    SendEnded,
    UpstreamChanged,
)
from tests.lib.routedcore import build_upstream
from tests.lib.streamcores import StreamCores

STREAMS = 24
# The deployment allows so many streams with events of two versions.
ALLOWED_MIXED_STREAMS = 2
# Time for callers to notice that a VM has ended, and for a VM to answer.
NOTICE_S = 0.5


def take_up_streams(fleet, begun, names):
    """Take streams up at the VMs in turn; return the calls that do."""
    calls = [
        fleet.take_up(names[number % len(names)], call)
        for number, call in enumerate(begun)
    ]
    fleet.run_until(fleet.now + NOTICE_S)
    return calls


def check_streams(fleet, begun, calls):
    """Check that most streams go on, and all at the version of their begin."""
    mixed = [
        len(fleet.find_versions(*pair)) > 1
        for pair in zip(begun, calls, strict=True)
    ]
    assert sum(mixed) <= ALLOWED_MIXED_STREAMS
    gone_on = [call for call in calls if call.call_id in fleet.sends]
    assert len(gone_on) >= len(calls) / 2
    for call in calls:
        refused = fleet.refusals.get(call.call_id)
        assert refused is None or refused.not_run


@pytest.mark.parametrize(
    ('vms', 'warm_up_s'), [(2, 2.0), (8, 2.0), (60, 4.0), (370, 3.0)]
)
def test_streams_of_a_killed_vm_go_on_at_their_software_version(vms, warm_up_s):
    """VMs that had not begun a stream sent it to any engine."""
    fleet = StreamCores(vms, warm_up_s=warm_up_s)
    begun = [fleet.begin('vm-0') for _ in range(STREAMS)]
    assert len(fleet.find_versions(*begun)) == 2
    fleet.run_until(fleet.now + NOTICE_S)
    fleet.kill('vm-0')
    others = [name for name in fleet.cores if name != 'vm-0'][:5]
    check_streams(fleet, begun, take_up_streams(fleet, begun, others))


def take_up_after_restart(fleet):
    """Begin streams, restart all VMs, and take the streams up."""
    begun = [fleet.begin('vm-0') for _ in range(STREAMS)]
    fleet.run_until(fleet.now + NOTICE_S)
    for name in list(fleet.cores):
        fleet.kill(name)
        fleet.start(name)
    fleet.run_until(fleet.now + NOTICE_S)
    return take_up_streams(fleet, begun, ['vm-0', 'vm-1'])


def run_small_fleet():
    return StreamCores(8, warm_up_s=2.0)


def test_stream_taken_up_twice_goes_on_at_the_version_of_its_first_event():
    """A caller names the call that brought the first event each time."""
    fleet = run_small_fleet()
    begun = [fleet.begin('vm-0') for _ in range(STREAMS)]
    fleet.run_until(fleet.now + NOTICE_S)
    fleet.kill('vm-0')
    again = take_up_streams(fleet, begun, ['vm-4'])
    fleet.kill('vm-4')
    check_streams(fleet, begun, again)
    check_streams(fleet, begun, take_up_streams(fleet, begun, ['vm-1', 'vm-5']))


@pytest.mark.parametrize('resumed', ['', 'req-of-nobody', 'x' * 60_000])
def test_stream_of_unknown_origin_is_refused_as_not_run(resumed):
    """Any version would do, and two calls in three went on at another one."""
    fleet = run_small_fleet()
    call = fleet.build_call(last_event_id=3, resumed_req_id=resumed)
    fleet.arrive('vm-1', call)
    fleet.run_until(fleet.now + NOTICE_S)
    refused = fleet.refusals[call.call_id]
    assert refused.not_run
    assert refused.reason == 'origin_unknown'
    assert call.call_id not in fleet.sends


def test_stream_of_another_workspace_is_not_found():
    """Callers can't learn of streams of others."""
    fleet = run_small_fleet()
    begun = fleet.begin('vm-0')
    call = fleet.build_call(
        last_event_id=3, resumed_req_id=begun.req_id, workspace='desk'
    )
    fleet.arrive('vm-0', call)
    fleet.run_until(fleet.now + NOTICE_S)
    assert fleet.refusals[call.call_id].reason == 'origin_unknown'


def test_streams_go_on_after_a_restart_of_all_vms_with_one_version():
    """No process knows an origin then, but there was one version only."""
    fleet = StreamCores(8, warm_up_s=2.0, software_versions=('v1',))
    calls = take_up_after_restart(fleet)
    assert all(call.call_id in fleet.sends for call in calls)


def test_no_stream_goes_on_unseen_after_a_restart_of_all_vms():
    """The version that began a stream may have left during the restart."""
    fleet = run_small_fleet()
    calls = take_up_after_restart(fleet)
    assert all(call.call_id in fleet.refusals for call in calls)


def test_stream_of_an_upstream_replaced_under_its_id_is_not_resumed():
    """It may have begun at the one before, or at its successor."""
    fleet = run_small_fleet()
    begun = fleet.begin('vm-0')
    instance = fleet.sends[begun.call_id][0].instance
    successor = build_upstream(instance, software_version='v3', created_ms=5)
    for name in fleet.cores:
        fleet.handle(name, UpstreamChanged(instance, successor))
    fleet.run_until(fleet.now + NOTICE_S)
    call = fleet.take_up('vm-1', begun)
    fleet.run_until(fleet.now + NOTICE_S)
    assert fleet.refusals[call.call_id].reason == 'origin_unknown'


def test_retry_before_the_first_event_may_change_the_version():
    """The caller has nothing yet that would not fit."""
    fleet = run_small_fleet()
    call = fleet.build_call()
    fleet.arrive('vm-0', call)
    first = fleet.sends[call.call_id][0]
    same = fleet.version_of[first.instance]
    for instance, version in fleet.version_of.items():
        if version == same:
            fleet.handle('vm-0', UpstreamChanged(instance, None))
    fleet.handle('vm-0', SendEnded(call.call_id, 1, SendStatus.unsent))
    assert len(fleet.find_versions(call)) == 2


@pytest.mark.parametrize('how', ['isolated', 'frozen', 'isolated for good'])
def test_stream_is_not_taken_up_at_another_version_by_a_vm_out_of_step(how):
    """Its engines began to run a version of which the VM knew nothing."""
    fleet = StreamCores(8, warm_up_s=20.0, software_versions=('v1',))
    stale = fleet.frozen if how == 'frozen' else fleet.isolated
    stale.add('vm-7')
    fleet.version_of['engine-new'] = 'v2'
    joining = build_upstream('engine-new', software_version='v2')
    for name in fleet.cores.keys() - {'vm-7'}:
        fleet.handle(name, UpstreamChanged('engine-new', joining))
        for number in range(8):
            fleet.handle(name, UpstreamChanged(f'engine-{number}', None))
    begun = [fleet.begin('vm-0') for _ in range(STREAMS)]
    assert fleet.find_versions(*begun) == {'v2'}
    fleet.run_until(fleet.now + NOTICE_S)
    fleet.kill('vm-0')
    if how != 'isolated for good':
        stale.clear()
    calls = take_up_streams(fleet, begun, ['vm-7'])
    for call in calls:
        refused = fleet.refusals.get(call.call_id)
        assert refused is None or refused.not_run
    assert fleet.find_versions(*calls) <= {'v2'}
