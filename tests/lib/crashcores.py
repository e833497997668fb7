"""Cores of several VMs whose engines crash under certain calls."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from bilberryspoke._internal.models.routing import RoutedCall, SendStatus
from bilberryspoke._internal.models.routing_effects import (
    CancelSend,
    RefuseCall,
    Send,
)
from bilberryspoke._internal.models.routing_events import (
    CallArrived,
    SendEnded,
    SendProgressed,
    UpstreamChanged,
)
from tests.lib.corefleet import CoreFleet
from tests.lib.routedcore import build_upstream

# From the send of a call to the crash under it, and to its events.
_CRASH_DELAY_S = 0.15
_EVENT_DELAYS_S = (0.1, 0.4)
_END_DELAY_S = 0.5
_DOWNTIME_S = 3.0
# Sends to an engine that is down end after this time.
_REFUSED_DELAY_S = 0.003


@dataclass(slots=True)
class Sent:
    """A send under way at an engine, by the VM ``vm``."""

    vm: str
    send: Send
    call: RoutedCall


@dataclass(slots=True)
class CallCounts:
    """What became of the calls: arrived, refused and finished ones.

    ``deadly_sent_at`` holds when deadly calls reached engines, and
    ``refusals`` what was said to callers, both in order.
    """

    finished: Counter[str] = field(default_factory=Counter)
    arrived: Counter[str] = field(default_factory=Counter)
    deadly_sent_at: list[float] = field(default_factory=list)
    refusals: list[tuple[RoutedCall, RefuseCall]] = field(default_factory=list)


class CrashCores(CoreFleet):
    """A fleet with engines that crash under calls and return.

    ``is_deadly`` tells whether a call crashes its engine. The kind of a call
    is the part of its id before the first dash.
    """

    def __init__(
        self,
        vms: int,
        *,
        engines: int,
        is_deadly: Callable[[RoutedCall], bool],
        warm_up_s: float = 8.0,
    ) -> None:
        """Run the fleet for ``warm_up_s``, until its VMs know each other."""
        self.is_deadly = is_deadly
        self.counts = CallCounts()
        self.crashed_at: list[float] = []
        self._down: set[str] = set()
        self._calls: dict[str, RoutedCall] = {}
        self._sent: dict[str, dict[tuple[str, int], Sent]] = {}
        super().__init__(vms, engines=engines, hands_off=False)
        self.run_until(warm_up_s)

    @property
    def sent(self) -> dict[str, dict[tuple[str, int], Sent]]:
        """The sends under way, by engine."""
        return self._sent

    def arrive(self, name: str, call: RoutedCall) -> None:
        """Let a call arrive at a VM."""
        self.counts.arrived[_get_kind(call)] += 1
        self._calls[call.call_id] = call
        self.handle(name, CallArrived(call))

    def handle(self, name: str, event: object) -> list[object]:
        """Submit an event to a VM, carry out and return its effects."""
        effects = super().handle(name, event)
        for effect in effects:
            if isinstance(effect, Send):
                self._send_call(name, effect)
            elif isinstance(effect, CancelSend):
                self._cancel(effect)
            elif isinstance(effect, RefuseCall):
                refused = (self._calls[effect.call_id], effect)
                self.counts.refusals.append(refused)
        return effects

    def crash(self, instance: str) -> None:
        """End an engine; it returns under another id after the downtime."""
        self.crashed_at.append(self.now)
        lost = self._sent.pop(instance, {}).values()
        self._sent[instance] = {}
        self._down.add(instance)
        for sent in lost:
            self._end(sent, SendStatus.broken, upstream_crashed=True)
        number = len(self.crashed_at)
        successor = f'{instance.partition(".")[0]}.{number}'
        self._at(
            self.now + _DOWNTIME_S, lambda: self._relist(instance, successor)
        )

    def answers_probe(self, name: str, instance: str) -> bool:
        """Return whether an engine is up."""
        return instance not in self._down

    def _send_call(self, name: str, send: Send) -> None:
        call = self._calls[send.call_id]
        sent = Sent(name, send, call)
        if send.instance in self._down:
            self._at(
                self.now + _REFUSED_DELAY_S,
                lambda: self._end(sent, SendStatus.unsent),
            )
            return
        key = (send.call_id, send.attempt)
        self._sent.setdefault(send.instance, {})[key] = sent
        if self.is_deadly(call):
            self.counts.deadly_sent_at.append(self.now)
            self._at(self.now + _CRASH_DELAY_S, lambda: self._crash_under(sent))
            return
        for number, delay_s in enumerate(_EVENT_DELAYS_S):
            self._at(
                self.now + delay_s,
                lambda event=number + 1: self._progress(sent, event),
            )
        self._at(self.now + _END_DELAY_S, lambda: self._finish(sent))

    def _is_under_way(self, sent: Sent) -> bool:
        key = (sent.send.call_id, sent.send.attempt)
        return key in self._sent.get(sent.send.instance, {})

    def _crash_under(self, sent: Sent) -> None:
        if self._is_under_way(sent):
            self.crash(sent.send.instance)

    def _progress(self, sent: Sent, event: int) -> None:
        if self._is_under_way(sent) and sent.vm in self.cores:
            progressed = SendProgressed(
                sent.send.call_id, sent.send.attempt, event
            )
            self.handle(sent.vm, progressed)

    def _finish(self, sent: Sent) -> None:
        if self._is_under_way(sent):
            key = (sent.send.call_id, sent.send.attempt)
            self._sent[sent.send.instance].pop(key)
            self.counts.finished[_get_kind(sent.call)] += 1
            self._end(sent, SendStatus.finished)

    def _cancel(self, effect: CancelSend) -> None:
        for under_way in self._sent.values():
            under_way.pop((effect.call_id, effect.attempt), None)

    def _end(self, sent: Sent, status: SendStatus, **changes: bool) -> None:
        if sent.vm in self.cores:
            ended = SendEnded(
                sent.send.call_id, sent.send.attempt, status, **changes
            )
            self.handle(sent.vm, ended)

    def _relist(self, instance: str, successor: str) -> None:
        listed = build_upstream(successor)
        self._upstreams = (
            *(each for each in self._upstreams if each.instance != instance),
            listed,
        )
        for name in list(self.cores):
            self.handle(name, UpstreamChanged(instance, None))
            self.handle(name, UpstreamChanged(successor, listed))


def _get_kind(call: RoutedCall) -> str:
    return call.call_id.partition('-')[0]
