"""One core that owns its pools, driven by events on a virtual clock."""

from bilberryspoke._internal.core import Core, CoreSettings
from bilberryspoke._internal.models.effects import (
    AnswerFailure,
    Dispatch,
    KeepRecord,
)
from bilberryspoke._internal.models.events import (
    AttemptEnded,
    AttemptProgressed,
    CatalogOffered,
    RequestArrived,
    Tick,
)
from bilberryspoke._internal.models.requests import AttemptStatus
from tests.lib.builders import build_request


class SingleCore:
    """A core with a catalog that records the effects of its decisions.

    ``failure_answers`` and ``records`` are keyed by request id; ``now`` is in
    seconds.
    """

    def __init__(self, catalog, **settings):
        self.core = Core(CoreSettings('a', 'dc1', 1, **settings))
        self.now = 100.0
        self.dispatches = []
        self.failure_answers = {}
        self.records = {}
        self.effects = []
        self.submit(CatalogOffered(catalog, b''))

    def submit(self, event):
        effects = self.core.handle(event, now=self.now)
        self.effects.extend(effects)
        for effect in effects:
            if isinstance(effect, Dispatch):
                self.dispatches.append(effect)
            elif isinstance(effect, AnswerFailure):
                self.failure_answers[effect.req_id] = effect
            elif isinstance(effect, KeepRecord):
                self.records[effect.record.req_id] = effect.record
        return effects

    def request(self, req_id, service_class='top', **fields):
        req = build_request(req_id, service_class, at=self.now, **fields)
        return self.submit(RequestArrived(req))

    def progress(self, req_id, tokens):
        attempt = self.find_last_dispatch(req_id).attempt
        self.submit(AttemptProgressed(req_id, attempt, tokens))

    def end(self, req_id, status=AttemptStatus.finished, tokens=5, **changes):
        attempt = self.find_last_dispatch(req_id).attempt
        return self.submit(
            AttemptEnded(req_id, attempt, status, tokens, **changes)
        )

    def find_last_dispatch(self, req_id):
        return [each for each in self.dispatches if each.req_id == req_id][-1]

    def list_dispatched_ids(self):
        """Return the ids of dispatched requests, one for each dispatch."""
        return [each.req_id for each in self.dispatches]

    def pass_time(self, seconds, step=0.25):
        """Advance the clock in steps of ``step`` seconds, each with a tick."""
        end = self.now + seconds
        while self.now < end:
            self.now = min(end, self.now + step)
            self.submit(Tick())
