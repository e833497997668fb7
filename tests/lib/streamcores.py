"""Cores of several VMs whose streams are broken off and taken up again."""

import itertools

from bilberryspoke._internal.models.routing import RoutedCall
from bilberryspoke._internal.models.routing_effects import RefuseCall, Send
from bilberryspoke._internal.models.routing_events import (
    CallAbandoned,
    CallArrived,
    SendProgressed,
)
from tests.lib.corefleet import CoreFleet
from tests.lib.routedcore import DRAFT_ROUTE, build_call

# The id of the last event that the caller of a stream has.
LAST_EVENT_ID = 3


class StreamCores(CoreFleet):
    """A fleet whose engines run two software versions.

    ``sends`` holds the sends of each call and ``refusals`` the refusals, by
    the id of the call.
    """

    def __init__(self, vms: int, *, warm_up_s: float) -> None:
        """Run the fleet for ``warm_up_s``, until its VMs know each other."""
        self.sends: dict[str, list[Send]] = {}
        self.refusals: dict[str, RefuseCall] = {}
        self._numbers = itertools.count()
        super().__init__(vms, software_versions=('v1', 'v2'))
        self.version_of = {
            each.instance: each.software_version for each in self._upstreams
        }
        self.run_until(warm_up_s)

    def begin(self, name: str) -> RoutedCall:
        """Let a new stream arrive at a VM and bring its first events."""
        number = next(self._numbers)
        call = self._build_call(number)
        self.arrive(name, call)
        for event in range(1, LAST_EVENT_ID + 1):
            progressed = SendProgressed(call.call_id, 1, event)
            self.handle(name, progressed)
        return call

    def take_up(self, name: str, begun: RoutedCall) -> RoutedCall:
        """Let the caller of a broken stream take it up at another VM."""
        call = self._build_call(
            next(self._numbers),
            last_event_id=LAST_EVENT_ID,
            resumed_req_id=begun.req_id,
        )
        self.arrive(name, call)
        return call

    def arrive(self, name: str, call: RoutedCall) -> None:
        """Let a call arrive at a VM."""
        self.handle(name, CallArrived(call))

    def abandon(self, name: str, call: RoutedCall) -> None:
        """Let a caller close its connection."""
        self.handle(name, CallAbandoned(call.call_id))

    def handle(self, name: str, event: object) -> list[object]:
        """Submit an event to a VM, carry out and return its effects."""
        effects = super().handle(name, event)
        for effect in effects:
            if isinstance(effect, Send):
                self.sends.setdefault(effect.call_id, []).append(effect)
            elif isinstance(effect, RefuseCall):
                self.refusals[effect.call_id] = effect
        return effects

    def find_versions(self, *calls: RoutedCall) -> set[str]:
        """Return the software versions that calls were sent to."""
        return {
            self.version_of[send.instance]
            for call in calls
            for send in self.sends.get(call.call_id, [])
        }

    def _build_call(self, number: int, **changes: object) -> RoutedCall:
        return build_call(
            f'c{number}',
            DRAFT_ROUTE,
            own_tokens=10,
            shared=f's{number}',
            now=self.now,
            **changes,
        )
