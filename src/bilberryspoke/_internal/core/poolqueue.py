"""Owner-side state of one pool: its queue, its held slots, its estimates."""

from collections import deque
from dataclasses import dataclass, field

from bilberryspoke._internal.core.limits import LimitTable
from bilberryspoke._internal.core.ordering import ClassQueue, QueuedSlotRequest

_STATS_WEIGHT = 0.05
_RATE_WINDOW_S = 5.0
_SPREADS = 2.0
_UNSEEN_TOKENS = 150.0
_UNSEEN_FIRST_TOKEN_S = 0.2


@dataclass(slots=True)
class HeldSlot:
    """A slot granted to an entry VM, from the grant to its release."""

    req_id: str
    attempt: int
    entry: str
    upstream: str
    service_class: str
    workspace: str
    granted_at: float
    seen_at: float
    tokens: int = 0
    charged: float = 0.0
    weight: float = 1.0
    resumable: bool = False
    preempting: bool = False


@dataclass(slots=True)
class ClassStats:
    """Learned estimates of one class at one owner."""

    tokens: float = _UNSEEN_TOKENS
    run_s: float = 0.0
    run_spread_s: float = 0.0
    first_token_s: float = _UNSEEN_FIRST_TOKEN_S
    first_spread_s: float = 0.0

    @property
    def first_s_bound(self) -> float:
        """Time to the first token that most attempts do not exceed."""
        return self.first_token_s + _SPREADS * self.first_spread_s

    @property
    def run_s_bound(self) -> float:
        """Time to the end that most attempts do not exceed."""
        return self.run_s + _SPREADS * self.run_spread_s

    def learn(self, tokens: int, run_s: float, first_token_s: float) -> None:
        """Learn from a finished attempt."""
        self.tokens += _STATS_WEIGHT * (tokens - self.tokens)
        if not self.run_s:
            self.run_s = run_s
        delta = run_s - self.run_s
        self.run_s += _STATS_WEIGHT * delta
        self.run_spread_s += _STATS_WEIGHT * (abs(delta) - self.run_spread_s)
        if first_token_s > 0:
            delta = first_token_s - self.first_token_s
            self.first_token_s += _STATS_WEIGHT * delta
            spread = abs(delta) - self.first_spread_s
            self.first_spread_s += _STATS_WEIGHT * spread


@dataclass(slots=True)
class PoolOwner:
    """Everything an owner keeps for a pool."""

    pool: str
    waiting: dict[str, QueuedSlotRequest] = field(default_factory=dict)
    queues: dict[str, ClassQueue] = field(default_factory=dict)
    held: dict[str, HeldSlot] = field(default_factory=dict)
    stats: dict[str, ClassStats] = field(default_factory=dict)
    limits: LimitTable = field(default_factory=LimitTable)
    released_at: deque[float] = field(default_factory=deque)
    running: dict[str, int] = field(default_factory=dict)
    typical_s_per_token: float = 0.0
    typical_at: float = -1e9

    def ensure_stats(self, service_class: str) -> ClassStats:
        """Return the estimates of a class."""
        return self.stats.setdefault(service_class, ClassStats())

    def enqueue(self, waiting: QueuedSlotRequest) -> None:
        """Queue an ask, replacing an older one of the same request."""
        self.dequeue(waiting.ask.req_id)
        self.waiting[waiting.ask.req_id] = waiting
        queue = self.queues.setdefault(waiting.ask.service_class, ClassQueue())
        queue.add(waiting)

    def dequeue(self, req_id: str) -> QueuedSlotRequest | None:
        """Take an ask out of the queue, if it is there."""
        waiting = self.waiting.pop(req_id, None)
        if waiting is not None:
            self.queues[waiting.ask.service_class].remove(waiting)
        return waiting

    def hold(self, slot: HeldSlot) -> None:
        """Account for a granted slot."""
        self.held[slot.req_id] = slot
        count = self.running.get(slot.service_class, 0)
        self.running[slot.service_class] = count + 1

    def drop(self, req_id: str, now: float) -> HeldSlot | None:
        """Account for a slot given back; ``None`` if it was not held."""
        slot = self.held.pop(req_id, None)
        if slot is not None:
            self.running[slot.service_class] -= 1
            self.released_at.append(now)
        return slot

    def release_rate(self, now: float) -> float:
        """Return the slots given back a second over the last window."""
        while self.released_at and (self.released_at[0] < now - _RATE_WINDOW_S):
            self.released_at.popleft()
        return len(self.released_at) / _RATE_WINDOW_S
