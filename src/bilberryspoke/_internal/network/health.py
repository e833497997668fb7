"""Probes and metrics, for the load balancer and for operators."""

from collections.abc import Iterable
from typing import Any

from starlette.requests import Request
from starlette.responses import JSONResponse, PlainTextResponse
from starlette.routing import Route

from bilberryspoke._internal.core.membership import Membership
from bilberryspoke._internal.network.clock import read_boottime
from bilberryspoke._internal.network.runtime import Runtime

# Time after the start for which a VM is not ready while peers are missing or
# have a newer configuration; afterwards it serves without them.
_JOIN_TIMEOUT_S = 1.5


def make_health_routes(
    runtime: Runtime, *, histogram_kinds: Iterable[str]
) -> list[Route]:
    """Return the routes of probes and metrics.

    ``histogram_kinds`` selects the histograms that the metrics include:
    ``class``, ``workspace`` or both.
    """
    kinds = tuple(histogram_kinds)

    async def show_live(request: Request) -> Any:
        return JSONResponse({'live': True})

    async def show_ready(request: Request) -> Any:
        reason = get_unready_reason(runtime)
        status = 503 if reason else 200
        document = {'ready': not reason, 'reason': reason}
        return JSONResponse(document, status_code=status)

    async def show_metrics(request: Request) -> Any:
        lines = runtime.counters.render() + runtime.histograms.render(kinds)
        return PlainTextResponse('\n'.join([*lines, '']))

    return [
        Route('/livez', show_live),
        Route('/readyz', show_ready),
        Route('/metrics', show_metrics),
    ]


def get_unready_reason(runtime: Runtime) -> str:
    """Return why a VM is not ready, or an empty string if it is."""
    state = runtime.core.state
    if state.stopping:
        return 'stopping'
    if state.catalog is None:
        return 'no configuration'
    now = read_boottime()
    if now - runtime.started_at > _JOIN_TIMEOUT_S:
        return ''
    if _is_joining(state.membership, now):
        return 'joining'
    if state.membership.find_newest_revision(now) > state.catalog.revision:
        return 'a peer has a newer configuration'
    return ''


def _is_joining(membership: Membership, now: float) -> bool:
    if not membership.listed:
        return True
    return len(membership.list_alive(now)) < len(membership.members)
