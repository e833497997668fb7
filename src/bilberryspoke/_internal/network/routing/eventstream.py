"""Splitting of event streams (server-sent events) into complete events."""

import re
from dataclasses import dataclass, field

from bilberryspoke._internal.network.relaying import MAX_EVENT_BYTES

_EVENT_DELIMITER = b'\n\n'
_EVENT_ID = re.compile(rb'(?:^|\n)id: ?(\d+)')


@dataclass(slots=True)
class EventSplitter:
    """Splits a byte stream after complete events and checks their ids.

    Ids must increase by one from event to event. ``last_id`` is the id of the
    last complete event, or None before the first. ``broken`` is true once an
    event was missing, repeated or too long. ``remainder`` holds the bytes
    received after the last complete event. While ``expects_next`` is true the
    first event must have the next id: that of an answer which goes on with a
    stream, and may be a failure instead.
    """

    last_id: int | None = None
    expects_next: bool = False
    broken: bool = False
    remainder: bytearray = field(default_factory=bytearray)

    def feed(self, raw: bytes) -> bytes:
        """Add received bytes; return the complete events, if any.

        Returns nothing if the stream is broken.
        """
        # An event may arrive in many parts: search none of them again.
        unsearched = max(0, len(self.remainder) - len(_EVENT_DELIMITER) + 1)
        self.remainder += raw
        end = self.remainder.rfind(_EVENT_DELIMITER, unsearched)
        if end < 0:
            self.broken = len(self.remainder) > MAX_EVENT_BYTES
            return b''
        end += len(_EVENT_DELIMITER)
        complete_events = bytes(self.remainder[:end])
        self.remainder = self.remainder[end:]
        if self.expects_next:
            self._check_first(complete_events)
        self._check_ids(complete_events)
        return b'' if self.broken else complete_events

    def _check_first(self, complete_events: bytes) -> None:
        first, _, _ = complete_events.partition(_EVENT_DELIMITER)
        self.broken = _EVENT_ID.search(first) is None
        self.expects_next = False

    def _check_ids(self, complete_events: bytes) -> None:
        for match in _EVENT_ID.finditer(complete_events):
            event_id = int(match.group(1))
            if self.last_id is not None and event_id != self.last_id + 1:
                self.broken = True
                return
            self.last_id = event_id
