"""Calls whose answers are judged part by part."""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass

import aiohttp

from fakes.upstream import UpstreamStandIn
from tests.lib.routedfleet import RoutedFleet
from tests.soak.belonging import ReceivedAnswer, find_foreign_part


@dataclass(frozen=True, slots=True)
class JudgedAnswer:
    """An answer's status, and a part that is not the call's own, or ''."""

    status: int
    foreign: str
    whole: bool

    @property
    def is_own(self) -> bool:
        """Whether it is a whole answer of status 200, and the call's own."""
        return self.status == 200 and self.whole and not self.foreign


async def call_judged(
    fleet: RoutedFleet,
    path: str,
    req_id: str,
    *,
    method: str = 'POST',
    node: int = 0,
    body: bytes | None = None,
) -> JudgedAnswer:
    """Send a call to a process and judge its answer."""
    headers = {
        'Host': 'calls.example',
        'X-Attempt-Id': req_id,
        'X-Deadline-Ms': '3000',
        'Authorization': 'Bearer key-1',
    }
    answer = ReceivedAnswer()
    url = fleet.nodes[node].url + path
    async with fleet.session.request(
        method, url, data=body, headers=headers
    ) as resp:
        answer.status = resp.status
        answer.pairs = [
            (name.decode().lower(), text.decode('latin-1'))
            for name, text in resp.raw_headers
        ]
        try:
            async for chunk in resp.content.iter_any():
                answer.body += chunk
        except aiohttp.ClientError:
            return JudgedAnswer(
                resp.status, find_foreign_part(path, req_id, answer), False
            )
    # An answer to HEAD has the headers alone.
    answer.whole = method != 'HEAD'
    return JudgedAnswer(
        resp.status, find_foreign_part(path, req_id, answer), True
    )


@dataclass(frozen=True, slots=True)
class ScriptedCall:
    """A call, and the script by which upstreams answer it."""

    script: str
    path: str = '/safe/'
    method: str = 'POST'


async def call_all(
    fleet: RoutedFleet,
    upstreams: Iterable[UpstreamStandIn],
    calls: Iterable[ScriptedCall],
    *,
    at_once: int = 24,
) -> dict[ScriptedCall, JudgedAnswer]:
    """Send calls to the first process; return the answers by call."""
    limit = asyncio.Semaphore(at_once)
    standins = list(upstreams)

    async def send(number: int, call: ScriptedCall) -> JudgedAnswer:
        req_id = f'c{number:04}'
        for upstream in standins:
            upstream.scripts[req_id] = call.script
        async with limit:
            return await call_judged(
                fleet, call.path, req_id, method=call.method
            )

    listed = list(calls)
    judged = await asyncio.gather(
        *(send(number, call) for number, call in enumerate(listed))
    )
    return dict(zip(listed, judged, strict=True))


def list_foreign(
    answers: dict[ScriptedCall, JudgedAnswer],
) -> dict[ScriptedCall, JudgedAnswer]:
    """Return the answers of which a part is not the call's own."""
    return {call: each for call, each in answers.items() if each.foreign}
