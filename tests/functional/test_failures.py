"""Stops, crashes, drains and outages through real daemons."""

import asyncio
import os
import signal

import aiohttp

from demo.__main__ import read_json
from tests.functional.test_path import expect_bytes, stream_raw
from tests.lib.fleets import run_fleet

_POLLS = 200
_POLL_S = 0.05


async def wait_until(check):
    """Poll a condition; the limit only ends a test that hangs."""
    for _ in range(_POLLS):
        if await check():
            return
        await asyncio.sleep(_POLL_S)
    raise AssertionError('the condition did not come true')


async def read_revision(vm):
    return (await read_json(f'{vm.admin_url}/admin/status'))['revision']


async def all_at(vms, revision):
    return all([await read_revision(vm) == revision for vm in vms])


async def read_stats(fleet, name):
    url = f'http://127.0.0.1:{fleet.ports[name]}/stats'
    return await read_json(url)


async def open_streams(fleet, vms, prefix, count):
    session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
    contents = [f'{prefix}-{number}' for number in range(count)]
    tasks = [
        asyncio.create_task(
            stream_raw(session, vms[number % len(vms)], content),
        )
        for number, content in enumerate(contents)
    ]
    return session, contents, tasks


async def finish_whole(session, contents, tasks):
    answers = await asyncio.gather(*tasks)
    await session.close()
    for content, (status, raw) in zip(contents, answers, strict=True):
        assert status == 200, raw
        assert raw == expect_bytes(content)


async def check_crash_resumes(fleet):
    opened = await open_streams(fleet, fleet.vms, 'crash', 40)
    await asyncio.sleep(0.5)
    url = f'http://127.0.0.1:{fleet.ports["marine-1"]}/admin/fault'
    await opened[0].post(url, json={'crash': True})
    await finish_whole(*opened)


async def check_drain(fleet):
    revision = await fleet.publish({'upstream/marine-2': {'leaving': True}})
    await wait_until(lambda: all_at(fleet.vms, revision))
    await wait_until(lambda: _is_idle(fleet, 'marine-2'))
    before = (await read_stats(fleet, 'marine-2'))['started']
    opened = await open_streams(fleet, fleet.vms, 'drain', 30)
    await finish_whole(*opened)
    assert (await read_stats(fleet, 'marine-2'))['started'] == before


async def _is_idle(fleet, name):
    stats = await read_stats(fleet, name)
    return stats['started'] == stats['finished'] + stats['cancelled']


async def check_bad_bundle(fleet):
    before = await read_revision(fleet.vms[0])
    url = f'{fleet.platform_url}/admin/values/manifest'
    raw = b'{"format":1,"revision":999,"values":["%s"]}' % (b'0' * 64)
    async with aiohttp.ClientSession() as session:
        await session.put(url, data=raw)
    opened = await open_streams(fleet, fleet.vms, 'bad', 10)
    await finish_whole(*opened)
    assert await all_at(fleet.vms, before)


async def check_start_without_platform(fleet):
    url = f'{fleet.platform_url}/admin/mode'
    async with aiohttp.ClientSession() as session:
        await session.put(url, json={'mode': 'down'})
    vm = fleet.vms[1]
    revision = await read_revision(fleet.vms[0])
    os.kill(vm.pid, signal.SIGKILL)
    fleet.processes.children.pop(vm.name).wait()
    fleet.start_vm(vm)
    await fleet.wait_ready([vm])
    assert await read_revision(vm) == revision
    opened = await open_streams(fleet, fleet.vms, 'alone', 10)
    await finish_whole(*opened)


async def check_stop_cuts_nothing(fleet):
    vm = fleet.vms[0]
    opened = await open_streams(fleet, [vm], 'stop', 100)
    await asyncio.sleep(0.4)
    os.kill(vm.pid, signal.SIGTERM)
    await finish_whole(*opened)
    child = fleet.processes.children.pop(vm.name)
    assert await asyncio.to_thread(child.wait) == 0


def test_failures(tmp_path):
    async def run():
        async with run_fleet(tmp_path) as fleet:
            await check_crash_resumes(fleet)
            await check_drain(fleet)
            await check_bad_bundle(fleet)
            await check_start_without_platform(fleet)
            await check_stop_cuts_nothing(fleet)

    asyncio.run(run())
