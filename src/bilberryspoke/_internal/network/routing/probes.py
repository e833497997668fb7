"""Applications for readiness probes and for metrics."""

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import PlainTextResponse
from starlette.routing import Route as AppRoute

from bilberryspoke._internal.core.routing.backlog import count_live_vms
from bilberryspoke._internal.metrics.gauges import render_gauge
from bilberryspoke._internal.network.clock import read_boottime
from bilberryspoke._internal.network.runtime import Runtime
from bilberryspoke._internal.platform.boot import READY_PATH


def make_probe_app(runtime: Runtime) -> Starlette:
    """Create the application for the load balancer's readiness probes."""

    async def show_ready(request: Request) -> PlainTextResponse:
        state = runtime.core.state
        if state.stopping:
            return PlainTextResponse('stopping', status_code=503)
        if not state.routing.ready:
            return PlainTextResponse('no configuration', status_code=503)
        return PlainTextResponse('ready')

    return Starlette(routes=[AppRoute(READY_PATH, show_ready)])


def make_metrics_app(runtime: Runtime) -> Starlette:
    """Create the application that serves metrics as Prometheus text."""

    async def show_metrics(request: Request) -> PlainTextResponse:
        lines = runtime.counters.render()
        lines += _render_gauges(runtime)
        lines += runtime.histograms.render(('class', 'workspace'))
        return PlainTextResponse('\n'.join([*lines, '']))

    return Starlette(routes=[AppRoute('/metrics', show_metrics)])


def _render_gauges(runtime: Runtime) -> list[str]:
    """Return the gauges of what this VM knows of the others.

    They are the peers that it knows and those heard from lately, whether it
    reads the store (1) or follows another VM (0), the messages
    to peers that were dropped since the start, its part of the reserve of
    each retry budget, the version of its routes, the position of the store as
    of which it knows the upstreams, and the seconds since the store last
    answered each watch, the limits that upstreams name, with its part of
    each, how many fingerprints it blocks, and how many upstreams of each
    service accept calls and how many of these it reaches as far as it knows.
    """
    routing = runtime.core.state.routing
    now = read_boottime()
    live_peers = count_live_vms(routing, now)
    gauges: dict[str, dict[str, float]] = {
        'known_peers': {'': len(routing.peers)},
        'live_peers': {'': live_peers},
        'reads_store': {'': int(routing.reads_store)},
        'peer_messages_dropped': {'': runtime.peers.dropped},
        'retry_reserve': {
            service: budget.reserve
            for service, budget in routing.budgets.items()
        },
        'upstream_limit_per_s': {
            instance: upstream.limit.per_s
            for instance, upstream in routing.upstreams.items()
            if upstream.limit.per_s is not None
        },
        'upstream_limit_part_per_s': {
            instance: upstream.limit.part_per_s
            for instance, upstream in routing.upstreams.items()
            if upstream.limit.per_s is not None
        },
        'accepting_upstreams': {
            service: len(routing.list_accepting_upstreams(service))
            for service in routing.list_services()
        },
        'reached_upstreams': {
            service: len(routing.list_reached_upstreams(service, now))
            for service in routing.list_services()
        },
        'blocked_fingerprints': {'': len(routing.crash_ledger.blocks)},
        'routes_version': {'': routing.table.version if routing.table else 0},
        'store_era': {'': routing.position.era},
        'store_revision': {'': routing.position.revision},
        'store_silence_s': {
            watch: now - answered_at
            for watch, answered_at in routing.store_answered_at.items()
        },
    }
    return [
        line
        for name, values in gauges.items()
        for line in render_gauge(name, values)
    ]
