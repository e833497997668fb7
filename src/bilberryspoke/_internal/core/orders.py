"""Orders to engines: load the model that the published pool offers.

The owner of a pool gives them, as wanted state worked out from the published
configuration alone, so that two owners say the same and shifting demand
moves no model. Engines that refuse old fencing numbers are safe from an owner
that wakes late. For the others an owner reads the state first, keeps one
order in flight, and waits out the longest delay of an earlier owner's order
before its first one.
"""

from bilberryspoke._internal.core.limits import charge, make_bucket
from bilberryspoke._internal.core.orderbook import EngineOrders
from bilberryspoke._internal.core.policies.registry import find_policy
from bilberryspoke._internal.core.reducer import on_event
from bilberryspoke._internal.core.state import NodeState
from bilberryspoke._internal.models.catalog import Pool, Upstream
from bilberryspoke._internal.models.effects import Count, Log, OrderUpstream
from bilberryspoke._internal.models.events import LoadReported, OrderEnded

ORDER_DELAY_S = 10.0
_SETTLE_S = 2.0


def review_engine(
    state: NodeState,
    report: LoadReported,
    now: float,
) -> None:
    """Order the wanted model where a report shows that it is missing."""
    catalog = state.catalog
    if catalog is None or report.models is None:
        return
    for pool in catalog.pools.values():
        if report.upstream in pool.upstreams and pool.serves == 'model':
            upstream = catalog.upstreams[report.upstream]
            _review(state, pool, upstream, report, now)


def follow_ownership(state: NodeState, pool: str, now: float) -> None:
    """Note since when this VM owns a pool without a break."""
    book = state.orders
    if state.owner_of.get(pool) == state.vm:
        book.owned_since.setdefault(pool, now)
    elif pool in book.owned_since:
        book.owned_since.pop(pool)
        # A later ownership needs a higher fencing number.
        book.engines.clear()


@on_event(OrderEnded)
def end_order(state: NodeState, event: OrderEnded, now: float) -> None:
    """Note the end of an order; a refused one is given with a new number."""
    engine = state.orders.engines.get(event.upstream)
    if engine is None:
        return
    engine.in_flight_since = 0.0
    state.emit(Count('orders_accepted' if event.accepted else 'orders_failed'))
    if not event.accepted:
        engine.missing_since = now


def _review(
    state: NodeState,
    pool: Pool,
    upstream: Upstream,
    report: LoadReported,
    now: float,
) -> None:
    engine = state.orders.engines.setdefault(upstream.name, EngineOrders())
    if pool.offers in report.models:
        engine.missing_since = 0.0
        return
    if not engine.missing_since:
        engine.missing_since = now
    if not _may_order(state, pool, upstream, engine, now):
        return
    if engine.fencing <= report.fencing:
        engine.fencing = max(
            report.fencing + 1,
            state.settings.incarnation,
        )
    engine.in_flight_since = now
    state.emit(Log('order_given', f'{upstream.name} load {pool.offers}'))
    state.emit(OrderUpstream(upstream.name, pool.offers, engine.fencing))


def _may_order(
    state: NodeState,
    pool: Pool,
    upstream: Upstream,
    engine: EngineOrders,
    now: float,
) -> bool:
    policy = find_policy(state.settings.policy)
    if policy.find_owner(state, pool.name, now) != state.vm:
        return False
    owned_s = now - state.orders.owned_since.get(pool.name, now)
    wait_s = _SETTLE_S if upstream.fencing else ORDER_DELAY_S
    if owned_s < wait_s or state.is_leaving(upstream):
        return False
    if now - engine.missing_since < _SETTLE_S:
        return False
    if engine.in_flight_since:
        if now - engine.in_flight_since < ORDER_DELAY_S:
            return False
    return _take_weights(state, now)


def _take_weights(state: NodeState, now: float) -> bool:
    """Keep to this VM's equal part of the weight store's rate."""
    members = 1 + len(state.membership.list_alive(now))
    rate = state.settings.weights_per_s / members
    book = state.orders
    if book.weights is None:
        book.weights = make_bucket(rate, now)
        book.weights.balance = 1.0
    return charge(book.weights, rate, now) == 0
