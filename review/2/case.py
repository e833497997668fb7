"""Another writer's entry, then a key is taken away: do all machines follow?"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import harness

# An entry of a service that no configuration names, "without a limit" of slots.
FOREIGN_ENTRY = {
    'service': 'archive',
    'address': '127.0.0.1:9',
    'zone': 'xela-a',
    'version': 'v1',
    'slots': 99_999_999_999_999_999_999,
    'state': 'ready',
    'cold-remaining-ms': 0,
    'sequence': 1,
    'born': 1_790_000_000_000,
}
# Fleets of over 13 machines follow one machine that reads the store.
MACHINES = 14
# `config-apply-ms` of the site, and `max-stretch-ms`, in case that the entry
# counts as a disruption of the store.
CONFIG_APPLY_S = 3.0
MAX_STRETCH_S = 6.0
WATCHED_S = 16


async def case(folder: Path) -> int:
    async with harness.deployment(folder, nodes=MACHINES, servers=3) as it:
        await asyncio.sleep(5)
        if harness.with_trouble():
            it.store.put('servers/i-archive', FOREIGN_ENTRY)
        await asyncio.sleep(3)
        tenants = [{'name': 'press', 'api-keys': ['key-1']}]
        it.store.put('op/config', harness.make_config(2, tenants=tenants))
        acked_at = it.record.now()
        for _ in range(WATCHED_S * 2):
            for node in it.nodes:
                it.clients.send('/confirm/a', node=node, key='key-2')
            await asyncio.sleep(0.5)
        await it.clients.wait(5)
        ran = {run.req_id for server in it.servers for run in server.runs}
        due_at = acked_at + CONFIG_APPLY_S + MAX_STRETCH_S
        late = [call for call in it.clients.calls if call.sent_at > due_at]
        served = [call for call in late if call.req_id in ran]
        names = sorted({call.node for call in served})
        it.record.line(
            'key-2 was taken away at', round(acked_at, 3), 'and', len(served),
            'of', len(late), 'requests that used it over',
            CONFIG_APPLY_S + MAX_STRETCH_S, 's later ran', echo=True,
        )
        it.record.line('at', len(names), 'machines:', *names, echo=True)
        it.record.line('rule', 'broken' if served else 'held', echo=True)
        return harness.BROKEN if served else harness.HELD


harness.run_case(case)
