"""Simulation of a model engine with continuous batching and chunked prefill.

The caller advances the clock by calling ``BatchEngine.step``. Prompts are
prefilled in chunks, in the same steps in which other requests decode, so a long
prompt delays the tokens of all of them. Prompt parts stay in the KV cache as
long as no running request needs their memory. The simulation follows the
published behaviour of such engines, not the code of a particular one.
"""

from collections import Counter, OrderedDict
from dataclasses import dataclass, field

# Prompt tokens that all requests together prefill in one step.
MAX_CHUNK_TOKENS = 2048
# Output tokens that one event of a stream carries.
TOKENS_PER_EVENT = 3
_BASE_STEP_S = 0.00547
_PREFILL_TOKENS_PER_S = 38_700
_STEP_S_PER_REQUEST = 0.00005


@dataclass(slots=True, eq=False)
class Sequence:
    """One request at an engine.

    ``parts`` are the names and token counts of the parts of its prompt, in
    order; requests share parts of the same name. ``prefill_tokens_left``
    counts the tokens still to be prefilled, ``output_tokens_left`` those still
    to be decoded. ``arrival_number`` is given by the engine.
    """

    req_id: str
    priority: int
    parts: tuple[tuple[str, int], ...]
    output_tokens_left: int
    prefill_tokens_left: int = 0
    output_tokens: int = 0
    arrival_number: int = 0

    @property
    def tokens(self) -> int:
        """KV-cache memory that the request alone needs now, in tokens."""
        return sum(count for _, count in self.parts) + self.output_tokens

    @property
    def events(self) -> int:
        """Stream events completed; the last one may hold fewer tokens."""
        complete_tokens = (
            self.output_tokens
            if self.output_tokens_left
            else self.output_tokens + TOKENS_PER_EVENT - 1
        )
        return complete_tokens // TOKENS_PER_EVENT

    @property
    def admission_order(self) -> tuple[int, int]:
        """Sort key for admission: lower priority values first, then arrival."""
        return (self.priority, self.arrival_number)


@dataclass(slots=True)
class BatchEngine:
    """One engine.

    At most ``slots`` requests run at once, in a KV cache of
    ``memory_tokens``. ``slow`` is a factor on the duration of each step.
    ``preempted`` counts preemptions, ``prefills`` how often each part of a
    prompt was prefilled.
    """

    slots: int = 64
    memory_tokens: int = 232_000
    slow: float = 1.0
    preempted: int = 0
    prefills: Counter[str] = field(default_factory=Counter)
    running: list[Sequence] = field(default_factory=list)
    waiting: list[Sequence] = field(default_factory=list)
    _cached_parts: OrderedDict[str, int] = field(default_factory=OrderedDict)
    _arrivals: int = 0

    @property
    def is_idle(self) -> bool:
        """Whether no request is running or waiting."""
        return not self.running and not self.waiting

    def submit(self, sequence: Sequence) -> bool:
        """Queue a request; return whether its tokens fit the memory.

        A request that doesn't fit is not queued.
        """
        if sequence.tokens + sequence.output_tokens_left > self.memory_tokens:
            return False
        self._arrivals += 1
        sequence.arrival_number = self._arrivals
        self.waiting.append(sequence)
        return True

    def cancel(self, req_id: str) -> None:
        """Remove a running or waiting request; ignore an unknown id."""
        self.running = [each for each in self.running if each.req_id != req_id]
        self.waiting = [each for each in self.waiting if each.req_id != req_id]

    def step(self) -> tuple[float, list[Sequence]]:
        """Run one step; return its duration in seconds and what it decoded.

        Each of the returned requests has one more output token.
        """
        self._admit()
        prefilled = self._prefill_chunk()
        decoded = [
            each for each in self.running if not each.prefill_tokens_left
        ]
        for sequence in decoded:
            sequence.output_tokens += 1
            sequence.output_tokens_left -= 1
        step_s = (
            _BASE_STEP_S
            + prefilled / _PREFILL_TOKENS_PER_S
            + _STEP_S_PER_REQUEST * len(self.running)
        )
        self.running = [
            each for each in self.running if each.output_tokens_left > 0
        ]
        return step_s * self.slow, decoded

    def report_load(self) -> dict[str, int]:
        """Return the counts of requests, and memory used and total (tokens)."""
        return {
            'waiting': len(self.waiting),
            'running': len(self.running),
            'kv-used': self._count_used_tokens(),
            'kv-total': self.memory_tokens,
        }

    def _admit(self) -> None:
        for sequence in sorted(
            self.waiting, key=lambda each: each.admission_order
        ):
            if not self._preempt_and_evict_for(sequence):
                return
            self.waiting.remove(sequence)
            self.running.append(sequence)
            self._set_prefill_tokens(sequence)

    def _preempt_and_evict_for(self, sequence: Sequence) -> bool:
        """Preempt and evict until a request fits; return whether it does.

        Requests of a less urgent priority than its own are preempted: the
        least urgent first, the newest of these first. Cached parts are evicted
        only once the request fits.
        """
        while not self._fits(sequence):
            victim = max(self.running, key=lambda each: each.admission_order)
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
        return self._count_used_tokens(sequence) <= self.memory_tokens

    def _count_used_tokens(self, *added: Sequence) -> int:
        """Return the memory in use, with shared parts counted once.

        ``added`` are requests to be counted as if they were running.
        """
        running = [*self.running, *added]
        parts = {name: count for each in running for name, count in each.parts}
        return sum(parts.values()) + sum(each.output_tokens for each in running)

    def _set_prefill_tokens(self, sequence: Sequence) -> None:
        """Set the tokens to prefill: those from the first uncached part on.

        Later parts are prefilled too, because only a prefix can be reused.
        """
        prefill_tokens_left = sequence.tokens
        cached = True
        for name, tokens in sequence.parts:
            cached = cached and name in self._cached_parts
            if cached:
                self._cached_parts.move_to_end(name)
                prefill_tokens_left -= tokens
            else:
                self.prefills[name] += 1
        sequence.prefill_tokens_left = max(1, prefill_tokens_left)

    def _prefill_chunk(self) -> int:
        budget = MAX_CHUNK_TOKENS
        for sequence in self.running:
            chunk = min(budget, sequence.prefill_tokens_left)
            sequence.prefill_tokens_left -= chunk
            budget -= chunk
            if chunk and not sequence.prefill_tokens_left:
                self._cache_prompt(sequence)
        return MAX_CHUNK_TOKENS - budget

    def _cache_prompt(self, sequence: Sequence) -> None:
        for name, tokens in sequence.parts:
            self._cached_parts[name] = tokens
            self._cached_parts.move_to_end(name)
        self._evict()

    def _evict(self, *added: Sequence) -> None:
        """Evict cached parts that no running request uses, oldest use first."""
        free_tokens = self.memory_tokens - self._count_used_tokens(*added)
        running = [*self.running, *added]
        needed = {name for each in running for name, _ in each.parts}
        idle = {
            name: tokens
            for name, tokens in self._cached_parts.items()
            if name not in needed
        }
        total = sum(idle.values())
        for name, tokens in idle.items():
            if total <= free_tokens:
                return
            self._cached_parts.pop(name)
            total -= tokens
