"""Engines that are kept for streams with a tight gap limit."""

from bilberryspoke._internal.core.routing.enginespeed import PrefillSpeed
from bilberryspoke._internal.core.routing.peerstate import PeerView
from bilberryspoke._internal.core.routing.tightdemand import (
    EngineCapacity,
    TightLoad,
    count_tight_engines,
)
from bilberryspoke._internal.models.routing import SendStatus
from bilberryspoke._internal.models.routing_messages import TightDemand
from tests.lib.routedcore import TIGHT_GAP_ROUTE, RoutedCore, build_call

ENGINES = 8
CAPACITY = EngineCapacity(ENGINES, slots=64, speed=PrefillSpeed())


def replay(load, tokens_per_s, *, start_s, end_s, peers=()):
    """Let streams arrive ten times a second; return the last number."""
    count = 0
    for tenth in range(round(start_s * 10), round(end_s * 10)):
        now = tenth / 10
        load.record_arrival(f's{tenth}', round(tokens_per_s / 10), now)
        load.open_calls.clear()
        count = count_tight_engines(load, 'llm', list(peers), CAPACITY, now)
    return count


def test_engines_that_streams_do_not_need_serve_other_calls():
    """Manuals were refused beside two engines that streams used by a tenth."""
    load = TightLoad()
    assert replay(load, 3000, start_s=0, end_s=1) == 2
    assert replay(load, 3000, start_s=1, end_s=6) == 1


def test_burst_of_streams_gets_more_engines_within_seconds():
    load = TightLoad()
    replay(load, 3000, start_s=0, end_s=10)
    assert replay(load, 36_000, start_s=10, end_s=13) == 3
    # The load may return: they are kept for a while.
    assert replay(load, 3000, start_s=13, end_s=18) == 3


def test_streams_never_get_more_than_half_of_the_engines():
    assert replay(TightLoad(), 900_000, start_s=0, end_s=5) == ENGINES / 2


def test_load_of_other_vms_counts():
    peer = PeerView('vm-2', '127.0.0.2:1')
    peer.tight_demand = {'llm': TightDemand(35_000, 20)}
    load = TightLoad()
    assert replay(load, 3000, start_s=0, end_s=6, peers=[peer]) == 4


def test_streams_with_long_answers_get_engines_for_their_slots():
    peer = PeerView('vm-2', '127.0.0.2:1')
    peer.tight_demand = {'llm': TightDemand(0, 100)}
    load = TightLoad()
    assert replay(load, 0, start_s=0, end_s=6, peers=[peer]) == 2


def test_ended_streams_no_longer_count():
    core = RoutedCore()
    send = core.arrive(build_call('t', TIGHT_GAP_ROUTE, own_tokens=10), now=0)
    load = core.routing.tight_loads['llm']
    assert load.measure(0).calls == 1
    core.end(send, SendStatus.finished, now=1.0)
    assert load.measure(1).calls == 0
