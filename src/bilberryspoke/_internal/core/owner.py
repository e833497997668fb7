"""Owner side: queueing asks, granting slots and taking them back."""

from bilberryspoke._internal.core.ordering import WaitingAsk
from bilberryspoke._internal.core.placement import (
    FreeUpstream,
    PoolSurvey,
    choose_upstream,
    list_usable,
    should_wait_for_faster,
    survey_pool,
)
from bilberryspoke._internal.core.policies.registry import find_policy
from bilberryspoke._internal.core.poolqueue import HeldSlot, PoolOwner
from bilberryspoke._internal.core.reducer import on_message
from bilberryspoke._internal.core.scheduling import (
    choose_eviction,
    choose_victims,
    count_stuck,
    count_urgent,
    iterate_heads,
)
from bilberryspoke._internal.core.sending import send
from bilberryspoke._internal.core.state import NodeState
from bilberryspoke._internal.models.catalog import MS_PER_S, ServiceClass
from bilberryspoke._internal.models.effects import Count
from bilberryspoke._internal.models.events import LoadReported
from bilberryspoke._internal.models.messages import (
    Ask,
    Granted,
    HeldAttempt,
    Holding,
    Missing,
    Preempted,
    Refused,
    Release,
    Withdraw,
)
from bilberryspoke._internal.models.requests import AttemptStatus

_BACKLOG_AGE_S = 1.0
_LEAST_RATE = 0.1
_NO_TARGET_S = 3600.0
_FAILURES = frozenset((AttemptStatus.broken, AttemptStatus.unreachable))


@on_message(Ask)
def queue_ask(state: NodeState, sender: str, ask: Ask, now: float) -> None:
    """Queue an ask, or refuse it at once when it has no prospect."""
    catalog = state.catalog
    if catalog is None or ask.pool not in catalog.pools:
        return
    service_class = catalog.classes.get(ask.service_class)
    if service_class is None:
        _refuse(state, sender, ask, 'class_withdrawn', 0)
        return
    owner = state.owned.setdefault(ask.pool, PoolOwner(ask.pool))
    if ask.attempt == 1 and ask.req_id not in owner.waiting:
        wait_s = _charge_limit(state, owner, ask, now)
        if wait_s > 0:
            _refuse(state, sender, ask, 'rate_limited', wait_s)
            return
    if not _has_prospect(state, owner, sender, ask, service_class, now):
        return
    owner.enqueue(_make_waiting(state, owner, sender, ask, service_class, now))
    serve_pool(state, owner, now)


@on_message(Withdraw)
def withdraw_ask(
    state: NodeState,
    sender: str,
    message: Withdraw,
    now: float,
) -> None:
    """Forget a queued ask whose caller has gone or that moved elsewhere."""
    owner = state.owned.get(message.pool)
    if owner is not None:
        waiting = owner.waiting.get(message.req_id)
        if waiting is not None and waiting.entry == sender:
            owner.dequeue(message.req_id)


@on_message(Release)
def take_back(
    state: NodeState,
    sender: str,
    message: Release,
    now: float,
) -> None:
    """Take a slot back, learn from the attempt, and serve the next ask."""
    owner = state.owned.get(message.pool)
    if owner is None:
        return
    slot = owner.held.get(message.req_id)
    if slot is not None and slot.attempt == message.attempt:
        _free_slot(state, owner, slot, now)
        _learn(state, owner, slot, message, now)
    serve_pool(state, owner, now)


@on_message(Holding)
def compare_holding(
    state: NodeState,
    sender: str,
    message: Holding,
    now: float,
) -> None:
    """Bring the owner's account of one entry VM up to date."""
    if state.catalog is None or message.pool not in state.catalog.pools:
        return
    owner = state.owned.setdefault(message.pool, PoolOwner(message.pool))
    for attempt in message.running:
        _confirm_slot(state, owner, sender, attempt, now)
    _forget_unconfirmed(state, owner, sender, message, now)
    unknown = [
        req_id
        for req_id in message.waiting
        if req_id not in owner.waiting and req_id not in owner.held
    ]
    # Sent even if empty: it tells the entry VM that its owner is there.
    send(state, sender, Missing(message.pool, unknown))
    serve_pool(state, owner, now)


def serve_pool(state: NodeState, owner: PoolOwner, now: float) -> None:
    """Grant free slots in order, then preempt for urgent protected asks."""
    if not owner.waiting or state.catalog is None:
        return
    policy = find_policy(state.settings.policy)
    share = policy.share_of_slots(state, now)
    survey = survey_pool(state, owner, now, share=share)
    while owner.waiting and survey.free:
        if not _grant_one(state, owner, survey, now):
            break
    if owner.waiting:
        _preempt_for_urgent(state, owner, survey.total_slots, now)


def expire_and_reclaim(state: NodeState, owner: PoolOwner, now: float) -> None:
    """Refuse asks that waited too long and free slots of silent VMs."""
    if state.catalog is None:
        return
    for waiting in list(owner.waiting.values()):
        service_class = state.catalog.classes.get(waiting.ask.service_class)
        if service_class is None or _may_expire(waiting, service_class, now):
            owner.dequeue(waiting.ask.req_id)
            _refuse(state, waiting.entry, waiting.ask, 'waited_too_long', 1.0)
    for slot in list(owner.held.values()):
        if now - slot.seen_at > state.settings.reclaim_s:
            _free_slot(state, owner, slot, now)
            state.emit(Count('slots_reclaimed', slot.upstream))
    serve_pool(state, owner, now)


def relieve_upstream(
    state: NodeState,
    event: LoadReported,
    now: float,
) -> None:
    """Preempt at an upstream that holds protected work back.

    Other users of an upstream may take slots between two reports, so that
    granted work waits inside it.
    """
    if state.catalog is None:
        return
    for owner in state.owned.values():
        stuck = count_stuck(owner, state.catalog, event.upstream, now)
        wanted = min(event.waiting, stuck)
        if wanted:
            slots = total_slots(state, owner.pool, now)
            chosen = choose_victims(
                owner,
                state.catalog,
                slots,
                wanted,
                upstream=event.upstream,
            )
            _preempt(state, chosen, 'upstream_full')


def total_slots(state: NodeState, pool_name: str, now: float) -> int:
    """Return the slots of a pool's usable upstreams."""
    return sum(
        upstream.slots for upstream in list_usable(state, pool_name, now)
    )


def _charge_limit(
    state: NodeState,
    owner: PoolOwner,
    ask: Ask,
    now: float,
) -> float:
    for approval in state.catalog.approvals_of.get(ask.workspace, ()):
        same_class = approval.service_class == ask.service_class
        if same_class and approval.pool == ask.pool:
            if approval.requests_per_s is None:
                return 0.0
            subject = f'{ask.workspace}/{ask.service_class}'
            return owner.limits.take(subject, approval.requests_per_s, now)
    return 0.0


def _has_prospect(
    state: NodeState,
    owner: PoolOwner,
    sender: str,
    ask: Ask,
    service_class: ServiceClass,
    now: float,
) -> bool:
    if ask.started or service_class.protected:
        return _make_room(state, owner, sender, ask, service_class)
    wait_s = _estimate_wait(owner, ask, now)
    if wait_s > service_class.max_wait_s:
        late = owner.queues[ask.service_class].oldest_late(now)
        if late is None:
            _refuse(state, sender, ask, 'no_prospect', wait_s)
            return False
        # The one that missed its target gives way to one that may meet it.
        owner.dequeue(late.ask.req_id)
        _refuse(state, late.entry, late.ask, 'target_missed', wait_s)
    return _make_room(state, owner, sender, ask, service_class)


def _estimate_wait(owner: PoolOwner, ask: Ask, now: float) -> float:
    queue = owner.queues.get(ask.service_class)
    if queue is None:
        return 0.0
    head = queue.head(now)
    if head is None or now - head.queued_at < _BACKLOG_AGE_S:
        return 0.0
    # Even if every slot given back went to this class.
    return queue.size / max(_LEAST_RATE, owner.release_rate(now))


def _make_room(
    state: NodeState,
    owner: PoolOwner,
    sender: str,
    ask: Ask,
    service_class: ServiceClass,
) -> bool:
    if len(owner.waiting) < state.settings.queue_limit or ask.started:
        return True
    evicted = choose_eviction(owner, state.catalog, service_class.tier)
    if evicted is None:
        _refuse(state, sender, ask, 'queue_full', 1.0)
        return False
    owner.dequeue(evicted.ask.req_id)
    _refuse(state, evicted.entry, evicted.ask, 'evicted', 1.0)
    return True


def _make_waiting(
    state: NodeState,
    owner: PoolOwner,
    sender: str,
    ask: Ask,
    service_class: ServiceClass,
    now: float,
) -> WaitingAsk:
    arrived_at = now - ask.age_s
    stats = owner.find_stats(ask.service_class)
    start_by = arrived_at + _NO_TARGET_S
    if service_class.first_token_ms is not None and ask.offset == 0:
        first_s = service_class.first_token_ms / MS_PER_S
        start_by = min(start_by, arrived_at + first_s - stats.first_s_bound)
    if service_class.total_ms is not None:
        total_s = service_class.total_ms / MS_PER_S
        start_by = min(start_by, arrived_at + total_s - stats.run_s_bound)
    workspace = state.catalog.workspaces.get(ask.workspace)
    return WaitingAsk(
        ask=ask,
        entry=sender,
        arrived_at=arrived_at,
        queued_at=now,
        start_by=start_by,
        weight=workspace.weight if workspace else 1.0,
    )


def _grant_one(
    state: NodeState,
    owner: PoolOwner,
    survey: PoolSurvey,
    now: float,
) -> bool:
    all_slow = survey.all_slow
    for waiting in iterate_heads(
        owner,
        state.catalog,
        survey.total_slots,
        now,
    ):
        chosen = choose_upstream(state, owner, waiting.ask, survey.free)
        if chosen is None:
            continue
        service_class = state.catalog.classes[waiting.ask.service_class]
        if should_wait_for_faster(
            service_class,
            chosen,
            waited_s=now - waiting.arrived_at,
            all_slow=all_slow,
        ):
            continue
        survey.take(chosen)
        _grant(state, owner, waiting, chosen, now)
        return True
    return False


def _grant(
    state: NodeState,
    owner: PoolOwner,
    waiting: WaitingAsk,
    chosen: FreeUpstream,
    now: float,
) -> None:
    ask = waiting.ask
    owner.dequeue(ask.req_id)
    stats = owner.find_stats(ask.service_class)
    cost = stats.tokens
    queue = owner.queues[ask.service_class]
    queue.charge(ask.workspace, cost, waiting.weight)
    name = chosen.upstream.name
    load = state.find_load(name)
    load.start(now)
    load.learn_prefix(ask.prefix)
    slot = HeldSlot(
        req_id=ask.req_id,
        attempt=ask.attempt,
        entry=waiting.entry,
        upstream=name,
        service_class=ask.service_class,
        workspace=ask.workspace,
        granted_at=now,
        seen_at=now,
        charged=cost,
        weight=waiting.weight,
        resumable=ask.resumable,
    )
    owner.hold(slot)
    lease_s = state.settings.lease_s
    send(
        state,
        waiting.entry,
        Granted(ask.req_id, ask.attempt, name, lease_s),
    )


def _preempt_for_urgent(
    state: NodeState,
    owner: PoolOwner,
    slots: int,
    now: float,
) -> None:
    urgent = count_urgent(owner, state.catalog, now)
    coming = sum(1 for slot in owner.held.values() if slot.preempting)
    if urgent <= coming:
        return
    wanted = urgent - coming
    chosen = choose_victims(owner, state.catalog, slots, wanted)
    _preempt(state, chosen, 'protected_work')


def _preempt(state: NodeState, chosen: list[HeldSlot], reason: str) -> None:
    for slot in chosen:
        slot.preempting = True
        state.emit(Count('preemptions', slot.service_class))
        send(
            state,
            slot.entry,
            Preempted(slot.req_id, slot.attempt, reason),
        )


def _free_slot(
    state: NodeState,
    owner: PoolOwner,
    slot: HeldSlot,
    now: float,
) -> None:
    owner.drop(slot.req_id, now)
    state.find_load(slot.upstream).finish(now)


def _learn(
    state: NodeState,
    owner: PoolOwner,
    slot: HeldSlot,
    message: Release,
    now: float,
) -> None:
    load = state.find_load(slot.upstream)
    status = message.status
    decode_s = message.run_s - max(0.0, message.first_token_s)
    load.observe_speed(decode_s, message.tokens)
    if status in _FAILURES:
        load.fail(now)
    if status is AttemptStatus.finished:
        load.succeed()
        stats = owner.find_stats(slot.service_class)
        stats.learn(message.tokens, message.run_s, message.first_token_s)
    queue = owner.queues.get(slot.service_class)
    if queue is not None:
        cost = message.tokens - slot.charged
        queue.correct(slot.workspace, cost, slot.weight)


def _confirm_slot(
    state: NodeState,
    owner: PoolOwner,
    sender: str,
    attempt: HeldAttempt,
    now: float,
) -> None:
    slot = owner.held.get(attempt.req_id)
    if slot is not None and slot.attempt == attempt.attempt:
        gained = attempt.tokens - slot.tokens
        elapsed = now - max(slot.seen_at, slot.granted_at)
        if slot.tokens and gained > 0:
            load = state.find_load(slot.upstream)
            load.observe_speed(elapsed, gained)
        slot.seen_at = now
        slot.tokens = attempt.tokens
        return
    if slot is not None and slot.attempt > attempt.attempt:
        return
    if slot is not None:
        _free_slot(state, owner, slot, now)
    state.find_load(attempt.upstream).start(now)
    owner.dequeue(attempt.req_id)
    owner.hold(
        HeldSlot(
            req_id=attempt.req_id,
            attempt=attempt.attempt,
            entry=sender,
            upstream=attempt.upstream,
            service_class=attempt.service_class,
            workspace=attempt.workspace,
            granted_at=now - attempt.run_s,
            seen_at=now,
            tokens=attempt.tokens,
            resumable=attempt.resumable,
        ),
    )


def _forget_unconfirmed(
    state: NodeState,
    owner: PoolOwner,
    sender: str,
    message: Holding,
    now: float,
) -> None:
    running = {attempt.req_id for attempt in message.running}
    waiting = set(message.waiting)
    grace_s = state.settings.lease_s
    for slot in list(owner.held.values()):
        known = slot.entry != sender or slot.req_id in running
        if not known and now - slot.granted_at > grace_s:
            _free_slot(state, owner, slot, now)
    for ask in list(owner.waiting.values()):
        known = ask.entry != sender or ask.ask.req_id in waiting
        if not known and now - ask.queued_at > grace_s:
            owner.dequeue(ask.ask.req_id)


def _may_expire(
    waiting: WaitingAsk,
    service_class: ServiceClass,
    now: float,
) -> bool:
    if waiting.ask.started or service_class.protected:
        return False
    return now - waiting.arrived_at > service_class.max_wait_s


def _refuse(
    state: NodeState,
    entry: str,
    ask: Ask,
    reason: str,
    retry_after_s: float,
) -> None:
    send(
        state,
        entry,
        Refused(ask.req_id, ask.attempt, reason, retry_after_s),
    )
