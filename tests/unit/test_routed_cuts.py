"""VMs that reach no upstream hand their calls off to others."""

import dataclasses

import pytest

from bilberryspoke._internal.models.routing import SendStatus
from bilberryspoke._internal.models.routing_effects import HandOff, RefuseCall
from bilberryspoke._internal.models.routing_events import (
    CallArrived,
    SendEnded,
    UpstreamChanged,
)
from tests.lib.corefleet import CoreFleet
from tests.lib.cutcores import CutCores
from tests.lib.routedcore import (
    DRAFT_ROUTE,
    READ_ROUTE,
    SHORT_TARGET_ROUTE,
    build_call,
    build_upstream,
    find_decision,
)

CALLS_PER_VM = 30
CALL_INTERVAL_S = 0.1
STABILITY_WINDOW_S = 3.0
# A new process has retries only after the window of the retry budget.
BUDGET_WINDOW_S = 12.0
ONE_ATTEMPT_ROUTE = dataclasses.replace(DRAFT_ROUTE, max_attempts=1)


def send_calls(fleet, names, prefix):
    """Let calls arrive at VMs in turn; return the share that was served."""
    served_before = len(fleet.served)
    for number in range(CALLS_PER_VM):
        for name in names:
            fleet.arrive(name, f'{prefix}-{name}-{number}')
        fleet.run_until(fleet.now + CALL_INTERVAL_S)
    fleet.run_until(fleet.now + CALL_INTERVAL_S)
    served = len(fleet.served) - served_before
    return served / (CALLS_PER_VM * len(names))


def send_at_rate(fleet, names, seconds, per_s, route, prefix):
    """Let calls arrive at VMs in turn; return the share served at each."""
    count = round(seconds * per_s)
    served_before = len(fleet.served)
    for number in range(count):
        for name in names:
            fleet.arrive(name, f'{prefix}/{name}/{number}', route)
            fleet.run_until(fleet.now + 1 / per_s / len(names))
    fleet.run_until(fleet.now + 1.0)
    served = [each.split('/') for each in fleet.served[served_before:]]
    return {
        name: sum(each[:2] == [prefix, name] for each in served) / count
        for name in names
    }


@pytest.mark.parametrize(
    ('vms', 'warm_up_s'), [(8, 2.0), (60, 4.0), (370, 3.0)]
)
def test_calls_of_a_data_centre_cut_off_from_upstreams_are_served(
    vms, warm_up_s
):
    """All VMs of a data centre lose their links, and refused their callers."""
    fleet = CutCores(vms, warm_up_s=warm_up_s)
    fleet.cut = {
        name
        for name, data_centre in fleet.data_centre_of.items()
        if data_centre == 'dc-0'
    }
    names = sorted(fleet.cut)[:4]
    send_calls(fleet, names, 'b')
    assert send_calls(fleet, names, 'c') == 1


@pytest.mark.parametrize('vms', [8, 60])
def test_calls_are_served_while_half_of_the_vms_is_cut_off(vms):
    """One helper in two can't help either."""
    fleet = CutCores(vms, warm_up_s=4.0)
    fleet.cut = {f'vm-{number}' for number in range(vms // 2)}
    names = sorted(fleet.cut)[:4]
    send_calls(fleet, names, 'b')
    assert send_calls(fleet, names, 'c') >= 2 / 3


def test_calls_are_sent_from_their_vm_again_once_the_cut_ends():
    """The VM probes its upstreams, so that no call finds out."""
    fleet = CutCores(8, warm_up_s=2.0)
    fleet.cut = {'vm-0'}
    send_calls(fleet, ['vm-0'], 'b')
    assert fleet.handoffs
    fleet.cut = set()
    fleet.run_until(fleet.now + STABILITY_WINDOW_S)
    handoffs_before = fleet.handoffs
    assert send_calls(fleet, ['vm-0'], 'c') == 1
    assert fleet.handoffs == handoffs_before


def test_calls_are_refused_and_not_passed_around_while_all_vms_are_cut_off():
    """A helper does not hand off what it gets."""
    fleet = CutCores(8, warm_up_s=2.0)
    fleet.cut = set(fleet.cores)
    fleet.arrive('vm-0', 'call')
    fleet.run_until(fleet.now + CALL_INTERVAL_S)
    assert fleet.refused == ['call']
    assert fleet.handoffs <= 3


def test_call_that_every_upstream_refused_is_not_handed_off():
    """This VM reaches them; another VM would send it to the same ones."""
    fleet = CoreFleet(4, plain_upstreams=1)
    fleet.run_until(BUDGET_WINDOW_S)
    call = build_call('c', READ_ROUTE, now=fleet.now)
    send = find_decision(fleet.handle('vm-0', CallArrived(call)))
    refused = SendEnded(send.call_id, send.attempt, SendStatus.refused)
    effects = fleet.handle('vm-0', refused)
    assert isinstance(find_decision(effects), RefuseCall)
    assert not [each for each in effects if isinstance(each, HandOff)]


@pytest.mark.parametrize('how', ['refuse', 'reset', 'hang', 'accept'])
@pytest.mark.parametrize(
    ('route', 'rate_per_s'),
    [(READ_ROUTE, 2.6), (DRAFT_ROUTE, 2.6), (ONE_ATTEMPT_ROUTE, 5)],
)
def test_callers_of_vms_cut_off_from_many_upstreams_are_served(
    how, route, rate_per_s
):
    """Each upstream of many had to fail a call before any was handed off."""
    fleet = CutCores(24, warm_up_s=4.0, how=how, engines=70, plain_upstreams=70)
    names = sorted(fleet.cores)
    fleet.cut = names[:8]
    send_at_rate(fleet, names, STABILITY_WINDOW_S, rate_per_s, route, 'b')
    shares = send_at_rate(fleet, names, 4.0, rate_per_s, route, 'c')
    others = min(shares[name] for name in names[8:])
    assert others > 2 / 3
    for name in names[:8]:
        assert shares[name] >= 2 / 3 * others


@pytest.mark.parametrize('how', ['reset', 'hang', 'accept'])
def test_lost_links_are_not_blamed_on_calls(how):
    """VMs told all others that upstreams had crashed; calls were blocked."""
    fleet = CutCores(24, warm_up_s=4.0, how=how, engines=70)
    names = sorted(fleet.cores)
    fleet.cut = names[:8]
    send_at_rate(fleet, names, 4.0, 5, DRAFT_ROUTE, 'b')
    for core in fleet.cores.values():
        assert not core.state.routing.crash_ledger.crashes
        assert not core.state.routing.crash_ledger.blocks


def test_calls_of_vms_that_reach_one_engine_of_many_hold_up_no_others():
    """They waited for it, and less urgent calls of all VMs yielded to them."""
    fleet = CutCores(24, warm_up_s=4.0, engines=24)
    fleet.spared = {'engine-0'}
    names = sorted(fleet.cores)
    fleet.cut = names[:12]
    urgent = dataclasses.replace(SHORT_TARGET_ROUTE, name='drafts')
    for number in range(150):
        for name in names[:12]:
            fleet.arrive(name, f'urgent-{name}-{number}', urgent)
        for name in names[12:]:
            fleet.arrive(name, f'other-{name}-{number}', DRAFT_ROUTE)
        fleet.run_until(fleet.now + 0.04)
    fleet.run_until(fleet.now + 1.0)
    others = [each for each in fleet.served if each.startswith('other')]
    assert len(others) >= 0.95 * 150 * 12


@pytest.mark.parametrize('how', ['reset', 'hang'])
@pytest.mark.parametrize(('vms', 'whole'), [(24, 6), (24, 2), (60, 4)])
def test_callers_are_served_while_most_vms_are_cut_off(how, vms, whole):
    """Each call tried three helpers, which were cut off as well."""
    fleet = CutCores(vms, warm_up_s=4.0, how=how, engines=8, plain_upstreams=40)
    names = sorted(fleet.cores)
    fleet.cut = names[whole:]
    send_at_rate(fleet, names, STABILITY_WINDOW_S, 2.6, READ_ROUTE, 'b')
    shares = send_at_rate(fleet, names, 4.0, 2.6, READ_ROUTE, 'c')
    others = sum(shares[name] for name in names[:whole]) / whole
    cut_off = sum(shares[name] for name in names[whole:]) / (vms - whole)
    assert others > 2 / 3
    assert cut_off >= 2 / 3 * others


def test_upstream_that_joins_during_a_cut_costs_no_call():
    """Calls were sent to each new upstream of a release, and hung."""
    fleet = CutCores(8, warm_up_s=4.0, how='hang')
    fleet.cut = {'vm-0'}
    send_at_rate(fleet, ['vm-0'], STABILITY_WINDOW_S, 5, READ_ROUTE, 'b')
    joining = build_upstream('app-new', service='app', slots=6)
    fleet.handle('vm-0', UpstreamChanged('app-new', joining))
    handoffs_before = fleet.handoffs
    for number in range(CALLS_PER_VM):
        fleet.arrive('vm-0', f'call-{number}')
    assert fleet.handoffs == handoffs_before + CALLS_PER_VM
    fleet.cut = set()
    fleet.run_until(fleet.now + 0.5)
    upstreams = fleet.cores['vm-0'].state.routing.upstreams
    assert not upstreams['app-new'].health.is_unresponsive(fleet.now)


@pytest.mark.parametrize('vms', [8, 60])
def test_vms_of_a_data_centre_that_is_cut_off_keep_their_calls(vms):
    """They passed most calls on to one another, though none reaches more."""
    fleet = CutCores(
        vms, warm_up_s=4.0, how='hang', engines=8, plain_upstreams=8
    )
    fleet.spared = {'app-0', 'app-1'}
    inside = [
        name
        for name, data_centre in fleet.data_centre_of.items()
        if data_centre == 'dc-0'
    ]
    fleet.cut = inside
    fleet.cut_off('dc-0')
    send_at_rate(fleet, inside, STABILITY_WINDOW_S, 5, READ_ROUTE, 'b')
    handoffs_before = fleet.handoffs
    shares = send_at_rate(fleet, inside, 4.0, 5, READ_ROUTE, 'c')
    assert fleet.handoffs == handoffs_before
    assert min(shares.values()) == 1


def test_lost_upstreams_put_no_links_in_doubt_while_others_answer():
    """In a burst waiting calls were passed on, and lost their place."""
    fleet = CutCores(8, warm_up_s=4.0, plain_upstreams=16)
    fleet.spared = {f'app-{number}' for number in range(4, 16)}
    send_calls(fleet, ['vm-0'], 'a')
    fleet.cut = {'vm-0'}
    assert send_calls(fleet, ['vm-0'], 'b') == 1
    assert not fleet.handoffs


@pytest.mark.parametrize('cut', [13, 40])
@pytest.mark.parametrize('how', ['accept', 'hang', 'live'])
def test_callers_are_served_at_the_size_that_showed_the_incident(how, cut):
    """63 VMs and 70 engines; a data centre or most of the fleet is cut off."""
    fleet = CutCores(63, warm_up_s=4.0, how=how, engines=70, data_centres=5)
    names = sorted(fleet.cores, key=lambda each: fleet.data_centre_of[each])
    fleet.cut = names[:cut]
    send_at_rate(fleet, names, STABILITY_WINDOW_S, 2.6, DRAFT_ROUTE, 'b')
    shares = send_at_rate(fleet, names, 3.0, 2.6, DRAFT_ROUTE, 'c')
    others = sum(shares[name] for name in names[cut:]) / (63 - cut)
    cut_off = sum(shares[name] for name in names[:cut]) / cut
    assert others > 2 / 3
    assert cut_off >= 2 / 3 * others
