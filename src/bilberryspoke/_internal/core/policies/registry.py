"""Registry of sharing policies, filled by a decorator."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from bilberryspoke._internal.core.requeststate import RequestState
    from bilberryspoke._internal.core.state import VmState
    from bilberryspoke._internal.models.messages import SlotRelease


class SharingPolicy(ABC):
    """How an entry VM obtains and releases a slot."""

    @abstractmethod
    def acquire_slot(
        self, state: 'VmState', req_state: 'RequestState', now: float
    ) -> None:
        """Request a slot for the next attempt of a request."""

    @abstractmethod
    def release_slot(
        self,
        state: 'VmState',
        req_state: 'RequestState',
        release: 'SlotRelease',
        now: float,
    ) -> None:
        """Release the slot of an ended attempt."""

    def get_slot_fraction(self, state: 'VmState', now: float) -> float:
        """Return the fraction of each upstream's slots an owner may grant."""
        return 1.0

    def find_owner(self, state: 'VmState', pool: str, now: float) -> str:
        """Return the VM whose queue serves a pool for this VM."""
        return state.vm


_POLICIES: dict[str, SharingPolicy] = {}


def register_policy(name: str) -> Callable[[type], type]:
    """Return a decorator that registers a sharing policy class."""

    def register(policy_type: type) -> type:
        _POLICIES[name] = policy_type()
        return policy_type

    return register


def find_policy(name: str) -> SharingPolicy:
    """Return the policy registered under a name.

    Raises ``KeyError`` if there is none.
    """
    return _POLICIES[name]
