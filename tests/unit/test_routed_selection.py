"""Selection of the engine; each rule is tested under the load it is for."""

from collections import Counter

import pytest

from bilberryspoke._internal.core.routing.backlog import measure_own_backlog
from bilberryspoke._internal.core.routing.selection import (
    _AFFINITY_WAIT_TARGET_FRACTION,
)
from bilberryspoke._internal.models.effects import SendPeerMessage
from bilberryspoke._internal.models.events import PeerMessageReceived, Tick
from bilberryspoke._internal.models.routing import SendStatus, StorePosition
from bilberryspoke._internal.models.routing_events import (
    CallArrived,
    RoutesOffered,
    UpstreamsListed,
)
from bilberryspoke._internal.models.routing_messages import (
    RoutingHeartbeat,
    UpstreamBacklog,
)
from tests.lib.routedcore import (
    DRAFT_ROUTE,
    READ_ROUTE,
    SHORT_TARGET_ROUTE,
    TIGHT_GAP_ROUTE,
    RoutedCore,
    build_call,
    build_table,
    build_upstream,
    find_decision,
    list_sends,
    probe_tight_gap_engines,
)

# At the speed that is assumed of engines before the first answer.
_MAX_OTHER_GROUP_BACKLOG_TOKENS = 1000
_MAX_PREFILL_BACKLOG_TOKENS = 6000


def test_draft_burst_avoids_engines_of_tight_gap_streams():
    core = RoutedCore()
    tight_gap_engines = probe_tight_gap_engines(core)
    assert len(tight_gap_engines) == 2
    sends = [
        core.arrive(build_call(f'd{each}', shared=f's{each}'), now=0.0)
        for each in range(40)
    ]
    assert not {send.instance for send in sends if send} & tight_gap_engines


def test_calls_with_a_shared_prefix_go_to_one_engine():
    core = RoutedCore()
    engines = set()
    for number in range(20):
        send = core.arrive(build_call(f'd{number}'), now=number * 1.0)
        engines.add(send.instance)
        core.end(send, SendStatus.finished, now=number * 1.0)
    assert len(engines) == 1


def test_hot_prefix_waits_for_its_engine_and_then_spreads():
    """A quarter of all drafts share one prefix, the notes of one desk.

    Without a bound on the wait for prefix affinity they would all queue for
    one engine while the others stay idle.
    """
    core = RoutedCore()
    others = []
    for number in range(5):
        call = build_call(f'o{number}', parts=(), prompt_tokens=4000)
        others.append(core.arrive(call, now=0.0))
    first = core.arrive(build_call('d0'), now=0.0)
    assert first.instance not in {each.instance for each in others}
    waiting = [
        core.arrive(build_call(f'd{each}'), now=0.0) for each in range(1, 9)
    ]
    assert waiting == [None] * 8
    moved = list_sends(core.progress(first, now=0.35))
    assert {send.instance for send in moved} == {first.instance}
    later = []
    for send in others:
        later += core.progress(send, now=0.36)
    max_affinity_wait_s = (
        DRAFT_ROUTE.latency_target_s * _AFFINITY_WAIT_TARGET_FRACTION
    )
    later += core.handle(Tick(), now=max_affinity_wait_s)
    spread = {send.instance for send in list_sends(later)}
    assert spread - {first.instance}


def test_hot_prefix_spreads_at_once_while_other_engines_are_idle():
    """Drafts with the same notes waited for one engine beside idle ones."""
    core = RoutedCore()
    sends = [core.arrive(build_call(f'd{each}'), now=0.0) for each in range(5)]
    assert None not in sends
    assert len({send.instance for send in sends}) == 5


def test_prefill_backlog_of_an_engine_stays_bounded_in_a_burst():
    """A burst of drafts, as on election night.

    Tokens still to be prefilled at an engine delay every later call to it.
    """
    core = RoutedCore()
    for number in range(200):
        core.arrive(
            build_call(f'd{number}', shared=f's{number % 20}'),
            now=number / 100,
        )
    for upstream in core.routing.upstreams.values():
        prefill_tokens = measure_own_backlog(upstream).prefill_tokens
        calls = len(upstream.sends)
        assert prefill_tokens <= _MAX_PREFILL_BACKLOG_TOKENS or calls == 1
    assert core.routing.waiting


def test_short_call_uses_tight_gap_engine_only_without_prefill_backlog():
    core = RoutedCore(engines=2)
    [tight_gap_engine] = probe_tight_gap_engines(core)
    core.arrive(build_call('d0'), now=0.0)
    core.arrive(build_call('d1', shared='s1', own_tokens=5000), now=0.0)
    short_call_sends = [
        core.arrive(
            build_call(
                f'x{each}',
                own_tokens=400,
                parts=(),
                prompt_tokens=400,
            ),
            now=0.0,
        )
        for each in range(20)
    ]
    assert tight_gap_engine in {
        send.instance for send in short_call_sends if send
    }
    prefill_tokens = measure_own_backlog(
        core.routing.upstreams[tight_gap_engine]
    ).prefill_tokens
    assert prefill_tokens <= _MAX_OTHER_GROUP_BACKLOG_TOKENS


def test_backlog_of_other_vms_counts():
    """Eight VMs must not each fill an engine that has none of their own calls.

    Its backlog of calls from other VMs is known from their heartbeats.
    """
    core = RoutedCore()
    preferred = core.arrive(build_call('d0'), now=0.0).instance
    core = RoutedCore()
    peer_heartbeat = RoutingHeartbeat(
        address='127.0.0.2:1',
        version=1,
        revision=1,
        store_reachable=True,
        backlog=[UpstreamBacklog(preferred, 50_000, 9)],
    )
    core.handle(PeerMessageReceived('vm-2', 1, peer_heartbeat), now=0.0)
    assert core.arrive(build_call('d0'), now=0.0).instance != preferred
    # The backlog of a VM without recent heartbeats is not counted.
    core = RoutedCore()
    core.handle(PeerMessageReceived('vm-2', 1, peer_heartbeat), now=0.0)
    assert core.arrive(build_call('d0', now=1.2), now=1.2).instance == preferred


def test_unreachable_tight_gap_engine_is_replaced():
    """One of two tight-gap engines crashes in a burst of tight-gap streams."""
    core = RoutedCore()
    tight_gap_engines = probe_tight_gap_engines(core)
    unreachable_engine = sorted(tight_gap_engines)[0]
    state = core.routing.upstreams[unreachable_engine]
    state.health.record_unreachable(1.0)
    sent = set()
    for number in range(40):
        call = build_call(
            f'b{number}',
            TIGHT_GAP_ROUTE,
            own_tokens=10,
            shared=str(number),
            now=1.0,
        )
        send = core.arrive(call, now=1.0)
        sent.add(send.instance)
        core.end(send, SendStatus.finished, now=1.0)
    assert unreachable_engine not in sent
    assert len(sent) == 2


def test_unreachable_engine_is_tried_when_no_other_is_left():
    core = RoutedCore(engines=2)
    first = core.arrive(build_call('d', own_tokens=100), now=0.0)
    others = {'engine-0', 'engine-1'} - {first.instance}
    unreachable_engine = core.routing.upstreams[others.pop()]
    unreachable_engine.health.record_unreachable(0.1)
    again = find_decision(core.end(first, SendStatus.broken, now=0.2))
    assert again.instance == unreachable_engine.listed.instance


def test_failing_engine_leaves_other_engines_in_their_groups():
    core = RoutedCore()
    tight_gap_engines = probe_tight_gap_engines(core)
    failing = sorted(tight_gap_engines)[0]
    for _ in range(8):
        core.routing.upstreams[failing].health.record_outcome(
            1.0, succeeded=False
        )
    call = build_call('b', TIGHT_GAP_ROUTE, own_tokens=10, now=1.1)
    assert core.arrive(call, now=1.1).instance in tight_gap_engines - {failing}


def test_call_of_another_vm_counts_before_its_next_heartbeat():
    """Eight VMs get a burst at once; heartbeats are up to 0.1 s old."""
    first, second = RoutedCore(), RoutedCore()
    peer_heartbeat = RoutingHeartbeat('127.0.0.2:1', 1, 1, True)
    for core in (first, second):
        core.handle(PeerMessageReceived('vm-2', 1, peer_heartbeat), now=0.0)
    effects = first.handle(CallArrived(build_call('d0')), now=0.01)
    peer_sends = [each for each in effects if isinstance(each, SendPeerMessage)]
    assert [each.peer for each in peer_sends] == ['vm-2']
    for _ in range(2):
        second.handle(
            PeerMessageReceived('vm-2', 1, peer_sends[0].message), now=0.02
        )
    taken = find_decision(effects).instance
    other = second.arrive(build_call('d1', own_tokens=4000), now=0.03)
    assert other is None or other.instance != taken


def test_finished_prefill_at_another_vm_frees_capacity_at_once():
    """Waiting drafts must not leave an engine idle until the next heartbeat."""
    first, second = RoutedCore(engines=2), RoutedCore(engines=2)
    peer_heartbeat = RoutingHeartbeat('127.0.0.2:1', 1, 1, True)
    for core in (first, second):
        core.handle(PeerMessageReceived('vm-2', 1, peer_heartbeat), now=0.0)
    effects = first.handle(
        CallArrived(build_call('d0', own_tokens=5000)),
        now=0.01,
    )
    send = find_decision(effects)
    effects += first.progress(send, now=0.02)
    peer_sends = [each for each in effects if isinstance(each, SendPeerMessage)]
    second.handle(
        PeerMessageReceived('vm-2', 1, peer_sends[0].message), now=0.03
    )
    assert second.arrive(build_call('d2'), now=0.03) is None
    second.handle(
        PeerMessageReceived('vm-2', 1, peer_sends[1].message), now=0.04
    )
    [waited] = list_sends(second.handle(Tick(), now=0.05))
    assert waited.call_id == 'd2'


def test_vms_name_alike_the_engine_that_caches_a_part():
    """A part was read again at each VM that did not know who has it."""
    first, second = RoutedCore(), RoutedCore()
    peer_heartbeat = RoutingHeartbeat('127.0.0.2:1', 1, 1, True)
    for core in (first, second):
        core.handle(PeerMessageReceived('vm-2', 1, peer_heartbeat), now=0.0)
    preferred = second.arrive(build_call('d0'), now=0.0).instance
    second = RoutedCore()
    first.routing.upstreams[preferred].health.record_unreachable(0.0)
    effects = first.handle(CallArrived(build_call('d1')), now=0.01)
    [news] = [each for each in effects if isinstance(each, SendPeerMessage)]
    elsewhere = find_decision(effects).instance
    assert elsewhere != preferred
    effects = first.progress(find_decision(effects), now=0.3)
    done = [each for each in effects if isinstance(each, SendPeerMessage)]
    for sent in (news, *done):
        second.handle(PeerMessageReceived('vm-2', 1, peer_heartbeat), now=0.3)
        second.handle(PeerMessageReceived('vm-2', 1, sent.message), now=0.3)
    assert second.arrive(build_call('d2', now=0.4), now=0.4).instance == (
        elsewhere
    )


def run_a_second(core, tokens_per_s):
    """Let prompts come that engines read at a speed, one after another."""
    tokens = 3000
    for number in range(10):
        now = number * 0.1
        call = build_call(f'w{number}', parts=(), prompt_tokens=tokens)
        send = core.arrive(call, now=now)
        core.progress(send, now=now + 0.02 + tokens / tokens_per_s)
        core.end(send, SendStatus.finished, now=now + 0.09)


@pytest.mark.parametrize('tokens_per_s', [15_000, 30_000, 60_000])
@pytest.mark.parametrize(('seconds', 'fits'), [(0.08, True), (0.2, False)])
def test_engines_of_any_speed_are_filled_to_the_same_delay(
    tokens_per_s, seconds, fits
):
    """Engines of twice the speed had half of their backlog, or stood idle.

    The engine reads a prompt that takes it 0.08 s; the next one takes
    ``seconds``.
    """
    core = RoutedCore(engines=2)
    run_a_second(core, tokens_per_s)
    first, second = (
        build_call(
            f'd{number}',
            parts=(),
            prompt_tokens=round(tokens_per_s * prefill_s),
            now=5.0,
        )
        for number, prefill_s in enumerate((0.08, seconds))
    )
    assert core.arrive(first, now=5.0) is not None
    assert (core.arrive(second, now=5.0) is not None) is fits


def test_prompts_of_four_times_the_length_do_not_wait_for_an_idle_engine():
    """Manuals waited for 2.5 s beside engines that read single short prompts.

    A prompt of 17,000 tokens never fitted into the backlog of an engine with
    any other call.
    """
    core = RoutedCore(engines=4)
    shorts = []
    for number in range(6):
        short = build_call(f's{number}', parts=(), prompt_tokens=600, now=0.0)
        shorts.append(core.arrive(short, now=0.0))
    for number, send in enumerate(shorts):
        # Each engine always has a short prompt to read.
        if number % 2:
            core.progress(send, now=0.05)
    long = build_call('d', own_tokens=10_700, now=0.06)
    assert sum(part.tokens for part in long.parts) == 17_000
    sends = list_sends(core.handle(CallArrived(long), now=0.06))
    sends += list_sends(core.handle(Tick(), now=0.1))
    assert [send.call_id for send in sends] == ['d']


def test_calls_go_only_to_engines_with_a_free_slot():
    """Counter answers waited at engines that were full of urgent streams."""
    core = RoutedCore(engines=4)
    listed = tuple(
        build_upstream(f'engine-{each}', slots=2) for each in range(4)
    )
    core.handle(UpstreamsListed(listed, StorePosition(0, 2)), now=0.0)
    sends = []
    for number in range(40):
        route = (TIGHT_GAP_ROUTE, SHORT_TARGET_ROUTE)[number % 2]
        call = build_call(f'c{number}', route, parts=(), prompt_tokens=100)
        send = core.arrive(call, now=0.0)
        if send is not None:
            sends.append(send)
            core.progress(send, now=0.0)
    at_engine = Counter(send.instance for send in sends)
    assert max(at_engine.values()) == 2


def count_calls_at_engine(core, route, *, relays):
    """Return how many calls of a route an engine with 20 slots gets."""
    core.routing.relays = relays
    listed = (build_upstream('engine-0', slots=20),)
    core.handle(UpstreamsListed(listed, StorePosition(0, 2)), now=0.0)
    for number in range(40):
        call = build_call(f'c{number}', route, parts=(), prompt_tokens=10)
        send = core.arrive(call, now=0.0)
        if send is not None:
            core.progress(send, now=0.0)
    return len(core.routing.upstreams['engine-0'].sends)


@pytest.mark.parametrize(
    ('route', 'relays', 'calls'),
    [
        (TIGHT_GAP_ROUTE, {'levis': 'vm-1'}, 20),
        (DRAFT_ROUTE, {'levis': 'vm-1'}, 17),
        (DRAFT_ROUTE, {}, 20),
    ],
)
def test_less_urgent_calls_leave_slots_to_urgent_ones_in_a_large_fleet(
    route, relays, calls
):
    """Urgent calls waited at engines that were overfilled with manuals.

    84 VMs see one another's calls 0.2 s late.
    """
    assert count_calls_at_engine(RoutedCore(), route, relays=relays) == calls


def test_service_with_one_gap_limit_uses_all_its_engines():
    """A quarter of the engines was kept for streams that did not exist."""
    core = RoutedCore()
    table = build_table(2, routes=(DRAFT_ROUTE, READ_ROUTE))
    core.handle(RoutesOffered(table), now=0.0)
    sends = [
        core.arrive(
            build_call(f'd{each}', parts=(), prompt_tokens=5000), now=0.0
        )
        for each in range(8)
    ]
    assert len({send.instance for send in sends if send}) == 8
