"""Calls that crash engines: who is blamed, who is blocked, and for how long."""

import dataclasses

import pytest

from bilberryspoke._internal.core.routing.crashledger import Crash
from bilberryspoke._internal.core.routing.suspicion import find_culprits
from bilberryspoke._internal.models.events import Tick
from bilberryspoke._internal.models.routing import PromptPart, SendStatus
from bilberryspoke._internal.models.routing_effects import (
    ProbeUpstream,
    RefuseCall,
    Send,
)
from bilberryspoke._internal.models.routing_events import UpstreamProbed
from tests.lib import corefleet
from tests.lib.crashcores import CrashCores
from tests.lib.routedcore import DRAFT_ROUTE, RoutedCore, build_call

WINDOW_S = 3.0
ALLOWED_CRASHES = 5
ALLOWED_LATE_SENDS = 3
MAX_PROBES_PER_CRASH = 4
GUILTY, BESIDE, OTHER = 1, 2, 3
# Parts that only deadly calls have, so that crashes don't tell them apart.
DEADLY = ('dead', 'beside')


def build_prompt_call(call_id, *names, now, route=DRAFT_ROUTE):
    """Return a call whose prompt has shared parts of these names."""
    call = build_call(call_id, route, now=now)
    parts = [PromptPart(name, 1000) for name in (*names, f'own-{call_id}')]
    return dataclasses.replace(call, parts=tuple(parts), prompt_tokens=2000)


def list_probed(effects):
    """Return the upstreams that are to be probed."""
    return [
        each.instance for each in effects if isinstance(each, ProbeUpstream)
    ]


def has_part(name):
    return lambda call: any(part.name == name for part in call.parts)


def send_calls(fleet, seconds, *, per_s, names=(), **parts):
    """Let calls of each kind arrive at the VMs in turn.

    ``parts`` are the shared parts of each kind, ``per_s`` their rate and
    ``names`` the VMs, by default all of them.
    """
    names = names or sorted(fleet.cores)
    until = fleet.now + seconds
    number = sum(fleet.counts.arrived.values())
    while fleet.now < until:
        for kind, shared in parts.items():
            number += 1
            call = build_prompt_call(f'{kind}-{number}', *shared, now=fleet.now)
            fleet.arrive(names[number % len(names)], call)
        fleet.run_until(fleet.now + 1 / per_s)


def has_content(content_hash):
    return lambda call: call.content_hash == content_hash


def send_contents(fleet, seconds, *, per_s, **contents):
    """Let calls without prompt parts arrive at the VMs in turn."""
    names = sorted(fleet.cores)
    until = fleet.now + seconds
    number = 0
    while fleet.now < until:
        for kind, content_hash in contents.items():
            number += 1
            call = build_call(
                f'{kind}-{number}',
                now=fleet.now,
                parts=(),
                content_hash=content_hash,
            )
            fleet.arrive(names[number % len(names)], call)
        fleet.run_until(fleet.now + 1 / per_s)


def count_late_sends(fleet):
    """Return the deadly sends after the allowed crashes and a window."""
    if len(fleet.crashed_at) < ALLOWED_CRASHES:
        return 0
    since = fleet.crashed_at[ALLOWED_CRASHES - 1] + WINDOW_S
    return sum(each > since for each in fleet.counts.deadly_sent_at)


@pytest.mark.parametrize(
    ('vms', 'engines', 'per_s', 'seconds'),
    [(8, 9, 4, 8.0), (60, 66, 10, 8.0), (370, 60, 10, 4.0)],
)
def test_deadly_prompt_part_is_blocked_in_fleets_of_every_size(
    vms, engines, per_s, seconds
):
    fleet = CrashCores(
        vms,
        engines=engines,
        is_deadly=has_part('dead'),
        warm_up_s=seconds / 2,
    )
    send_calls(
        fleet,
        seconds,
        per_s=per_s,
        deadly=('system', 'dead', 'notes'),
        sound=('system', 'notes'),
    )
    assert count_late_sends(fleet) <= ALLOWED_LATE_SENDS
    finished = fleet.counts.finished['sound']
    assert finished >= fleet.counts.arrived['sound'] / 2
    assert not fleet.counts.finished['deadly']


def test_two_deadly_parts_at_once_are_both_blocked():
    def is_deadly(call):
        return has_part('dead-1')(call) or has_part('dead-2')(call)

    fleet = CrashCores(8, engines=12, is_deadly=is_deadly)
    send_calls(
        fleet,
        8.0,
        per_s=4,
        deadly=('system', 'dead-1'),
        other=('system', 'dead-2'),
        sound=('system', 'notes'),
    )
    blocked_parts = [
        len(core.state.routing.crash_ledger.blocks)
        for core in fleet.cores.values()
    ]
    assert blocked_parts == [2] * 8


def test_calls_with_a_blocked_part_are_told_that_they_did_not_run():
    fleet = CrashCores(8, engines=9, is_deadly=has_part('dead'))
    send_calls(fleet, 4.0, per_s=4, deadly=('system', 'dead'))
    fleet.counts.refusals.clear()
    send_calls(fleet, 2.0, per_s=4, deadly=('system', 'dead'))
    refusals = [refusal for _, refusal in fleet.counts.refusals]
    assert {each.reason for each in refusals} == {'crashes_upstreams'}
    assert all(each.not_run and each.retry_after_s > 1 for each in refusals)


def test_part_that_does_not_crash_engines_any_more_is_tried_by_one_vm():
    """A later version of the engines reads it well."""
    fleet = CrashCores(8, engines=9, is_deadly=has_part('dead'))
    send_calls(fleet, 4.0, per_s=4, deadly=('system', 'dead'))
    sent_before = len(fleet.counts.deadly_sent_at)
    fleet.is_deadly = has_part('no part')
    send_calls(fleet, 30.0, per_s=4, deadly=('system', 'dead'))
    arrived_before = fleet.counts.arrived['deadly']
    finished_before = fleet.counts.finished['deadly']
    assert finished_before
    send_calls(fleet, 2.0, per_s=4, deadly=('system', 'dead'))
    fleet.run_until(fleet.now + 1)
    arrived = fleet.counts.arrived['deadly'] - arrived_before
    assert fleet.counts.finished['deadly'] - finished_before >= arrived
    assert len(fleet.counts.deadly_sent_at) == sent_before
    for core in fleet.cores.values():
        assert not core.state.routing.crash_ledger.blocks


def test_trials_of_a_part_that_stays_deadly_become_rare():
    fleet = CrashCores(8, engines=9, is_deadly=has_part('dead'))
    send_calls(fleet, 300.0, per_s=2, deadly=('system', 'dead'))
    assert count_late_sends(fleet) <= ALLOWED_LATE_SENDS


def test_process_that_restarts_learns_what_is_blocked():
    fleet = CrashCores(8, engines=9, is_deadly=has_part('dead'))
    send_calls(fleet, 4.0, per_s=4, deadly=('system', 'dead'))
    sent_before = len(fleet.counts.deadly_sent_at)
    for number in range(8):
        name = f'vm-{number}'
        fleet.kill(name)
        fleet.start(name)
        fleet.run_until(fleet.now + 0.3)
        call = build_prompt_call(f'deadly-r{number}', 'dead', now=fleet.now)
        fleet.arrive(name, call)
    assert len(fleet.counts.deadly_sent_at) == sent_before


def test_engines_that_are_lost_together_leave_their_calls_unblocked():
    """Three engines of a rack lose power while all read the same part."""
    fleet = CrashCores(8, engines=6, is_deadly=has_part('no part'))
    for number in range(24):
        call = build_prompt_call(f'sound-{number}', 'system', now=fleet.now)
        fleet.arrive(f'vm-{number % 8}', call)
    for number in range(3):
        fleet.crash(f'engine-{number}')
        fleet.run_until(fleet.now + 0.01)
    fleet.run_until(fleet.now + 6)
    for core in fleet.cores.values():
        assert not core.state.routing.crash_ledger.blocks
    assert fleet.counts.finished['sound'] >= 20


@pytest.mark.parametrize('cut_s', [0.25, 0.3])
def test_late_news_of_a_known_crash_lifts_no_block(cut_s):
    """A VM that was cut off tells of its own calls at the third engine.

    Without that crash the parts were no culprits for a moment, which all VMs
    took for a proof.
    """
    fleet = CrashCores(8, engines=9, is_deadly=has_part('dead'))
    for number in range(3):
        call = build_prompt_call(f'deadly-{number}', *DEADLY, now=fleet.now)
        fleet.arrive(f'vm-{number}', call)
        fleet.run_until(fleet.now + 0.1)
        if number < 2:
            fleet.run_until(fleet.now + 0.5)
    for number in range(12):
        call = build_prompt_call(f'sound-{number}', f'x{number}', now=fleet.now)
        fleet.arrive('vm-7', call)
    fleet.isolated.add('vm-7')
    fleet.run_until(fleet.now + 0.05 + cut_s)
    fleet.isolated.clear()
    fleet.run_until(fleet.now + 1.0)
    for core in fleet.cores.values():
        assert len(core.state.routing.crash_ledger.blocks) == len(DEADLY)
    send_calls(fleet, 2.0, per_s=8, deadly=DEADLY)
    assert len(fleet.counts.deadly_sent_at) == 3


def test_block_outlasts_the_memory_of_the_crashes_under_it():
    """The crash of another upstream, long after, was taken for a proof."""
    fleet = CrashCores(3, engines=6, is_deadly=has_part('dead'))
    send_calls(fleet, 4.0, per_s=4, deadly=DEADLY)
    fleet.run_until(fleet.now + 700)
    call = build_prompt_call('sound-1', 'notes', now=fleet.now)
    fleet.arrive('vm-0', call)
    fleet.run_until(fleet.now + 0.05)
    sent_to = [each for each, sent in fleet.sent.items() if sent]
    fleet.crash(sent_to[0])
    fleet.run_until(fleet.now + 1)
    for core in fleet.cores.values():
        assert len(core.state.routing.crash_ledger.blocks) == len(DEADLY)


def test_part_that_a_vm_blocked_since_it_missed_a_proof_is_sent_by_others():
    """It tells new processes of the block, and is gone before it tries."""
    fleet = CrashCores(8, engines=9, is_deadly=has_part('dead'))
    others = sorted(set(fleet.cores) - {'vm-7'})
    fleet.isolated.add('vm-7')
    for number in range(3):
        call = build_prompt_call(
            f'deadly-{number}', 'system', 'dead', now=fleet.now
        )
        fleet.arrive('vm-7', call)
        send_calls(fleet, 0.6, per_s=10, names=others, sound=('system',))
    send_calls(fleet, 0.6, per_s=10, names=others, sound=('system',))
    fleet.isolated.clear()
    fleet.run_until(fleet.now + 0.3)
    for name in others[:4]:
        fleet.kill(name)
        fleet.start(name)
    fleet.run_until(fleet.now + 0.6)
    fleet.kill('vm-7')
    fleet.counts.refusals.clear()
    send_calls(fleet, 8.0, per_s=10, names=others, sound=('system',))
    assert not fleet.counts.refusals


def test_proof_ends_a_block_at_vms_that_do_not_know_its_crashes():
    """All processes started after the crashes, and one tries a call."""
    fleet = CrashCores(8, engines=9, is_deadly=has_part('dead'))
    send_calls(fleet, 4.0, per_s=4, deadly=('system', 'dead'))
    for name in sorted(fleet.cores):
        fleet.kill(name)
        fleet.start(name)
        fleet.run_until(fleet.now + 0.5)
    fleet.is_deadly = has_part('no part')
    while fleet.now < 60 and not fleet.counts.finished['deadly']:
        send_calls(fleet, 1.0, per_s=8, deadly=('system', 'dead'))
    fleet.run_until(fleet.now + 1)
    for core in fleet.cores.values():
        assert not core.state.routing.crash_ledger.blocks


def test_crash_under_a_block_stays_at_its_time_as_vms_tell_of_it(monkeypatch):
    """Each message made it later by its way, and so the next trial."""
    monkeypatch.setattr(corefleet, 'MESSAGE_DELAY_S', 0.02)
    fleet = CrashCores(8, engines=9, is_deadly=has_part('dead'))
    send_calls(fleet, 4.0, per_s=4, deadly=('system', 'dead'))
    fleet.run_until(fleet.now + 10)
    last_crash_at = max(fleet.crashed_at)
    for core in fleet.cores.values():
        for block in core.state.routing.crash_ledger.blocks.values():
            assert block.crashed_at < last_crash_at + 1.0


def test_deadly_part_stays_blocked_after_the_one_beside_it_is_proven():
    """Long after the crashes it still counted as not told apart.

    So a call with both was sent at once, as if only its end could tell.
    """
    fleet = CrashCores(3, engines=6, is_deadly=has_part('dead'))
    send_calls(fleet, 4.0, per_s=4, deadly=DEADLY)
    for core in fleet.cores.values():
        for block in core.state.routing.crash_ledger.blocks.values():
            block.trials = 9
    fleet.run_until(fleet.now + 700)
    sent_before = len(fleet.counts.deadly_sent_at)
    send_calls(fleet, 2.0, per_s=4, sound=DEADLY[1:])
    assert fleet.counts.finished['sound']
    send_calls(fleet, 4.0, per_s=4, deadly=DEADLY)
    assert len(fleet.counts.deadly_sent_at) == sent_before


@pytest.mark.xfail(reason='KNOWN-RED.txt, 60', strict=True)
def test_sound_calls_are_sent_by_vms_that_did_not_hear_of_the_crashes():
    """They are told what is blocked, but not which parts go together."""
    fleet = CrashCores(8, engines=24, is_deadly=has_part('dead'))
    blocking = [f'vm-{number}' for number in (1, 5)]
    others = sorted(set(fleet.cores) - set(blocking))
    parts = ('system', 'dead', 'notes')
    fleet.cut_off('dc-1')
    send_calls(fleet, 2.0, per_s=4, names=blocking, deadly=parts)
    fleet.cut_off(None)
    fleet.run_until(fleet.now + 1)
    send_calls(fleet, 8.0, per_s=8, names=others, sound=('system', 'notes'))
    fleet.run_until(fleet.now + 1)
    finished = fleet.counts.finished['sound']
    assert finished >= fleet.counts.arrived['sound'] / 2


@pytest.mark.parametrize(('vms', 'engines'), [(6, 6), (60, 66)])
def test_call_that_comes_again_with_another_id_is_blocked(vms, engines):
    """One caller's repeats go to all VMs; none sees three crashes alone."""
    fleet = CrashCores(vms, engines=engines, is_deadly=has_content(13))
    send_contents(fleet, 8.0, per_s=3, deadly=13, sound=14)
    third_at = fleet.crashed_at[2]
    late = sum(
        each > third_at + WINDOW_S for each in fleet.counts.deadly_sent_at
    )
    assert late <= ALLOWED_LATE_SENDS
    finished = fleet.counts.finished['sound']
    assert finished >= fleet.counts.arrived['sound'] / 2


def test_same_content_of_another_caller_is_not_blocked():
    fleet = CrashCores(6, engines=9, is_deadly=has_content(13))
    send_contents(fleet, 4.0, per_s=3, deadly=13)
    fleet.is_deadly = has_content(0)
    call = build_call('other-1', now=fleet.now, parts=(), content_hash=13)
    call = dataclasses.replace(call, workspace='desk')
    fleet.arrive('vm-0', call)
    fleet.run_until(fleet.now + 1)
    assert fleet.counts.finished['other']


def test_part_beside_a_deadly_one_is_not_blocked_if_answers_began_under_it():
    crashes = [
        Crash(float(at), {GUILTY: at - 0.2, BESIDE: at - 0.2})
        for at in range(3)
    ]
    assert find_culprits(crashes, {}) == [frozenset((GUILTY, BESIDE))]
    # Long before the crashes, so that it does not clear the part of them.
    assert find_culprits(crashes, {BESIDE: -30.0}) == [frozenset((GUILTY,))]


def test_crash_that_a_culprit_explains_counts_against_nobody_else():
    crashes = [
        Crash(float(at), {GUILTY: at - 0.2, OTHER: at - 0.2}) for at in range(3)
    ]
    crashes.append(Crash(3.0, {GUILTY: 2.8}))
    assert find_culprits(crashes, {}) == [frozenset((GUILTY,))]


def test_parts_that_crashes_do_not_tell_apart_are_told_apart_by_one_call():
    """The deadly calls always have both; a sound one has one of them."""
    fleet = CrashCores(8, engines=9, is_deadly=has_part('dead'))
    send_calls(fleet, 4.0, per_s=4, deadly=('dead', 'beside'))
    send_calls(fleet, 2.0, per_s=4, sound=('beside',))
    fleet.run_until(fleet.now + 1)
    finished = fleet.counts.finished['sound']
    assert finished >= fleet.counts.arrived['sound'] / 2
    fleet.counts.refusals.clear()
    send_calls(fleet, 1.0, per_s=4, deadly=('dead', 'beside'))
    reasons = {refusal.reason for _, refusal in fleet.counts.refusals}
    assert reasons == {'crashes_upstreams'}


def test_call_that_lost_two_upstreams_in_a_row_is_not_sent_to_a_third():
    core = RoutedCore()
    route = dataclasses.replace(DRAFT_ROUTE, max_attempts=5)
    send = core.arrive(build_call('d', route), now=0.0)
    effects = core.end(send, SendStatus.broken, now=0.2, upstream_crashed=True)
    again = next(each for each in effects if isinstance(each, Send))
    effects = core.end(again, SendStatus.broken, now=0.4, upstream_crashed=True)
    refusal = next(each for each in effects if isinstance(each, RefuseCall))
    assert not refusal.not_run


def test_crash_after_the_answer_began_does_not_count_against_a_call():
    core = RoutedCore()
    route = dataclasses.replace(DRAFT_ROUTE, max_attempts=5)
    send = core.arrive(build_call('d', route), now=0.0)
    core.progress(send, now=0.1, event=1)
    core.progress(send, now=0.6, event=2)
    for now in (0.7, 0.9):
        effects = core.end(
            send,
            SendStatus.broken,
            now=now,
            delivered=True,
            upstream_crashed=True,
        )
        send = next(each for each in effects if isinstance(each, Send))


def test_stream_resumes_though_its_upstream_crashed_after_it_began():
    """An upstream that outlives the begin does not crash under that call."""
    core = RoutedCore()
    route = dataclasses.replace(DRAFT_ROUTE, max_attempts=5)
    send = core.arrive(build_call('d', route), now=0.0)
    for number in range(3):
        now = 1.0 * number
        core.progress(send, now=now + 0.1, event=2 * number + 1)
        core.progress(send, now=now + 0.6, event=2 * number + 2)
        effects = core.end(
            send,
            SendStatus.broken,
            now=now + 0.7,
            delivered=True,
            upstream_crashed=True,
        )
        send = next(each for each in effects if isinstance(each, Send))
    core.handle(Tick(), now=3.0)
    assert not core.routing.crash_ledger.crashes


def test_crash_of_one_upstream_is_found_out_with_few_probes():
    """All others of the service were probed, each time one crashed."""
    core = RoutedCore(engines=70)
    send = core.arrive(build_call('d'), now=0.0)
    effects = core.end(send, SendStatus.broken, now=0.2, upstream_crashed=True)
    probed = list_probed(effects)
    assert send.instance in probed
    for instance in probed:
        accepts = instance != send.instance
        effects = core.handle(UpstreamProbed(instance, 0, accepts), now=0.21)
        probed += list_probed(effects)
    probed += list_probed(core.handle(Tick(), now=0.25))
    assert len(probed) <= MAX_PROBES_PER_CRASH
    assert len(core.routing.crash_ledger.crashes) == 1


def test_crash_just_after_an_answer_began_is_blamed():
    """The answer counted as a proof that the upstream was still in reach."""
    core = RoutedCore()
    send = core.arrive(build_call('d'), now=0.0)
    core.progress(send, now=0.15)
    effects = core.end(
        send,
        SendStatus.broken,
        now=0.2,
        delivered=True,
        connection_lost=True,
        upstream_crashed=True,
    )
    for instance in list_probed(effects):
        accepts = instance != send.instance
        core.handle(UpstreamProbed(instance, 0, accepts), now=0.21)
    core.handle(Tick(), now=0.25)
    assert len(core.routing.crash_ledger.crashes) == 1
