"""Cores of several VMs whose streams are broken off and taken up again."""

import itertools
from collections.abc import Sequence

from bilberryspoke._internal.models.routing import RoutedCall
from bilberryspoke._internal.models.routing_effects import RefuseCall, Send
from bilberryspoke._internal.models.routing_events import (
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

    def __init__(
        self,
        vms: int,
        *,
        warm_up_s: float,
        software_versions: Sequence[str] = ('v1', 'v2'),
    ) -> None:
        """Run the fleet for ``warm_up_s``, until its VMs know each other."""
        self.sends: dict[str, list[Send]] = {}
        self.refusals: dict[str, RefuseCall] = {}
        self._numbers = itertools.count()
        super().__init__(
            vms, software_versions=software_versions, store_answers=True
        )
        self.version_of = {
            each.instance: each.software_version for each in self._upstreams
        }
        self.run_until(warm_up_s)

    def begin(self, name: str) -> RoutedCall:
        """Let a new stream arrive at a VM and bring its first events."""
        call = self.build_call()
        self.arrive(name, call)
        for event in range(1, LAST_EVENT_ID + 1):
            progressed = SendProgressed(call.call_id, 1, event)
            self.handle(name, progressed)
        return call

    def take_up(self, name: str, begun: RoutedCall) -> RoutedCall:
        """Let the caller of a broken stream take it up at another VM."""
        call = self.build_call(
            last_event_id=LAST_EVENT_ID,
            resumed_req_id=begun.req_id,
        )
        self.arrive(name, call)
        return call

    def arrive(self, name: str, call: RoutedCall) -> None:
        """Let a call arrive at a VM."""
        self.handle(name, CallArrived(call))

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

    def build_call(self, **changes: object) -> RoutedCall:
        """Return a call for a stream of its own that arrives now."""
        number = next(self._numbers)
        return build_call(
            f'c{number}',
            DRAFT_ROUTE,
            parts=(),
            prompt_tokens=10,
            now=self.now,
            **changes,
        )
