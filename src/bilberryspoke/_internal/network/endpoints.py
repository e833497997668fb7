"""The callers' endpoints: completions, services, keys and models."""

import secrets
from typing import Any

from starlette.applications import Starlette
from starlette.routing import Route

from bilberryspoke._internal.core.admission import (
    Refusal,
    list_model_names,
)
from bilberryspoke._internal.core.operations.keys import (
    make_issued_key,
    normalize_key,
)
from bilberryspoke._internal.models.catalog import Catalog, Pool
from bilberryspoke._internal.models.events import KeyRequested
from bilberryspoke._internal.models.requests import Request
from bilberryspoke._internal.network.bodies import parse_chat_request
from bilberryspoke._internal.network.calls import Call
from bilberryspoke._internal.network.clock import read_boottime
from bilberryspoke._internal.network.endpointbase import (
    Caller,
    Endpoint,
    EndpointContext,
    send_refusal,
)
from bilberryspoke._internal.network.health import make_health_routes
from bilberryspoke._internal.network.responses import send_json
from bilberryspoke._internal.network.upstreams import FORWARDED_HEADER

_SERVICE_METHODS = ('GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS')

# Segments of /v1/services/NAME/, with the empty one before the first slash.
_SERVICE_PREFIX_SEGMENTS = 4
_KEY_TOKEN_BYTES = 16
_IDEMPOTENCY_HEADER = 'idempotency-key'


class ChatCompletions(Endpoint):
    """``POST /v1/chat/completions``: a completion by a model engine."""

    async def serve(
        self,
        caller: Caller,
        scope: Any,
        receive: Any,
        send: Any,
    ) -> None:
        """Route a completion request to an engine of the model."""
        body = await self.receive_body(caller, receive, send)
        if body is None:
            return
        result = parse_chat_request(body)
        if result.is_error():
            await send_refusal(send, result.error, caller.req_id)
            return
        params = result.ok
        admitted = await self.admit(caller, 'model', params.model, send)
        if admitted is None:
            return
        req = Request(
            req_id=caller.req_id,
            workspace=admitted.workspace.name,
            service_class=admitted.service_class.name,
            pool=admitted.pool.name,
            arrived_at=read_boottime(),
            prompt_tokens=params.prompt_tokens,
            prefix=params.prefix,
            resumable=params.stream,
            repeatable=admitted.service_class.repeatable,
        )
        call = Call(
            req=req,
            method='POST',
            path='/v1/chat/completions',
            public_path='/v1/chat/completions',
            body=body,
            headers=caller.headers,
            stream=params.stream,
            send=send,
        )
        await self._context.call_driver.serve(call, receive)


class ServiceCalls(Endpoint):
    """``/v1/services/NAME/PATH`` with any method: a call of a service."""

    async def serve(
        self,
        caller: Caller,
        scope: Any,
        receive: Any,
        send: Any,
    ) -> None:
        """Route a call of a service.

        A call that is not repeatable runs at most once.
        """
        body = await self.receive_body(caller, receive, send)
        if body is None:
            return
        public_path = _make_public_path(scope)
        name = scope['path_params']['name']
        admitted = await self.admit(caller, 'service', name, send)
        if admitted is None:
            return
        # Upstreams that deduplicate calls by themselves may be called again.
        # A repeatable call needs no idempotency key.
        repeatable = admitted.service_class.repeatable or _pool_deduplicates(
            caller.catalog,
            admitted.pool,
        )
        key = '' if repeatable else caller.headers.get(_IDEMPOTENCY_HEADER, '')
        call = Call(
            req=Request(
                req_id=caller.req_id,
                workspace=admitted.workspace.name,
                service_class=admitted.service_class.name,
                pool=admitted.pool.name,
                arrived_at=read_boottime(),
                repeatable=repeatable,
                operation_key=normalize_key(key),
            ),
            method=scope['method'],
            path=_make_service_path(public_path),
            public_path=public_path,
            body=body,
            headers=caller.headers,
            stream=False,
            send=send,
            key=key,
            forwarded=FORWARDED_HEADER in caller.headers,
        )
        await self._context.call_driver.serve(call, receive)


class OperationKeys(Endpoint):
    """``POST /v1/operation-keys``: a new key for an operation."""

    async def serve(
        self,
        caller: Caller,
        scope: Any,
        receive: Any,
        send: Any,
    ) -> None:
        """Issue a key, bound to this process, for one operation.

        The operation runs at most once.
        """
        runtime = self._context.runtime
        if runtime.core.state.stopping:
            refusal = Refusal(503, 'stopping', 'this VM is stopping')
            await send_refusal(send, refusal, caller.req_id)
            return
        token = secrets.token_hex(_KEY_TOKEN_BYTES)
        runtime.submit(KeyRequested(caller.workspace.name, token))
        settings = runtime.core.state.settings
        key = make_issued_key(settings.vm, settings.incarnation, token)
        await send_json(send, 201, {'key': key, 'issuer': settings.vm})


class Models(Endpoint):
    """``GET /v1/models``: the models that the caller may use."""

    async def serve(
        self,
        caller: Caller,
        scope: Any,
        receive: Any,
        send: Any,
    ) -> None:
        """List the models the caller is approved for."""
        offers = list_model_names(caller.catalog, caller.workspace)
        models = [
            {
                'id': offer,
                'object': 'model',
                'created': 0,
                'owned_by': 'bilberryspoke',
            }
            for offer in offers
        ]
        await send_json(send, 200, {'object': 'list', 'data': models})


def make_entry_app(front: EndpointContext) -> Starlette:
    """Return the ASGI application that serves callers."""
    return Starlette(
        routes=[
            Route(
                '/v1/chat/completions',
                ChatCompletions(front),
                methods=['POST'],
            ),
            Route('/v1/models', Models(front), methods=['GET']),
            Route(
                '/v1/operation-keys',
                OperationKeys(front),
                methods=['POST'],
            ),
            Route(
                '/v1/services/{name}/{path:path}',
                ServiceCalls(front),
                methods=list(_SERVICE_METHODS),
            ),
            *make_health_routes(front.runtime, histogram_kinds=('class',)),
        ],
    )


def _pool_deduplicates(catalog: Catalog, pool: Pool) -> bool:
    upstreams = catalog.list_upstreams(pool.name)
    return all(upstream.deduplicates for upstream in upstreams)


def _make_service_path(public_path: str) -> str:
    segments = public_path.split('/', _SERVICE_PREFIX_SEGMENTS)
    return '/' + '/'.join(segments[_SERVICE_PREFIX_SEGMENTS:])


def _make_public_path(scope: Any) -> str:
    """Return the path of a request as the caller sent it, with the query."""
    raw_path = scope.get('raw_path') or scope['path'].encode()
    path = raw_path.split(b'?')[0].decode('latin-1')
    query = scope.get('query_string', b'')
    suffix = '?' + query.decode('latin-1') if query else ''
    return path + suffix
