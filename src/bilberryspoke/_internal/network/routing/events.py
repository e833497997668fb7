"""Cutting of event streams at the borders of events."""

import re
from dataclasses import dataclass

_EVENT_END = b'\n\n'
_EVENT_ID = re.compile(rb'(?:^|\n)id: ?(\d+)')


@dataclass(slots=True)
class EventCutter:
    """Passes whole events on and checks that their ids go up one by one.

    ``last`` is the id of the last whole event, or None before the first.
    ``broken`` tells that an event was missing or came twice.
    """

    last: int | None = None
    broken: bool = False
    tail: bytes = b''

    def feed(self, raw: bytes) -> bytes:
        """Take bytes of a stream; return the whole events among them."""
        joined = self.tail + raw
        cut = joined.rfind(_EVENT_END)
        if cut < 0:
            self.tail = joined
            return b''
        cut += len(_EVENT_END)
        self.tail = joined[cut:]
        whole = joined[:cut]
        self._follow(whole)
        return b'' if self.broken else whole

    def _follow(self, whole: bytes) -> None:
        for match in _EVENT_ID.finditer(whole):
            event_id = int(match.group(1))
            if self.last is not None and event_id != self.last + 1:
                self.broken = True
                return
            self.last = event_id
