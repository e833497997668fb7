"""Bounded store of request records for explanations."""

from collections import OrderedDict

from bilberryspoke._internal.models.requests import Outcome, RequestRecord

_FAILURE_LIMIT = 2000
_SUCCESS_LIMIT = 2000


class RecordRing:
    """Latest records; failures are kept apart so that successes do not
    push them out."""

    def __init__(self) -> None:
        """Create an empty ring."""
        self._failures: OrderedDict[str, RequestRecord] = OrderedDict()
        self._successes: OrderedDict[str, RequestRecord] = OrderedDict()

    def keep(self, record: RequestRecord) -> None:
        """Keep a record, dropping the oldest one over the limit."""
        if record.outcome == Outcome.completed.value:
            _insert(self._successes, record, _SUCCESS_LIMIT)
        else:
            _insert(self._failures, record, _FAILURE_LIMIT)

    def find(self, req_id: str) -> RequestRecord | None:
        """Return the record of a request, if it is still kept."""
        return self._failures.get(req_id) or self._successes.get(req_id)


def _insert(
    ring: OrderedDict[str, RequestRecord],
    record: RequestRecord,
    limit: int,
) -> None:
    ring[record.req_id] = record
    if len(ring) > limit:
        ring.popitem(last=False)
