"""``python -m bench.live``: configuration and restarts on real daemons."""

import argparse
import asyncio
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

import aiohttp

from bench.results import read_commit, write_document
from demo.__main__ import read_json
from demo.fleet import Fleet, FleetSettings, VmProcess, start_fleet

_POLL_S = 0.01
_LIMIT_S = 20.0


async def measure_publish(fleet: Fleet, changes: int) -> list[float]:
    """Return the seconds from each publishing to its force on all VMs."""
    seconds = []
    for number in range(changes):
        leaving = {'upstream/marine-1': {'leaving': bool(number % 2)}}
        revision = await fleet.publish(leaving)
        published_at = time.perf_counter()
        await wait_for(fleet, lambda seen, want=revision: seen == want)
        seconds.append(time.perf_counter() - published_at)
    return seconds


async def wait_for(fleet: Fleet, accept: Callable[[int], bool]) -> None:
    """Wait until the revision of every VM is accepted."""
    limit = time.perf_counter() + _LIMIT_S
    waiting = list(fleet.vms)
    async with aiohttp.ClientSession() as session:
        while waiting and time.perf_counter() < limit:
            seen = await asyncio.gather(
                *(read_revision(session, vm) for vm in waiting),
            )
            waiting = [
                vm
                for vm, revision in zip(waiting, seen, strict=True)
                if not accept(revision)
            ]
            await asyncio.sleep(_POLL_S)
    if waiting:
        raise RuntimeError(f'not in force on {[vm.name for vm in waiting]}')


async def read_revision(session: aiohttp.ClientSession, vm: VmProcess) -> int:
    """Return the revision in force on a VM, or 0 if it does not answer."""
    try:
        async with session.get(f'{vm.admin_url}/admin/status') as resp:
            return (await resp.json())['revision']
    except (aiohttp.ClientError, OSError):
        return 0


async def count_reads(fleet: Fleet, seconds: float) -> dict[str, float]:
    """Return the platform's calls a second by kind."""
    url = f'{fleet.platform_url}/admin/stats'
    before = await read_json(url)
    await asyncio.sleep(seconds)
    after = await read_json(url)
    return {
        kind: (count - before.get(kind, 0)) / seconds
        for kind, count in after.items()
    }


async def measure_restart(fleet: Fleet) -> dict[str, float]:
    """Stop and start all VMs at once; return reads and seconds to ready."""
    await asyncio.to_thread(fleet.stop_vms)
    url = f'{fleet.platform_url}/admin/stats'
    before = await read_json(url)
    started = time.perf_counter()
    for vm in fleet.vms:
        fleet.start_vm(vm)
    await fleet.wait_ready()
    ready_s = time.perf_counter() - started
    after = await read_json(url)
    reads = sum(after.values()) - sum(before.values())
    return {
        'ready_s': ready_s,
        'platform_calls': reads,
        'calls_a_vm': reads / len(fleet.vms),
    }


async def run(args: argparse.Namespace) -> dict:
    """Measure on one fleet of eight VMs."""
    with tempfile.TemporaryDirectory() as name:
        fleet = await start_fleet(FleetSettings('maree', Path(name)))
        try:
            published = sorted(await measure_publish(fleet, args.changes))
            steady = await count_reads(fleet, args.seconds)
            restart = await measure_restart(fleet)
        finally:
            await asyncio.to_thread(fleet.stop_all)
    return {
        'in_force_s': {
            'median': published[len(published) // 2],
            'worst': published[-1],
            'changes': len(published),
        },
        'steady_calls_a_second': steady,
        'mass_restart': restart,
    }


def main() -> int:
    """Parse arguments, measure, print and write."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--changes', type=int, default=20)
    parser.add_argument('--seconds', type=float, default=10)
    args = parser.parse_args()
    commit = read_commit()
    figures = asyncio.run(run(args))
    for name, group in figures.items():
        cells = ', '.join(f'{key} {cell:.3f}' for key, cell in group.items())
        print(f'{name}: {cells}')
    write_document('live', commit, figures)
    return 0


if __name__ == '__main__':
    sys.exit(main())
