"""Connections to the store go silent, then a server drains: who sends to it?"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import harness

# `stability-window-ms` and `drain-ms` of the site.
STABILITY_WINDOW_S = 3.0
DRAIN_S = 2.0
SILENT_FOR_S = 0.5


async def case(folder: Path) -> int:
    async with harness.deployment(
        folder, nodes=8, servers=4, others=9, proxies=True
    ) as it:
        traffic = asyncio.create_task(
            it.clients.stream_of('/confirm/a', 14, per_s=100)
        )
        await asyncio.sleep(5)
        silent_at = it.record.now()
        if harness.with_trouble():
            count = sum(way.go_silent() for way in it.proxies)
            it.record.line(
                count, 'connections of 8 machines to the store go silent;',
                'new ones work', echo=True,
            )
        await asyncio.sleep(SILENT_FOR_S)
        leaver = it.servers[0]
        leaver.drain()
        acked_at = it.record.now()
        await traffic
        await it.clients.wait(5)
        calls = {call.req_id: call for call in it.clients.calls}
        reached = [(run, calls[run.req_id]) for run in leaver.runs]
        late = [
            (run, call)
            for run, call in reached
            # All machines are in touch again, and the bound is over.
            if call.sent_at >= silent_at + STABILITY_WINDOW_S
            and run.at > acked_at + DRAIN_S
        ]
        for run, call in late:
            it.record.line(
                run.req_id, 'from', call.node, 'reaches', leaver.name,
                f'{run.at - acked_at:.2f} s after its leaving was acknowledged,',
                f'{call.sent_at - silent_at:.2f} s after the silence',
                echo=True,
            )
        last_at = max(run.at for run in leaver.runs)
        it.record.line(
            f'the last of {len(reached)} requests reached it',
            f'{last_at - acked_at:.2f} s after that', echo=True,
        )
        it.record.line('rule', 'broken' if late else 'held', echo=True)
        return harness.BROKEN if late else harness.HELD


harness.run_case(case)
