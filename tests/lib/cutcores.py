"""Cores of several VMs, some of which reach no upstream."""

from bilberryspoke._internal.models.routing import RoutedCall, SendStatus
from bilberryspoke._internal.models.routing_effects import (
    HandOff,
    ProbeUpstream,
    RefuseCall,
    Send,
)
from bilberryspoke._internal.models.routing_events import (
    CallArrived,
    SendEnded,
    UpstreamProbed,
)
from tests.lib.corefleet import MESSAGE_DELAY_S, CoreFleet
from tests.lib.routedcore import READ_ROUTE, build_call

_RUN_S = 0.03
_HANDOFF_PREFIX = 'handoff-'


class CutCores(CoreFleet):
    """A fleet in which the VMs of ``cut`` reach no upstream.

    ``served`` and ``refused`` hold the ids of calls by what their callers got,
    ``handoffs`` counts the calls that VMs handed off.
    """

    def __init__(self, vms: int, *, warm_up_s: float) -> None:
        """Run the fleet for ``warm_up_s``, until its VMs know each other."""
        self.cut: set[str] = set()
        self.served: list[str] = []
        self.refused: list[str] = []
        self.handoffs = 0
        self._calls: dict[str, RoutedCall] = {}
        self._origin_of: dict[str, tuple[str, HandOff]] = {}
        super().__init__(vms)
        self.run_until(warm_up_s)

    def arrive(self, name: str, call_id: str) -> None:
        """Let a call arrive at a VM."""
        call = build_call(call_id, READ_ROUTE, now=self.now)
        self._submit_call(name, call)

    def handle(self, name: str, event: object) -> list[object]:
        """Submit an event to a VM, carry out and return its effects."""
        effects = super().handle(name, event)
        for effect in effects:
            if isinstance(effect, Send):
                self._send_call(name, effect)
            elif isinstance(effect, HandOff):
                self._hand_off(name, effect)
            elif isinstance(effect, ProbeUpstream):
                self._probe(name, effect)
            elif isinstance(effect, RefuseCall):
                self._answer(effect.call_id, SendStatus.unsent)
        return effects

    def _submit_call(self, name: str, call: RoutedCall) -> None:
        self._calls[call.call_id] = call
        self.handle(name, CallArrived(call))

    def _send_call(self, name: str, send: Send) -> None:
        status = SendStatus.finished
        delay_s = _RUN_S
        if name in self.cut:
            status = SendStatus.unsent
            delay_s = MESSAGE_DELAY_S
        ended = SendEnded(send.call_id, send.attempt, status)
        self._at(self.now + delay_s, lambda: self._end(name, ended))

    def _end(self, name: str, ended: SendEnded) -> None:
        self.handle(name, ended)
        if ended.status is SendStatus.finished:
            self._answer(ended.call_id, ended.status)

    def _hand_off(self, name: str, effect: HandOff) -> None:
        self.handoffs += 1
        call_id = f'{_HANDOFF_PREFIX}{self.handoffs}'
        self._origin_of[call_id] = (name, effect)
        call = build_call(call_id, READ_ROUTE, now=self.now, handed_off=True)
        self._at(
            self.now + MESSAGE_DELAY_S,
            lambda: self._submit_call(effect.helper, call),
        )

    def _answer(self, call_id: str, status: SendStatus) -> None:
        """Pass the end of a call on to its caller."""
        if not call_id.startswith(_HANDOFF_PREFIX):
            served = status is SendStatus.finished
            (self.served if served else self.refused).append(call_id)
            return
        name, effect = self._origin_of[call_id]
        ended = SendEnded(effect.call_id, effect.attempt, status)
        self._at(self.now + MESSAGE_DELAY_S, lambda: self._end(name, ended))

    def _probe(self, name: str, effect: ProbeUpstream) -> None:
        probed = UpstreamProbed(
            effect.instance, effect.created_ms, name not in self.cut
        )
        self._at(self.now + MESSAGE_DELAY_S, lambda: self.handle(name, probed))
