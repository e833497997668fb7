"""Probes that find out whether upstreams answer this VM."""

import asyncio
from collections.abc import Callable
from enum import StrEnum

import aiohttp

from bilberryspoke._internal.models.routing_effects import ProbeUpstream, Send
from bilberryspoke._internal.models.routing_events import UpstreamProbed
from bilberryspoke._internal.platform.reports import parse_created_ms
from bilberryspoke._internal.platform.requestheaders import (
    PROBE_PATH,
    make_probe_headers,
)
from bilberryspoke._internal.platform.responseheaders import STATUS_MISDIRECTED
from bilberryspoke._internal.utils.boundedprotocol import BoundedConnector
from bilberryspoke._internal.utils.boundedreads import read_body
from bilberryspoke._internal.utils.resending import forbid_resending

# From the first packet of a probe to the head of its answer.
_TIMEOUT_S = 1.0
_MAX_REPORT_BYTES = 262_144


class ProbedState(StrEnum):
    """What a probe shows of an upstream.

    ``gone``: nothing listens at its address, or another one answers there.
    ``unknown``: no whole answer came.
    """

    lives = 'lives'
    gone = 'gone'
    unknown = 'unknown'


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

    async def find_state(self, effect: Send) -> ProbedState:
        """Return whether the upstream of a send still answers.

        One with another id, or that was started anew, is another one.
        """
        headers = make_probe_headers(effect.instance)
        url = f'http://{effect.address}{PROBE_PATH}'
        try:
            async with self._session.get(
                url, headers=headers, allow_redirects=False
            ) as resp:
                if resp.status == STATUS_MISDIRECTED:
                    return ProbedState.gone
                raw = await read_body(resp, _MAX_REPORT_BYTES)
        except aiohttp.ClientConnectorError:
            return ProbedState.gone
        except (TimeoutError, aiohttp.ClientError, OSError, ValueError):
            return ProbedState.unknown
        created_ms = parse_created_ms(raw) or effect.created_ms
        if effect.created_ms and created_ms != effect.created_ms:
            return ProbedState.gone
        return ProbedState.lives

    async def _probe(self, effect: ProbeUpstream) -> None:
        accepts = await self._answers(effect.address)
        if not accepts:
            self._expire_connections(effect.address)
        self._submit(
            UpstreamProbed(effect.instance, effect.created_ms, accepts)
        )

    async def _answers(self, address: str) -> bool:
        """Return whether any answer comes; its status does not matter."""
        url = f'http://{address}{PROBE_PATH}'
        try:
            async with self._session.get(url, allow_redirects=False):
                return True
        except (TimeoutError, aiohttp.ClientError, OSError, ValueError):
            return False
