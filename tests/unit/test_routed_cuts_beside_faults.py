"""VMs cut off from all upstreams, while upstreams refuse and fail calls."""

import dataclasses

import pytest

from bilberryspoke._internal.models.routing import RetrySafety, SendStatus
from bilberryspoke._internal.models.routing_effects import LogDecision
from tests.lib.corefleet import RETRY_RESERVE, RETRY_SHARE
from tests.lib.cutcores import CutCores, Faults
from tests.lib.routedcore import (
    DRAFT_ROUTE,
    READ_ROUTE,
    RUN_ONCE_ROUTE,
    RoutedCore,
    build_call,
)

BUDGET_WINDOW_S = 10.0
STABILITY_WINDOW_S = 3.0
MEASURED_S = 10.0
CALLS_PER_S = 20
TRIALS_PER_S = 2
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
    'all': Faults(refused=0.12, failed=0.1, broken=0.03),
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


@pytest.mark.parametrize('vms', [2, 3, 6])
@pytest.mark.parametrize('how', ['refuse', 'reset', 'hang', 'accept'])
@pytest.mark.parametrize('route', ['safe', 'once', 'resumed'])
def test_no_call_goes_to_upstreams_known_to_be_out_of_reach(vms, how, route):
    """A VM without a helper sent calls over links that it knew to be cut."""
    fleet = CutCores(
        vms, warm_up_s=BUDGET_WINDOW_S, how=how, engines=16, plain_upstreams=4
    )
    names = sorted(fleet.cores)
    send_calls(fleet, names, STABILITY_WINDOW_S, ROUTES[route], 'a')
    fleet.cut = names
    send_calls(fleet, names, STABILITY_WINDOW_S, ROUTES[route], 'b')
    lost_before = fleet.lost_sends.total()
    handoffs_before = fleet.handoffs
    refused_before = len(fleet.refused)
    shares = send_calls(fleet, names, MEASURED_S, ROUTES[route], 'c')
    assert not sum(shares.values())
    assert fleet.lost_sends.total() == lost_before
    refused = fleet.refused[refused_before:]
    assert len(refused) == MEASURED_S * CALLS_PER_S * vms
    assert fleet.not_run.issuperset(refused)
    # Each VM asks one that could not help at most twice a second.
    trials = (MEASURED_S + 2) * TRIALS_PER_S * vms * (vms - 1)
    assert fleet.handoffs - handoffs_before <= trials


@pytest.mark.parametrize('how', ['refuse', 'reset', 'hang', 'accept'])
def test_vms_that_were_all_cut_off_serve_again_soon_after_the_cut(how):
    """Probes of upstreams that calls lack are not put off for seconds."""
    fleet = CutCores(3, warm_up_s=BUDGET_WINDOW_S, how=how, plain_upstreams=4)
    names = sorted(fleet.cores)
    send_calls(fleet, names, STABILITY_WINDOW_S, READ_ROUTE, 'a')
    fleet.cut = names
    send_calls(fleet, names, MEASURED_S, READ_ROUTE, 'b')
    fleet.cut = []
    send_calls(fleet, names, 1.0, READ_ROUTE, 'c')
    shares = send_calls(fleet, names, 1.0, READ_ROUTE, 'd')
    assert set(shares.values()) == {1}


def test_lost_sends_without_any_link_left_begin_no_review():
    """Each second of them began one that had nothing to probe."""
    core = RoutedCore(engines=0, plain_upstreams=4)
    calls = [build_call(f'c{number}', READ_ROUTE) for number in range(20)]
    sends = [core.arrive(call, now=0.0) for call in calls]
    for upstream in core.routing.upstreams.values():
        upstream.health.record_unreachable(0.1)
    events = []
    for send in sends:
        lost = core.end(send, SendStatus.broken, now=0.15, connection_lost=True)
        events += [
            effect.event for effect in lost if isinstance(effect, LogDecision)
        ]
    assert events.count('send_broken') == len(sends)
    assert 'links_doubted' not in events
    assert 'links_reviewed' not in events


@pytest.mark.parametrize('vms', [2, 3, 6])
@pytest.mark.parametrize('route', ROUTES)
def test_handed_off_calls_use_no_more_retries_than_the_budget_allows(
    vms, route
):
    """They count once, at the VM that makes their retries."""
    fleet, _ = play_cut(vms, FAULTS['all'], ROUTES[route])
    budgets = [
        budget
        for core in fleet.cores.values()
        for budget in core.state.routing.budgets.values()
    ]
    window_s = budgets[0].window_s
    since = fleet.now - window_s
    in_window = sum(at > since for each in budgets for at in each.first_sends)
    assert in_window <= window_s * CALLS_PER_S * vms
    calls = CALLS_PER_S * (2 * STABILITY_WINDOW_S + MEASURED_S) * vms
    repeats = fleet.sends.total() - len(fleet.sends)
    assert repeats <= RETRY_SHARE * calls + RETRY_RESERVE
    assert max(fleet.sends.values()) <= ROUTES[route].max_attempts
    if route == 'once':
        assert max(fleet.runs.values()) == 1
