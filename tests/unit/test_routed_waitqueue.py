"""Order of waiting calls and the time until they are refused, under load."""

from bilberryspoke._internal.core.routing.waitqueue import sort_waiting
from bilberryspoke._internal.models.events import PeerMessageReceived, Tick
from bilberryspoke._internal.models.routing_effects import (
    RefuseCall,
    Send,
)
from bilberryspoke._internal.models.routing_messages import (
    RoutingHeartbeat,
)
from tests.lib.routedcore import (
    DRAFT_ROUTE,
    RUN_ONCE_ROUTE,
    SHORT_TARGET_ROUTE,
    TIGHT_GAP_ROUTE,
    RoutedCore,
    build_call,
    fill_engines,
    list_sends,
)


def test_more_urgent_call_is_sent_before_waiting_drafts():
    core = RoutedCore()
    running = core.arrive(build_call('d0'), now=0.0)
    for number in range(1, 6):
        core.arrive(build_call(f'd{number}'), now=0.0)
    assert core.arrive(build_call('u', now=0.1, priority=0), now=0.1) is None
    # Finish one prefill after another until an engine has capacity again.
    sent = []
    while not sent:
        held = core.routing.upstreams[running.instance].sends
        in_prefill = [
            each for each in held.values() if each.last_progress_at is None
        ]
        first = in_prefill[0]
        prefilled_send = Send(first.call.call_id, first.attempt, '', '', 0, 0.0)
        sent = list_sends(core.progress(prefilled_send, now=0.2))
    assert sent[0].call_id == 'u'


def test_waiting_calls_past_their_target_are_refused_with_retry_after():
    core = RoutedCore()
    fill_engines(core, 0.0)
    assert core.routing.waiting
    early = core.handle(Tick(), now=2.0)
    assert not any(isinstance(each, RefuseCall) for each in early)
    effects = core.handle(Tick(), now=2.6)
    refusals = [each for each in effects if isinstance(each, RefuseCall)]
    assert refusals
    assert all(each.not_run for each in refusals)
    assert len({each.retry_after_s for each in refusals}) > 1


def test_urgent_call_is_not_refused_sooner_than_drafts():
    """Drafts may wait four times as long as urgent calls.

    All capacity is in use when the urgent call arrives, as happens when a
    single engine is left.
    """
    core = RoutedCore()
    fill_engines(core, 0.0)
    assert (
        core.arrive(build_call('u', SHORT_TARGET_ROUTE, now=0.1), now=0.1)
        is None
    )
    for step in range(1, 36):
        effects = core.handle(Tick(), now=0.1 + step * 0.05)
        assert not any(isinstance(each, RefuseCall) for each in effects)


def test_call_is_refused_before_its_caller_gives_up():
    """The caller gives up after 2.4 s without an event."""
    core = RoutedCore()
    fill_engines(core, 0.0)
    core.arrive(build_call('u', SHORT_TARGET_ROUTE, now=0.1), now=0.1)
    effects = core.handle(Tick(), now=0.1 + 1.95)
    refused = [each for each in effects if isinstance(each, RefuseCall)]
    assert [each.call_id for each in refused] == ['u']
    assert refused[0].not_run


def test_draft_yields_to_urgent_call_waiting_at_another_vm():
    core = RoutedCore()
    # A rank is 100 times the call's priority plus its route's priority.
    peer_heartbeat = RoutingHeartbeat(
        address='127.0.0.2:1',
        version=1,
        revision=1,
        store_reachable=True,
        waiting={'llm': SHORT_TARGET_ROUTE.priority * 101},
    )
    core.handle(PeerMessageReceived('vm-2', 1, peer_heartbeat), now=0.0)
    assert core.arrive(build_call('d'), now=0.0) is None
    urgent = build_call('u', SHORT_TARGET_ROUTE, shared='s1')
    assert core.arrive(urgent, now=0.0) is not None
    # Plain services are not delayed, and a VM without recent heartbeats
    # delays no draft.
    assert core.arrive(build_call('o', RUN_ONCE_ROUTE), now=0.0) is not None
    [send] = list_sends(core.handle(Tick(), now=1.1))
    assert send.call_id == 'd'


def test_route_priority_decides_at_equal_workspace_priority():
    """The priority of a workspace takes precedence over that of a route."""
    core = RoutedCore()
    fill_engines(core, 0.0)
    for call_id, route, priority in (
        ('late', DRAFT_ROUTE, 1),
        ('low', SHORT_TARGET_ROUTE, 2),
        ('high', DRAFT_ROUTE, 0),
        ('short', SHORT_TARGET_ROUTE, 1),
    ):
        waiting_call = build_call(
            call_id,
            route,
            now=0.1,
            priority=priority,
            parts=(),
            prompt_tokens=6000,
        )
        assert core.arrive(waiting_call, now=0.1) is None
    waiting = sort_waiting(core.routing, 0.1)
    order = [call_state.call.call_id for call_state in waiting]
    tested_ids = [each for each in order if not each.startswith('f')]
    assert tested_ids == ['high', 'short', 'late', 'low']


def test_draft_waiting_for_prefix_affinity_delays_no_other_call():
    """A workspace of high priority has drafts that share their notes.

    They wait for the engine with the notes in its prefix cache; calls of lower
    priority must not wait behind them.
    """
    core = RoutedCore()
    first = core.arrive(build_call('d0', own_tokens=2000, priority=1), now=0.0)
    waiting = build_call('d1', own_tokens=2000, priority=1)
    assert core.arrive(waiting, now=0.0) is None
    other = core.arrive(build_call('d2', shared='s1'), now=0.1)
    assert other.instance != first.instance


def test_tight_gap_stream_yields_only_on_its_own_engines():
    """A workspace of low priority requests tight-gap streams; drafts wait.

    The streams are delayed only if a more urgent call waits for their engines.
    """
    core = RoutedCore()
    peer_heartbeat = RoutingHeartbeat('127.0.0.2:1', 1, 1, True)
    peer_heartbeat.waiting = {'llm': 100}
    core.handle(PeerMessageReceived('vm-2', 1, peer_heartbeat), now=0.0)
    low = build_call('t1', TIGHT_GAP_ROUTE, own_tokens=10, priority=3)
    assert core.arrive(low, now=0.0) is not None
    peer_heartbeat.waiting = {'llm/tight': 0}
    core.handle(PeerMessageReceived('vm-2', 1, peer_heartbeat), now=0.0)
    low = build_call('t2', TIGHT_GAP_ROUTE, own_tokens=10, priority=3)
    assert core.arrive(low, now=0.0) is None
    assert core.arrive(build_call('d'), now=0.0) is None
