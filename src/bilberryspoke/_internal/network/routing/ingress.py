"""Ingress: the ASGI application for callers of routed calls."""

import asyncio
import dataclasses
import itertools
from typing import Any

import structlog

from bilberryspoke._internal.core.routing.matching import (
    RouteMatch,
    choose_service,
    match_call,
)
from bilberryspoke._internal.exceptions import CallerGoneError
from bilberryspoke._internal.models.requests import ROUTER_FAULT
from bilberryspoke._internal.models.routetable import RouteTable
from bilberryspoke._internal.models.routing import (
    IngressLimits,
    RoutedCall,
)
from bilberryspoke._internal.models.routing_effects import (
    FinishStream,
    HandOff,
    RefuseCall,
    RelayFailure,
    Send,
)
from bilberryspoke._internal.models.routing_events import (
    CallAbandoned,
    CallArrived,
    CallCrashed,
)
from bilberryspoke._internal.network.bodies import collect_body
from bilberryspoke._internal.network.clock import read_boottime
from bilberryspoke._internal.network.notedsend import NotedSend
from bilberryspoke._internal.network.routing.exchange import (
    BufferedResponse,
    Exchange,
    add_close_header,
    send_response_start,
)
from bilberryspoke._internal.network.routing.handoff import (
    drop_handoff_headers,
    make_reason_header,
    parse_counted,
    parse_max_attempts,
)
from bilberryspoke._internal.network.routing.sending import CallSender
from bilberryspoke._internal.network.runtime import Runtime
from bilberryspoke._internal.platform.headerfields import (
    RawHeaders,
    is_single_req_id,
)
from bilberryspoke._internal.platform.requestheaders import (
    CallHeaders,
    parse_call_headers,
)
from bilberryspoke._internal.utils.hashing import hash_bytes

logger = structlog.get_logger()

_NOT_READY_RETRY_AFTER_S = 0.5
# In force until a route table is known.
_DEFAULT_LIMITS = IngressLimits()
# For this time after the start, calls wait for routes that peers confirm, which
# takes at most half a second unless peers have newer ones.
_STARTUP_WAIT_TIMEOUT_S = 0.75
_STARTUP_POLL_INTERVAL_S = 0.02


class Ingress:
    """ASGI application that routes calls and relays the responses.

    While ``stopping`` is true, responses ask callers to open a new connection.
    """

    def __init__(
        self,
        runtime: Runtime,
        sender: CallSender,
        *,
        takes_handoffs: bool = False,
    ) -> None:
        """Create an ingress of a VM.

        If ``takes_handoffs`` is true, its callers are other VMs that hand off
        calls of theirs. They are told which calls did not run.
        """
        self._takes_handoffs = takes_handoffs
        # The ids of a VM's calls differ, whichever ingress they come by.
        self._prefix = 'handoff-' if takes_handoffs else ''
        self.stopping = False
        self._runtime = runtime
        self._sender = sender
        self._call_numbers = itertools.count(1)

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Serve one call.

        Unexpected exceptions are logged. The caller gets status 502, which
        promises nothing of the call. Within an answer they are raised again;
        the server then closes the connection.
        """
        noted_send = NotedSend(send)
        try:
            await self._handle_call(scope, receive, noted_send)
        except Exception:
            self._runtime.counters.add('calls_crashed')
            logger.exception('call_crashed', path=scope['path'])
            if noted_send.begun:
                raise
            # Without a reason header: other VMs take it as a helper's failure.
            response = _make_text_response(502, ROUTER_FAULT)
            await self._send_response(send, response)

    def get_limits(self) -> IngressLimits:
        """Return the limits in force for callers' requests."""
        routing = self._runtime.core.state.routing
        if routing.table is None:
            return _DEFAULT_LIMITS
        return routing.table.limits

    async def _handle_call(self, scope: Any, receive: Any, send: Any) -> None:
        table = await self._wait_for_route_table()
        if table is None:
            await self._refuse_at_ingress(
                send, 503, 'not_ready', _NOT_READY_RETRY_AFTER_S
            )
            return
        headers = parse_call_headers(
            scope['headers'],
            keep_authorization=not table.uses_keys,
        )
        if not is_single_req_id(headers.req_id):
            await self._refuse_at_ingress(send, 400, 'malformed_request_id')
            return
        path = scope['raw_path'].decode('latin-1')
        match_result = match_call(table, headers.host, path, headers.key)
        if match_result.is_error():
            self._log_unadmitted_call(table, headers, match_result.error.reason)
            await self._refuse_at_ingress(
                send, match_result.error.status, match_result.error.reason
            )
            return
        arrived_at = read_boottime()
        try:
            async with asyncio.timeout(match_result.ok.route.timeout_s):
                body_result = await collect_body(
                    receive, table.limits.body_bytes
                )
        except CallerGoneError:
            self._runtime.counters.add('callers_gone_early')
            return
        except TimeoutError:
            await self._refuse_at_ingress(send, 408, 'body_too_slow')
            return
        if body_result.is_error():
            await self._refuse_at_ingress(send, 413, 'body_too_large')
            return
        query = scope['query_string'].decode('latin-1')
        request_target = f'{path}?{query}' if query else path
        body = body_result.ok
        content_hash = hash_bytes(
            scope['method'].encode(), request_target.encode(), body
        )
        call = self._make_call(
            headers, match_result.ok, arrived_at, content_hash
        )
        if self._takes_handoffs:
            call = _accept_handoff(call, scope['headers'])
        exchange = Exchange(
            call=call,
            method=scope['method'],
            request_target=request_target,
            body=body,
            forwarded=drop_handoff_headers(headers.forwarded),
            key=headers.key,
            send=send,
            close_connection=self.stopping,
            last_event_id=call.last_event_id,
        )
        await self._serve(exchange, receive)

    async def _wait_for_route_table(self) -> RouteTable | None:
        """Return the route table, or None if there is none yet.

        Waits for it just after the start.
        """
        routing = self._runtime.core.state.routing
        deadline_at = self._runtime.started_at + _STARTUP_WAIT_TIMEOUT_S
        while not routing.ready and read_boottime() < deadline_at:
            await asyncio.sleep(_STARTUP_POLL_INTERVAL_S)
        return routing.table if routing.ready else None

    def _make_call(
        self,
        headers: CallHeaders,
        matched: RouteMatch,
        arrived_at: float,
        content_hash: int,
    ) -> RoutedCall:
        route = matched.route
        number = next(self._call_numbers)
        wait_s = headers.wait_s
        if wait_s is None:
            wait_s = route.timeout_s
        return RoutedCall(
            call_id=f'{self._runtime.core.state.vm}/{self._prefix}{number}',
            req_id=headers.req_id,
            route=route,
            service=choose_service(
                route, headers.resumed_req_id or headers.req_id
            ),
            workspace=matched.key_holder.workspace,
            priority=matched.priority,
            arrived_at=arrived_at,
            deadline_at=arrived_at + min(wait_s, route.timeout_s),
            prompt_tokens=headers.prompt_tokens,
            parts=headers.parts,
            last_event_id=headers.last_event_id,
            resumed_req_id=headers.resumed_req_id,
            content_hash=content_hash,
        )

    async def _serve(self, exchange: Exchange, receive: Any) -> None:
        call_id = exchange.call.call_id
        self._runtime.calls[call_id] = exchange
        watcher = asyncio.create_task(self._watch_caller(call_id, receive))
        try:
            self._runtime.submit(CallArrived(exchange.call))
            await self._run_commands(exchange)
        except Exception:
            self._runtime.submit(CallCrashed(call_id))
            raise
        finally:
            watcher.cancel()
            self._runtime.calls.pop(call_id, None)
            self._sender.held.release(call_id)
            self._runtime.submit(CallAbandoned(call_id))

    async def _run_commands(self, exchange: Exchange) -> None:
        while True:
            command = await exchange.next_command()
            if command is None:
                return
            if isinstance(command, Send | HandOff):
                if await self._run_send(exchange, command):
                    return
                continue
            await self._end_response(exchange, command)
            return

    async def _end_response(
        self,
        exchange: Exchange,
        command: RelayFailure | RefuseCall | FinishStream,
    ) -> None:
        if isinstance(command, RelayFailure) and exchange.held is not None:
            await exchange.send_response(exchange.held)
        elif isinstance(command, RefuseCall) and not exchange.started:
            await self._send_refusal(exchange, command)
        elif isinstance(command, FinishStream):
            await exchange.finish_if_whole()
        # Otherwise the response stays incomplete. The server then closes
        # the connection, by which the caller notices.

    async def _run_send(
        self, exchange: Exchange, effect: Send | HandOff
    ) -> bool:
        """Run one send; return whether the caller has a complete response."""
        task = asyncio.create_task(self._sender.run(exchange, effect))
        exchange.task = task
        try:
            await asyncio.wait({task})
        except asyncio.CancelledError:
            task.cancel()
            raise
        exchange.task = None
        if task.cancelled():
            return False
        self._runtime.submit(task.result())
        return exchange.complete

    async def _send_refusal(
        self, exchange: Exchange, refusal: RefuseCall
    ) -> None:
        status = 502
        if refusal.not_run:
            status = 503
        elif refusal.timed_out:
            status = 504
        await exchange.send_response(
            self._make_refusal(
                status,
                refusal.reason,
                refusal.retry_after_s,
                not_run=refusal.not_run,
            ),
        )

    async def _refuse_at_ingress(
        self,
        send: Any,
        status: int,
        reason: str,
        retry_after_s: float | None = None,
    ) -> None:
        self._runtime.counters.add('refused', reason)
        response = self._make_refusal(status, reason, retry_after_s)
        await self._send_response(send, response)

    async def _send_response(
        self, send: Any, response: BufferedResponse
    ) -> None:
        headers = add_close_header(
            response.headers, close_connection=self.stopping
        )
        await send_response_start(send, response.status, headers)
        await send({'type': 'http.response.body', 'body': response.body})

    def _make_refusal(
        self,
        status: int,
        reason: str,
        retry_after_s: float | None,
        *,
        not_run: bool = True,
    ) -> BufferedResponse:
        response = _make_text_response(status, reason)
        headers = response.headers
        if retry_after_s is not None:
            headers.append((b'retry-after', f'{retry_after_s:.3f}'.encode()))
        if self._takes_handoffs:
            headers.append(make_reason_header(reason, not_run=not_run))
        return response

    async def _watch_caller(self, call_id: str, receive: Any) -> None:
        while True:
            message = await receive()
            if message['type'] == 'http.disconnect':
                break
        exchange = self._runtime.calls.get(call_id)
        if exchange is None or exchange.complete:
            return
        self._runtime.submit(CallAbandoned(call_id))
        exchange.commands.put_nowait(None)

    def _log_unadmitted_call(
        self,
        table: RouteTable,
        headers: CallHeaders,
        reason: str,
    ) -> None:
        self._runtime.log_decision(
            'call_not_admitted',
            {
                'req_id': headers.req_id,
                'reason': reason,
                'version': table.version,
            },
            important=True,
        )


def _make_text_response(status: int, text: str) -> BufferedResponse:
    body = text.encode()
    headers = [
        (b'content-type', b'text/plain'),
        (b'content-length', b'%d' % len(body)),
    ]
    return BufferedResponse(status, headers, body)


def _accept_handoff(call: RoutedCall, raw: RawHeaders) -> RoutedCall:
    """Return a call that another VM handed off, with the limit that it set."""
    max_attempts = parse_max_attempts(raw, call.route.max_attempts)
    route = dataclasses.replace(call.route, max_attempts=max_attempts)
    return dataclasses.replace(
        call,
        route=route,
        handed_off=True,
        counted_before=parse_counted(raw),
    )
