"""VMs cut off from all upstreams, while upstreams refuse and fail calls."""

import dataclasses

import pytest

from bilberryspoke._internal.models.routing import RetrySafety
from tests.lib.cutcores import CutCores, Faults
from tests.lib.routedcore import DRAFT_ROUTE, READ_ROUTE, RUN_ONCE_ROUTE

BUDGET_WINDOW_S = 10.0
STABILITY_WINDOW_S = 3.0
MEASURED_S = 10.0
CALLS_PER_S = 20
# The share of the others' that calls at the cut-off VM are served, at least.
MIN_RELATIVE_SHARE = 0.9
SINGLE_STREAM_ROUTE = dataclasses.replace(
    DRAFT_ROUTE, repeats=RetrySafety.any_time
)
ONCE_ROUTE = dataclasses.replace(RUN_ONCE_ROUTE, max_attempts=3)
ROUTES = {
    'safe': READ_ROUTE,
    'once': ONCE_ROUTE,
    'resumed': DRAFT_ROUTE,
    'stream': SINGLE_STREAM_ROUTE,
}
FAULTS = {
    'refused': Faults(refused=0.12),
    'failed': Faults(failed=0.1),
    'broken': Faults(broken=0.05),
    'refused_failed': Faults(refused=0.12, failed=0.1),
}


def play_cut(vms, faults, route, how='reset'):
    """Cut one VM off; return the fleet and the share served at each VM."""
    fleet = CutCores(
        vms, warm_up_s=BUDGET_WINDOW_S, how=how, engines=16, plain_upstreams=4
    )
    fleet.faults = faults
    names = sorted(fleet.cores)
    send_calls(fleet, names, STABILITY_WINDOW_S, route, 'a')
    fleet.cut = names[:1]
    send_calls(fleet, names, STABILITY_WINDOW_S, route, 'b')
    return fleet, send_calls(fleet, names, MEASURED_S, route, 'c')


def send_calls(fleet, names, seconds, route, prefix):
    """Let calls arrive at VMs in turn; return the share served at each."""
    count = round(seconds * CALLS_PER_S)
    for number in range(count):
        for name in names:
            fleet.arrive(name, f'{prefix}/{name}/{number}', route)
            fleet.run_until(fleet.now + 1 / CALLS_PER_S / len(names))
    fleet.run_until(fleet.now + 2.0)
    served = [each.split('/')[:2] for each in fleet.served]
    return {name: served.count([prefix, name]) / count for name in names}


@pytest.mark.parametrize('vms', [2, 3, 6])
@pytest.mark.parametrize('faults', FAULTS)
@pytest.mark.parametrize('route', ROUTES)
def test_callers_of_a_cut_off_vm_are_served_while_upstreams_fail_calls(
    vms, faults, route
):
    """A call that an upstream refused kept its helper from all calls."""
    _, shares = play_cut(vms, FAULTS[faults], ROUTES[route])
    cut_off, *others = shares.values()
    assert cut_off >= MIN_RELATIVE_SHARE * sum(others) / len(others)
