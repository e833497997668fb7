"""What upstreams say of themselves in their answers, and who believes it."""

import dataclasses

from bilberryspoke._internal.models.events import Tick
from bilberryspoke._internal.models.routing import SendStatus, StorePosition
from bilberryspoke._internal.models.routing_effects import RefuseCall, Send
from bilberryspoke._internal.models.routing_events import (
    BrittlenessStated,
    LeavingStated,
    PauseRequested,
    RateLimitStated,
    StoreReachReported,
    StoreWatch,
    UpstreamChanged,
    UpstreamsListed,
)
from bilberryspoke._internal.platform.responseheaders import (
    parse_response_headers,
)
from tests.lib.corefleet import CoreFleet
from tests.lib.routedcore import (
    READ_ROUTE,
    RoutedCore,
    build_call,
    build_upstream,
    find_decision,
)


def send_reads(core, count, *, now=0.0):
    """Submit calls that end at once; return where they were sent."""
    instances = set()
    for number in range(count):
        send = core.arrive(build_call(f'r{number}', READ_ROUTE), now=now)
        instances.add(send.instance)
        core.end(send, SendStatus.finished, now=now)
    return instances


def test_leaving_upstream_that_is_listed_as_ready_again_stays_leaving():
    core = RoutedCore()
    core.handle(LeavingStated('app-0', 0), now=0.0)
    listed = build_upstream('app-0', service='app', slots=6, sequence=9)
    core.handle(UpstreamChanged('app-0', listed), now=1.0)
    assert send_reads(core, 20, now=1.0) == {'app-1'}


def lose_entry(core, *, until):
    """Let the entry of an upstream go, and be written again later."""
    core.handle(UpstreamChanged('app-0', None), now=until - 2.0)
    listed = build_upstream('app-0', service='app', slots=6, sequence=9)
    core.handle(UpstreamChanged('app-0', listed), now=until)


def test_leaving_upstream_whose_entry_was_lost_for_a_while_stays_leaving():
    """Its entry says that it is ready, as if it had never spoken."""
    core = RoutedCore()
    core.handle(LeavingStated('app-0', 0), now=0.0)
    lose_entry(core, until=3.0)
    assert send_reads(core, 20, now=3.0) == {'app-1'}


def test_leaving_upstream_stays_leaving_though_the_store_lost_all_entries():
    """The store was away for so long that they expired."""
    core = RoutedCore()
    core.handle(StoreReachReported(True, StoreWatch.upstreams), now=0.0)
    core.handle(LeavingStated('app-0', 0), now=0.0)
    core.handle(StoreReachReported(False, StoreWatch.upstreams), now=1.0)
    core.handle(StoreReachReported(True, StoreWatch.upstreams), now=4.0)
    core.handle(UpstreamsListed((), StorePosition(0, 7)), now=4.0)
    for each in core.upstreams:
        listed = dataclasses.replace(each, sequence=9)
        core.handle(UpstreamChanged(each.instance, listed), now=4.5)
    assert send_reads(core, 20, now=5.0) == {'app-1'}


def test_upstream_whose_entry_was_lost_is_left_alone_as_long_as_it_named():
    core = RoutedCore()
    core.handle(PauseRequested('app-0', 0, 8.0), now=0.0)
    lose_entry(core, until=3.0)
    assert send_reads(core, 20, now=3.0) == {'app-1'}
    assert send_reads(core, 20, now=8.1) == {'app-0', 'app-1'}


def test_limit_of_an_upstream_holds_on_after_its_entry_was_lost():
    core = RoutedCore()
    core.handle(RateLimitStated('app-0', 0.0), now=0.0)
    lose_entry(core, until=3.0)
    assert send_reads(core, 20, now=3.0) == {'app-1'}


def test_brittle_upstream_stays_brittle_though_its_entry_was_lost():
    core = RoutedCore()
    core.handle(BrittlenessStated('app-0', 0, True), now=0.0)
    lose_entry(core, until=3.0)
    assert core.routing.upstreams['app-0'].is_brittle


def test_new_incarnation_of_a_leaving_upstream_gets_calls():
    core = RoutedCore()
    core.handle(LeavingStated('app-0', 0), now=0.0)
    listed = build_upstream('app-0', service='app', slots=6, created_ms=5)
    core.handle(UpstreamChanged('app-0', listed), now=1.0)
    # What it said before, passed on late.
    core.handle(LeavingStated('app-0', 0), now=1.1)
    assert 'app-0' in send_reads(core, 20, now=1.2)


def test_vms_of_a_large_fleet_learn_that_an_upstream_leaves():
    fleet = CoreFleet(60)
    fleet.run_until(8.0)
    fleet.handle('vm-7', LeavingStated('app-0', 0))
    fleet.run_until(9.0)
    for core in fleet.cores.values():
        assert core.state.routing.upstreams['app-0'].is_leaving


def test_call_is_told_that_it_did_not_run_if_all_upstreams_leave():
    core = RoutedCore()
    for number in range(2):
        core.handle(LeavingStated(f'app-{number}', 0), now=0.0)
    refusal = core.arrive(build_call('r', READ_ROUTE), now=0.0)
    assert isinstance(refusal, RefuseCall)
    assert refusal.not_run


def test_other_values_of_the_leaving_header_are_ignored():
    for text in (b'0', b'', b'true', b'11'):
        headers = parse_response_headers(200, [(b'Server-Leaving', text)])
        assert not headers.is_leaving
    assert parse_response_headers(200, [(b'server-leaving', b' 1 ')]).is_leaving


def test_paused_upstream_is_left_alone_until_the_time_that_it_named():
    core = RoutedCore()
    core.handle(PauseRequested('app-0', 0, 2.0), now=0.0)
    core.handle(PauseRequested('app-0', 0, 0.1), now=0.1)
    assert send_reads(core, 20, now=1.9) == {'app-1'}
    assert send_reads(core, 20, now=2.1) == {'app-0', 'app-1'}


def test_calls_wait_while_all_upstreams_want_none():
    """They are sent as soon as one wants calls again."""
    core = RoutedCore()
    for number in range(2):
        core.handle(PauseRequested(f'app-{number}', 0, 0.2), now=0.0)
    assert core.arrive(build_call('r', READ_ROUTE), now=0.0) is None
    assert isinstance(find_decision(core.handle(Tick(), now=0.21)), Send)


def test_caller_is_told_when_upstreams_want_calls_again():
    core = RoutedCore()
    for number in range(2):
        core.handle(PauseRequested(f'app-{number}', 0, 9.0), now=0.0)
    core.arrive(build_call('r', READ_ROUTE), now=0.0)
    refusal = find_decision(core.handle(Tick(), now=3.0))
    assert refusal.not_run
    assert refusal.retry_after_s == 6.0


def test_engines_that_want_no_calls_get_none_whatever_their_load():
    core = RoutedCore(engines=3)
    for number in range(3):
        core.handle(PauseRequested(f'engine-{number}', 0, 1.0), now=0.0)
    assert core.arrive(build_call('d'), now=0.0) is None
    assert find_decision(core.handle(Tick(), now=0.5)) is None


def test_delay_of_a_refusal_is_read_in_seconds_only():
    def parse(status, text):
        raw = [(b'Retry-After', text)]
        return parse_response_headers(status, raw).pause_s

    assert parse(503, b'1.5') == 1.5
    assert parse(503, b'0') == 0
    assert parse(503, b'1e99') == 3600
    assert parse(429, b'1') is None
    for text in (b'', b'-1', b'nan', b'soon', b'Fri, 04 Dec 2026 12:00:00 GMT'):
        assert parse(503, text) is None
