"""What a VM knows of the crashes of upstreams and of the calls under them.

All times are in seconds of the boot-time clock.
"""

from dataclasses import dataclass, field

# Crashes that are kept at most, and fingerprints for each; the oldest go first.
_MAX_CRASHES = 200
_MAX_SUSPECTS = 256
_CRASH_RETENTION_S = 600.0
# An answer up to this long before a crash clears its fingerprints too.
_PROOF_LOOKBACK_S = 1.0
# An answer under a fingerprint is remembered for this long, unless there are
# too many.
_PROOF_RETENTION_S = 60.0
_MAX_PROOFS = 8192


@dataclass(slots=True)
class Crash:
    """The end of one incarnation of an upstream, as seen by all VMs.

    ``suspects`` holds the fingerprints of the calls whose answer had not begun
    there, and when the last such call was sent. ``learned_at`` is when this VM
    learned of each, and ``changed_at`` of the last one.
    """

    crashed_at: float
    suspects: dict[int, float] = field(default_factory=dict)
    learned_at: dict[int, float] = field(default_factory=dict)
    changed_at: float = 0.0

    def is_cleared_by(self, proven_at: float | None) -> bool:
        """Return whether a proof, if there is one, clears a fingerprint."""
        if proven_at is None:
            return False
        return proven_at >= self.crashed_at - _PROOF_LOOKBACK_S

    def list_learned_since(self, since: float) -> dict[int, float]:
        """Return the suspects that this VM learned of after a time."""
        return {
            fingerprint: self.suspects[fingerprint]
            for fingerprint, learned_at in self.learned_at.items()
            if learned_at >= since
        }


@dataclass(slots=True)
class Block:
    """A fingerprint whose calls are refused, as they crash upstreams.

    ``crashed_at`` is the last crash under it and ``trials`` the number of
    calls that were sent to find out whether it still crashes them, and did.
    ``tied`` holds the fingerprints blocked together with it because the
    crashes don't tell them apart, itself included. ``trial_call_id`` is the
    trial under way at this VM, empty if there is none.
    """

    crashed_at: float
    trials: int = 0
    tied: frozenset[int] = frozenset()
    trial_call_id: str = ''


@dataclass(slots=True)
class HeldCrash:
    """What looks like a crash of an upstream, or like a lost link to it.

    ``instance`` and ``created_ms`` name the incarnation of the upstream.
    """

    instance: str
    created_ms: int
    crash: Crash


@dataclass(slots=True)
class CrashLedger:
    """Crashes, fingerprints that are proven harmless, and blocked ones.

    ``crashes`` is by id of the crash. ``held`` are those of this VM's own
    calls of which it is not known yet whether they are some, by id too.
    ``proven_at`` is when an answer under a fingerprint was last seen to go
    well, at any VM. ``shared_proofs`` holds the proofs to pass on, and since
    when. ``unreviewed`` is whether crashes changed since the last review.
    """

    crashes: dict[int, Crash] = field(default_factory=dict)
    held: dict[int, HeldCrash] = field(default_factory=dict)
    proven_at: dict[int, float] = field(default_factory=dict)
    shared_proofs: dict[int, float] = field(default_factory=dict)
    blocks: dict[int, Block] = field(default_factory=dict)
    unreviewed: bool = False

    def add_suspects(
        self,
        crash_id: int,
        suspects: dict[int, float],
        *,
        crashed_at: float,
        now: float,
    ) -> list[int]:
        """Add fingerprints to a crash; return those that are new there.

        ``suspects`` holds when the calls were sent. The crash is recorded if
        it is not known yet.
        """
        crash = self.crashes.setdefault(crash_id, Crash(crashed_at))
        crash.crashed_at = min(crash.crashed_at, crashed_at)
        room = _MAX_SUSPECTS - len(crash.suspects)
        added = [each for each in suspects if each not in crash.suspects][:room]
        for fingerprint in added:
            crash.suspects[fingerprint] = suspects[fingerprint]
            crash.learned_at[fingerprint] = now
            crash.changed_at = now
            self.unreviewed = True
        if len(self.crashes) > _MAX_CRASHES:
            oldest = min(
                self.crashes, key=lambda each: self.crashes[each].crashed_at
            )
            self.crashes.pop(oldest)
        return added

    def forget_crashes(self, now: float) -> None:
        """Forget the crashes that are too old to count."""
        since = now - _CRASH_RETENTION_S
        if any(each.crashed_at < since for each in self.crashes.values()):
            self.crashes = {
                crash_id: crash
                for crash_id, crash in self.crashes.items()
                if crash.crashed_at >= since
            }

    def list_crashes_under(self, fingerprint: int) -> list[Crash]:
        """Return the crashes in which a fingerprint is a suspect."""
        return [
            crash
            for crash in self.crashes.values()
            if fingerprint in crash.suspects
        ]

    def list_crashes_blaming(
        self, fingerprint: int, *, with_held: bool = False
    ) -> list[Crash]:
        """Return the crashes of which no proof clears a fingerprint."""
        crashes = self.list_crashes_under(fingerprint)
        if with_held:
            crashes += [
                held.crash
                for held in self.held.values()
                if fingerprint in held.crash.suspects
            ]
        proven_at = self.proven_at.get(fingerprint)
        return [each for each in crashes if not each.is_cleared_by(proven_at)]

    def record_proof(self, fingerprint: int, proven_at: float) -> bool:
        """Record when an answer went well; return whether that is newer."""
        known_at = self.proven_at.get(fingerprint)
        if known_at is not None and proven_at <= known_at:
            return False
        # Inserted anew, so that the oldest proofs stand first.
        self.proven_at.pop(fingerprint, None)
        self.proven_at[fingerprint] = proven_at
        if len(self.proven_at) > _MAX_PROOFS:
            self._forget_proofs(proven_at)
        return True

    def forget_shared_proofs(self, since: float) -> None:
        """Forget which proofs to pass on if they were shared before a time."""
        self.shared_proofs = {
            fingerprint: shared_at
            for fingerprint, shared_at in self.shared_proofs.items()
            if shared_at >= since and fingerprint in self.proven_at
        }

    def _forget_proofs(self, now: float) -> None:
        since = now - _PROOF_RETENTION_S
        newest = list(self.proven_at.items())[-_MAX_PROOFS // 2 :]
        self.proven_at = {
            fingerprint: proven_at
            for fingerprint, proven_at in newest
            if proven_at >= since
        }
