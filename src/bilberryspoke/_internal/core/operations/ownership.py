"""Which VM may run keys that callers made themselves.

Ownership follows from the platform's list of VMs alone, never from
heartbeats, so that two VMs that cannot reach each other do not both take it.
The list carries the platform's time; a VM acts on a list for
``ownership_valid_s`` after that time and no longer. A VM that becomes owner
by a newer list waits until every older list has lapsed, and it refuses keys
made before it became owner: a previous owner may have run them.
"""

from dataclasses import dataclass, field

from bilberryspoke._internal.utils.hashing import rank_members


@dataclass(frozen=True, slots=True)
class OwnershipSettings:
    """``valid_ms`` bounds the use of a list; ``clock_ms`` the clock error."""

    valid_ms: int = 10_000
    clock_ms: int = 1000


@dataclass(slots=True)
class KeyOwnership:
    """One VM's view of the list; all times are Unix milliseconds."""

    vm: str
    settings: OwnershipSettings
    data_centre_of: dict[str, str] = field(default_factory=dict)
    as_of_ms: int = 0
    stable_since_ms: int = 0

    def take_list(
        self,
        as_of_ms: int,
        data_centre_of: dict[str, str],
    ) -> None:
        """Take a list; one that is not newer than the last is ignored."""
        if as_of_ms <= self.as_of_ms:
            return
        lapsed = as_of_ms - self.as_of_ms > self.settings.valid_ms
        if data_centre_of != self.data_centre_of or lapsed:
            self.stable_since_ms = as_of_ms
        self.data_centre_of = dict(data_centre_of)
        self.as_of_ms = as_of_ms

    def find_owner(self, key: str) -> str | None:
        """Return the VM that owns a key in this view, if any is listed.

        The home data centre is one of the list's own, not of the published
        configuration: a change of configuration moves no key.
        """
        if not self.data_centre_of:
            return None
        homes = frozenset(self.data_centre_of.values())
        home = rank_members(f'home:{key}', homes)[0]
        members = [
            name for name, where in self.data_centre_of.items() if where == home
        ]
        return rank_members(f'key:{key}', members)[0]

    def may_run(self, made_ms: int, now_ms: int) -> bool:
        """Tell whether this VM, as owner, may run a key made at a time."""
        settings = self.settings
        if now_ms > self.as_of_ms + settings.valid_ms - settings.clock_ms:
            return False
        if made_ms > now_ms + settings.clock_ms:
            return False
        # Everything a previous owner may have run was made before its list
        # lapsed, with both clocks off by no more than their bound.
        previous_end_ms = self.stable_since_ms + settings.valid_ms
        return made_ms > previous_end_ms + 2 * settings.clock_ms
