"""HTTP client of upstreams and, for forwarded calls, of other VMs."""

import dataclasses

import aiohttp
import msgspec
from yarl import URL

from bilberryspoke._internal.config.settings import LimitSettings
from bilberryspoke._internal.models.effects import Dispatch, OrderModelLoad
from bilberryspoke._internal.models.requests import AttemptStatus
from bilberryspoke._internal.network.answerchecks import refuse_joined_heads
from bilberryspoke._internal.network.answers import AnswerStore
from bilberryspoke._internal.network.calls import Call
from bilberryspoke._internal.network.clock import read_boottime
from bilberryspoke._internal.network.listencheck import ListenCheck, Reach
from bilberryspoke._internal.network.relaying import (
    AttemptResult,
    relay_events,
    relay_response,
)
from bilberryspoke._internal.network.responses import (
    OUTCOME_HEADER,
    REQUEST_ID_HEADER,
)
from bilberryspoke._internal.network.singlecall import SingleCallConnector
from bilberryspoke._internal.utils.boundedreads import read_body
from bilberryspoke._internal.utils.resending import forbid_resending

FORWARDED_HEADER = 'x-bilberryspoke-hop'

_MAX_LOAD_REPORT_BYTES = 1_048_576

# Statuses with which a model engine refuses a request without running it.
_REFUSAL_STATUSES = frozenset((429, 503))

# Headers of the caller's connection, or that the client sets by itself.
_CONNECTION_HEADERS = frozenset(
    (
        'connection',
        'content-length',
        'expect',
        'host',
        'keep-alive',
        'proxy-authorization',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    ),
)

_NOT_SENT_UPSTREAM_HEADERS = _CONNECTION_HEADERS | {
    'authorization',
    FORWARDED_HEADER,
    'x-request-class',
    REQUEST_ID_HEADER,
}


class UpstreamClient:
    """Runs attempts, reads load reports and sends orders to engines.

    Each connection carries one call. Answers bear no request id here, so that
    nothing but its connection proves whose answer one is: on one that is kept,
    an answer too many to a call is taken for that to the next one. The library
    does not repeat any method by itself when a connection breaks.
    """

    def __init__(self, limits: LimitSettings, answers: AnswerStore) -> None:
        """Create the client session; must run inside the event loop.

        Answers of operations are stored in ``answers``.
        """
        self._answers = answers
        self._check = ListenCheck()
        timeout = aiohttp.ClientTimeout(
            total=None,
            sock_connect=limits.upstream_connect_s,
            # Runtime.abort_stalled_calls finds idle upstreams: a timer for
            # each chunk costs more than relaying it.
            sock_read=None,
        )
        self._session = aiohttp.ClientSession(
            timeout=timeout,
            connector=SingleCallConnector(),
            auto_decompress=False,
            # A cookie belongs to the caller whose answer set it.
            cookie_jar=aiohttp.DummyCookieJar(),
            middlewares=(forbid_resending, refuse_joined_heads),
        )

    async def close(self) -> None:
        """Close the client session."""
        await self._session.close()

    async def run(
        self,
        call: Call,
        dispatch: Dispatch,
        base_url: str,
    ) -> AttemptResult:
        """Run one attempt and relay its response to the caller.

        Does not send after the end of the dispatch's lease. Failures are
        returned, not raised.
        """
        if read_boottime() > dispatch.lease_until:
            return AttemptResult(AttemptStatus.lapsed, 'lease expired')
        try:
            result = await self._send_request(call, dispatch, base_url)
        except aiohttp.ClientConnectorError as exc:
            return AttemptResult(AttemptStatus.unreachable, str(exc))
        except aiohttp.ConnectionTimeoutError as exc:
            return AttemptResult(AttemptStatus.unreachable, str(exc))
        except (TimeoutError, aiohttp.ClientError, OSError) as exc:
            detail = f'{type(exc).__name__}: {exc}'
            result = AttemptResult(AttemptStatus.broken, detail)
        if result.status is not AttemptStatus.broken:
            return result
        address = URL(base_url).authority
        crashed = await self._check.check(address) is Reach.refused
        return dataclasses.replace(result, upstream_crashed=crashed)

    async def forward(self, call: Call, base_url: str) -> AttemptResult:
        """Forward a call to the VM that owns its key, and relay the response.

        ``base_url`` is the entry URL of that VM. ``FORWARDED_HEADER`` marks
        the call as forwarded. Failures are returned, not raised.
        """
        headers = {
            name: text
            for name, text in call.headers.items()
            if name not in _CONNECTION_HEADERS
        }
        headers[REQUEST_ID_HEADER] = call.req.req_id
        headers[FORWARDED_HEADER] = '1'
        try:
            async with self._session.request(
                call.method,
                base_url + call.public_path,
                data=call.body,
                headers=headers,
                allow_redirects=False,
            ) as resp:
                return await relay_response(call, resp, self._check)
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            return AttemptResult(AttemptStatus.broken, str(exc))

    async def read_load_report(
        self, base_url: str, timeout_s: float
    ) -> 'LoadReport':
        """Return the load report of an engine.

        Raises ``aiohttp.ClientError``, ``TimeoutError`` or ``OSError`` if
        there is no report within ``timeout_s`` seconds or the request fails,
        and ``ValueError`` if the report is malformed.
        """
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        url = f'{base_url}/load'
        async with self._session.get(url, timeout=timeout) as resp:
            resp.raise_for_status()
            raw = await read_body(resp, _MAX_LOAD_REPORT_BYTES)
            return msgspec.json.decode(raw, type=LoadReport)

    async def post_order(
        self,
        base_url: str,
        order: OrderModelLoad,
        timeout_s: float,
    ) -> bool:
        """Send an order to an engine; return whether it was accepted.

        An order that cannot be sent, or that the engine does not answer within
        ``timeout_s`` seconds, counts as not accepted.
        """
        body = {
            'action': 'load_model',
            'model': order.model,
            'fencing': order.fencing,
        }
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        try:
            async with self._session.post(
                f'{base_url}/orders',
                json=body,
                timeout=timeout,
            ) as resp:
                return resp.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    async def _send_request(
        self,
        call: Call,
        dispatch: Dispatch,
        base_url: str,
    ) -> AttemptResult:
        async with self._session.request(
            call.method,
            base_url + call.path,
            data=_make_body(call, dispatch),
            headers=_make_headers(call, dispatch),
            allow_redirects=False,
        ) as resp:
            if _is_refusal(call, resp):
                detail = f'status {resp.status}'
                return AttemptResult(AttemptStatus.refused, detail)
            if call.stream and resp.status == 200:
                return await relay_events(call, resp)
            if call.started:
                detail = f'status {resp.status} to a resume'
                return AttemptResult(AttemptStatus.broken, detail)
            return await relay_response(call, resp, self._check, self._answers)


class LoadReport(msgspec.Struct):
    """An engine's report of its load.

    ``running`` and ``waiting`` count requests. ``prefixes`` are the hashes of
    cached prompt prefixes, ``models`` the loaded models (None if the engine
    does not report them) and ``fencing`` the highest fencing number it has
    seen.
    """

    running: int
    waiting: int
    prefixes: list[int] = []
    models: list[str] | None = None
    fencing: int = 0


def _is_refusal(call: Call, resp: aiohttp.ClientResponse) -> bool:
    if resp.headers.get(OUTCOME_HEADER) == 'not_run':
        return True
    is_completion = call.path.startswith('/v1/chat/')
    return is_completion and resp.status in _REFUSAL_STATUSES


def _make_body(call: Call, dispatch: Dispatch) -> bytes:
    if not call.path.startswith('/v1/chat/'):
        return call.body
    # The body is sent as the caller wrote it, without encoding it again: of
    # two members with the same name, engines use the last one.
    added = b',"priority":%d' % dispatch.priority
    if call.delivered:
        resume = {
            'offset': call.delivered,
            'text': call.extract_delivered_text(),
        }
        added += b',"resume":' + msgspec.json.encode(resume)
    # The members are added before the body's closing brace.
    return call.body.rstrip()[:-1] + added + b'}'


def _make_headers(call: Call, dispatch: Dispatch) -> dict[str, str]:
    headers = {
        name: text
        for name, text in call.headers.items()
        if name not in _NOT_SENT_UPSTREAM_HEADERS
    }
    headers[REQUEST_ID_HEADER] = call.req.req_id
    headers['x-attempt'] = str(dispatch.attempt)
    return headers
