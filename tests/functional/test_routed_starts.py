"""Starts of the routing process as the platform runs it."""

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
from pathlib import Path

from fakes.store import StoreStandIn
from tests.lib.platformdata import build_boot_settings, build_config
from tests.lib.routedfleet import LOOPBACK_NET, find_ports

_ROOT = Path(__file__).resolve().parents[2]
_TIMEOUT_S = 30


async def start_node(settings_path):
    """Start the program that the platform runs, with its log in a pipe."""
    return await asyncio.create_subprocess_exec(
        sys.executable,
        'deploy/node.py',
        cwd=_ROOT,
        env={**os.environ, 'BILBERRYSPOKE_BOOT': str(settings_path)},
        stdout=subprocess.PIPE,
    )


async def read_event(process, name):
    """Return the first log line of an event; None if the log ends before."""
    async with asyncio.timeout(_TIMEOUT_S):
        async for line in process.stdout:
            decoded = json.loads(line)
            if decoded.get('event') == name:
                return decoded
    return None


def test_sighup_during_start_does_not_end_process(tmp_path):
    # A SIGHUP before the daemon had its handler ended the process.
    async def run():
        store = StoreStandIn()
        await store.start()
        store.put('op/config', build_config())
        ip = f'{LOOPBACK_NET}.1'
        settings = build_boot_settings(
            ip=ip, ports=find_ports([ip]), store=store.address
        )
        path = tmp_path / 'settings.yaml'
        os.mkfifo(path)
        process = await start_node(path)
        try:
            # Opening waits until the process begins to read its settings.
            pipe = await asyncio.to_thread(path.open, 'w', encoding='utf-8')
            process.send_signal(signal.SIGHUP)
            with pipe:
                pipe.write(json.dumps(settings))
            assert await read_event(process, 'started') is not None
            process.send_signal(signal.SIGTERM)
            assert await process.wait() == 0
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()
            await store.stop()

    asyncio.run(run())


def test_port_between_vms_in_use_is_told_by_exit_code(tmp_path):
    # It ended with a traceback, and the code of a stop that cut calls off.
    async def run():
        ip = f'{LOOPBACK_NET}.1'
        ports = find_ports([ip])
        settings = build_boot_settings(ip=ip, ports=ports)
        path = tmp_path / 'settings.yaml'
        path.write_text(json.dumps(settings), encoding='utf-8')
        with socket.create_server((ip, ports[3])):
            process = await start_node(path)
            async with asyncio.timeout(_TIMEOUT_S):
                assert await process.wait() == 3

    asyncio.run(run())
