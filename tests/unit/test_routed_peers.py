"""Peers of a VM that routes calls: who knows whom, and what follows."""

import pytest

from bilberryspoke._internal.models.routing import SendStatus
from bilberryspoke._internal.models.routing_events import CallArrived, SendEnded
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
