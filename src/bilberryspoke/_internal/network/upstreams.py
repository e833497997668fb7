"""Attempts at upstreams over HTTP."""

from dataclasses import dataclass

import aiohttp
import msgspec

from bilberryspoke._internal.config.settings import LimitSettings
from bilberryspoke._internal.models.effects import Dispatch, OrderUpstream
from bilberryspoke._internal.models.requests import AttemptStatus
from bilberryspoke._internal.network.answers import (
    AnswerStore,
    RecordedAnswer,
)
from bilberryspoke._internal.network.calls import Call
from bilberryspoke._internal.network.clock import read_boottime
from bilberryspoke._internal.network.responses import (
    OUTCOME_HEADER,
    REQUEST_ID_HEADER,
    encode_headers,
    send_whole,
)

HOP_HEADER = 'x-bilberryspoke-hop'
_EVENT_END = b'\n\n'
_DONE = b'data: [DONE]\n\n'
# Shorter than the idle time after which common servers close a connection.
_KEEPALIVE_S = 3
_REFUSALS = frozenset((429, 503))
_HOP_BY_HOP = frozenset(
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
_NOT_FORWARDED = _HOP_BY_HOP | {
    'authorization',
    HOP_HEADER,
    'x-request-class',
    REQUEST_ID_HEADER,
}
_NOT_RETURNED = frozenset(
    (
        'connection',
        'content-length',
        'date',
        'keep-alive',
        'server',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'x-request-id',
    )
)


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """How an attempt ended, with a short detail for the explanation."""

    status: AttemptStatus
    detail: str = ''


class UpstreamClient:
    """Runs attempts and reads load reports over one client session.

    Calls that may not be repeated use a session without persistent
    connections: the client library repeats some methods by itself when a
    persistent connection turns out to be closed.
    """

    def __init__(self, limits: LimitSettings, answers: AnswerStore) -> None:
        """Create the client sessions; must run inside the event loop."""
        self._answers = answers
        timeout = aiohttp.ClientTimeout(
            total=None,
            sock_connect=limits.upstream_connect_s,
            sock_read=limits.upstream_idle_s,
        )
        self._session = aiohttp.ClientSession(
            timeout=timeout,
            connector=aiohttp.TCPConnector(
                limit=0,
                keepalive_timeout=_KEEPALIVE_S,
            ),
            auto_decompress=False,
        )
        self._once_session = aiohttp.ClientSession(
            timeout=timeout,
            connector=aiohttp.TCPConnector(limit=0, force_close=True),
            auto_decompress=False,
        )

    async def close(self) -> None:
        """Close the sessions."""
        await self._session.close()
        await self._once_session.close()

    async def run(
        self,
        call: Call,
        dispatch: Dispatch,
        base_url: str,
    ) -> AttemptResult:
        """Run one attempt and pass its answer to the caller."""
        if read_boottime() > dispatch.lease_until:
            return AttemptResult(AttemptStatus.lapsed, 'lease expired')
        try:
            return await self._exchange(call, dispatch, base_url)
        except aiohttp.ClientConnectorError as exc:
            return AttemptResult(AttemptStatus.unreachable, str(exc))
        except aiohttp.ConnectionTimeoutError as exc:
            return AttemptResult(AttemptStatus.unreachable, str(exc))
        except (TimeoutError, aiohttp.ClientError, OSError) as exc:
            detail = f'{type(exc).__name__}: {exc}'
            return AttemptResult(AttemptStatus.broken, detail)

    async def forward(self, call: Call, base_url: str) -> AttemptResult:
        """Pass a call on to the VM that alone may run it."""
        headers = {
            name: text
            for name, text in call.headers.items()
            if name not in _HOP_BY_HOP
        }
        headers[REQUEST_ID_HEADER] = call.req.req_id
        headers[HOP_HEADER] = '1'
        try:
            async with self._once_session.request(
                call.method,
                base_url + call.public_path,
                data=call.body,
                headers=headers,
                allow_redirects=False,
            ) as resp:
                return await _relay_whole(call, resp)
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            return AttemptResult(AttemptStatus.broken, str(exc))

    async def read_load(self, base_url: str, timeout_s: float) -> 'LoadReport':
        """Read an upstream's load report."""
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        url = f'{base_url}/load'
        async with self._session.get(url, timeout=timeout) as resp:
            resp.raise_for_status()
            return msgspec.json.decode(await resp.read(), type=LoadReport)

    async def give_order(
        self,
        base_url: str,
        order: OrderUpstream,
        timeout_s: float,
    ) -> bool:
        """Give an engine an order; tell whether it was accepted."""
        body = {
            'action': 'load_model',
            'model': order.model,
            'fencing': order.fencing,
        }
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        try:
            async with self._once_session.post(
                f'{base_url}/orders',
                json=body,
                timeout=timeout,
            ) as resp:
                return resp.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    async def _exchange(
        self,
        call: Call,
        dispatch: Dispatch,
        base_url: str,
    ) -> AttemptResult:
        repeatable = call.req.repeatable
        session = self._session if repeatable else self._once_session
        async with session.request(
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
            return await _relay_whole(call, resp, self._answers)


class LoadReport(msgspec.Struct):
    """An upstream's report of its load."""

    running: int
    waiting: int
    prefixes: list[int] = []
    models: list[str] | None = None
    fencing: int = 0


async def relay_events(
    call: Call,
    resp: aiohttp.ClientResponse,
) -> AttemptResult:
    """Pass whole server-sent events on, without parsing each of them.

    Bytes after the last whole event are held back, so that a resumed answer
    goes on exactly at an event's boundary.
    """
    tail = b''
    if not call.started:
        await start_response(call, 200, 'text/event-stream')
    while True:
        chunk = await resp.content.readany()
        if not chunk:
            break
        whole = tail + chunk if tail else chunk
        if whole.endswith(_EVENT_END):
            tail = b''
        else:
            cut = whole.rfind(_EVENT_END) + len(_EVENT_END)
            if cut < len(_EVENT_END):
                tail = whole
                continue
            tail = whole[cut:]
            whole = whole[:cut]
        call.delivered += whole.count(_EVENT_END)
        if call.req.resumable:
            call.keep(whole)
        call.sending_since = read_boottime()
        await call.send(
            {
                'type': 'http.response.body',
                'body': whole,
                'more_body': True,
            }
        )
        call.sending_since = 0
        if whole.endswith(_DONE):
            call.delivered -= 1
            call.complete = True
            return AttemptResult(AttemptStatus.finished)
    return AttemptResult(AttemptStatus.broken, 'stream ended without its end')


async def start_response(call: Call, status: int, content_type: str) -> None:
    """Send the status line and the headers to the caller."""
    call.started = True
    call.status = status
    headers = {
        'content-type': content_type,
        REQUEST_ID_HEADER: call.req.req_id,
        'cache-control': 'no-cache',
    }
    await call.send(
        {
            'type': 'http.response.start',
            'status': status,
            'headers': encode_headers(headers),
        }
    )


async def _relay_whole(
    call: Call,
    resp: aiohttp.ClientResponse,
    answers: AnswerStore | None = None,
) -> AttemptResult:
    body = await resp.read()
    headers = {
        name.lower(): text
        for name, text in resp.headers.items()
        if name.lower() not in _NOT_RETURNED
    }
    if answers is not None and call.req.operation:
        recorded = RecordedAnswer(resp.status, dict(headers), body)
        answers.keep(call.req.operation, recorded)
    headers[REQUEST_ID_HEADER] = call.req.req_id
    call.status = resp.status
    call.delivered = 1
    call.started = True
    await send_whole(call.send, resp.status, headers, body)
    call.complete = True
    return AttemptResult(AttemptStatus.finished, f'status {resp.status}')


def _is_refusal(call: Call, resp: aiohttp.ClientResponse) -> bool:
    if resp.headers.get(OUTCOME_HEADER) == 'not_run':
        return True
    is_model = call.path.startswith('/v1/chat/')
    return is_model and resp.status in _REFUSALS


def _make_body(call: Call, dispatch: Dispatch) -> bytes:
    if not call.path.startswith('/v1/chat/'):
        return call.body
    # The caller's bytes go on unparsed; members added at the end win.
    added = b',"priority":%d' % dispatch.priority
    if call.delivered:
        resume = {'offset': call.delivered, 'text': call.fold_text()}
        added += b',"resume":' + msgspec.json.encode(resume)
    return call.body.rstrip()[:-1] + added + b'}'


def _make_headers(call: Call, dispatch: Dispatch) -> dict[str, str]:
    headers = {
        name: text
        for name, text in call.headers.items()
        if name not in _NOT_FORWARDED
    }
    headers[REQUEST_ID_HEADER] = call.req.req_id
    headers['x-attempt'] = str(dispatch.attempt)
    return headers
