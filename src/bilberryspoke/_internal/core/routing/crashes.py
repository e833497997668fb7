"""Calls that crash upstreams: evidence, its exchange, and blocked calls.

Each VM records the fingerprints of its own calls whose answer had not begun at
an upstream that crashed, and heartbeats pass them on. All VMs find the same
culprits from them. Calls with such a fingerprint are refused, but for a trial
from time to time by one VM. Times are in seconds of the boot-time clock.
"""

from bilberryspoke._internal.core.routing.callstate import CallState
from bilberryspoke._internal.core.routing.crashledger import (
    Block,
    Crash,
    HeldCrash,
)
from bilberryspoke._internal.core.routing.links import (
    is_lost_alone,
    is_reviewing,
)
from bilberryspoke._internal.core.routing.relays import is_relay
from bilberryspoke._internal.core.routing.suspicion import (
    crashes_in_sequence,
    find_culprits,
)
from bilberryspoke._internal.core.state import VmState
from bilberryspoke._internal.models.effects import Count
from bilberryspoke._internal.models.routing_effects import LogDecision
from bilberryspoke._internal.utils.backoff import back_off_s
from bilberryspoke._internal.utils.hashing import hash_parts, rank_members

# An answer that has gone on for this long did not crash its upstream.
_PROOF_DELAY_S = 0.25
# Other VMs may still clear a fingerprint for this long after a crash: two
# heartbeats, or five on the way through relays.
_REVIEW_DELAY_S = 0.2
_RELAYED_REVIEW_DELAY_S = 0.5
# Time from a crash to the next trial, and its factor for each failed trial.
_TRIAL_DELAY_S = 15.0
_TRIAL_BACKOFF_FACTOR = 4
_MAX_TRIAL_DELAY_S = 3600.0
# If the VM that may try has no such call, the next one may after this time.
_TRIAL_ROTATION_S = 10.0
# Times of crashes that were passed on are later by the time that messages took;
# one that is later by less is taken for the same.
_MIN_CRASH_DIFFERENCE_S = 1.0
# Blocks that are kept at most; the ones with the oldest crash go first.
_MAX_BLOCKS = 64
_NEVER = -1e9
_OWN_CALLS = 'own calls'


def record_crash(state: VmState, call_state: CallState, now: float) -> None:
    """Record which fingerprints of a call may explain the upstream's crash.

    Nothing is told to others, and nobody blocked, before it is known that the
    VM has not lost its links instead.
    """
    if call_state.proven:
        return
    call_state.crashes += 1
    ledger = state.routing.crash_ledger
    crash_id = hash_parts(call_state.instance, call_state.created_ms)
    held = ledger.held.setdefault(
        crash_id,
        HeldCrash(call_state.instance, call_state.created_ms, Crash(now)),
    )
    for fingerprint in call_state.fingerprints:
        proven_at = ledger.proven_at.get(fingerprint)
        if not held.crash.is_cleared_by(proven_at):
            held.crash.suspects[fingerprint] = call_state.sent_at


def learn_suspects(
    state: VmState,
    crash_id: int,
    suspects: dict[int, float],
    *,
    crashed_at: float,
    now: float,
    source: str,
) -> None:
    """Add suspects to a crash, and pass them on with what clears them.

    ``source`` is the VM that reported them, for the log.
    """
    ledger = state.routing.crash_ledger
    if crash_id not in ledger.crashes:
        fields = {
            'crash': _format(crash_id),
            'suspects': len(suspects),
            'source': source,
            'age_s': round(now - crashed_at, 3),
        }
        state.emit(Count('upstream_crashes'))
        state.emit(LogDecision('upstream_crashed', fields))
    added = ledger.add_suspects(
        crash_id, suspects, crashed_at=crashed_at, now=now
    )
    if not added:
        return
    crash = ledger.crashes[crash_id]
    for fingerprint in added:
        if fingerprint in ledger.proven_at:
            ledger.shared_proofs[fingerprint] = now
        block = ledger.blocks.get(fingerprint)
        if block is not None:
            _record_crash_under_block(block, crash.crashed_at)
    if source == _OWN_CALLS or is_relay(state):
        state.routing.heartbeat_sent_at = _NEVER


def record_progress_proof(
    state: VmState, call_state: CallState, now: float
) -> None:
    """Record that an upstream outlived the begin of an answer, if it did."""
    if call_state.began_at is None:
        call_state.began_at = now
    if now - call_state.began_at >= _PROOF_DELAY_S:
        record_proof(state, call_state, now)


def record_proof(state: VmState, call_state: CallState, now: float) -> None:
    """Record that a call does not crash upstreams."""
    if call_state.proven:
        return
    call_state.proven = True
    for fingerprint in call_state.fingerprints:
        learn_proof(state, fingerprint, proven_at=now, now=now)


def learn_proof(
    state: VmState, fingerprint: int, *, proven_at: float, now: float
) -> None:
    """Record a proof, and pass it on if it clears a suspect or ends a block.

    It ends a block whose last crash was before. Crashes that this VM does not
    know may be the reason of a block.
    """
    ledger = state.routing.crash_ledger
    previously_at = ledger.proven_at.get(fingerprint)
    if not ledger.record_proof(fingerprint, proven_at):
        return
    block = ledger.blocks.get(fingerprint)
    if block is not None and proven_at > block.crashed_at:
        _unblock(state, fingerprint, 'answered')
        ledger.shared_proofs[fingerprint] = now
    if any(
        crash.is_cleared_by(proven_at)
        and not crash.is_cleared_by(previously_at)
        for crash in ledger.list_crashes_under(fingerprint)
    ):
        ledger.shared_proofs[fingerprint] = now
        ledger.unreviewed = True


def may_retry_after_crash(state: VmState, call_state: CallState) -> bool:
    """Return whether a call that lost its upstream may go to another one.

    Most such calls are innocent, but not if upstreams crash one after the
    other under the same call or fingerprint.
    """
    if call_state.proven:
        return True
    if call_state.crashes > 1:
        return False
    ledger = state.routing.crash_ledger
    return not any(
        crashes_in_sequence(
            ledger.list_crashes_blaming(each, with_held=True), each
        )
        for each in call_state.fingerprints
        if each not in ledger.blocks
    )


def find_block(
    state: VmState, call_state: CallState, now: float
) -> tuple[int, Block] | None:
    """Return the block that forbids to send a call, None if it may be sent.

    A call that may be sent as a trial is recorded as such.
    """
    blocks = state.routing.crash_ledger.blocks
    if not blocks:
        return None
    blocked = {
        each: blocks[each] for each in call_state.fingerprints if each in blocks
    }
    for fingerprint, block in blocked.items():
        if not _may_try(state, call_state, block, blocked, now):
            return fingerprint, block
    for block in blocked.values():
        block.trial_call_id = call_state.call.call_id
    return None


def get_next_trial_at(block: Block) -> float:
    """Return when a call may be sent to see whether a block still holds."""
    delay_s = back_off_s(
        block.trials,
        first_s=_TRIAL_DELAY_S,
        factor=_TRIAL_BACKOFF_FACTOR,
        most_s=_MAX_TRIAL_DELAY_S,
    )
    return block.crashed_at + delay_s


def review_crashes(state: VmState, now: float) -> None:
    """Block the culprits of crashes about which nothing more is expected."""
    _settle_held_crashes(state, now)
    ledger = state.routing.crash_ledger
    ledger.forget_crashes(now)
    if not ledger.unreviewed:
        return
    delay_s = _REVIEW_DELAY_S
    if state.routing.relays:
        delay_s = _RELAYED_REVIEW_DELAY_S
    settled = [
        crash
        for crash in ledger.crashes.values()
        if now - crash.changed_at >= delay_s
    ]
    ledger.unreviewed = len(settled) < len(ledger.crashes)
    groups = find_culprits(settled, ledger.proven_at)
    for group in groups:
        for fingerprint in group:
            _block(state, fingerprint, group)
    _clear_tied(state, frozenset().union(*groups), now)


def _clear_tied(state: VmState, culprits: frozenset[int], now: float) -> None:
    """End blocks whose crashes others, blocked together with them, explain.

    That none of those is a culprit any more proves nothing: crashes are left
    out while news of them arrive, and forgotten after a while.
    """
    for fingerprint, block in list(state.routing.crash_ledger.blocks.items()):
        if fingerprint not in culprits and block.tied & culprits:
            learn_proof(state, fingerprint, proven_at=now, now=now)


def _settle_held_crashes(state: VmState, now: float) -> None:
    """Take held crashes for such, or drop them, once links were reviewed."""
    ledger = state.routing.crash_ledger
    for crash_id, held in list(ledger.held.items()):
        upstream = state.routing.find_incarnation(
            held.instance, held.created_ms
        )
        service = '' if upstream is None else upstream.listed.service
        if is_reviewing(state.routing, service):
            continue
        ledger.held.pop(crash_id)
        if upstream is not None and not is_lost_alone(state.routing, upstream):
            state.emit(Count('crashes_dropped', service))
            continue
        learn_suspects(
            state,
            crash_id,
            held.crash.suspects,
            crashed_at=held.crash.crashed_at,
            now=now,
            source=_OWN_CALLS,
        )


def learn_block(
    state: VmState,
    fingerprint: int,
    *,
    crashed_at: float,
    trials: int,
    now: float,
) -> None:
    """Record a block that another VM reported, unless a proof ended it.

    The other VM has missed that proof, which is then passed on once more.
    """
    ledger = state.routing.crash_ledger
    if ledger.proven_at.get(fingerprint, _NEVER) > crashed_at:
        ledger.shared_proofs[fingerprint] = now
        return
    block = ledger.blocks.get(fingerprint)
    if block is None:
        _add_block(state, fingerprint, Block(crashed_at, trials), 'peer')
        return
    if crashed_at > block.crashed_at + _MIN_CRASH_DIFFERENCE_S:
        block.crashed_at = crashed_at
    block.trials = max(block.trials, trials)


def _block(state: VmState, fingerprint: int, group: frozenset[int]) -> None:
    ledger = state.routing.crash_ledger
    block = ledger.blocks.get(fingerprint)
    if block is None:
        crashes = ledger.list_crashes_blaming(fingerprint)
        crashed_at = max(each.crashed_at for each in crashes)
        _add_block(state, fingerprint, Block(crashed_at, tied=group), 'crashes')
        return
    block.tied = group


def _add_block(
    state: VmState, fingerprint: int, block: Block, source: str
) -> None:
    ledger = state.routing.crash_ledger
    blocks = ledger.blocks
    blocks[fingerprint] = block
    if len(blocks) > _MAX_BLOCKS:
        blocks.pop(min(blocks, key=lambda each: blocks[each].crashed_at))
    fields = {
        'fingerprint': _format(fingerprint),
        'crashes': len(ledger.list_crashes_blaming(fingerprint)),
        'tied': len(block.tied),
        'source': source,
    }
    state.emit(Count('fingerprints_blocked'))
    state.emit(LogDecision('calls_blocked', fields))


def _unblock(state: VmState, fingerprint: int, reason: str) -> None:
    blocks = state.routing.crash_ledger.blocks
    blocks.pop(fingerprint)
    for block in blocks.values():
        # It is told apart from them now, also if its crashes are forgotten.
        block.tied -= {fingerprint}
    fields = {'fingerprint': _format(fingerprint), 'reason': reason}
    state.emit(LogDecision('calls_unblocked', fields))


def _record_crash_under_block(block: Block, crashed_at: float) -> None:
    """Record a crash under a blocked fingerprint.

    Calls that were under way when it was blocked are no trials.
    """
    if crashed_at >= get_next_trial_at(block):
        block.trials += 1
    block.crashed_at = max(block.crashed_at, crashed_at)


def _may_try(
    state: VmState,
    call_state: CallState,
    block: Block,
    blocked: dict[int, Block],
    now: float,
) -> bool:
    """Return whether a call may be sent to find out whether a block holds.

    ``blocked`` holds all blocked fingerprints of the call. If it has only some
    of those that the crashes don't tell apart, its outcome does, so that it
    may be sent at once.
    """
    other_trials = {block.trial_call_id} - {call_state.call.call_id}
    if other_trials & state.routing.calls.keys():
        return False
    if block.tied - set(blocked):
        return True
    due_at = get_next_trial_at(block)
    if now < due_at:
        return False
    names = rank_members(
        f'trial {min(blocked)}', [state.vm, *state.routing.peers]
    )
    rotations = int((now - due_at) / _TRIAL_ROTATION_S)
    return names[rotations % len(names)] == state.vm


def _format(number: int) -> str:
    return f'{number:016x}'
