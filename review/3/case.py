"""A planned stop: are the last requests that a machine takes answered whole?"""

import asyncio
import contextlib
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import harness

GRACE_S = 8.0
# A request that is sent later than this after the SIGTERM counts in any case.
SENT_LATER_THAN_S = 3.0
TIMEOUT_S = 6.0
EVENT_S = 0.25
SHORT_EVENTS = 4
LONG_EVENTS = 22
KEPT_CONNECTIONS = 60
# Machines are stopped and started in turn.
ROUNDS = 4


class DraftServer(harness.Server):
    """Streams as many events as a request asks for, four a second."""

    async def answer(
        self, request: harness.Message, writer: asyncio.StreamWriter
    ) -> None:
        headers = request.headers
        req_id = headers['x-attempt-id']
        if headers.get('x-expect-instance') != self.name:
            writer.write(harness.render('421 Misdirected Request', {}, b''))
            return
        run = harness.Run(req_id, self.name, self._record.now())
        self.runs.append(run)
        self._record.line('run:', req_id, 'at', self.name)
        writer.write(
            f'HTTP/1.1 200 OK\r\nX-Attempt-Id: {req_id}\r\n'
            'X-Response-Seal: seal\r\nContent-Type: text/event-stream\r\n'
            'Transfer-Encoding: chunked\r\n\r\n'.encode()
        )
        events = int(request.body.decode().strip())
        for number in range(1, events + 1):
            await asyncio.sleep(EVENT_S)
            event = f'id: {number}\ndata: {req_id}\n\n'.encode()
            writer.write(b'%x\r\n%s\r\n' % (len(event), event))
            await writer.drain()
        writer.write(b'0\r\n\r\n')
        run.ended = True


class Client:
    """A client that keeps its connection to a machine."""

    def __init__(self, number: int, node: harness.Node, record) -> None:
        self.number = number
        self.node = node
        self.outcome = 'not sent'
        self.sent_at = 0.0
        self.ended_at = 0.0
        self._record = record
        self._count = 0
        self.req_id = ''

    async def connect(self) -> None:
        self._reader, self._writer = await asyncio.open_connection(
            self.node.ip, self.node.ports[0]
        )

    async def send(self, events: int) -> None:
        """Send a request and read its answer to the end."""
        self._count += 1
        self.req_id = f'{self.node.name}-{len(self.node.ends)}-{self.number}-{self._count}'
        body = str(events).encode()
        self.sent_at = self._record.now()
        self._record.line('sent:', self.req_id, events, 'events')
        self.outcome = 'connection closed before the answer'
        with contextlib.suppress(ConnectionError):
            self._writer.write(
                'POST /draft/a HTTP/1.1\r\nHost: calls.example\r\n'
                f'X-Attempt-Id: {self.req_id}\r\nX-Deadline-Ms: 6000\r\n'
                'Authorization: Bearer key-1\r\n'
                f'Content-Length: {len(body)}\r\n\r\n'.encode() + body
            )
            answer = await harness.read_head(self._reader)
            if answer is not None:
                await harness.read_body(self._reader, answer)
                whole = 'whole' if answer.whole else 'cut off'
                seen = answer.body.count(b'id: ')
                self.outcome = f'{answer.status} {whole} {seen} events'
        self.ended_at = self._record.now()
        self._record.line('answered:', self.req_id, self.outcome)

    def close(self) -> None:
        self._writer.close()


async def play_stop(
    it: harness.Deployment, node: harness.Node, servers: list[DraftServer]
) -> int:
    """Stop a machine; return how many requests were lost in its last moment."""
    record = it.record
    clients = [Client(n, node, record) for n in range(KEPT_CONNECTIONS)]
    for client in clients:
        await client.connect()
    # Each client has had a short answer, and keeps its connection.
    await asyncio.gather(*(each.send(SHORT_EVENTS) for each in clients))
    await asyncio.sleep(1)
    if harness.with_trouble():
        node.signal(signal.SIGTERM)
    stopped_at = record.now()
    await asyncio.sleep(SENT_LATER_THAN_S + 0.005)
    tasks = []
    for client in clients:
        tasks.append(asyncio.create_task(client.send(LONG_EVENTS)))
        await asyncio.sleep(0.002)
    await asyncio.gather(*tasks)
    ran = {run.req_id for server in servers for run in server.runs}
    lost = [
        client
        for client in clients
        if client.req_id in ran
        and client.sent_at > stopped_at + SENT_LATER_THAN_S
        and client.outcome != f'200 whole {LONG_EVENTS} events'
        and client.ended_at < client.sent_at + TIMEOUT_S
    ]
    for client in lost[:3]:
        record.line(
            client.req_id, f'sent {client.sent_at - stopped_at:.3f} s',
            'after the SIGTERM, passed on, and ended',
            f'{client.ended_at - stopped_at:.2f} s after it:',
            client.outcome, echo=True,
        )
    outcomes = [client.outcome for client in clients]
    counts = {each: outcomes.count(each) for each in sorted(set(outcomes))}
    record.line(node.name, 'outcomes', counts, echo=True)
    for client in clients:
        client.close()
    return len(lost)


async def case(folder: Path) -> int:
    async with harness.deployment(folder, nodes=2, servers=0) as it:
        record = it.record
        servers = [DraftServer(f'i-d{n}', it.store, record) for n in range(4)]
        for server in servers:
            await server.start()
        config = harness.make_config(2)
        config['routes'].append(
            {
                **config['routes'][1],
                'name': 'draft',
                'path-prefix': '/draft/',
                'kind': 'streaming',
                'timeout-ms': TIMEOUT_S * 1000,
                'target-latency-ms': 2000,
                'gap-target-ms': 800,
            }
        )
        it.store.put('op/config', config)
        await asyncio.sleep(3)
        lost = 0
        for number in range(ROUNDS):
            lost += await play_stop(it, it.nodes[number % 2], servers)
            await harness.wait_ready(it.nodes)
            await asyncio.sleep(1)
        record.line(lost, 'requests lost', echo=True)
        record.line('rule', 'broken' if lost else 'held', echo=True)
        for server in servers:
            server.end()
        return harness.BROKEN if lost else harness.HELD


harness.run_case(case)
