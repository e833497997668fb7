"""Serves admitted calls: runs their attempts and answers the callers."""

import asyncio
import functools
import hashlib
import time
from collections.abc import Callable
from typing import Any

from bilberryspoke._internal.config.settings import LimitSettings
from bilberryspoke._internal.models.effects import (
    AnswerFailure,
    Dispatch,
    Forward,
    Reject,
    Replay,
)
from bilberryspoke._internal.models.events import (
    AttemptEnded,
    CallerGone,
    Event,
    OperationArrived,
    RequestArrived,
    RequestCrashed,
)
from bilberryspoke._internal.models.requests import AttemptStatus, Outcome
from bilberryspoke._internal.network.calls import Call
from bilberryspoke._internal.network.clock import read_boottime
from bilberryspoke._internal.network.responses import (
    REQUEST_ID_HEADER,
    encode_error_event,
    get_failure_status,
    send_error,
    send_response,
)
from bilberryspoke._internal.network.runtime import Runtime
from bilberryspoke._internal.network.upstreams import (
    AttemptResult,
    UpstreamClient,
)

_NS_PER_MS = 1_000_000
_FINAL_COMMAND_HANDLERS: dict[type, Callable[..., Any]] = {}


def handles_final_command(command_type: type) -> Callable[..., Any]:
    """Return a decorator that registers the handler of a final command.

    A final command answers the caller and ends the call. Handlers are methods
    of ``CallDriver``.
    """

    def register(method: Callable[..., Any]) -> Callable[..., Any]:
        _FINAL_COMMAND_HANDLERS[command_type] = method
        return method

    return register


class CallDriver:
    """Executes the commands that the core issues for each call.

    ``Dispatch`` starts an attempt and may be followed by another command;
    every other command answers the caller and ends the call.
    """

    def __init__(
        self,
        runtime: Runtime,
        client: UpstreamClient,
        limits: LimitSettings,
    ) -> None:
        """Create the driver that all calls of a VM share."""
        self._runtime = runtime
        self._client = client
        self._limits = limits

    async def serve(self, call: Call, receive: Any) -> None:
        """Serve a call until its answer is complete or its caller has left.

        A call whose request id is already open on this VM is answered with
        status 409. At the end of every other call the core gets
        ``CallerGone``.
        """
        req_id = call.req.req_id
        if req_id in self._runtime.calls:
            await self._refuse_duplicate(call)
            return
        self._runtime.calls[req_id] = call
        call.on_first_delivery = functools.partial(
            self._runtime.report_call_progress,
            call,
        )
        watcher = asyncio.create_task(self._watch_caller(call, receive))
        try:
            self._runtime.submit(_make_arrival(call))
            await self._run_commands(call)
        except Exception:
            self._runtime.submit(RequestCrashed(req_id))
            raise
        finally:
            watcher.cancel()
            self._runtime.calls.pop(req_id, None)
            # The core ignores it for a request that has ended.
            self._runtime.submit(CallerGone(req_id))

    async def _run_commands(self, call: Call) -> None:
        while not call.aborted:
            command = await call.commands.get()
            if isinstance(command, Dispatch):
                await self._run_attempt(call, command)
                if call.complete:
                    await _end_stream(call)
                    return
            else:
                await _FINAL_COMMAND_HANDLERS[type(command)](
                    self, call, command
                )
                return

    async def _run_attempt(self, call: Call, dispatch: Dispatch) -> None:
        call.attempt = dispatch.attempt
        result = await self._execute_attempt(call, dispatch)
        call.attempt_task = None
        self._runtime.submit(
            AttemptEnded(
                call.req.req_id,
                dispatch.attempt,
                result.status,
                call.delivered,
                result.detail,
                upstream_crashed=result.upstream_crashed,
            ),
        )

    async def _execute_attempt(
        self, call: Call, dispatch: Dispatch
    ) -> AttemptResult:
        if call.cancelled_attempt >= dispatch.attempt:
            return AttemptResult(
                AttemptStatus.lapsed, 'cancelled before sending'
            )
        catalog = self._runtime.core.state.catalog
        upstream = catalog.upstreams.get(dispatch.upstream)
        if upstream is None:
            return AttemptResult(
                AttemptStatus.lapsed,
                'upstream no longer configured',
            )
        call.upstream_idle = False
        call.last_progress_at = read_boottime()
        call.attempt_task = asyncio.create_task(
            self._client.run(call, dispatch, upstream.url),
        )
        try:
            return await call.attempt_task
        except asyncio.CancelledError:
            if call.upstream_idle:
                detail = 'upstream sent nothing within the idle timeout'
                return AttemptResult(AttemptStatus.broken, detail)
            if call.cancelled_attempt != dispatch.attempt:
                # The task that serves the call was cancelled, not the attempt.
                call.attempt_task.cancel()
                raise
            return AttemptResult(AttemptStatus.cancelled)

    @handles_final_command(AnswerFailure)
    async def _answer_failure(self, call: Call, answer: AnswerFailure) -> None:
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
            get_failure_status(answer.outcome),
            answer.reason,
            message,
            outcome=answer.outcome,
            req_id=call.req.req_id,
            retry_after_s=answer.retry_after_s,
        )

    @handles_final_command(Reject)
    async def _reject(self, call: Call, command: Reject) -> None:
        await send_error(
            call.send,
            command.status,
            command.kind,
            command.message,
            outcome=command.outcome,
            req_id=call.req.req_id,
        )

    @handles_final_command(Forward)
    async def _forward(self, call: Call, command: Forward) -> None:
        membership = self._runtime.core.state.membership
        member = membership.members.get(command.peer)
        if member is not None and member.entry_url:
            await self._client.forward(call, member.entry_url)
        if not call.complete:
            # The VM that owns the key may have run the operation, by this
            # request or by an earlier one.
            answer = AnswerFailure(
                call.req.req_id,
                Outcome.unknown,
                'key_owner_unreachable',
            )
            await self._answer_failure(call, answer)

    @handles_final_command(Replay)
    async def _replay(self, call: Call, command: Replay) -> None:
        recorded = self._runtime.answers.find(command.key)
        if recorded is None:
            await send_error(
                call.send,
                409,
                'answer_forgotten',
                'the operation of this key ran; its answer is not kept',
                outcome=Outcome.unknown,
                req_id=call.req.req_id,
            )
            return
        headers = {
            **recorded.headers,
            REQUEST_ID_HEADER: call.req.req_id,
            'idempotent-replayed': 'true',
        }
        await send_response(call.send, recorded.status, headers, recorded.body)

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
            self._runtime.submit(CallerGone(call.req.req_id))
            # The core has now ended the request, unless an attempt may be
            # running. Such an attempt of an operation runs to its end without
            # the caller, so that a retry finds the recorded answer; any other
            # call is aborted.
            req_states = self._runtime.core.state.req_states
            request_ended = call.req.req_id not in req_states
            call.aborted = request_ended or not call.req.operation_key
            if call.attempt_task is None and call.aborted:
                # Wakes up _run_commands, which may be waiting for a command.
                call.commands.put_nowait(
                    AnswerFailure(
                        call.req.req_id, Outcome.unknown, 'caller_gone'
                    ),
                )


def _make_arrival(call: Call) -> Event:
    if not call.key:
        return RequestArrived(call.req)
    parts = (call.method.encode(), call.path.encode(), call.body)
    fingerprint = hashlib.sha256(b'\x00'.join(parts)).hexdigest()
    return OperationArrived(
        call.req,
        call.key,
        fingerprint,
        time.time_ns() // _NS_PER_MS,
        call.forwarded,
    )


async def _end_stream(call: Call) -> None:
    if call.stream and call.status == 200:
        await call.send({'type': 'http.response.body', 'body': b''})
