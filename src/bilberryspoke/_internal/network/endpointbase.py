"""Base of the callers' endpoints: authentication, limits and errors."""

import re
import uuid
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import structlog
from expression import Error, Ok, Result

from bilberryspoke._internal.config.settings import LimitSettings
from bilberryspoke._internal.core.admission import (
    Admitted,
    Refusal,
    admit,
    authenticate,
)
from bilberryspoke._internal.exceptions import CallerGoneError
from bilberryspoke._internal.models.catalog import Catalog, Workspace
from bilberryspoke._internal.models.requests import ROUTER_FAULT, Outcome
from bilberryspoke._internal.network.bodies import read_body
from bilberryspoke._internal.network.calldriver import CallDriver
from bilberryspoke._internal.network.notedsend import NotedSend
from bilberryspoke._internal.network.responses import (
    REQUEST_ID_HEADER,
    send_error,
)
from bilberryspoke._internal.network.runtime import Runtime

logger = structlog.get_logger()

CLASS_HEADER = 'x-request-class'

_REQUEST_ID_PATTERN = re.compile('^[A-Za-z0-9._:-]{1,128}$')

_BEARER_PREFIX = 'bearer '


@dataclass(frozen=True, slots=True)
class Caller:
    """The authenticated caller, the request's headers and the request id."""

    catalog: Catalog
    workspace: Workspace
    headers: Mapping[str, str]
    req_id: str


@dataclass(frozen=True, slots=True)
class EndpointContext:
    """The objects that all endpoints of a VM use."""

    runtime: Runtime
    call_driver: CallDriver
    limits: LimitSettings

    def check_limits(self, scope: Any) -> Refusal | None:
        """Return a refusal if headers or open requests exceed their limit.

        Its status is 431 for headers over ``header_bytes`` and 503 if as many
        requests are open on this VM as ``connections`` allows.
        """
        size = sum(len(name) + len(text) for name, text in scope['headers'])
        if size > self.limits.header_bytes:
            message = f'the headers are over {self.limits.header_bytes} bytes'
            return Refusal(431, 'headers_too_large', message)
        if len(self.runtime.calls) >= self.limits.connections:
            message = f'over {self.limits.connections} requests are open here'
            return Refusal(503, 'too_many_requests', message)
        return None

    def authenticate_caller(
        self,
        headers: Mapping[str, str],
        req_id: str,
    ) -> Result[Caller, Refusal]:
        """Return the caller of a request by its ``Authorization`` header.

        Returns a refusal with status 401 for a missing or unknown key and
        503 while there is no configuration.
        """
        catalog = self.runtime.core.state.catalog
        if catalog is None:
            text = 'no configuration is held yet'
            return Error(Refusal(503, 'not_ready', text))
        credentials = headers.get('authorization', '')
        if not credentials.lower().startswith(_BEARER_PREFIX):
            text = 'Authorization: Bearer KEY is missing'
            return Error(Refusal(401, 'unknown_key', text))
        result = authenticate(
            catalog, credentials[len(_BEARER_PREFIX) :].strip()
        )
        if result.is_error():
            return Error(result.error)
        return Ok(Caller(catalog, result.ok, headers, req_id))


class Endpoint:
    """ASGI application that authenticates a request and then serves it.

    Subclasses implement ``serve``.
    """

    def __init__(self, front: EndpointContext) -> None:
        """Create an endpoint."""
        self._context = front

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Check and serve one request.

        Unexpected exceptions are logged. The caller gets status 502. Within an
        answer they are raised again; the server then closes the connection.
        """
        headers = _decode_headers(scope)
        req_id = headers.get(REQUEST_ID_HEADER) or uuid.uuid4().hex
        if not _REQUEST_ID_PATTERN.match(req_id):
            text = (
                f'{REQUEST_ID_HEADER} must match {_REQUEST_ID_PATTERN.pattern}'
            )
            refusal = Refusal(400, 'malformed', text)
            await send_refusal(send, refusal, uuid.uuid4().hex)
            return
        over_limit = self._context.check_limits(scope)
        if over_limit is not None:
            await send_refusal(send, over_limit, req_id)
            return
        result = self._context.authenticate_caller(headers, req_id)
        if result.is_error():
            await send_refusal(send, result.error, req_id)
            return
        noted_send = NotedSend(send)
        try:
            await self.serve(result.ok, scope, receive, noted_send)
        except CallerGoneError:
            self._context.runtime.counters.add('callers_gone_early')
        except Exception:
            self._context.runtime.counters.add('calls_crashed')
            logger.exception('call_crashed', path=scope['path'], req_id=req_id)
            if noted_send.begun:
                raise
            await _send_fault(send, req_id)

    async def serve(
        self,
        caller: Caller,
        scope: Any,
        receive: Any,
        send: Any,
    ) -> None:
        """Serve an authenticated request; subclasses implement it."""
        raise NotImplementedError

    async def receive_body(
        self,
        caller: Caller,
        receive: Any,
        send: Any,
    ) -> bytes | None:
        """Return the request's body within the limits on size and time.

        Answers with a refusal and returns None if a limit is exceeded.
        """
        result = await read_body(receive, self._context.limits)
        if result.is_error():
            await send_refusal(send, result.error, caller.req_id)
            return None
        return result.ok

    async def admit(
        self,
        caller: Caller,
        serves: str,
        offer: str,
        send: Any,
    ) -> Admitted | None:
        """Return the class and pool that the caller is approved for.

        ``serves`` is ``model`` or ``service``, and ``offer`` its name.
        Answers with a refusal and returns None if there is no approval.
        """
        result = admit(
            caller.catalog,
            caller.workspace,
            serves=serves,
            offer=offer,
            class_name=caller.headers.get(CLASS_HEADER),
        )
        if result.is_error():
            self._context.runtime.counters.add('refused', result.error.kind)
            await send_refusal(send, result.error, caller.req_id)
            return None
        return result.ok


async def _send_fault(send: Any, req_id: str) -> None:
    """Answer a request that an unexpected exception ended.

    Status 503 would promise that it did not run.
    """
    await send_error(
        send,
        502,
        ROUTER_FAULT,
        'the router failed to serve the request, which may have run',
        outcome=Outcome.unknown,
        req_id=req_id,
    )


async def send_refusal(send: Any, refusal: Refusal, req_id: str) -> None:
    """Answer a request that is refused before any dispatch.

    A refusal with status 503 asks for a retry after 1 second.
    """
    await send_error(
        send,
        refusal.status,
        refusal.kind,
        refusal.message,
        outcome=Outcome.not_run,
        req_id=req_id,
        retry_after_s=1 if refusal.status == 503 else None,
    )


def _decode_headers(scope: Any) -> dict[str, str]:
    return {
        name.decode('latin-1').lower(): text.decode('latin-1')
        for name, text in scope['headers']
    }
