"""Ownership of the operation keys that callers create themselves.

Ownership follows from the platform's list of VMs alone, never from
heartbeats, so that two VMs that cannot reach each other do not both own a
key. The list carries the platform's time; a VM uses a list for
``OwnershipSettings.list_valid_ms`` after that time and no longer. A VM that
becomes owner by a newer list waits until every older list has expired, and it
refuses keys created before then: a previous owner may have run them.
"""

from dataclasses import dataclass, field

from bilberryspoke._internal.utils.hashing import rank_members


@dataclass(frozen=True, slots=True)
class OwnershipSettings:
    """Time bounds of key ownership, in milliseconds.

    A list is used for ``list_valid_ms`` after its time. The error of each
    clock is at most ``max_clock_error_ms``.
    """

    list_valid_ms: int = 10_000
    max_clock_error_ms: int = 1000


@dataclass(slots=True)
class KeyOwnership:
    """Key ownership by the newest list of VMs that this VM has read.

    Times are Unix time in milliseconds. ``as_of_ms`` is the list's time, and
    ``stable_since_ms`` that of the first list since the VMs last changed or a
    list expired before the next one came.
    """

    vm: str
    settings: OwnershipSettings
    data_centre_of: dict[str, str] = field(default_factory=dict)
    as_of_ms: int = 0
    stable_since_ms: int = 0

    def apply_vm_list(
        self,
        as_of_ms: int,
        data_centre_of: dict[str, str],
    ) -> None:
        """Store a list; one that is not newer than the last is ignored."""
        if as_of_ms <= self.as_of_ms:
            return
        lapsed = as_of_ms - self.as_of_ms > self.settings.list_valid_ms
        if data_centre_of != self.data_centre_of or lapsed:
            self.stable_since_ms = as_of_ms
        self.data_centre_of = dict(data_centre_of)
        self.as_of_ms = as_of_ms

    def find_owner(self, key: str) -> str | None:
        """Return the VM that owns a key, or ``None`` if no VM is listed.

        The home data centre is chosen among those of the list, not of the
        published configuration, so a change of configuration moves no key.
        """
        if not self.data_centre_of:
            return None
        data_centres = frozenset(self.data_centre_of.values())
        home_data_centre = rank_members(f'home:{key}', data_centres)[0]
        members = [
            name
            for name, data_centre in self.data_centre_of.items()
            if data_centre == home_data_centre
        ]
        return rank_members(f'key:{key}', members)[0]

    def may_run(self, created_ms: int, now_ms: int) -> bool:
        """Return whether this VM, as owner, may run a key created at a time.

        It may not if the list has expired, if the key's time lies in the
        future, or if a previous owner may have run the key.
        """
        settings = self.settings
        if (
            now_ms
            > self.as_of_ms
            + settings.list_valid_ms
            - settings.max_clock_error_ms
        ):
            return False
        if created_ms > now_ms + settings.max_clock_error_ms:
            return False
        # Every key that a previous owner may have run was created before its
        # list expired, with both clocks wrong by at most the clock error.
        previous_end_ms = self.stable_since_ms + settings.list_valid_ms
        return created_ms > previous_end_ms + 2 * settings.max_clock_error_ms
