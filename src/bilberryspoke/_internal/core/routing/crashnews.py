"""Exchange of crashes, proofs and blocks in heartbeats.

Times are in seconds of the boot-time clock.
"""

from bilberryspoke._internal.core.routing.crashes import (
    learn_block,
    learn_proof,
    learn_suspects,
)
from bilberryspoke._internal.core.routing.state import RoutingState
from bilberryspoke._internal.core.state import VmState
from bilberryspoke._internal.models.routing_messages import (
    BlockReport,
    CrashNews,
    CrashReport,
    FingerprintTime,
)

# News are repeated for this long, as a message may be lost.
_REPEAT_S = 0.35


def make_crash_news(routing: RoutingState, now: float) -> CrashNews | None:
    """Return what to pass on, None if there is nothing.

    All blocks are, so that a new process learns them.
    """
    ledger = routing.crash_ledger
    since = now - _REPEAT_S
    ledger.forget_shared_proofs(since)
    crashes = [
        CrashReport(
            crash_id,
            _get_age(now, crash.crashed_at),
            _make_times(crash.list_learned_since(since), now),
        )
        for crash_id, crash in ledger.crashes.items()
        if crash.changed_at >= since
    ]
    proofs = {
        fingerprint: ledger.proven_at[fingerprint]
        for fingerprint in ledger.shared_proofs
    }
    blocks = [
        BlockReport(blocked, block.trials, _get_age(now, block.crashed_at))
        for blocked, block in ledger.blocks.items()
    ]
    if not crashes and not proofs and not blocks:
        return None
    return CrashNews(crashes, _make_times(proofs, now), blocks)


def apply_crash_news(
    state: VmState, sender: str, news: CrashNews, now: float
) -> None:
    """Record what a peer passed on."""
    for crash in news.crashes:
        learn_suspects(
            state,
            crash.crash_id,
            {each.fingerprint: now - each.age_s for each in crash.suspects},
            crashed_at=now - crash.age_s,
            now=now,
            source=sender,
        )
    for proof in news.proofs:
        learn_proof(
            state, proof.fingerprint, proven_at=now - proof.age_s, now=now
        )
    for block in news.blocks:
        learn_block(
            state,
            block.fingerprint,
            crashed_at=now - block.age_s,
            trials=block.trials,
            now=now,
        )


def _make_times(times: dict[int, float], now: float) -> list[FingerprintTime]:
    return [
        FingerprintTime(key, _get_age(now, at)) for key, at in times.items()
    ]


def _get_age(now: float, at: float) -> float:
    return round(max(0, now - at), 3)
