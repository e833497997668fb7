"""Resumable streams: a store with faults, engines and clients.

An engine writes its software version into each event, so that a client sees
which version wrote what it got.
"""

import asyncio
import time
from dataclasses import dataclass, field

import kit2

EVENTS = 93
EVENT_INTERVAL_S = 0.04
DEADLINE_S = 15.0
_CHUNK_END = b'0\r\n\r\n'


def configuration():
    """Return a configuration with the route of the streams."""
    return kit2.config(
        [
            kit2.route(
                'gap-stream', '/gap/', 'streaming', 'redactor',
                **{
                    'timeout-ms': 15000, 'target-latency-ms': 300,
                    'priority': 0, 'max-attempts': 2,
                    'sticky-sessions': True, 'stream-resume': True,
                    'gap-target-ms': 200,
                },
            )
        ],
        [
            {
                'name': 'redactor', 'health-path': '/health',
                'max-connections': 370,
                'engine': {'slots': 64, 'kv-capacity': 232000},
            }
        ],
    )


class FaultyStore(kit2.Store):
    """A store that can be away, and that can forget its history.

    While ``away`` it answers 503, and 503 means that nothing was done.
    """

    def __init__(self, host):
        super().__init__(host)
        self.away = False
        self.oldest = 0

    def forget_history(self):
        """Drop all changes; watches from an older revision get 410."""
        self.oldest = self.revision + 1
        self.history.clear()

    async def answer(self, request, peer):
        """Answer, or refuse."""
        if self.away:
            peer.write_answer(503, {}, b'')
            return
        if request.target.startswith('/-/kv-watch'):
            after = int(request.target.split('after=')[1].split('&')[0])
            if after + 1 < self.oldest or after > self.revision:
                peer.write_answer(410, {}, b'')
                return
        await super().answer(request, peer)


class StreamEngine(kit2.Engine):
    """An engine that streams events and drops what lost its connection."""

    leaves = False

    def write_entry(self, state='ready'):
        """Write the entry, unless the store is away or the engine leaves."""
        if not self.store.away and not self.leaves:
            super().write_entry(state)

    def crash(self):
        """End: all connections are reset and none is accepted."""
        self.listens = False
        self.end()

    async def come_back(self):
        """Start again under the same id and at the same address."""
        self.sequence = 0
        self.born = int(time.time() * 1000)
        await self.listen()
        self.listens = True
        self.write_entry()

    async def run(self, request, peer):
        """Stream the events after Last-Event-Id."""
        version = self.version
        first = int(request.headers.get('last-event-id', '0')) + 1
        await asyncio.sleep(0.03)
        lines = [
            'HTTP/1.1 200 OK',
            f'X-Attempt-Id: {request.req_id}',
            f'X-Response-Seal: seal-{request.req_id}',
            'Content-Type: text/event-stream',
            'Transfer-Encoding: chunked',
        ]
        peer.writer.write('\r\n'.join([*lines, '', '']).encode())
        for number in range(first, EVENTS + 1):
            event = f'id: {number}\ndata: {version} {self.name}\n\n'.encode()
            peer.writer.write(b'%x\r\n%s\r\n' % (len(event), event))
            await peer.writer.drain()
            await asyncio.sleep(EVENT_INTERVAL_S)
        peer.writer.write(_CHUNK_END)


@dataclass
class Stream:
    """What a client got of one stream, over all its tries.

    ``first_id`` is the id of the try that brought the first event.
    """

    name: str
    last_event: int = 0
    first_id: str = ''
    tries: int = 0
    versions: list = field(default_factory=list)
    engines: list = field(default_factory=list)
    complete: bool = False

    def add(self, req_id, body):
        """Add the whole events of an answer."""
        for event in body.decode().split('\n\n')[:-1]:
            id_line, data = event.split('\n')
            number = int(id_line.removeprefix('id: '))
            assert number == self.last_event + 1, (self.name, number)
            self.last_event = number
            self.first_id = self.first_id or req_id
            _, version, engine = data.split(' ')
            if version not in self.versions:
                self.versions.append(version)
            if engine not in self.engines:
                self.engines.append(engine)


class Clients:
    """Sound clients: they resume a broken stream, and honour Retry-After."""

    def __init__(self, deployment, record, pause_s=0.1):
        self.streams = []
        self._deployment = deployment
        self._record = record
        self._pause_s = pause_s
        self._tasks = set()

    async def feed(self, per_s):
        """Begin streams until cancelled."""
        while True:
            self.begin()
            await asyncio.sleep(1 / per_s)

    def begin(self):
        """Begin a stream."""
        stream = Stream(f's{len(self.streams)}')
        self.streams.append(stream)
        self._tasks.add(asyncio.create_task(self._read(stream)))

    async def wait(self):
        """Wait until all streams have ended."""
        await asyncio.gather(*self._tasks)
        served = sum(each.complete for each in self.streams)
        self._record.write(
            f'streams {len(self.streams)} complete {served}'
            f' of two versions {self.count_mixed()}'
        )

    def count_mixed(self):
        """Return how many streams hold events of two versions."""
        return sum(len(each.versions) > 1 for each in self.streams)

    async def _read(self, stream):
        number = int(stream.name[1:])
        ends_at = time.monotonic() + DEADLINE_S
        nodes = self._deployment.nodes
        while not stream.complete:
            left_s = ends_at - time.monotonic()
            if left_s < 0.5:
                break
            req_id = f'{stream.name}-{stream.tries}'
            headers = {
                'X-Model': 'm',
                'X-Token-Counts': '200,279',
                'X-Prompt-Prefix': f'aa{number % 8}:100,bb{number}:100',
            }
            if stream.last_event:
                headers['Last-Event-Id'] = stream.last_event
                headers['Resumes'] = stream.first_id
            node = nodes[(number + stream.tries) % len(nodes)]
            stream.tries += 1
            answer = await kit2.send(
                node.address, 'POST', '/gap/x', req_id, body=b'x' * 1400,
                deadline_ms=int(left_s * 1000), headers=headers,
            )
            if answer.status == 200:
                stream.add(req_id, answer.body)
                stream.complete = answer.whole
            self._record.write(
                f'{req_id} at {node.name}: {answer.status}'
                f' {"whole" if answer.whole else answer.cause}'
                f' up to event {stream.last_event}'
                f' versions {",".join(stream.versions)}'
                f' engines {",".join(stream.engines)}'
            )
            if not stream.complete:
                pause_s = float(answer.headers.get('retry-after', 0))
                await asyncio.sleep(max(self._pause_s, pause_s))
