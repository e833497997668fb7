"""Which fingerprints explain the crashes of upstreams.

A crash has many suspects, most of them innocent. One that an answer proves
harmless about that time is cleared. A fingerprint is a culprit after several
crashes, if calls that were sent after one of them crashed the next; upstreams
that are lost together, as with a rack, are not enough. The crashes that it
explains count against no other suspect any more. Times are in seconds of the
boot-time clock.
"""

from collections.abc import Iterable, Mapping

from bilberryspoke._internal.core.routing.crashledger import Crash

# Crashes after which a fingerprint is a culprit.
_MIN_CRASHES = 3
# How many of them must follow one another, each under a call that was sent
# after the one before.
_MIN_SEQUENCE = 2
_NEVER = -1e9


def count_sequence(crashes: Iterable[Crash], fingerprint: int) -> int:
    """Count the crashes under a fingerprint that follow one another.

    Each of them is under a call that was sent after the crash before.
    """
    count = 0
    previous_at = _NEVER
    for crash in sorted(crashes, key=lambda each: each.crashed_at):
        if crash.suspects[fingerprint] >= previous_at:
            count += 1
            previous_at = crash.crashed_at
    return count


def crashes_in_sequence(crashes: Iterable[Crash], fingerprint: int) -> bool:
    """Return whether calls crashed upstreams one after the other."""
    return count_sequence(crashes, fingerprint) >= _MIN_SEQUENCE


def find_culprits(
    crashes: Iterable[Crash], proven_at: Mapping[int, float]
) -> list[frozenset[int]]:
    """Return the culprits; those that can't be told apart form one group."""
    by_fingerprint = _group_by_suspect(crashes, proven_at)
    groups = []
    while True:
        group = _find_strongest(by_fingerprint, proven_at)
        if not group:
            return groups
        groups.append(group)
        explained = _identify(by_fingerprint[min(group)])
        by_fingerprint = {
            suspect: [each for each in blamed if id(each) not in explained]
            for suspect, blamed in by_fingerprint.items()
        }


def _group_by_suspect(
    crashes: Iterable[Crash], proven_at: Mapping[int, float]
) -> dict[int, list[Crash]]:
    """Return the crashes under each fingerprint, without cleared ones."""
    by_fingerprint: dict[int, list[Crash]] = {}
    for crash in crashes:
        for suspect in crash.suspects:
            if not crash.is_cleared_by(proven_at.get(suspect)):
                by_fingerprint.setdefault(suspect, []).append(crash)
    return by_fingerprint


def _identify(crashes: Iterable[Crash]) -> set[int]:
    return {id(crash) for crash in crashes}


def _find_strongest(
    by_fingerprint: Mapping[int, list[Crash]], proven_at: Mapping[int, float]
) -> frozenset[int]:
    """Return the fingerprints that explain the most crashes.

    Among those that explain as many, the ones without any proof go first.
    """
    strength = {
        fingerprint: (len(blamed), fingerprint not in proven_at)
        for fingerprint, blamed in by_fingerprint.items()
        if len(blamed) >= _MIN_CRASHES
        and crashes_in_sequence(blamed, fingerprint)
    }
    if not strength:
        return frozenset()
    strongest = max(strength, key=lambda each: strength[each])
    same_crashes = _identify(by_fingerprint[strongest])
    return frozenset(
        suspect
        for suspect in strength
        if strength[suspect] == strength[strongest]
        and _identify(by_fingerprint[suspect]) == same_crashes
    )
