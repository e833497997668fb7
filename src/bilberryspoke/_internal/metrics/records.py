"""Bounded store of the records of ended requests."""

from collections import OrderedDict

from bilberryspoke._internal.models.requests import Outcome, RequestRecord

_MAX_FAILURES = 2000
_MAX_SUCCESSES = 2000


class RecordRing:
    """The latest request records, by request id.

    Failures are kept apart from successes, which are more frequent and would
    displace them.
    """

    def __init__(self) -> None:
        """Create an empty ring."""
        self._failures: OrderedDict[str, RequestRecord] = OrderedDict()
        self._successes: OrderedDict[str, RequestRecord] = OrderedDict()

    def keep(self, record: RequestRecord) -> None:
        """Keep a record; the oldest one is dropped if there are too many."""
        if record.outcome == Outcome.completed.value:
            _insert(self._successes, record, _MAX_SUCCESSES)
        else:
            _insert(self._failures, record, _MAX_FAILURES)

    def find(self, req_id: str) -> RequestRecord | None:
        """Return the record of a request, or ``None`` if it is not kept."""
        return self._failures.get(req_id) or self._successes.get(req_id)


def _insert(
    ring: OrderedDict[str, RequestRecord],
    record: RequestRecord,
    max_records: int,
) -> None:
    ring[record.req_id] = record
    if len(ring) > max_records:
        ring.popitem(last=False)
