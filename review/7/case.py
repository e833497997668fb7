"""Case 7: all processes end just after the store has forgotten its history.

Two of eight engines run software version v1, the others v2. The engines of v1
leave: their entries are removed, and they go on serving. In that gap the store
drops its history. A moment later all router processes are killed, and start
again after a second. The clients take their streams up. They count the streams
that hold events of two versions.
"""

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import kit2  # noqa: E402
import streams2  # noqa: E402

ZONES = ('xela-a', 'xela-b', 'toto-a', 'solola-a')
ENGINES = 8
OLD_ENGINES = 2
STREAMS_PER_S = 12.8
DOWN_S = 1.0
# More streams than this of two versions break the rule.
ALLOWED = 2


async def judge(record, trouble):
    """Run the case; return whether the rule was broken."""
    deployment = kit2.Deployment(record, ZONES)
    store = streams2.FaultyStore(deployment.store.host)
    deployment.store = store
    for number in range(ENGINES):
        engine = deployment.add_engine(
            streams2.StreamEngine, 'redactor', f'e{number}',
            ZONES[number % len(ZONES)],
        )
        engine.version = 'v1' if number < OLD_ENGINES else 'v2'
    clients = streams2.Clients(deployment, record, pause_s=2.0)
    try:
        await deployment.start(streams2.configuration())
        await asyncio.sleep(3)
        feed = asyncio.create_task(clients.feed(STREAMS_PER_S))
        await asyncio.sleep(4)
        if trouble:
            await _disturb(record, deployment, store)
        await asyncio.sleep(4)
        feed.cancel()
        await clients.wait()
    finally:
        await deployment.stop()
    return clients.count_mixed() > ALLOWED


async def _disturb(record, deployment, store):
    leaving = deployment.engines[:OLD_ENGINES]
    for engine in leaving:
        engine.leaves = True
        store.delete(f'servers/{engine.instance}')
        record.write(f'engine {engine.name}: entry removed, serves on')
    await asyncio.sleep(0.3)
    store.forget_history()
    record.write('store: history dropped')
    await asyncio.sleep(0.4)
    record.write('all router processes: SIGKILL')
    for node in deployment.nodes:
        node.signal(signal.SIGKILL)
    for node in deployment.nodes:
        await node.process.wait()
    await asyncio.sleep(DOWN_S)
    for node in deployment.nodes:
        await node.start()
    record.write('all router processes: started')
    await asyncio.sleep(2.5)
    for engine in leaving:
        engine.crash()
        record.write(f'engine {engine.name}: has exited')


kit2.main(FOLDER, judge)
