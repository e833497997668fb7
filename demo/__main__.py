"""Demonstration with real processes: ``python -m demo run`` or ``up``.

``run`` sends a mixed load to both examples in turn and reports on it. ``up``
keeps the fleet that ``--fleet`` names running until Ctrl-C.
"""

import argparse
import asyncio
import json
import signal
import sys
import tempfile
from pathlib import Path

import aiohttp

from demo.fleet import (
    EXAMPLES,
    Fleet,
    FleetSettings,
    describe_endpoints,
    start_fleet,
)
from demo.load import LOADS, LoadPlan, run_load
from demo.report import print_report

DEMO_FOLDER = Path('.demo')
_DURATION_S = 15.0


async def read_json(url: str) -> dict:
    """Return the JSON document at a URL."""
    async with aiohttp.ClientSession() as session:
        async with session.get(url) as resp:
            return await resp.json()


async def read_computed_tokens(fleet: Fleet) -> int:
    """Return how many tokens all model engines have computed.

    The engines count stream events: one for each token, and one for the finish
    reason.
    """
    total = 0
    for upstream in fleet.upstreams:
        if upstream['kind'] == 'model':
            stats = await read_json(f'{upstream["url"]}/stats')
            total += stats['tokens']
    return total


async def find_broken_guarantees(fleet: Fleet, plan: LoadPlan) -> list[str]:
    """Return each case in which a guarantee to callers was broken.

    Completed streams are whole, protected classes are not shed, each class
    has a completed request, and a confirmed operation ran exactly once: what
    callers were told is compared with the upstreams' audits. The problems that
    the load generator recorded, such as lost connections, count as well.
    """
    broken = list(plan.problems)
    classes_by_name = {each['name']: each for each in plan.endpoints['classes']}
    for sample in plan.samples:
        if sample.outcome == 'cut':
            broken.append(f'{sample.service_class}: a stream was cut off')
        protected = classes_by_name[sample.service_class]['protected']
        if protected and sample.outcome == 'not_run':
            broken.append(f'{sample.service_class}: protected, but shed')
    for name in {sample.service_class for sample in plan.samples}:
        group = [each for each in plan.samples if each.service_class == name]
        if not any(each.outcome == 'completed' for each in group):
            broken.append(f'{name}: no request was completed')
    executed: list[str] = []
    for upstream in fleet.upstreams:
        if upstream['kind'] == 'service':
            audit = await read_json(f'{upstream["url"]}/audit')
            executed.extend(each['body_sha256'] for each in audit['executions'])
    if len(executed) != len(set(executed)):
        broken.append('an operation was executed twice')
    for req_id, digest in plan.operations.items():
        if digest not in executed:
            broken.append(f'{req_id}: confirmed, but not executed')
    return broken


async def run_example(name: str, seed: int) -> list[str]:
    """Run the load of one example; return the broken guarantees."""
    print(f'\n{EXAMPLES[name]}: starting 4 data centres with 2 VMs each')
    fleet = await start_fleet(FleetSettings(name, DEMO_FOLDER / name))
    try:
        plan = LoadPlan(
            describe_endpoints(fleet),
            LOADS[name],
            _DURATION_S,
            seed,
        )
        print(
            f'{EXAMPLES[name]}: sending a mixed burst for {_DURATION_S:.0f} s'
        )
        await run_load(plan)
        computed = await read_computed_tokens(fleet)
        broken = await find_broken_guarantees(fleet, plan)
        codes = await asyncio.to_thread(fleet.stop_vms)
    finally:
        await asyncio.to_thread(fleet.stop_all)
    print_report(plan.samples, plan.endpoints['classes'], _DURATION_S)
    delivered = sum(each.tokens for each in plan.samples if each.whole)
    streams = [each for each in plan.samples if each.whole and each.tokens > 1]
    # The final [DONE] of a stream is an event, but not a computed token.
    useful = sum(each.tokens - 1 for each in streams)
    wasted = max(0, computed - useful)
    print(
        f'computed {computed} tokens, in complete answers {delivered}, '
        f'wasted fraction {wasted / max(1, computed):.4f}',
    )
    for vm, code in codes.items():
        if code != 0:
            broken.append(f'{vm}: stopped with exit code {code}')
    return broken


async def run_all_examples(seed: int) -> int:
    """Run both examples one after the other; return the exit code."""
    broken = []
    for name in EXAMPLES:
        broken.extend(await run_example(name, seed))
    for problem in broken:
        print(f'BROKEN: {problem}')
    print('\nbroken guarantees:', len(broken))
    return 1 if broken else 0


async def run_until_stopped(name: str, seed: int) -> int:
    """Run the fleet of one example until SIGINT or SIGTERM.

    ``seed`` is only passed on in the endpoints file. Returns the highest exit
    code of the daemons.
    """
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(signum, stop.set)
    fleet = await start_fleet(FleetSettings(name, DEMO_FOLDER / name))
    endpoints = describe_endpoints(fleet)
    endpoints['seed'] = seed
    write_endpoints(endpoints)
    print(f'{len(fleet.vms)} VMs are ready; see .demo/endpoints.json')
    print(f'first entry: {fleet.vms[0].url}; Ctrl-C stops', flush=True)
    await stop.wait()
    print('stopping gracefully', flush=True)
    codes = await asyncio.to_thread(fleet.stop_all)
    (DEMO_FOLDER / 'endpoints.json').unlink(missing_ok=True)
    return max(codes.values(), default=0)


def write_endpoints(endpoints: dict) -> None:
    """Write the endpoints file atomically, by renaming a temporary file."""
    DEMO_FOLDER.mkdir(exist_ok=True)
    with tempfile.NamedTemporaryFile(
        'w',
        dir=DEMO_FOLDER,
        delete=False,
    ) as temp_file:
        json.dump(endpoints, temp_file, indent=2)
    Path(temp_file.name).rename(DEMO_FOLDER / 'endpoints.json')


def main() -> int:
    """Parse the arguments, run the action and return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('action', choices=('run', 'up'))
    parser.add_argument('--fleet', choices=sorted(EXAMPLES), default='xela')
    parser.add_argument('--seed', type=int, default=1)
    args = parser.parse_args()
    if args.action == 'run':
        return asyncio.run(run_all_examples(args.seed))
    return asyncio.run(run_until_stopped(args.fleet, args.seed))


if __name__ == '__main__':
    sys.exit(main())
