"""Probes that find out whether upstreams answer this VM."""

import asyncio
from collections.abc import Callable

import aiohttp

from bilberryspoke._internal.models.routing_effects import ProbeUpstream
from bilberryspoke._internal.models.routing_events import UpstreamProbed
from bilberryspoke._internal.platform.requestheaders import (
    PROBE_PATH,
    make_probe_headers,
)
from bilberryspoke._internal.platform.responseheaders import STATUS_MISDIRECTED
from bilberryspoke._internal.utils.boundedprotocol import BoundedConnector
from bilberryspoke._internal.utils.resending import forbid_resending

# From the first packet of a probe to the head of its answer.
_TIMEOUT_S = 1.0


class LinkProber:
    """Asks upstreams for an answer, each on a connection of its own.

    That a connection opens proves nothing: what stands between a VM and an
    upstream may accept it and lose what is sent.
    """

    def __init__(
        self,
        submit: Callable[[UpstreamProbed], None],
        expire_connections: Callable[[str], None],
    ) -> None:
        """Create the client session; must run inside the event loop.

        ``submit`` is called with the end of each probe. ``expire_connections``
        is called with the address of an upstream that did not answer.
        """
        self._submit = submit
        self._expire_connections = expire_connections
        self._tasks: set[asyncio.Task[None]] = set()
        self._questions: dict[tuple[str, str], asyncio.Task[int | None]] = {}
        self._session = aiohttp.ClientSession(
            connector=BoundedConnector(limit=0, force_close=True),
            timeout=aiohttp.ClientTimeout(total=_TIMEOUT_S),
            middlewares=(forbid_resending,),
            cookie_jar=aiohttp.DummyCookieJar(),
        )

    async def close(self) -> None:
        """Close all connections of probes."""
        await self._session.close()

    def start(self, effect: ProbeUpstream) -> None:
        """Probe an upstream in the background."""
        task = asyncio.create_task(self._probe(effect))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def serves(self, address: str, instance: str) -> bool:
        """Return whether an upstream answers at ``address`` (``host:port``).

        ``instance`` is its id; one with another id does not count. Questions
        that overlap are asked once.
        """
        question = (address, instance)
        task = self._questions.get(question)
        if task is None:
            headers = make_probe_headers(instance)
            task = asyncio.create_task(self._ask(address, headers))
            self._questions[question] = task
            task.add_done_callback(
                lambda done: self._questions.pop(question, None)
            )
        status = await asyncio.shield(task)
        return status not in {None, STATUS_MISDIRECTED}

    async def _probe(self, effect: ProbeUpstream) -> None:
        # Any answer counts, whatever its status.
        accepts = await self._ask(effect.address, {}) is not None
        if not accepts:
            self._expire_connections(effect.address)
        self._submit(
            UpstreamProbed(effect.instance, effect.created_ms, accepts)
        )

    async def _ask(self, address: str, headers: dict[str, str]) -> int | None:
        """Return the status of an answer, None if none comes."""
        url = f'http://{address}{PROBE_PATH}'
        try:
            async with self._session.get(
                url, headers=headers, allow_redirects=False
            ) as resp:
                return resp.status
        except (TimeoutError, aiohttp.ClientError, OSError, ValueError):
            return None
