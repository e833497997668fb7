"""Client that sends routed calls to upstreams and relays the responses."""

from collections.abc import Callable

import aiohttp
from yarl import URL

from bilberryspoke._internal.models.routing import (
    NOT_RUN_SEND_STATUSES,
    SendStatus,
)
from bilberryspoke._internal.models.routing_effects import (
    HandOff,
    Send,
)
from bilberryspoke._internal.models.routing_events import (
    SendEnded,
    SendProgressed,
    UpstreamProbed,
)
from bilberryspoke._internal.network.listencheck import ListenCheck, Reach
from bilberryspoke._internal.network.routing.answerbody import (
    FILLED_UP,
    HEAD_WITHIN_BODY,
    AnswerBody,
)
from bilberryspoke._internal.network.routing.answerend import (
    AnswerEnd,
    EndJudge,
)
from bilberryspoke._internal.network.routing.answerheads import (
    AnswerHead,
    SendResult,
    answers_call,
    judge_head,
)
from bilberryspoke._internal.network.routing.connections import (
    KeepAliveConnector,
    call_connection,
    get_answer_connection,
)
from bilberryspoke._internal.network.routing.draining import BodyDrains
from bilberryspoke._internal.network.routing.eventstream import EventSplitter
from bilberryspoke._internal.network.routing.exchange import (
    BufferedResponse,
    Exchange,
)
from bilberryspoke._internal.network.routing.holding import HeldBytes
from bilberryspoke._internal.network.routing.joinedanswers import (
    is_joined_head,
)
from bilberryspoke._internal.network.routing.linkprobes import LinkProber
from bilberryspoke._internal.network.routing.outgoing import (
    READ_BUFFER_BYTES,
    make_headers,
    make_session,
)
from bilberryspoke._internal.network.routing.statements import (
    Statement,
    report_statements,
)
from bilberryspoke._internal.platform.responseheaders import (
    ResponseHeaders,
    parse_response_headers,
)
from bilberryspoke._internal.utils.answerstatus import AnswerStatusError

# Detail of sends that end as broken, for the log.
STREAM_CUT = 'stream ended before it was complete'

_CONNECT_TIMEOUT_S = 0.4
_CONTENT_LENGTH = b'content-length'
# Answers to it are framed in another way than those before and after them.
_HEAD = 'HEAD'
# Calls with these methods that may run only once use a connection of their own.
_SINGLE_USE_METHODS = frozenset(('GET', 'OPTIONS', 'TRACE', 'PUT', 'DELETE'))
# aiohttp adds these by itself; upstreams get only those of the caller.
_AUTO_HEADERS = ('Accept', 'Accept-Encoding', 'User-Agent', 'Content-Type')


class CallSender:
    """Sends calls over keep-alive connections and relays the responses."""

    def __init__(
        self,
        submit: Callable[[SendProgressed | Statement | UpstreamProbed], None],
    ) -> None:
        """Create the client sessions; must run inside the event loop.

        ``submit`` is called with ``SendProgressed`` when a response is
        complete and whenever events of a stream were relayed, with what the
        upstream says of itself in a response, and with the ends of probes.
        """
        self.connector = KeepAliveConnector()
        self._submit = submit
        self.prober = LinkProber(submit, self.connector.expire_connections)
        self._check = ListenCheck()
        self._judge = EndJudge(self.connector, self.prober)
        self._drains = BodyDrains()
        self.held = HeldBytes()
        timeout = aiohttp.ClientTimeout(
            total=None,
            sock_connect=_CONNECT_TIMEOUT_S,
        )
        self._session = make_session(self.connector, timeout)
        self._single_use_session = make_session(
            KeepAliveConnector(force_close=True),
            timeout,
        )

    async def close(self) -> None:
        """Close all connections to upstreams."""
        await self._drains.close()
        await self._session.close()
        await self._single_use_session.close()
        await self.prober.close()

    async def run(
        self, exchange: Exchange, effect: Send | HandOff
    ) -> SendEnded:
        """Send a call once and relay the response to its caller.

        It is sent to an upstream, or to another VM that serves it.

        Failures of the upstream or its connection are not raised; the status
        of the returned event tells them apart.
        """
        delivered = exchange.started
        call_connection.set(None)
        try:
            result = await self._send_request(exchange, effect)
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as exc:
            result = SendResult(SendStatus.unsent, str(exc))
        except AnswerStatusError as exc:
            # The upstream answered: its connections are as sound as before.
            result = SendResult(SendStatus.broken, str(exc))
        except (TimeoutError, aiohttp.ClientError, OSError, ValueError) as exc:
            self.connector.expire_connections(effect.address)
            detail = f'{type(exc).__name__}: {exc}'
            result = SendResult(SendStatus.broken, detail, connection_lost=True)
        crashed = (
            result.connection_lost
            and isinstance(effect, Send)
            and await self._check.check(effect.address) is Reach.refused
        )
        self.held.hold(exchange, 0)
        connection = call_connection.get()
        return SendEnded(
            call_id=effect.call_id,
            attempt=effect.attempt,
            status=result.status,
            detail=result.detail,
            delivered=delivered or exchange.started,
            last_event_id=exchange.last_event_id,
            connection_lost=result.connection_lost,
            upstream_crashed=crashed,
            connection=connection.describe() if connection else '',
            cause=result.cause,
            framing=connection.framing if connection else None,
        )

    async def _send_request(
        self, exchange: Exchange, effect: Send | HandOff
    ) -> SendResult:
        resp = await self._choose_session(exchange).request(
            exchange.method,
            URL(
                f'http://{effect.address}{exchange.request_target}',
                encoded=True,
            ),
            data=exchange.body or None,
            headers=make_headers(exchange, effect),
            allow_redirects=False,
            skip_auto_headers=_AUTO_HEADERS,
        )
        try:
            result = await self._handle_response(exchange, effect, resp)
        except BaseException:
            resp.close()
            raise
        if result.status in NOT_RUN_SEND_STATUSES:
            self._drains.start(resp)
            return result
        if result.status is SendStatus.broken:
            _close_connection(resp)
        resp.release()
        await resp.wait_for_close()
        return result

    def _choose_session(self, exchange: Exchange) -> aiohttp.ClientSession:
        at_most_once = not exchange.call.allows_retry_after_run
        if exchange.method == _HEAD:
            return self._single_use_session
        if at_most_once and exchange.method in _SINGLE_USE_METHODS:
            return self._single_use_session
        return self._session

    async def _handle_response(
        self,
        exchange: Exchange,
        effect: Send | HandOff,
        resp: aiohttp.ClientResponse,
    ) -> SendResult:
        headers = parse_response_headers(resp.status, resp.raw_headers)
        connection = get_answer_connection()
        connection.framing = headers.framing
        self.connector.record_keep_alive(
            connection.protocol, headers.keep_alive_s
        )
        head = AnswerHead(
            resp.status,
            resp.raw_headers,
            headers,
            is_joined=is_joined_head(resp.reason or '', resp.raw_headers),
        )
        result = judge_head(exchange.call, effect, head)
        if isinstance(effect, Send) and answers_call(exchange.call, head):
            report_statements(self._submit, effect, headers)
        if result is not None:
            return result
        is_stream = resp.status == 200 and exchange.call.route.streams
        body = AnswerBody(resp, headers, connection, is_stream=is_stream)
        if is_stream:
            return await self._relay_events(exchange, effect, body)
        return await self._relay_body(exchange, effect, body)

    async def _relay_body(
        self,
        exchange: Exchange,
        effect: Send | HandOff,
        body: AnswerBody,
    ) -> SendResult:
        status = body.resp.status
        if exchange.started:
            return SendResult(
                SendStatus.broken,
                f'status {status} instead of the rest of the stream',
            )
        held = bytearray()
        async for chunk in body.resp.content.iter_chunked(READ_BUFFER_BYTES):
            body.scan.feed(chunk)
            if body.scan.found:
                return SendResult(SendStatus.broken, HEAD_WITHIN_BODY)
            held += chunk
            if not exchange.started:
                if self.held.hold(exchange, len(held)):
                    continue
                await exchange.start(status, body.headers.forwarded)
            # A caller with all bytes of a length has a whole answer.
            part = bytes(held[: len(held) - body.scan.doubted_bytes])
            held = held[len(part) :]
            await exchange.write(part)
            # A caller that reads slowly takes it by the next write.
            self.held.hold(exchange, len(part) + len(held))
        end = await self._judge.judge(body, effect)
        if end is AnswerEnd.cut:
            return SendResult(
                SendStatus.broken,
                'response ended before it was complete',
                connection_lost=True,
            )
        if await body.is_filled_up():
            return SendResult(SendStatus.broken, FILLED_UP)
        response = BufferedResponse(status, body.headers.forwarded, bytes(held))
        if status >= 500 and not exchange.started:
            exchange.held = response
            return SendResult(SendStatus.failed, f'status {status}')
        if exchange.started:
            await exchange.finish(response.body)
        else:
            self._submit(SendProgressed(effect.call_id, effect.attempt))
            await exchange.send_response(response)
        return SendResult(SendStatus.finished, f'status {status}')

    async def _relay_events(
        self,
        exchange: Exchange,
        effect: Send | HandOff,
        body: AnswerBody,
    ) -> SendResult:
        goes_on = exchange.started and exchange.last_event_id is not None
        splitter = EventSplitter(exchange.last_event_id, expects_next=goes_on)
        async for chunk in body.resp.content.iter_any():
            body.scan.feed(chunk)
            if body.scan.found:
                return SendResult(SendStatus.broken, HEAD_WITHIN_BODY)
            complete_events = splitter.feed(chunk)
            fits = self.held.hold(exchange, len(splitter.remainder))
            if splitter.broken or not fits:
                return SendResult(
                    SendStatus.broken,
                    'event missing, repeated or too long in the stream',
                )
            if not complete_events:
                continue
            exchange.may_be_whole = False
            if not exchange.started:
                await exchange.start(200, _drop_content_length(body.headers))
            await exchange.write(complete_events)
            # Set after the write: a caller does not have these events if the
            # send is cancelled during the write.
            exchange.last_event_id = splitter.last_id
            self._submit(
                SendProgressed(
                    effect.call_id, effect.attempt, splitter.last_id
                ),
            )
        if splitter.remainder:
            return SendResult(
                SendStatus.broken, STREAM_CUT, connection_lost=True
            )
        if not splitter.expects_next and not body.says_its_end:
            # Also if the send is cancelled while its end is judged.
            exchange.may_be_whole = exchange.started
        end = await self._judge.judge(body, effect)
        if splitter.expects_next:
            return await self._end_continued(exchange, end)
        return await self._end_stream(exchange, body, end)

    async def _end_stream(
        self, exchange: Exchange, body: AnswerBody, end: AnswerEnd
    ) -> SendResult:
        """End a stream that has been relayed up to the end of an answer."""
        if end is AnswerEnd.cut:
            return SendResult(
                SendStatus.broken, STREAM_CUT, connection_lost=True
            )
        if end is AnswerEnd.unproven:
            if not exchange.started and exchange.last_event_id is None:
                return SendResult(SendStatus.broken, 'no event in a stream')
            exchange.may_be_whole = True
            exchange.unsent_headers = _drop_content_length(body.headers)
            return SendResult(SendStatus.unproven, 'status 200')
        if not exchange.started:
            await exchange.start(200, _drop_content_length(body.headers))
        await exchange.finish()
        return SendResult(SendStatus.finished, 'status 200')

    async def _end_continued(
        self, exchange: Exchange, end: AnswerEnd
    ) -> SendResult:
        """End a stream that an answer without events was to go on with.

        If the stream may be whole, a whole answer without events says so.
        """
        if exchange.may_be_whole and end is AnswerEnd.unproven:
            return SendResult(SendStatus.unproven, 'status 200, no event')
        if exchange.may_be_whole and end is AnswerEnd.whole:
            await exchange.finish()
            return SendResult(SendStatus.finished, 'status 200, no event')
        return SendResult(
            SendStatus.broken, 'no event to go on with in the answer'
        )


def _close_connection(resp: aiohttp.ClientResponse) -> None:
    """Close the connection of a response, also if it is in the pool.

    aiohttp returns it there if the whole response arrived at once.
    """
    resp.close()
    connection = call_connection.get()
    if connection is not None:
        connection.close()


def _drop_content_length(headers: ResponseHeaders) -> list[tuple[bytes, bytes]]:
    return [pair for pair in headers.forwarded if pair[0] != _CONTENT_LENGTH]
