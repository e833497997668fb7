"""Orders to engines to load the model that their pool offers.

The owner of a pool sends them. The wanted model follows from the published
configuration alone, so that two owners send the same orders and a change of
demand moves no model. An engine that refuses outdated fencing numbers ignores
the orders of a former owner that was suspended and resumes late. For other
engines an owner reads the engine's loaded models first, keeps one order in
flight, and sends its first order only after the maximum delay of an order of an
earlier owner.
"""

from bilberryspoke._internal.core.limits import charge_bucket, make_bucket
from bilberryspoke._internal.core.orderstate import EngineOrders
from bilberryspoke._internal.core.policies.registry import find_policy
from bilberryspoke._internal.core.reducer import on_event
from bilberryspoke._internal.core.state import VmState
from bilberryspoke._internal.models.catalog import Pool, Upstream
from bilberryspoke._internal.models.effects import Count, Log, OrderModelLoad
from bilberryspoke._internal.models.events import (
    LoadReported,
    ModelLoadOrderEnded,
)

# An order's request times out after this time; a new owner waits as long
# before its first order to an engine without fencing.
MAX_ORDER_DELAY_S = 10.0
# Ownership and the lack of a model must last this long before an order.
_MIN_STABLE_S = 2.0


def order_missing_model(
    state: VmState,
    report: LoadReported,
    now: float,
) -> None:
    """Order an engine to load its pool's model if its report lacks it."""
    catalog = state.catalog
    if catalog is None or report.models is None:
        return
    for pool in catalog.pools.values():
        if report.upstream in pool.upstreams and pool.serves == 'model':
            upstream = catalog.upstreams[report.upstream]
            _order_if_missing(state, pool, upstream, report, now)


def update_owned_since(state: VmState, pool: str, now: float) -> None:
    """Record since when this VM has owned a pool without interruption.

    When the ownership of a pool ends, the order state of all engines is
    cleared.
    """
    order_state = state.orders
    if state.owner_of.get(pool) == state.vm:
        order_state.owned_since.setdefault(pool, now)
    elif pool in order_state.owned_since:
        order_state.owned_since.pop(pool)
        # A later ownership needs a higher fencing number, which is taken
        # from the engine's next report.
        order_state.engines.clear()


@on_event(ModelLoadOrderEnded)
def handle_model_load_order_ended(
    state: VmState, event: ModelLoadOrderEnded, now: float
) -> None:
    """Record the end of an order.

    A failed order is sent again if the model is still missing after
    ``_MIN_STABLE_S``, with a higher fencing number if the engine reports one
    that is as high.
    """
    engine = state.orders.engines.get(event.upstream)
    if engine is None:
        return
    engine.in_flight_since = 0.0
    state.emit(Count('orders_accepted' if event.accepted else 'orders_failed'))
    if not event.accepted:
        engine.model_missing_since = now


def _order_if_missing(
    state: VmState,
    pool: Pool,
    upstream: Upstream,
    report: LoadReported,
    now: float,
) -> None:
    engine = state.orders.engines.setdefault(upstream.name, EngineOrders())
    if pool.offers in report.models:
        engine.model_missing_since = 0.0
        return
    if not engine.model_missing_since:
        engine.model_missing_since = now
    if not _may_order(state, pool, upstream, engine, now):
        return
    if engine.fencing <= report.fencing:
        engine.fencing = max(
            report.fencing + 1,
            state.settings.incarnation,
        )
    engine.in_flight_since = now
    state.emit(Log('model_load_ordered', f'{upstream.name} load {pool.offers}'))
    state.emit(OrderModelLoad(upstream.name, pool.offers, engine.fencing))


def _may_order(
    state: VmState,
    pool: Pool,
    upstream: Upstream,
    engine: EngineOrders,
    now: float,
) -> bool:
    policy = find_policy(state.settings.policy)
    if policy.find_owner(state, pool.name, now) != state.vm:
        return False
    owned_s = now - state.orders.owned_since.get(pool.name, now)
    wait_s = _MIN_STABLE_S if upstream.fencing else MAX_ORDER_DELAY_S
    if owned_s < wait_s or state.is_leaving(upstream):
        return False
    if now - engine.model_missing_since < _MIN_STABLE_S:
        return False
    if engine.in_flight_since:
        if now - engine.in_flight_since < MAX_ORDER_DELAY_S:
            return False
    return _charge_model_load(state, now)


def _charge_model_load(state: VmState, now: float) -> bool:
    """Charge one model load to this VM's share of the weight store's rate.

    The VMs alive share the rate equally. Returns whether the load is within
    the share. The bucket starts with a single load instead of a full burst.
    """
    members = 1 + len(state.membership.list_alive(now))
    rate = state.settings.weights_per_s / members
    order_state = state.orders
    if order_state.model_load_bucket is None:
        order_state.model_load_bucket = make_bucket(rate, now)
        order_state.model_load_bucket.balance = 1.0
    return charge_bucket(order_state.model_load_bucket, rate, now) == 0
