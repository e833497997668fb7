"""Mixed traffic for both examples, reproducible from a seed."""

import asyncio
import json
import random
import time
from collections import defaultdict
from dataclasses import dataclass, field

import aiohttp

from fakes.answers import generate_answer

_DONE = b'data: [DONE]'
_DATA = b'data: '


@dataclass(frozen=True)
class ClassLoad:
    """Arrivals of one class; ``rate`` is in requests per second.

    ``max_tokens`` is the limit that each request sets for its answer. From
    ``burst_start_fraction`` to ``burst_end_fraction`` of the duration the rate
    is multiplied by ``burst_factor``.
    """

    name: str
    rate: float
    burst_factor: float = 1.0
    burst_start_fraction: float = 0.3
    burst_end_fraction: float = 0.7
    max_tokens: int = 400


LOADS = {
    'xela': (
        ClassLoad('election-draft', 8, burst_factor=3),
        ClassLoad('shift-change', 6, burst_factor=2),
        ClassLoad('rota-draft', 10, burst_factor=2),
        ClassLoad('gap-list', 10, burst_factor=2),
        ClassLoad('shift-confirmation', 5),
    ),
    'maree': (
        ClassLoad('counter-answer', 5, burst_factor=3, max_tokens=150),
        ClassLoad('phone-answer', 4, burst_factor=2),
        ClassLoad('itinerary', 4, burst_factor=2),
        ClassLoad('contract-reading', 3, burst_factor=2, max_tokens=800),
        ClassLoad('booking', 5),
    ),
}


@dataclass
class Sample:
    """Outcome of one request as its caller saw it.

    ``outcome`` is the one that the router reports, ``cut`` for a stream without
    an end, or ``unknown`` if the request failed without an outcome. ``tokens``
    counts the events of a stream with the final ``[DONE]``, and is 1 for an
    operation. ``whole`` means that the answer was complete and as expected.
    Durations are in seconds.
    """

    service_class: str
    workspace: str
    outcome: str
    first_token_s: float | None
    total_s: float
    tokens: int
    whole: bool


@dataclass
class LoadPlan:
    """Where and what to send, and what came back.

    ``endpoints`` is what ``describe_endpoints`` returns. ``operations`` maps
    the request id of each confirmed operation to the SHA-256 of its body.
    ``problems`` describes failed requests and wrong answers.
    """

    endpoints: dict
    classes: tuple[ClassLoad, ...]
    duration_s: float
    seed: int
    samples: list[Sample] = field(default_factory=list)
    problems: list[str] = field(default_factory=list)
    operations: dict[str, str] = field(default_factory=dict)


async def run_load(plan: LoadPlan) -> None:
    """Send all requests of a plan and add their samples to it."""
    source = random.Random(plan.seed)
    arrivals = sorted(_plan_arrivals(plan, source), key=lambda each: each[0])
    connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=3)
    timeout = aiohttp.ClientTimeout(total=180)
    async with aiohttp.ClientSession(
        connector=connector,
        timeout=timeout,
    ) as session:
        started_at = time.monotonic()
        tasks = []
        for number, (at, load) in enumerate(arrivals):
            await asyncio.sleep(max(0, started_at + at - time.monotonic()))
            sender = _RequestSender(plan, session, load, number, source)
            tasks.append(asyncio.create_task(sender.run()))
        await asyncio.gather(*tasks)


def _plan_arrivals(
    plan: LoadPlan,
    source: random.Random,
) -> list[tuple[float, ClassLoad]]:
    """Return the arrivals of each class, in seconds from the start."""
    arrivals = []
    for load in plan.classes:
        at = 0.0
        while True:
            elapsed_fraction = at / plan.duration_s
            in_burst = (
                load.burst_start_fraction
                <= elapsed_fraction
                < load.burst_end_fraction
            )
            rate = load.rate * (load.burst_factor if in_burst else 1)
            at += source.expovariate(rate)
            if at >= plan.duration_s:
                break
            arrivals.append((at, load))
    return arrivals


class _RequestSender:
    """Sends one request as one caller.

    Workspace and entry are drawn from ``source``, a random generator.
    """

    def __init__(
        self,
        plan: LoadPlan,
        session: aiohttp.ClientSession,
        load: ClassLoad,
        number: int,
        source: random.Random,
    ) -> None:
        self._plan = plan
        self._session = session
        self._load = load
        self._number = number
        self._req_id = f's{plan.seed}-{load.name}-{number}'
        endpoints = plan.endpoints
        approved = [
            workspace
            for workspace in endpoints['workspaces']
            if load.name in workspace['classes']
        ]
        # Squaring favours the first workspaces, which are the large ones.
        position = int(len(approved) * source.random() ** 2)
        self._workspace = approved[position]
        self._entry = source.choice(endpoints['entries'])['url']
        self._headers = {
            'Authorization': f'Bearer {self._workspace["key"]}',
            'X-Request-Class': load.name,
            'X-Request-Id': self._req_id,
        }

    async def run(self) -> None:
        """Send the request and add its sample to the plan."""
        started_at = time.monotonic()
        try:
            sample = await self._send(started_at)
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            self._plan.problems.append(f'{self._req_id}: {exc!r}')
            sample = self._make_sample(started_at, 'unknown', None, 0, False)
        self._plan.samples.append(sample)

    async def _send(self, started_at: float) -> Sample:
        if self._load.name in {'shift-confirmation', 'booking'}:
            return await self._send_operation(started_at)
        return await self._send_completion(started_at)

    async def _send_completion(self, started_at: float) -> Sample:
        pool = _find_pool(self._plan.endpoints, 'model')
        messages = [
            {'role': 'system', 'content': f'notes {self._workspace["name"]}'},
            {'role': 'user', 'content': self._req_id + ' detail' * 60},
        ]
        body = {
            'model': pool['offers'],
            'messages': messages,
            'stream': True,
            'max_tokens': self._load.max_tokens,
        }
        expected = generate_answer(messages, self._load.max_tokens).text
        url = f'{self._entry}/v1/chat/completions'
        first_token_at = None
        raw = bytearray()
        async with self._session.post(
            url,
            json=body,
            headers=self._headers,
        ) as resp:
            if resp.status != 200:
                return self._make_refused_sample(started_at, resp)
            async for chunk in resp.content.iter_any():
                if first_token_at is None:
                    first_token_at = time.monotonic()
                raw += chunk
        until_first_token_s = (
            first_token_at - started_at if first_token_at else None
        )
        text, outcome = _read_stream(bytes(raw))
        whole = outcome == 'completed' and text == expected
        if outcome == 'completed' and not whole:
            self._plan.problems.append(f'{self._req_id}: wrong answer')
        tokens = bytes(raw).count(b'\n\n')
        return self._make_sample(
            started_at, outcome, until_first_token_s, tokens, whole
        )

    async def _send_operation(self, started_at: float) -> Sample:
        pool = _find_pool(self._plan.endpoints, 'service')
        url = f'{self._entry}/v1/services/{pool["offers"]}/orders'
        async with self._session.post(
            url,
            json={'order': self._req_id},
            headers=self._headers,
        ) as resp:
            body = await resp.read()
            if resp.status != 200:
                return self._make_refused_sample(started_at, resp)
        answer = json.loads(body)
        self._plan.operations[self._req_id] = answer['body_sha256']
        until_first_token_s = time.monotonic() - started_at
        return self._make_sample(
            started_at, 'completed', until_first_token_s, 1, True
        )

    def _make_refused_sample(
        self,
        started_at: float,
        resp: aiohttp.ClientResponse,
    ) -> Sample:
        outcome = resp.headers.get('x-request-outcome', 'unknown')
        return self._make_sample(started_at, outcome, None, 0, False)

    def _make_sample(
        self,
        started_at: float,
        outcome: str,
        first_token_s: float | None,
        tokens: int,
        whole: bool,
    ) -> Sample:
        return Sample(
            service_class=self._load.name,
            workspace=self._workspace['name'],
            outcome=outcome,
            first_token_s=first_token_s,
            total_s=time.monotonic() - started_at,
            tokens=tokens,
            whole=whole,
        )


def _find_pool(endpoints: dict, serves: str) -> dict:
    return next(pool for pool in endpoints['pools'] if pool['serves'] == serves)


def _read_stream(raw: bytes) -> tuple[str, str]:
    """Return the text and the outcome of a stream of events.

    The outcome is ``cut`` if the stream has neither ``[DONE]`` nor an error.
    """
    parts = []
    for line in raw.split(b'\n'):
        if line == _DONE:
            return ''.join(parts), 'completed'
        if line.startswith(_DATA):
            document = json.loads(line[len(_DATA) :])
            if 'error' in document:
                return ''.join(parts), document['error']['outcome']
            delta = document['choices'][0]['delta']
            parts.append(delta.get('content') or '')
    return ''.join(parts), 'cut'


def group_samples(samples: list[Sample]) -> dict[str, list[Sample]]:
    """Return the samples by service class."""
    grouped = defaultdict(list)
    for sample in samples:
        grouped[sample.service_class].append(sample)
    return dict(grouped)
