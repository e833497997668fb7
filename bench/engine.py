"""Model of a batching engine on the virtual clock."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

_PREFILL_S_PER_TOKEN = 0.0005
_CACHED_PART = 0.2
_CACHE_SIZE = 32
_HISTORY_S = 6.0
_EPSILON = 1e-9


@dataclass(slots=True, eq=False)
class Sequence:
    """One attempt inside an engine; ``left`` counts tokens to produce."""

    req_id: str
    attempt: int
    entry: str
    priority: int
    prefill_s: float
    left: float
    offset: int
    prefix: int = 0
    arrived: int = 0
    produced: float = 0.0
    announced: bool = False


@dataclass(slots=True, eq=False)
class SimEngine:
    """Processor sharing: a token takes ``step_s`` plus ``seq_s`` a sequence.

    ``foreign`` counts slots that other users of the engine hold.
    """

    name: str
    data_centre: str
    slots: int
    step_s: float
    seq_s: float
    notify: Callable[['SimEngine', Sequence, str], None]
    slow: float = 1.0
    foreign: int = 0
    down: bool = False
    version: int = 0
    moved_at: float = 0.0
    arrivals: int = 0
    computed: float = 0.0
    prefilled: int = 0
    running: list[Sequence] = field(default_factory=list)
    waiting: list[Sequence] = field(default_factory=list)
    history: deque = field(default_factory=deque)
    cache: deque = field(default_factory=lambda: deque(maxlen=_CACHE_SIZE))

    @property
    def token_s(self) -> float:
        """Seconds for one token of every running sequence."""
        batch = len(self.running) + self.foreign
        return (self.step_s + self.seq_s * batch) * self.slow

    def submit(self, seq: Sequence, prompt_tokens: int, now: float) -> int:
        """Take a sequence; it starts by priority, then by arrival.

        Returns the prompt tokens that are not in the prefix cache.
        """
        self.advance(now)
        hit = seq.prefix in self.cache
        if not hit:
            self.cache.append(seq.prefix)
        tokens = prompt_tokens + seq.offset
        self.prefilled += tokens
        part = _CACHED_PART if hit else 1.0
        seq.prefill_s = tokens * _PREFILL_S_PER_TOKEN * part
        self.arrivals += 1
        seq.arrived = self.arrivals
        self.waiting.append(seq)
        self.waiting.sort(key=lambda each: (each.priority, each.arrived))
        self._admit(now)
        return round(tokens * part)

    def cancel(self, seq: Sequence, now: float) -> None:
        """Stop computing a sequence."""
        self.advance(now)
        if seq in self.running:
            self.running.remove(seq)
        if seq in self.waiting:
            self.waiting.remove(seq)
        self._admit(now)

    def change(self, now: float, **fields: float) -> None:
        """Change the speed, the foreign load or the state."""
        self.advance(now)
        for name, setting in fields.items():
            setattr(self, name, setting)
        self._admit(now)

    def crash(self, now: float) -> list[Sequence]:
        """Drop all sequences and return them."""
        self.advance(now)
        dropped = self.running + self.waiting
        self.running = []
        self.waiting = []
        self.down = True
        self._remember(now)
        return dropped

    def advance(self, now: float) -> None:
        """Bring all sequences to the present."""
        elapsed = now - self.moved_at
        self.moved_at = now
        if elapsed <= 0 or self.down:
            return
        token_s = self.token_s
        for seq in list(self.running):
            self._advance_one(seq, elapsed, token_s)

    def next_at(self) -> float | None:
        """Return when the next first token or end is due."""
        if self.down or not self.running:
            return None
        token_s = self.token_s
        return self.moved_at + min(
            self._due_s(seq, token_s) for seq in self.running
        )

    def report(self, now: float, lag_s: float) -> tuple[int, int]:
        """Return running and waiting as they were before the lag."""
        found = (0, 0)
        for at, running, waiting in self.history:
            if at > now - lag_s:
                break
            found = (running, waiting)
        return found

    def _due_s(self, seq: Sequence, token_s: float) -> float:
        prefill_s = seq.prefill_s * self.slow
        wanted = seq.left if seq.announced else min(1.0, seq.left)
        return prefill_s + max(0.0, wanted * token_s)

    def _advance_one(
        self,
        seq: Sequence,
        elapsed: float,
        token_s: float,
    ) -> None:
        prefill_s = min(elapsed, seq.prefill_s * self.slow)
        seq.prefill_s = max(0.0, seq.prefill_s - prefill_s / self.slow)
        gained = min(seq.left, (elapsed - prefill_s) / token_s)
        seq.left -= gained
        seq.produced += gained
        self.computed += gained
        if not seq.announced and seq.produced >= 1 - _EPSILON:
            seq.announced = True
            self.notify(self, seq, 'first')
        if seq.left <= _EPSILON:
            self.running.remove(seq)
            self.notify(self, seq, 'end')

    def _admit(self, now: float) -> None:
        while self.waiting and not self.down:
            if len(self.running) + self.foreign >= self.slots:
                break
            self.running.append(self.waiting.pop(0))
        self._remember(now)

    def _remember(self, now: float) -> None:
        self.history.append(
            (now, len(self.running) + self.foreign, len(self.waiting)),
        )
        while len(self.history) > 2 and self.history[1][0] < now - _HISTORY_S:
            self.history.popleft()
