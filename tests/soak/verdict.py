"""What a soak shows of broken promises."""

import itertools
from collections import Counter, defaultdict
from dataclasses import dataclass, field

from tests.soak.callers import Attempt
from tests.soak.fleet import SoakFleet
from tests.soak.streams import count_streams, group_runs, list_versions
from tests.soak.upstreams import WorkRecord

# An upstream may go on with a call for so long after it was cancelled.
_CANCEL_TIME_S = 0.4
# Streams that may hold events of two software versions.
_MAX_MIXED = 2
_ONCE_PATHS = frozenset(('/once/', '/stream/'))


@dataclass(slots=True)
class Verdict:
    """Broken rules, each with the calls that show it, and the outcomes."""

    refused: list[str] = field(default_factory=list)
    twice: list[str] = field(default_factory=list)
    side_by_side: list[str] = field(default_factory=list)
    repeated: list[str] = field(default_factory=list)
    foreign: list[str] = field(default_factory=list)
    ended: list[str] = field(default_factory=list)
    mixed_versions: list[str] = field(default_factory=list)
    streams: Counter[str] = field(default_factory=Counter)
    outcomes: dict[str, int] = field(default_factory=dict)

    @property
    def is_clean(self) -> bool:
        """Whether no rule was broken."""
        return not (
            self.refused
            or self.twice
            or self.side_by_side
            or self.foreign
            or self.ended
            or len(self.mixed_versions) > _MAX_MIXED
        )


def judge(fleet: SoakFleet) -> Verdict:
    """Return what a soak shows; calls must have ended."""
    verdict = Verdict()
    runs = group_runs(fleet.records)
    by_call: dict[str, list[Attempt]] = defaultdict(list)
    for attempt in fleet.callers.attempts:
        by_call[attempt.req_id.partition('.')[0]].append(attempt)
        outcome = f'{attempt.path} {attempt.outcome}'
        verdict.outcomes[outcome] = verdict.outcomes.get(outcome, 0) + 1
        if attempt.foreign:
            verdict.foreign.append(f'{_describe(attempt)} {attempt.foreign}')
    for attempts in by_call.values():
        _judge_call(verdict, attempts, runs)
    verdict.streams = count_streams(by_call.values(), runs, fleet.left_at)
    for machine in fleet.machines:
        if machine.ended_alone:
            verdict.ended.append(f'{machine.name}: {machine.ended_alone}')
    return verdict


def _judge_call(
    verdict: Verdict,
    attempts: list[Attempt],
    runs: dict[str, list[WorkRecord]],
) -> None:
    """Judge the attempts of a call, of which some may share an id."""
    ran = {each.req_id for each in attempts if runs[each.req_id]}
    path = attempts[0].path
    if path in _ONCE_PATHS:
        if len(ran) > 1:
            verdict.repeated.append(' / '.join(map(_describe, attempts)))
        for index, attempt in enumerate(attempts):
            own = _find_runs(attempt, attempts[index + 1 :], runs)
            _judge_attempt(verdict, attempt, own)
    elif path == '/resume/':
        for req_id in ran:
            _judge_stream(verdict, attempts, runs[req_id])
        if len(list_versions(attempts, runs)) > 1:
            tries = ' / '.join(
                f'{_describe(each)} {_list(runs[each.req_id])}'
                for each in attempts
            )
            verdict.mixed_versions.append(tries)


def _find_runs(
    attempt: Attempt,
    later_attempts: list[Attempt],
    runs: dict[str, list[WorkRecord]],
) -> list[WorkRecord]:
    """Return the runs of an attempt, until its id is sent again."""
    again_at = [
        each.sent_at for each in later_attempts if each.req_id == attempt.req_id
    ]
    ends_at = min(again_at, default=float('inf'))
    return [
        run
        for run in runs[attempt.req_id]
        if attempt.sent_at <= run.began_at < ends_at
    ]


def _judge_attempt(
    verdict: Verdict, attempt: Attempt, runs: list[WorkRecord]
) -> None:
    if attempt.promised and runs:
        verdict.refused.append(f'{_describe(attempt)} {_list(runs)}')
    if len(runs) > 1:
        verdict.twice.append(f'{_describe(attempt)} {_list(runs)}')


def _judge_stream(
    verdict: Verdict, attempts: list[Attempt], runs: list[WorkRecord]
) -> None:
    for before, after in itertools.pairwise(runs):
        ended_at = before.ended_at or float('inf')
        if (
            after.instance != before.instance
            and ended_at > after.began_at + _CANCEL_TIME_S
        ):
            verdict.side_by_side.append(
                f'{_describe(attempts[-1])} {_list([before, after])}'
            )


def _describe(attempt: Attempt) -> str:
    kept = 'kept' if attempt.reused else 'new'
    return (
        f'{attempt.req_id} {attempt.path} {attempt.machine} {kept}'
        f' {attempt.outcome} {attempt.sent_at:.3f}-{attempt.ended_at:.3f}'
    )


def _list(runs: list[WorkRecord]) -> str:
    return ' '.join(
        f'[{run.instance} {run.version} from {run.first}'
        f' {run.began_at:.3f}-{run.ended_at or 0:.3f}]'
        for run in runs
    )
