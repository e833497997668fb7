"""Probes that find out whether upstreams answer this VM."""

import asyncio
from collections.abc import Callable

import aiohttp

from bilberryspoke._internal.models.routing_effects import ProbeUpstream
from bilberryspoke._internal.models.routing_events import UpstreamProbed
from bilberryspoke._internal.platform.requestheaders import PROBE_PATH
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
        self._questions: dict[str, asyncio.Task[bool]] = {}
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

    async def answers(self, address: str) -> bool:
        """Return whether an upstream answers at ``address`` (``host:port``).

        Questions of one address that overlap are asked once.
        """
        task = self._questions.get(address)
        if task is None:
            task = asyncio.create_task(self._ask(address))
            self._questions[address] = task
            task.add_done_callback(
                lambda done: self._questions.pop(address, None)
            )
        return await asyncio.shield(task)

    async def _probe(self, effect: ProbeUpstream) -> None:
        accepts = await self._ask(effect.address)
        if not accepts:
            self._expire_connections(effect.address)
        self._submit(
            UpstreamProbed(effect.instance, effect.created_ms, accepts)
        )

    async def _ask(self, address: str) -> bool:
        """Return whether any answer comes; its status does not matter."""
        url = f'http://{address}{PROBE_PATH}'
        try:
            async with self._session.get(url, allow_redirects=False):
                return True
        except (TimeoutError, aiohttp.ClientError, OSError, ValueError):
            return False
