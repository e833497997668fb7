"""Which other VMs served the calls that this one handed off.

Times are in seconds of the boot-time clock.
"""

from dataclasses import dataclass, field

# A helper that could not serve a call gets no other of that service for this
# time, and one that did is preferred for as long.
_MEMORY_S = 5.0
# If no other is left, one of them gets a call again after this time.
_TRIAL_INTERVAL_S = 0.5


@dataclass(slots=True)
class HelperMemory:
    """What this VM knows of its helpers for the calls of one service.

    ``_failed_at`` is when each last did not serve a call, ``_served_at`` when
    it last did.
    """

    _failed_at: dict[str, float] = field(default_factory=dict)
    _served_at: dict[str, float] = field(default_factory=dict)

    def record_failure(self, name: str, now: float) -> None:
        """Record that a helper did not serve a call."""
        self._forget_old(now)
        self._served_at.pop(name, None)
        self._failed_at[name] = now

    def record_service(self, name: str, now: float) -> None:
        """Record that a helper served a call."""
        self._forget_old(now)
        self._failed_at.pop(name, None)
        self._served_at[name] = now

    def list_failed(self, now: float) -> set[str]:
        """Return the VMs that did not serve a call lately."""
        self._forget_old(now)
        return set(self._failed_at)

    def is_due(self, name: str, now: float) -> bool:
        """Return whether a VM may be tried again, if no other is left."""
        if name not in self._failed_at:
            return True
        return now >= self._failed_at[name] + _TRIAL_INTERVAL_S

    def begin_trial(self, name: str, now: float) -> None:
        """Give a VM that did not serve a call one more, and no other yet."""
        failed = self._failed_at.keys() & {name}
        self._failed_at.update(dict.fromkeys(failed, now))

    def list_proven(self, now: float) -> set[str]:
        """Return the VMs that served a call lately."""
        self._forget_old(now)
        return set(self._served_at)

    def _forget_old(self, now: float) -> None:
        since = now - _MEMORY_S
        for times in (self._failed_at, self._served_at):
            for name, at in list(times.items()):
                if at < since:
                    times.pop(name)
