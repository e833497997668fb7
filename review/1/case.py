"""Another writer writes an entry that can't be read: do all processes end?"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import harness

# A JSON text that breaks off within nested lists: 20 KB that can't be read.
UNREADABLE = b'{"notes":' + b'[' * 20_000
WATCHED_S = 30


async def case(folder: Path) -> int:
    async with harness.deployment(folder, nodes=3, servers=2) as it:
        traffic = asyncio.create_task(
            it.clients.stream_of('/read/a', WATCHED_S + 5, per_s=5)
        )
        await asyncio.sleep(5)
        if harness.with_trouble():
            it.store.put('servers/i-other', UNREADABLE)
        written_at = it.record.now()
        await asyncio.sleep(WATCHED_S)
        await traffic
        await it.clients.wait(3)
        late = [c for c in it.clients.calls if c.sent_at > written_at + 8]
        served = sum(call.outcome == '200' for call in late)
        for node in it.nodes:
            it.record.line(
                node.name, 'ended by itself', len(node.ends), 'times', echo=True
            )
        it.record.line(
            'served', served, 'of', len(late),
            'requests sent over 8 s after the entry', echo=True,
        )
        often = [node for node in it.nodes if len(node.ends) >= 3]
        broken = len(often) >= 2
        it.record.line('rule', 'broken' if broken else 'held', echo=True)
        return harness.BROKEN if broken else harness.HELD


harness.run_case(case)
