"""What a soak shows of broken promises."""

from collections import defaultdict
from dataclasses import dataclass, field

from tests.soak.callers import Attempt
from tests.soak.fleet import SoakFleet
from tests.soak.upstreams import WorkRecord

# An upstream may go on with a call for so long after it was cancelled.
_CANCEL_TIME_S = 0.4
_ONCE_PATHS = frozenset(('/once/', '/stream/'))


@dataclass(slots=True)
class Verdict:
    """Broken rules, each with the calls that show it, and the outcomes."""

    refused: list[str] = field(default_factory=list)
    twice: list[str] = field(default_factory=list)
    side_by_side: list[str] = field(default_factory=list)
    repeated: list[str] = field(default_factory=list)
    ended: list[str] = field(default_factory=list)
    outcomes: dict[str, int] = field(default_factory=dict)

    @property
    def is_clean(self) -> bool:
        """Whether no rule was broken."""
        return not (
            self.refused or self.twice or self.side_by_side or self.ended
        )


def judge(fleet: SoakFleet) -> Verdict:
    """Return what a soak shows; calls must have ended."""
    verdict = Verdict()
    runs: dict[str, list[WorkRecord]] = defaultdict(list)
    for record in fleet.records:
        runs[record.req_id].append(record)
    by_call: dict[str, list[Attempt]] = defaultdict(list)
    for attempt in fleet.callers.attempts:
        by_call[attempt.req_id.partition('.')[0]].append(attempt)
        outcome = f'{attempt.path} {attempt.outcome}'
        verdict.outcomes[outcome] = verdict.outcomes.get(outcome, 0) + 1
        _judge_attempt(verdict, attempt, runs[attempt.req_id])
    for attempts in by_call.values():
        ran = [each for each in attempts if runs[each.req_id]]
        if len(ran) > 1 and ran[0].path in _ONCE_PATHS:
            verdict.repeated.append(' / '.join(map(_describe, attempts)))
    for machine in fleet.machines:
        if machine.ended_alone:
            verdict.ended.append(f'{machine.name}: {machine.ended_alone}')
    return verdict


def _judge_attempt(
    verdict: Verdict, attempt: Attempt, runs: list[WorkRecord]
) -> None:
    if attempt.path in _ONCE_PATHS:
        if attempt.promised and runs:
            verdict.refused.append(f'{_describe(attempt)} {_list(runs)}')
        if len(runs) > 1:
            verdict.twice.append(f'{_describe(attempt)} {_list(runs)}')
        return
    if attempt.path != '/resume/':
        return
    for before, after in zip(runs, runs[1:], strict=False):
        ended_at = before.ended_at or float('inf')
        if (
            after.instance != before.instance
            and ended_at > after.began_at + _CANCEL_TIME_S
        ):
            verdict.side_by_side.append(
                f'{_describe(attempt)} {_list([before, after])}'
            )


def _describe(attempt: Attempt) -> str:
    kept = 'kept' if attempt.reused else 'new'
    return (
        f'{attempt.req_id} {attempt.path} {attempt.machine} {kept}'
        f' {attempt.outcome} {attempt.sent_at:.3f}-{attempt.ended_at:.3f}'
    )


def _list(runs: list[WorkRecord]) -> str:
    return ' '.join(
        f'[{run.instance} {run.began_at:.3f}-{run.ended_at or 0:.3f}]'
        for run in runs
    )
