"""HTTP endpoints for operators: status, histograms, requests, health."""

import dataclasses
from typing import Any

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse
from starlette.routing import Route

from bilberryspoke._internal.network.clock import read_boottime
from bilberryspoke._internal.network.health import (
    get_unready_reason,
    make_health_routes,
)
from bilberryspoke._internal.network.runtime import Runtime


def make_admin_app(runtime: Runtime) -> Starlette:
    """Return the ASGI application that serves operators.

    Also serves probes and metrics. Answers 404 for a request whose record is
    not stored.
    """

    async def show_status(request: Request) -> Any:
        return JSONResponse(describe_status(runtime))

    async def show_histograms(request: Request) -> Any:
        return JSONResponse(
            {
                'counters': runtime.counters.dump(),
                'histograms': runtime.histograms.dump(),
            }
        )

    async def show_request(request: Request) -> Any:
        req_id = request.path_params['req_id']
        record = runtime.records.find(req_id)
        if record is None:
            return JSONResponse({'request_id': req_id}, status_code=404)
        return JSONResponse(dataclasses.asdict(record))

    return Starlette(
        routes=[
            Route('/admin/status', show_status),
            Route('/admin/histograms', show_histograms),
            Route('/admin/requests/{req_id}', show_request),
            *make_health_routes(
                runtime, histogram_kinds=('class', 'workspace')
            ),
        ],
    )


def describe_status(runtime: Runtime) -> dict[str, Any]:
    """Return the document of ``/admin/status``.

    It has the VM's name, incarnation, readiness, configuration, open
    requests, peers, the owner of each pool, the upstreams that are leaving,
    the queues of the pools that this VM owns, and the load of each upstream.

    Of a queue, ``waiting`` is the number of queued requests and ``held`` the
    number of held slots, both by service class. Of an upstream, ``granted``
    is the number of slots that this VM has granted, ``reported`` the number
    of requests that the upstream last reported as running or waiting,
    ``ms_per_token`` a moving average in milliseconds, and ``avoided`` whether
    it is ejected now.
    """
    state = runtime.core.state
    now = read_boottime()
    catalog = state.catalog
    return {
        'vm': state.vm,
        'data_centre': state.settings.data_centre,
        'incarnation': state.settings.incarnation,
        'ready': not get_unready_reason(runtime),
        'reason': get_unready_reason(runtime),
        'revision': catalog.revision if catalog else 0,
        'digest': catalog.digest if catalog else '',
        'requests_open': len(state.req_states),
        'peers_alive': sorted(state.membership.list_alive(now)),
        'owner_of': dict(sorted(state.owner_of.items())),
        'upstreams_leaving': sorted(state.leaving),
        'queues': _describe_queues(runtime),
        'upstreams': _describe_upstreams(runtime, now),
    }


def _describe_queues(runtime: Runtime) -> dict[str, Any]:
    return {
        pool: {
            'waiting': {
                service_class: queue.size
                for service_class, queue in owned_pool.queues.items()
            },
            'held': dict(owned_pool.running),
        }
        for pool, owned_pool in runtime.core.state.owned_pools.items()
    }


def _describe_upstreams(runtime: Runtime, now: float) -> dict[str, Any]:
    return {
        name: {
            'granted': load.own,
            'reported': load.running + load.waiting,
            'ms_per_token': round(load.s_per_token * 1000, 2),
            'avoided': load.ejected_until > now,
        }
        for name, load in sorted(runtime.core.state.loads.items())
    }
