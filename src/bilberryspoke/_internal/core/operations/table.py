"""Table of the operation keys that a process has issued or accepted."""

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import StrEnum


class KeyState(StrEnum):
    """State of a key's operation."""

    ready = 'ready'
    under_way = 'under_way'
    completed = 'completed'
    unknown = 'unknown'


class Verdict(StrEnum):
    """Decision on a call that carries an operation key.

    ``busy``: the operation is running. ``unknown``: it may have run before.
    ``mismatch``: the key came with another call before. ``foreign``: the key
    belongs to another workspace.
    """

    run = 'run'
    replay = 'replay'
    busy = 'busy'
    unknown = 'unknown'
    mismatch = 'mismatch'
    foreign = 'foreign'


@dataclass(slots=True)
class KeyEntry:
    """State of one key and of the call that it was first used for.

    ``fingerprint`` is a digest of the call's method, path and body, or empty
    before the first call.
    """

    workspace: str
    state: KeyState = KeyState.ready
    fingerprint: str = ''
    req_id: str = ''


@dataclass(slots=True)
class OperationTable:
    """Entries by the key's text, at most ``max_entries`` of them.

    The oldest entry is evicted first. An evicted key can never run again,
    since a call with a key that has no entry is answered as ``unknown``.
    """

    max_entries: int
    entries: OrderedDict[str, KeyEntry] = field(default_factory=OrderedDict)

    def add(self, key: str, workspace: str) -> None:
        """Add a key that has not run on any VM."""
        self.entries[key] = KeyEntry(workspace)
        while len(self.entries) > self.max_entries:
            self.entries.popitem(last=False)

    def begin(
        self,
        key: str,
        workspace: str,
        fingerprint: str,
        req_id: str,
    ) -> Verdict:
        """Return the decision on a call with a key.

        After ``Verdict.run`` the key's operation is under way.
        """
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
        """Record the final state of a key's operation.

        ``ready`` means that it is certain not to have run and may be called
        again. A key that has been evicted is ignored.
        """
        entry = self.entries.get(key)
        if entry is not None:
            entry.state = state
