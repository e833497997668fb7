"""Model of an engine that runs requests in batches, on its caller's clock.

Prompts are read in chunks between the tokens of the other requests, so that a
long one delays them all. Parts of prompts stay in the memory that no running
request needs. What it follows is the published behaviour, not any program.
"""

from collections import Counter, OrderedDict
from dataclasses import dataclass, field

# Prompt tokens that are read in one step at the most.
CHUNK_TOKENS = 2048
# Tokens in one event of a stream.
EVENT_TOKENS = 3
_STEP_S = 0.00547
_READ_PER_S = 38_700
# Time that each running request adds to a step.
_REQUEST_S = 0.00005


@dataclass(slots=True, eq=False)
class Sequence:
    """One request at an engine.

    ``parts`` are the parts of its prompt in order, by name and tokens;
    ``unread`` counts the prompt tokens that are still to be read, ``left``
    the tokens still to be produced.
    """

    req_id: str
    priority: int
    parts: tuple[tuple[str, int], ...]
    left: int
    unread: int = 0
    produced: int = 0
    arrived: int = 0

    @property
    def tokens(self) -> int:
        """Memory that the request takes up by now, in tokens."""
        return sum(count for _, count in self.parts) + self.produced

    @property
    def events(self) -> int:
        """Events that are complete by now."""
        made = self.produced if self.left else self.produced + EVENT_TOKENS - 1
        return made // EVENT_TOKENS

    @property
    def urgency(self) -> tuple[int, int]:
        """Order of admission: by priority, then by arrival."""
        return (self.priority, self.arrived)


@dataclass(slots=True)
class BatchEngine:
    """One engine; ``slots`` requests run at once in ``memory`` tokens.

    ``slow`` stretches each step. ``reads`` counts how often each part of a
    prompt had to be read.
    """

    slots: int = 64
    memory: int = 232_000
    slow: float = 1.0
    preempted: int = 0
    reads: Counter[str] = field(default_factory=Counter)
    running: list[Sequence] = field(default_factory=list)
    waiting: list[Sequence] = field(default_factory=list)
    _kept: OrderedDict[str, int] = field(default_factory=OrderedDict)
    _arrivals: int = 0

    @property
    def is_idle(self) -> bool:
        """Whether there is nothing to do."""
        return not self.running and not self.waiting

    def submit(self, sequence: Sequence) -> bool:
        """Take a request; False if its prompt does not fit the memory."""
        if sequence.tokens + sequence.left > self.memory:
            return False
        self._arrivals += 1
        sequence.arrived = self._arrivals
        self.waiting.append(sequence)
        return True

    def cancel(self, req_id: str) -> None:
        """Stop all work for a request."""
        self.running = [each for each in self.running if each.req_id != req_id]
        self.waiting = [each for each in self.waiting if each.req_id != req_id]

    def step(self) -> tuple[float, list[Sequence]]:
        """Run one step; return its seconds and what gained a token in it."""
        self._admit()
        read = self._read_chunk()
        gained = [each for each in self.running if not each.unread]
        for sequence in gained:
            sequence.produced += 1
            sequence.left -= 1
        step_s = _STEP_S + read / _READ_PER_S + _REQUEST_S * len(self.running)
        self.running = [each for each in self.running if each.left > 0]
        return step_s * self.slow, gained

    def report(self) -> dict[str, int]:
        """Return how many requests run and wait, and the memory they need."""
        return {
            'waiting': len(self.waiting),
            'running': len(self.running),
            'kv-used': self._used(),
            'kv-total': self.memory,
        }

    def _admit(self) -> None:
        for sequence in sorted(self.waiting, key=lambda each: each.urgency):
            if not self._make_room(sequence):
                return
            self.waiting.remove(sequence)
            self.running.append(sequence)
            self._find_unread(sequence)

    def _make_room(self, sequence: Sequence) -> bool:
        """Preempt less urgent requests, the newest first, if that is needed."""
        while not self._fits(sequence):
            victim = max(self.running, key=lambda each: each.urgency)
            if victim.priority <= sequence.priority:
                return False
            self.running.remove(victim)
            self.waiting.append(victim)
            self.preempted += 1
        self._evict(sequence)
        return True

    def _fits(self, sequence: Sequence) -> bool:
        if len(self.running) >= self.slots:
            return False
        return self._used(sequence) <= self.memory

    def _used(self, *added: Sequence) -> int:
        """Return the memory of what runs; a shared part is there once."""
        running = [*self.running, *added]
        parts = {name: count for each in running for name, count in each.parts}
        return sum(parts.values()) + sum(each.produced for each in running)

    def _find_unread(self, sequence: Sequence) -> None:
        """Count what is not kept; parts after one that is not count too."""
        unread = sequence.tokens
        kept = True
        for name, tokens in sequence.parts:
            kept = kept and name in self._kept
            if kept:
                self._kept.move_to_end(name)
                unread -= tokens
            else:
                self.reads[name] += 1
        sequence.unread = max(1, unread)

    def _read_chunk(self) -> int:
        budget = CHUNK_TOKENS
        for sequence in self.running:
            taken = min(budget, sequence.unread)
            sequence.unread -= taken
            budget -= taken
            if taken and not sequence.unread:
                self._keep(sequence)
        return CHUNK_TOKENS - budget

    def _keep(self, sequence: Sequence) -> None:
        for name, tokens in sequence.parts:
            self._kept[name] = tokens
            self._kept.move_to_end(name)
        self._evict()

    def _evict(self, *added: Sequence) -> None:
        """Drop the parts that nothing running needs, the oldest first."""
        room = self.memory - self._used(*added)
        running = [*self.running, *added]
        needed = {name for each in running for name, _ in each.parts}
        idle = {
            name: tokens
            for name, tokens in self._kept.items()
            if name not in needed
        }
        total = sum(idle.values())
        for name, tokens in idle.items():
            if total <= room:
                return
            self._kept.pop(name)
            total -= tokens
