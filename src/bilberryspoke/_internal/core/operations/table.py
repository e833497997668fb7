"""Single-use table of one process: every key it issued or accepted."""

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import StrEnum


class KeyState(StrEnum):
    """Where the operation of a key stands."""

    ready = 'ready'
    under_way = 'under_way'
    completed = 'completed'
    unknown = 'unknown'


class Verdict(StrEnum):
    """What to do with a call that carries a key."""

    run = 'run'
    replay = 'replay'
    busy = 'busy'
    unknown = 'unknown'
    mismatch = 'mismatch'
    foreign = 'foreign'


@dataclass(slots=True)
class KeyEntry:
    """One key. ``fingerprint`` is a digest of method, path and body."""

    workspace: str
    state: KeyState = KeyState.ready
    fingerprint: str = ''
    req_id: str = ''


@dataclass(slots=True)
class OperationTable:
    """Keys by text. The oldest entries leave first, over the limit.

    A key that left the table can never run: absence means ``unknown``.
    """

    limit: int
    entries: OrderedDict[str, KeyEntry] = field(default_factory=OrderedDict)

    def add(self, key: str, workspace: str) -> None:
        """Add a key that has not run anywhere."""
        self.entries[key] = KeyEntry(workspace)
        while len(self.entries) > self.limit:
            self.entries.popitem(last=False)

    def begin(
        self,
        key: str,
        workspace: str,
        fingerprint: str,
        req_id: str,
    ) -> Verdict:
        """Decide on a call; a key that may run is under way from then on."""
        entry = self.entries.get(key)
        if entry is None:
            return Verdict.unknown
        if entry.workspace != workspace:
            return Verdict.foreign
        if entry.fingerprint and entry.fingerprint != fingerprint:
            return Verdict.mismatch
        if entry.state is KeyState.under_way:
            return Verdict.busy
        if entry.state is KeyState.completed:
            return Verdict.replay
        if entry.state is KeyState.unknown:
            return Verdict.unknown
        entry.state = KeyState.under_way
        entry.fingerprint = fingerprint
        entry.req_id = req_id
        return Verdict.run

    def end(self, key: str, state: KeyState) -> None:
        """Note how the operation of a key ended.

        ``ready`` means that it certainly did not run and may be called again.
        """
        entry = self.entries.get(key)
        if entry is not None:
            entry.state = state
