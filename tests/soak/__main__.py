"""Command line of the soak."""

import argparse
import asyncio
import random
import re
import sys
import time
from pathlib import Path

from tests.soak import releases as releases  # Registers disturbances.
from tests.soak.disturbances import Disturber
from tests.soak.fleet import SoakFleet, SoakSize, run_soak_fleet
from tests.soak.verdict import Verdict, judge

_LISTED = 8
# What the logs tell of calls; older builds write no connections.
_LOGGED = {
    'hand-offs': '"call_handed_off"',
    'hand-offs ended on kept connections': (
        r'"upstream": "".*"connection": "\d+/(?!1\b).*"call_ended"'
    ),
    'sends ended on kept connections': (
        r'"connection": "\d+/(?!1\b).*"call_ended"'
    ),
    'sends ended behind surplus answers': (
        r'"connection": "[^"]* surplus .*"call_ended"'
    ),
}


async def soak(args: argparse.Namespace) -> Verdict:
    """Run one soak and print what it shows."""
    source = random.Random(args.seed)
    size = SoakSize(
        args.machines,
        args.data_centres,
        args.app_upstreams,
        args.engines,
        refusing=args.refusing,
        copying=args.copying,
        late=args.late,
        same_id=args.same_id,
        stuttering=args.stuttering,
        crossing=args.crossing,
        resuming=args.resuming,
        unframed=args.unframed,
    )
    folder = Path(args.logs) if args.logs else None
    if folder is not None:
        folder.mkdir(parents=True, exist_ok=True)
    began_at = time.monotonic()
    builds = [Path(each).resolve() for each in args.builds]
    async with run_soak_fleet(size, source, folder, builds) as fleet:
        print(f'ready after {time.monotonic() - began_at:.1f} s', flush=True)
        fleet.burst_per_s = 2 * args.per_s
        disturber = Disturber(fleet, source, tuple(args.only))
        await asyncio.gather(
            fleet.callers.send_calls(args.seconds, args.per_s),
            disturber.run(args.seconds, args.gap_s),
        )
        await fleet.callers.wait(10)
        # A call that was given up may still run.
        await asyncio.sleep(5)
        verdict = judge(fleet)
        names = [name for _, name in disturber.noted]
        print('disturbances', {each: names.count(each) for each in set(names)})
        print('starts', sum(each.starts for each in fleet.machines))
        for name, count in sorted(fleet.counts.items()):
            print(f'  {count:6} {name}')
        for name, count in _count_log_lines(fleet).items():
            print(f'  {count:6} logged: {name}')
    return verdict


def _count_log_lines(fleet: SoakFleet) -> dict[str, int]:
    """Count lines of the machines' logs, which drop routine lines at times."""
    texts = [each.log_path.read_text('utf-8') for each in fleet.machines]
    return {
        name: sum(len(re.findall(pattern, text)) for text in texts)
        for name, pattern in _LOGGED.items()
    }


def _print_verdict(verdict: Verdict) -> None:
    for outcome, count in sorted(verdict.outcomes.items()):
        print(f'  {count:6} {outcome}')
    streams = sorted(verdict.streams.items())
    print('streams', dict(streams))
    for name in (
        'refused',
        'twice',
        'side_by_side',
        'foreign',
        'repeated',
        'ended',
        'mixed_versions',
    ):
        cases = getattr(verdict, name)
        print(f'{name}: {len(cases)}')
        for case in cases[:_LISTED]:
            print(f'    {case}')


def main() -> None:
    """Run a soak; exit with 1 if a promise was broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--machines', type=int, default=6)
    parser.add_argument('--data-centres', type=int, default=2)
    parser.add_argument('--app-upstreams', type=int, default=4)
    parser.add_argument('--engines', type=int, default=4)
    for name in (
        'refusing',
        'copying',
        'late',
        'same-id',
        'stuttering',
        'crossing',
        'resuming',
        'unframed',
    ):
        parser.add_argument(
            f'--{name}', type=float, default=0, help='fraction, see SoakSize'
        )
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=30)
    parser.add_argument('--per-s', type=float, default=60)
    parser.add_argument('--gap-s', type=float, default=0.6)
    parser.add_argument('--logs', default='', help='folder that keeps the logs')
    parser.add_argument(
        '--builds',
        nargs='*',
        default=[],
        help='checkouts to run in turn, instead of this one',
    )
    parser.add_argument('--only', nargs='*', default=[])
    args = parser.parse_args()
    verdict = asyncio.run(soak(args))
    _print_verdict(verdict)
    sys.exit(not verdict.is_clean)


if __name__ == '__main__':
    main()
