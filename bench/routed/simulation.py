"""Simulates callers, routers and model engines on one virtual clock."""

import heapq
import math
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from bench.routed.baselines import BaselineRouter
from bench.routed.ledger import Entry, Ledger
from bench.routed.load import (
    FLEET_SIZES,
    Arrival,
    build_route_table,
)
from bench.routed.parts import (
    Router,
    SimulatedEngine,
    build_core,
    build_listed_engine,
    build_routed_call,
    get_caller_timeout_s,
)
from bilberryspoke._internal.models.effects import SendPeerMessage
from bilberryspoke._internal.models.events import PeerMessageReceived, Tick
from bilberryspoke._internal.models.routing import (
    SendStatus,
    StorePosition,
)
from bilberryspoke._internal.models.routing_effects import (
    CancelSend,
    RefuseCall,
    Send,
)
from bilberryspoke._internal.models.routing_events import (
    CallAbandoned,
    CallArrived,
    RoutesOffered,
    SeedsConfigured,
    SendEnded,
    SendProgressed,
    UpstreamChanged,
    UpstreamsListed,
)
from fakes.batching import TOKENS_PER_EVENT, BatchEngine, Sequence

OWN_POLICY = 'bilberryspoke'
_TICK_INTERVAL_S = 0.05
_NETWORK_DELAY_S = 0.0015
_CONNECT_FAILURE_DELAY_S = 0.1
# Messages to a peer are lost until the connection to it is open.
_CONNECT_DELAY_S = 0.003
# The run starts this long before 0 s: when calls arrive, VMs have exchanged
# messages and have their parts of the retry reserve.
_WARMUP_S = 11.0
# Prefix of the peer names under which a core sends to its seeds.
_SEED_PEER_PREFIX = 'seed/'
_MAX_CLIENT_RETRIES = 1


@dataclass(frozen=True, slots=True)
class SimulationSettings:
    """Settings of one run.

    Calls arrive from 0 to ``duration_s`` seconds; the run ends ``cooldown_s``
    later, so that open calls can end.
    """

    fleet: str
    policy: str
    seed: int
    duration_s: float
    cooldown_s: float = 16.0


class Simulation:
    """Callers, VMs and engines on one virtual clock.

    ``now`` is in seconds of the run; it is negative during the warm-up.
    ``routers`` are by the name of their VM, which is also its address and which
    the methods call ``name``; ``engines`` are by instance id.
    """

    def __init__(self, settings: SimulationSettings) -> None:
        """Create the engines and VMs of the fleet.

        Each VM gets the routes, all engines, and some VMs as its seeds.
        """
        self.settings = settings
        self.now = -_WARMUP_S
        self.ledger = Ledger()
        self.routers: dict[str, Router] = {}
        self.engines: dict[str, SimulatedEngine] = {}
        self._rng = random.Random(settings.seed)
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._scheduled_count = 0
        self._size = FLEET_SIZES[settings.fleet]
        self._open_at: dict[tuple[str, str], float] = {}
        for number in range(self._size.engines):
            self._add_engine(f'engine-{number}')
        for number in range(self._size.vms):
            self._add_vm(number)

    def at(self, when: float, action: Callable[[], None]) -> None:
        """Schedule an action at a time in seconds of the run."""
        self._scheduled_count += 1
        heapq.heappush(self._heap, (when, self._scheduled_count, action))

    def run(self, arrivals: list[Arrival]) -> Ledger:
        """Run the simulation and return its ledger.

        Calls that are still open ``cooldown_s`` after the load keep an empty
        outcome.
        """
        for arrival in arrivals:
            self.at(arrival.at, lambda each=arrival: self._handle_arrival(each))
        end = self.settings.duration_s + self.settings.cooldown_s
        while self._heap and self.now < end:
            self.now, _, action = heapq.heappop(self._heap)
            action()
        self._count_recomputed_tokens()
        return self.ledger

    def drain_engine(self, instance: str) -> None:
        """List an engine as leaving at all VMs; it finishes its requests."""
        changed = UpstreamChanged(
            instance, build_listed_engine(instance, self._size, leaving=True)
        )
        for name in self.routers:
            self._submit(name, changed)

    def crash_engine(self, instance: str) -> None:
        """Crash an engine with all its requests; discovery still lists it."""
        engine = self.engines[instance]
        engine.down = True
        for req_id in list(engine.senders):
            self._end_attempt(engine, req_id, SendStatus.broken)

    def set_engine_slowdown(self, instance: str, factor: float) -> None:
        """Set the factor on the duration of an engine's steps; 1 is normal."""
        self.engines[instance].model.slow = factor

    def _add_engine(self, instance: str) -> None:
        self.engines[instance] = SimulatedEngine(
            instance, BatchEngine(slots=self._size.slots)
        )

    def _add_vm(self, number: int) -> None:
        name = f'vm-{number}'
        settings = self.settings
        if settings.policy == OWN_POLICY:
            self.routers[name] = build_core(name, number, self._size)
        else:
            seed = self._rng.randrange(1 << 30)
            self.routers[name] = BaselineRouter(settings.policy, seed)
        table = build_route_table(settings.fleet)
        listed = tuple(
            build_listed_engine(each, self._size) for each in self.engines
        )
        self._submit(name, RoutesOffered(table))
        self._submit(name, UpstreamsListed(listed, StorePosition(0, 1)))
        seeds = tuple(f'vm-{each}' for each in range(self._size.seeds))
        self._submit(name, SeedsConfigured(seeds))
        offset_s = self._rng.random() * _TICK_INTERVAL_S
        self.at(self.now + offset_s, lambda: self._tick(name))

    def _tick(self, name: str) -> None:
        self._submit(name, Tick())
        self.at(self.now + _TICK_INTERVAL_S, lambda: self._tick(name))

    def _submit(self, name: str, event: object) -> None:
        for effect in self.routers[name].handle(event, now=self.now):
            self._execute(name, effect)

    def _execute(self, name: str, effect: object) -> None:
        if isinstance(effect, Send):
            self.at(
                self.now + _NETWORK_DELAY_S,
                lambda: self._start_attempt(name, effect),
            )
        elif isinstance(effect, CancelSend):
            self.at(
                self.now + _NETWORK_DELAY_S,
                lambda: self._cancel_attempt(name, effect),
            )
        elif isinstance(effect, RefuseCall):
            self._handle_refusal(effect)
        elif isinstance(effect, SendPeerMessage):
            self._send_peer_message(name, effect)

    def _send_peer_message(self, name: str, effect: SendPeerMessage) -> None:
        open_at = self._open_at.setdefault(
            (name, effect.peer), self.now + _CONNECT_DELAY_S
        )
        if self.now < open_at:
            return
        peer = effect.peer.removeprefix(_SEED_PEER_PREFIX)
        received = PeerMessageReceived(name, 1, effect.message)
        self.at(
            self.now + _NETWORK_DELAY_S, lambda: self._submit(peer, received)
        )

    def _handle_arrival(self, arrival: Arrival) -> None:
        entry = self.ledger.add_call(arrival)
        self._send_to_vm(entry)
        self._check_caller_timeout(entry)

    def _send_to_vm(self, entry: Entry) -> None:
        names = list(self.routers)
        index = int(entry.arrival.vm * len(names)) + entry.client_retries
        entry.vm = names[index % len(names)]
        entry.last_requested_at = self.now
        self._submit(entry.vm, CallArrived(build_routed_call(entry)))

    def _check_caller_timeout(self, entry: Entry) -> None:
        """Disconnect the caller if no event has come within its timeout.

        Otherwise schedule the next check, until the call has ended.
        """
        caller_timeout_s = get_caller_timeout_s(entry)
        last_heard_at = entry.last_progress_at or entry.last_requested_at
        if entry.outcome:
            return
        if self.now < last_heard_at + caller_timeout_s:
            self.at(
                last_heard_at + caller_timeout_s,
                lambda: self._check_caller_timeout(entry),
            )
            return
        self._close_call(entry, 'left')
        self._submit(entry.vm, CallAbandoned(entry.arrival.req_id))

    def _start_attempt(self, name: str, effect: Send) -> None:
        engine = self.engines[effect.instance]
        entry = self.ledger.entries[effect.call_id]
        entry.last_sent_at = self.now
        arrival = entry.arrival
        engine.senders[effect.call_id] = (name, effect.attempt)
        if engine.down:
            failed_at = self.now + _CONNECT_FAILURE_DELAY_S
            unsent = SendStatus.unsent
            self.at(
                failed_at,
                lambda: self._end_attempt(engine, effect.call_id, unsent),
            )
            return
        resume_offset = effect.last_event_id or 0
        engine.resume_offsets[effect.call_id] = resume_offset
        parts = tuple((part.name, part.tokens) for part in arrival.parts)
        tokens_left = (arrival.events - resume_offset) * TOKENS_PER_EVENT
        priority = effect.priority or 0
        engine.model.submit(
            Sequence(effect.call_id, priority, parts, tokens_left)
        )
        self._start_step(engine)

    def _cancel_attempt(self, name: str, effect: CancelSend) -> None:
        for engine in self.engines.values():
            sender = engine.senders.get(effect.call_id)
            if sender == (name, effect.attempt):
                engine.model.cancel(effect.call_id)
                engine.senders.pop(effect.call_id)

    def _start_step(self, engine: SimulatedEngine) -> None:
        if engine.step_pending or engine.down or engine.model.is_idle:
            return
        step_s, decoded = engine.model.step()
        engine.step_pending = True
        self.at(self.now + step_s, lambda: self._finish_step(engine, decoded))

    def _finish_step(
        self, engine: SimulatedEngine, decoded: list[Sequence]
    ) -> None:
        engine.step_pending = False
        for sequence in decoded:
            if sequence.req_id in engine.senders and not engine.down:
                self._record_progress(engine, sequence)
        self._start_step(engine)

    def _record_progress(
        self, engine: SimulatedEngine, sequence: Sequence
    ) -> None:
        """Deliver the event that the step has completed, if any."""
        if (
            sequence.output_tokens_left
            and sequence.output_tokens % TOKENS_PER_EVENT
        ):
            return
        req_id = sequence.req_id
        name, attempt = engine.senders[req_id]
        entry = self.ledger.entries[req_id]
        if entry.outcome:
            self.ledger.wasted_events += 1
            return
        if entry.last_progress_at is not None:
            gap_s = self.now - entry.last_progress_at
            entry.longest_gap_s = max(entry.longest_gap_s, gap_s)
        entry.first_event_at = entry.first_event_at or self.now
        entry.last_progress_at = self.now
        entry.events = engine.resume_offsets[req_id] + sequence.events
        progressed = SendProgressed(req_id, attempt, entry.events)
        self._submit(name, progressed)
        if not sequence.output_tokens_left:
            self._close_call(entry, 'served')
            self._end_attempt(engine, req_id, SendStatus.finished)

    def _end_attempt(
        self,
        engine: SimulatedEngine,
        req_id: str,
        status: SendStatus,
    ) -> None:
        sender = engine.senders.pop(req_id, None)
        if sender is None:
            return
        entry = self.ledger.entries[req_id]
        ended = SendEnded(
            req_id,
            sender[1],
            status,
            delivered=entry.first_event_at is not None,
            last_event_id=entry.events or None,
        )
        self._submit(sender[0], ended)

    def _handle_refusal(self, effect: RefuseCall) -> None:
        entry = self.ledger.entries[effect.call_id]
        if entry.outcome:
            return
        retry_at = self.now + (effect.retry_after_s or math.inf)
        deadline_at = entry.arrival.at + entry.arrival.kind.route.timeout_s
        if (
            entry.client_retries < _MAX_CLIENT_RETRIES
            and retry_at < deadline_at
        ):
            entry.client_retries += 1
            entry.last_requested_at = retry_at
            self.at(retry_at, lambda: self._send_to_vm(entry))
            return
        self._close_call(entry, 'refused' if effect.not_run else 'failed')

    def _close_call(self, entry: Entry, outcome: str) -> None:
        entry.outcome = outcome
        entry.ended_at = self.now

    def _count_recomputed_tokens(self) -> None:
        """Count the tokens of prompt parts in prefills beyond the first."""
        tokens = {
            part.name: part.tokens
            for entry in self.ledger.entries.values()
            for part in entry.arrival.parts
        }
        prefills: Counter[str] = Counter()
        for engine in self.engines.values():
            prefills.update(engine.model.prefills)
        self.ledger.recomputed_tokens = sum(
            tokens[name] * (count - 1) for name, count in prefills.items()
        )
