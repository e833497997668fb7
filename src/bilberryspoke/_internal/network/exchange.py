"""One request from its admission to the last byte of its answer."""

import asyncio
from typing import Any

from bilberryspoke._internal.config.settings import LimitSettings
from bilberryspoke._internal.models.effects import Answer, Dispatch
from bilberryspoke._internal.models.events import (
    AttemptEnded,
    CallerGone,
    RequestArrived,
)
from bilberryspoke._internal.models.requests import AttemptStatus, Outcome
from bilberryspoke._internal.network.calls import Call
from bilberryspoke._internal.network.responses import (
    encode_error_event,
    send_error,
    status_of,
)
from bilberryspoke._internal.network.runtime import Runtime
from bilberryspoke._internal.network.upstreams import (
    AttemptResult,
    UpstreamClient,
)


class Exchange:
    """Drives calls: waits for the core's commands and carries them out."""

    def __init__(
        self,
        runtime: Runtime,
        client: UpstreamClient,
        limits: LimitSettings,
    ) -> None:
        """Create the driver of all calls of a VM."""
        self._runtime = runtime
        self._client = client
        self._limits = limits

    async def serve(self, call: Call, receive: Any) -> None:
        """Serve a call until its caller has the final word."""
        req_id = call.req.req_id
        if req_id in self._runtime.calls:
            await self._refuse_duplicate(call)
            return
        self._runtime.calls[req_id] = call
        watcher = asyncio.create_task(self._watch_caller(call, receive))
        try:
            self._runtime.submit(RequestArrived(call.req))
            await self._obey(call)
        finally:
            watcher.cancel()
            self._runtime.calls.pop(req_id, None)
            self._runtime.submit(CallerGone(req_id))

    async def _obey(self, call: Call) -> None:
        while not call.aborted:
            command = await call.commands.get()
            if isinstance(command, Answer):
                await self._give_answer(call, command)
                return
            if isinstance(command, Dispatch):
                await self._run_attempt(call, command)
                if call.complete:
                    await _end_stream(call)
                    return

    async def _run_attempt(self, call: Call, dispatch: Dispatch) -> None:
        call.attempt = dispatch.attempt
        attempted = await self._attempt(call, dispatch)
        call.attempt_task = None
        self._runtime.submit(
            AttemptEnded(
                call.req.req_id,
                dispatch.attempt,
                attempted.status,
                call.delivered,
                attempted.detail,
            ),
        )

    async def _attempt(self, call: Call, dispatch: Dispatch) -> AttemptResult:
        if call.cancelled_attempt >= dispatch.attempt:
            return AttemptResult(AttemptStatus.lapsed, 'cancelled unsent')
        catalog = self._runtime.core.state.catalog
        upstream = catalog.upstreams.get(dispatch.upstream)
        if upstream is None:
            return AttemptResult(AttemptStatus.lapsed, 'upstream withdrawn')
        call.attempt_task = asyncio.create_task(
            self._client.run(call, dispatch, upstream.url),
        )
        try:
            return await call.attempt_task
        except asyncio.CancelledError:
            if call.cancelled_attempt != dispatch.attempt:
                call.attempt_task.cancel()
                raise
            return AttemptResult(AttemptStatus.cancelled)

    async def _give_answer(self, call: Call, answer: Answer) -> None:
        message = f'request {answer.outcome.value}: {answer.reason}'
        if call.started:
            event = encode_error_event(
                answer.reason,
                message,
                answer.outcome,
                call.req.req_id,
            )
            body = {'type': 'http.response.body', 'body': event}
            await call.send(body)
            return
        await send_error(
            call.send,
            status_of(answer.outcome),
            answer.reason,
            message,
            outcome=answer.outcome,
            req_id=call.req.req_id,
            retry_after_s=answer.retry_after_s,
        )

    async def _refuse_duplicate(self, call: Call) -> None:
        await send_error(
            call.send,
            409,
            'duplicate_request_id',
            'a request with this X-Request-Id is under way',
            outcome=Outcome.not_run,
            req_id=call.req.req_id,
        )

    async def _watch_caller(self, call: Call, receive: Any) -> None:
        while True:
            message = await receive()
            if message['type'] == 'http.disconnect':
                break
        if not call.complete:
            call.aborted = True
            self._runtime.submit(CallerGone(call.req.req_id))
            if call.attempt_task is None:
                call.commands.put_nowait(
                    Answer(call.req.req_id, Outcome.unknown, 'caller_gone'),
                )


async def _end_stream(call: Call) -> None:
    if call.stream and call.status == 200:
        await call.send({'type': 'http.response.body', 'body': b''})
