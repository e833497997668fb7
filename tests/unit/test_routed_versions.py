"""Streams of several VMs before engines of two software versions."""

import pytest

from tests.lib.streamcores import StreamCores

pytestmark = pytest.mark.xfail(reason='KNOWN-RED.txt, 22', strict=False)

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
