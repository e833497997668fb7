"""Decisions on routed calls, each under the load it is made for."""

import dataclasses

from hypothesis import given
from hypothesis import strategies as st

from bilberryspoke._internal.core.routing.budget import RepeatBudget
from bilberryspoke._internal.core.routing.placing import (
    _LOYAL_PART,
    _MOST_OWED,
    _MOST_OWED_ASIDE,
)
from bilberryspoke._internal.core.routing.waiting import list_in_order
from bilberryspoke._internal.core.routing.work import measure_own
from bilberryspoke._internal.models.effects import SendPeer
from bilberryspoke._internal.models.events import PeerReceived, Tick
from bilberryspoke._internal.models.messages import (
    PassedUpstream,
    Picture,
    PictureWanted,
    RoutingBeat,
    UpstreamWork,
)
from bilberryspoke._internal.models.routing import SendStatus
from bilberryspoke._internal.models.routing_effects import (
    Decode,
    PassOn,
    Refuse,
    Send,
    StopSend,
)
from bilberryspoke._internal.models.routing_events import (
    CallAbandoned,
    CallArrived,
    DiscoveryReach,
    RoutesOffered,
    UpstreamChanged,
    UpstreamsCurrent,
    UpstreamsListed,
)
from tests.lib.routedcore import (
    DRAFTS,
    ONCE,
    READ,
    TIGHT,
    RoutedCore,
    build_call,
    build_table,
    build_upstream,
    find_decision,
)


def list_tight_engines(core):
    """Return the engines that streams with tight pauses are sent to."""
    sent = set()
    for number in range(60):
        send = core.arrive(
            build_call(f't{number}', TIGHT, own_tokens=10, shared=str(number)),
            now=0.0,
        )
        sent.add(send.instance)
        core.end(send, SendStatus.finished, now=0.0)
    return sent


def list_sends(effects):
    return [each for each in effects if isinstance(each, Send)]


# Placing.


def test_burst_of_drafts_stays_off_the_engines_of_tight_streams():
    core = RoutedCore()
    tight = list_tight_engines(core)
    assert len(tight) == 2
    sends = [
        core.arrive(build_call(f'd{each}', shared=f's{each}'), now=0.0)
        for each in range(40)
    ]
    assert not {send.instance for send in sends if send} & tight


def test_calls_that_share_a_part_go_where_it_is_kept():
    core = RoutedCore()
    engines = set()
    for number in range(20):
        send = core.arrive(build_call(f'd{number}'), now=number * 1.0)
        engines.add(send.instance)
        core.end(send, SendStatus.finished, now=number * 1.0)
    assert len(engines) == 1


def test_hot_part_waits_for_its_engine_and_then_spreads():
    """One desk's notes get a quarter of all drafts; others stay idle."""
    core = RoutedCore()
    first = core.arrive(build_call('d0'), now=0.0)
    waiting = [
        core.arrive(build_call(f'd{each}'), now=0.0) for each in range(1, 5)
    ]
    assert {send.instance for send in waiting if send} <= {first.instance}
    assert None in waiting
    core.handle(Tick(), now=0.4)
    core.progress(first, now=0.6)
    loyal_s = DRAFTS.target_s * _LOYAL_PART
    moved = list_sends(core.handle(Tick(), now=loyal_s))
    assert moved
    assert all(send.instance != first.instance for send in moved)


def test_unread_tokens_at_an_engine_stay_bounded_in_a_burst():
    """Drafts of election night: what is unread holds up all that follows."""
    core = RoutedCore()
    for number in range(200):
        core.arrive(
            build_call(f'd{number}', shared=f's{number % 20}'),
            now=number / 100,
        )
    for upstream in core.routing.upstreams.values():
        owed = measure_own(upstream).owed
        calls = len(upstream.sends)
        assert owed <= _MOST_OWED or calls == 1
    assert core.routing.waiting


def test_short_call_goes_aside_only_where_nothing_is_unread():
    core = RoutedCore(engines=2)
    [tight] = list_tight_engines(core)
    core.arrive(build_call('d0'), now=0.0)
    core.arrive(build_call('d1', shared='s1', own_tokens=5000), now=0.0)
    aside = [
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
    assert tight in {send.instance for send in aside if send}
    owed = measure_own(core.routing.upstreams[tight]).owed
    assert owed <= _MOST_OWED_ASIDE


def test_work_of_other_vms_counts():
    """Eight VMs must not each fill the engine that they alone find idle."""
    core = RoutedCore()
    preferred = core.arrive(build_call('d0'), now=0.0).instance
    core = RoutedCore()
    beat = RoutingBeat(
        address='127.0.0.2:1',
        version=1,
        revision=1,
        reached=True,
        work=[UpstreamWork(preferred, 50_000, 9)],
    )
    core.handle(PeerReceived('vm-2', 1, beat), now=0.0)
    assert core.arrive(build_call('d0'), now=0.0) is None
    # A VM that is not heard of any more has no work to count.
    core.handle(PeerReceived('vm-2', 1, beat), now=0.0)
    [send] = list_sends(core.handle(Tick(), now=1.2))
    assert send.instance == preferred


def test_lost_engine_of_tight_streams_is_replaced():
    """An engine of two crashes while gap lists come in a burst."""
    core = RoutedCore()
    tight = list_tight_engines(core)
    lost = sorted(tight)[0]
    state = core.routing.upstreams[lost]
    state.suspicion.note_unreached(1.0)
    sent = set()
    for number in range(40):
        call = build_call(
            f'b{number}',
            TIGHT,
            own_tokens=10,
            shared=str(number),
            now=1.0,
        )
        send = core.arrive(call, now=1.0)
        sent.add(send.instance)
        core.end(send, SendStatus.finished, now=1.0)
    assert lost not in sent
    assert len(sent) == 2


def test_lost_engine_is_tried_when_no_other_is_left():
    core = RoutedCore(engines=2)
    first = core.arrive(build_call('d', own_tokens=100), now=0.0)
    others = {'engine-0', 'engine-1'} - {first.instance}
    lost = core.routing.upstreams[others.pop()]
    lost.suspicion.note_unreached(0.1)
    again = find_decision(core.end(first, SendStatus.broken, now=0.2))
    assert again.instance == lost.listed.instance


def test_grey_engine_moves_no_other_between_the_groups():
    core = RoutedCore()
    tight = list_tight_engines(core)
    grey = sorted(tight)[0]
    for _ in range(8):
        core.routing.upstreams[grey].suspicion.note_outcome(1.0, good=False)
    call = build_call('b', TIGHT, own_tokens=10, now=1.1)
    assert core.arrive(call, now=1.1).instance in tight - {grey}


def test_call_of_another_vm_counts_before_its_next_beat():
    """Eight VMs meet a burst at once, each with a view a tenth old."""
    first, second = RoutedCore(), RoutedCore()
    beat = RoutingBeat('127.0.0.2:1', 1, 1, True)
    for core in (first, second):
        core.handle(PeerReceived('vm-2', 1, beat), now=0.0)
    effects = first.handle(CallArrived(build_call('d0')), now=0.01)
    told = [each for each in effects if isinstance(each, SendPeer)]
    assert [each.peer for each in told] == ['vm-2']
    for _ in range(2):
        second.handle(PeerReceived('vm-2', 1, told[0].message), now=0.02)
    assert second.arrive(build_call('d1', own_tokens=4000), now=0.03) is None


def test_prompt_that_another_vm_has_read_makes_room_at_once():
    """Drafts must not leave an engine idle until the next beat."""
    first, second = RoutedCore(), RoutedCore()
    beat = RoutingBeat('127.0.0.2:1', 1, 1, True)
    for core in (first, second):
        core.handle(PeerReceived('vm-2', 1, beat), now=0.0)
    effects = first.handle(
        CallArrived(build_call('d0', own_tokens=5000)),
        now=0.01,
    )
    send = find_decision(effects)
    effects += first.progress(send, now=0.02)
    assert second.arrive(build_call('d1'), now=0.02) is not None
    told = [each for each in effects if isinstance(each, SendPeer)]
    second.handle(PeerReceived('vm-2', 1, told[0].message), now=0.03)
    assert second.arrive(build_call('d2'), now=0.03) is None
    second.handle(PeerReceived('vm-2', 1, told[1].message), now=0.04)
    [waited] = list_sends(second.handle(Tick(), now=0.05))
    assert waited.call_id == 'd2'


# Waiting and turning away.

SHORT = dataclasses.replace(
    DRAFTS,
    target_s=0.5,
    timeout_s=4.0,
    priority=1,
    event_gap_s=0.3,
)


def fill(core, now):
    """Let so many drafts arrive that no engine has room."""
    for number in range(300):
        call = build_call(f'f{number}', shared=f's{number}', now=now)
        if core.arrive(call, now=now) is None and number > 60:
            break


def test_more_urgent_call_is_placed_before_drafts_that_wait():
    core = RoutedCore()
    running = core.arrive(build_call('d0'), now=0.0)
    for number in range(1, 6):
        core.arrive(build_call(f'd{number}'), now=0.0)
    assert core.arrive(build_call('u', now=0.1, priority=0), now=0.1) is None
    placed = []
    while not placed:
        held = core.routing.upstreams[running.instance].sends
        unread = [each for each in held.values() if each.moved_at is None]
        first = unread[0]
        read = Send(first.call.call_id, first.attempt, '', '', 0, 0.0)
        placed = list_sends(core.progress(read, now=0.2))
    assert placed[0].call_id == 'u'


def test_calls_that_missed_their_target_waiting_are_told_to_come_back():
    core = RoutedCore()
    fill(core, 0.0)
    assert core.routing.waiting
    early = core.handle(Tick(), now=2.0)
    assert not any(isinstance(each, Refuse) for each in early)
    effects = core.handle(Tick(), now=2.6)
    refusals = [each for each in effects if isinstance(each, Refuse)]
    assert refusals
    assert all(each.not_run for each in refusals)
    assert len({each.retry_after_s for each in refusals}) > 1


def test_urgent_call_is_not_turned_away_sooner_than_drafts():
    """One engine is left; drafts wait four times as long as what is urgent."""
    core = RoutedCore()
    fill(core, 0.0)
    assert core.arrive(build_call('u', SHORT, now=0.1), now=0.1) is None
    for step in range(1, 36):
        effects = core.handle(Tick(), now=0.1 + step * 0.05)
        assert not any(isinstance(each, Refuse) for each in effects)


def test_call_is_turned_away_before_its_caller_leaves():
    """That caller leaves after 2.4 seconds without an event."""
    core = RoutedCore()
    fill(core, 0.0)
    core.arrive(build_call('u', SHORT, now=0.1), now=0.1)
    effects = core.handle(Tick(), now=0.1 + 1.95)
    refused = [each for each in effects if isinstance(each, Refuse)]
    assert [each.call_id for each in refused] == ['u']
    assert refused[0].not_run


def test_draft_gives_way_to_what_waits_at_another_vm():
    core = RoutedCore()
    beat = RoutingBeat(
        address='127.0.0.2:1',
        version=1,
        revision=1,
        reached=True,
        waiting={'llm': SHORT.priority * 101},
    )
    core.handle(PeerReceived('vm-2', 1, beat), now=0.0)
    assert core.arrive(build_call('d'), now=0.0) is None
    urgent = build_call('u', SHORT, shared='s1')
    assert core.arrive(urgent, now=0.0) is not None
    # Plain services and VMs that are silent do not hold it up.
    assert core.arrive(build_call('o', ONCE), now=0.0) is not None
    [send] = list_sends(core.handle(Tick(), now=1.1))
    assert send.call_id == 'd'


def test_routes_decide_among_workspaces_of_equal_priority():
    """All workspaces have a priority of their own, which outranks routes'."""
    core = RoutedCore()
    fill(core, 0.0)
    for call_id, route, priority in (
        ('late', DRAFTS, 1),
        ('low', SHORT, 2),
        ('high', DRAFTS, 0),
        ('short', SHORT, 1),
    ):
        plain = build_call(
            call_id,
            route,
            now=0.1,
            priority=priority,
            parts=(),
            prompt_tokens=3000,
        )
        assert core.arrive(plain, now=0.1) is None
    waiting = list_in_order(core.routing, 0.1)
    order = [opened.call.call_id for opened in waiting]
    ours = [each for each in order if not each.startswith('f')]
    assert ours == ['high', 'short', 'late', 'low']


def test_draft_that_waits_for_its_engine_by_choice_holds_nobody_up():
    """A workspace with priority has its drafts where their notes are kept."""
    core = RoutedCore()
    first = core.arrive(build_call('d0', own_tokens=9000, priority=1), now=0.0)
    waiting = build_call('d1', own_tokens=9000, priority=1)
    assert core.arrive(waiting, now=0.0) is None
    other = core.arrive(build_call('d2', shared='s1'), now=0.1)
    assert other.instance != first.instance


def test_stream_with_tight_pauses_gives_way_only_on_its_own_engines():
    """A workspace of low priority asks for gap lists beside waiting drafts."""
    core = RoutedCore()
    beat = RoutingBeat('127.0.0.2:1', 1, 1, True)
    beat.waiting = {'llm': 100}
    core.handle(PeerReceived('vm-2', 1, beat), now=0.0)
    low = build_call('t1', TIGHT, own_tokens=10, priority=3)
    assert core.arrive(low, now=0.0) is not None
    beat.waiting = {'llm/tight': 0}
    core.handle(PeerReceived('vm-2', 1, beat), now=0.0)
    low = build_call('t2', TIGHT, own_tokens=10, priority=3)
    assert core.arrive(low, now=0.0) is None
    assert core.arrive(build_call('d'), now=0.0) is None


# Trying again.


def test_what_may_have_run_once_is_never_sent_again():
    core = RoutedCore()
    twice = dataclasses.replace(ONCE, max_attempts=2)
    send = core.arrive(build_call('o', twice), now=0.0)
    effects = core.end(send, SendStatus.broken, now=0.1)
    refusal = find_decision(effects)
    assert isinstance(refusal, Refuse)
    assert not refusal.not_run


def test_refusal_of_an_upstream_makes_a_promise():
    core = RoutedCore()
    send = core.arrive(build_call('o', ONCE), now=0.0)
    refusal = find_decision(core.end(send, SendStatus.refused, now=0.1))
    assert refusal.not_run
    assert refusal.retry_after_s > 0


def test_address_of_another_upstream_counts_as_no_attempt():
    """An engine crashed and another one has its address by now."""
    core = RoutedCore()
    send = core.arrive(build_call('o', ONCE), now=0.0)
    again = find_decision(core.end(send, SendStatus.misdirected, now=0.1))
    assert isinstance(again, Send)
    refusal = find_decision(core.end(again, SendStatus.refused, now=0.2))
    assert (refusal.reason, refusal.not_run) == ('upstream_refused', True)


def test_send_that_never_left_goes_elsewhere():
    core = RoutedCore()
    send = core.arrive(build_call('o', ONCE), now=0.0)
    again = find_decision(core.end(send, SendStatus.unsent, now=0.1))
    assert isinstance(again, Send)
    assert again.instance != send.instance


def test_broken_stream_goes_on_after_its_last_event():
    core = RoutedCore()
    send = core.arrive(build_call('d'), now=0.0)
    core.progress(send, now=0.1, event=4)
    again = find_decision(
        core.end(send, SendStatus.broken, now=0.2, delivered=True),
    )
    assert again.last_event == 4
    last = core.end(again, SendStatus.broken, now=0.3, delivered=True)
    refusal = find_decision(last)
    assert isinstance(refusal, Refuse)
    assert not refusal.not_run


def test_failure_is_passed_on_when_the_attempts_are_used_up():
    core = RoutedCore()
    send = core.arrive(build_call('r', READ), now=0.0)
    again = find_decision(core.end(send, SendStatus.failed, now=0.1))
    effects = core.end(again, SendStatus.failed, now=0.2)
    assert any(isinstance(each, PassOn) for each in effects)


@given(
    steps=st.lists(
        st.tuples(st.booleans(), st.floats(0, 0.5)),
        max_size=200,
    ),
)
def test_budget_holds_in_every_window(steps):
    budget = RepeatBudget(share=0.2, reserve=3, window_s=10)
    now = 0.0
    firsts, repeats = [], []
    for first, pause_s in steps:
        now += pause_s
        if first:
            budget.count_first(now)
            firsts.append(now)
        elif budget.take(now):
            repeats.append(now)
        recent = [at for at in firsts if at >= now - 10]
        used = [at for at in repeats if at >= now - 10]
        # The first sends that allowed a repeat may leave the window first.
        earlier = [at for at in firsts if at >= now - 20]
        assert len(used) <= 0.2 * max(len(recent), len(earlier)) + 3


def test_silent_engine_is_left_and_its_streams_go_on_elsewhere():
    core = RoutedCore()
    send = core.arrive(build_call('d'), now=0.0)
    core.progress(send, now=0.3, event=2)
    effects = []
    for tick in range(1, 60):
        effects += core.handle(Tick(), now=0.3 + tick / 20)
    assert any(isinstance(each, StopSend) for each in effects)
    [again] = list_sends(effects)
    assert again.instance != send.instance
    assert again.last_event == 2


def test_call_that_runs_once_stays_at_a_silent_upstream():
    core = RoutedCore()
    core.arrive(build_call('o', ONCE), now=0.0)
    effects = []
    for tick in range(1, 80):
        effects += core.handle(Tick(), now=tick / 20)
    assert not list_sends(effects)
    assert not any(isinstance(each, StopSend) for each in effects)


def test_standstill_of_the_vm_makes_nobody_silent():
    core = RoutedCore()
    core.handle(Tick(), now=0.0)
    send = core.arrive(build_call('d'), now=0.0)
    core.progress(send, now=0.1, event=1)
    core.handle(Tick(), now=0.2)
    assert not list_sends(core.handle(Tick(), now=4.0))


def test_time_over_ends_a_call_that_was_sent():
    core = RoutedCore()
    send = core.arrive(build_call('o', ONCE), now=0.0)
    effects = core.handle(Tick(), now=6.0)
    refusal = find_decision(effects)
    assert (refusal.timed_out, refusal.not_run) == (True, False)
    assert StopSend('o', send.attempt) in effects
    assert not core.routing.calls


def test_caller_that_leaves_stops_its_send():
    core = RoutedCore()
    send = core.arrive(build_call('d'), now=0.0)
    effects = core.handle(CallAbandoned('d'), now=0.1)
    assert StopSend('d', send.attempt) in effects
    assert not any(up.sends for up in core.routing.upstreams.values())


# Leaving and coming back.


def test_leaving_and_missing_engines_get_nothing():
    core = RoutedCore(engines=3)
    core.handle(DiscoveryReach(True), now=0.0)
    leaving = build_upstream('engine-0', leaving=True)
    core.handle(UpstreamChanged('engine-0', leaving), now=10.0)
    core.handle(UpstreamChanged('engine-1', None), now=10.0)
    for number in range(12):
        call = build_call(f'd{number}', shared=str(number), now=10.0 + number)
        send = core.arrive(call, now=10.0 + number)
        assert send.instance == 'engine-2'
        core.end(send, SendStatus.finished, now=10.0 + number)


def lose_store(core, since, until):
    core.handle(DiscoveryReach(True), now=0.0)
    core.handle(DiscoveryReach(False), now=since)
    core.handle(DiscoveryReach(True), now=until)


def test_entries_that_lapsed_with_the_store_are_kept_for_two_seconds():
    core = RoutedCore()
    lose_store(core, 1.0, 9.0)
    core.handle(UpstreamsListed((), 5), now=9.0)
    kept = core.routing.list_staying('llm')
    assert len(kept) == 4
    returned = kept[0].listed
    core.handle(UpstreamChanged(returned.instance, returned), now=10.0)
    core.handle(Tick(), now=11.1)
    left = core.routing.list_staying('llm')
    assert [each.listed.instance for each in left] == [returned.instance]


def test_entry_removed_while_one_vm_was_cut_off_is_gone_at_once():
    core = RoutedCore()
    lose_store(core, 1.0, 9.0)
    staying = [each for each in core.upstreams if each.instance != 'engine-0']
    core.handle(UpstreamsListed(tuple(staying), 5), now=9.0)
    assert 'engine-0' not in core.routing.upstreams


def test_engine_that_starts_again_under_its_name_begins_anew():
    core = RoutedCore(engines=1)
    send = core.arrive(build_call('d'), now=0.0)
    again = build_upstream('engine-0', born_ms=5)
    core.handle(UpstreamChanged('engine-0', again), now=1.0)
    assert not core.routing.upstreams['engine-0'].sends
    core.end(send, SendStatus.broken, now=1.1)
    assert not core.routing.upstreams['engine-0'].suspicion.outcomes


def test_configuration_never_goes_back():
    core = RoutedCore()
    core.handle(RoutesOffered(build_table(7)), now=0.0)
    core.handle(RoutesOffered(build_table(6)), now=1.0)
    assert core.routing.table.version == 7


def build_picture(version, revision, instances):
    passed = [
        PassedUpstream(each, 'llm', '1:1', 'levis', 4, False, 0.0, 0)
        for each in instances
    ]
    return Picture(version, revision, b'table', passed)


def test_picture_of_a_peer_is_believed_only_without_the_store():
    core = RoutedCore(engines=2)
    core.handle(DiscoveryReach(True), now=0.0)
    picture = build_picture(3, 9, ['engine-1'])
    core.handle(PeerReceived('vm-2', 1, picture), now=0.1)
    assert 'engine-0' in core.routing.upstreams
    core.handle(DiscoveryReach(False), now=0.2)
    effects = core.handle(PeerReceived('vm-2', 1, picture), now=0.3)
    assert any(isinstance(each, Decode) for each in effects)
    assert 'engine-0' not in core.routing.upstreams
    older = build_picture(3, 8, ['engine-0', 'engine-1'])
    core.handle(PeerReceived('vm-2', 1, older), now=0.4)
    assert 'engine-0' not in core.routing.upstreams


def test_picture_is_passed_on_only_by_a_vm_that_reaches_the_store():
    core = RoutedCore()
    wanted = PictureWanted(0, 0)
    assert not core.handle(PeerReceived('vm-2', 1, wanted), now=0.0)
    core.handle(DiscoveryReach(True), now=0.1)
    core.handle(UpstreamsCurrent(4), now=0.1)
    [effect] = core.handle(PeerReceived('vm-2', 1, wanted), now=0.2)
    assert isinstance(effect, SendPeer)
    assert effect.message.revision == 4
    current = PictureWanted(1, 4)
    assert not core.handle(PeerReceived('vm-2', 1, current), now=0.3)


def test_no_upstream_is_a_promise_that_nothing_ran():
    core = RoutedCore(engines=0, plain=0)
    refusal = find_decision(
        core.handle(CallArrived(build_call('d')), now=0.0),
    )
    assert (refusal.reason, refusal.not_run) == ('no_upstream', True)
