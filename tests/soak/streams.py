"""What became of the streams of a soak that their callers took up again."""

import itertools
from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping
from math import inf

from tests.soak.callers import Attempt
from tests.soak.upstreams import WorkRecord


def list_versions(
    attempts: Iterable[Attempt], runs: dict[str, list[WorkRecord]]
) -> list[str]:
    """Return the software versions whose events a call's caller has."""
    versions = set()
    for attempt in attempts:
        for run, later in itertools.pairwise([*runs[attempt.req_id], None]):
            # The router drops what came behind the event it goes on after.
            ends_at = later.first - 1 if later else run.written
            if run.first <= min(run.written, ends_at, attempt.last_event_id):
                versions.add(run.version)
    return sorted(versions)


def count_streams(
    calls: Iterable[list[Attempt]],
    runs: dict[str, list[WorkRecord]],
    left_at: Mapping[str, float],
) -> Counter[str]:
    """Count streams, and tries to take them up, by what became of them.

    ``left_at`` is from when a software version was not served by all of its
    engines, in seconds of the monotonic clock.
    """
    counts: Counter[str] = Counter()
    for attempts in calls:
        tries = [each for each in attempts if each.resumes]
        if not tries:
            continue
        counts['taken up'] += 1
        outcomes = {_tell_outcome(each) for each in tries}
        for outcome in ('gone on', 'refused', 'failed'):
            if outcome in outcomes:
                counts[outcome] += 1
                break
        for each in tries:
            place = 'out of step' if each.skewed else 'in step'
            versions = list_versions(attempts[: attempts.index(each)], runs)
            ends_at = min(
                (left_at.get(name, inf) for name in versions), default=inf
            )
            state = 'leaving' if each.sent_at > ends_at else 'served'
            counts[f'tries {place}, {state}: {_tell_outcome(each)}'] += 1
    return counts


def group_runs(
    records: Iterable[WorkRecord],
) -> dict[str, list[WorkRecord]]:
    """Return the runs of each request id in the order of their begins."""
    runs: dict[str, list[WorkRecord]] = defaultdict(list)
    for record in records:
        runs[record.req_id].append(record)
    return runs


def _tell_outcome(attempt: Attempt) -> str:
    if attempt.last_event_id > attempt.resumes_after:
        return 'gone on'
    return 'refused' if attempt.promised else 'failed'
