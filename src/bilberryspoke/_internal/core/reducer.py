"""Reducer of a VM: passes each event to its handler."""

from collections.abc import Callable
from typing import Any

from bilberryspoke._internal.core.membership import Membership
from bilberryspoke._internal.core.operations.ownership import KeyOwnership
from bilberryspoke._internal.core.operations.table import OperationTable
from bilberryspoke._internal.core.retrybudget import RetryBudget
from bilberryspoke._internal.core.state import CoreSettings, VmState
from bilberryspoke._internal.models.effects import Effect
from bilberryspoke._internal.models.events import Event

Handler = Callable[[VmState, Any, float], None]

_EVENT_HANDLERS: dict[type, Handler] = {}
_MESSAGE_HANDLERS: dict[type, Callable[[VmState, str, Any, float], None]] = {}


def on_event(event_type: type) -> Callable[[Handler], Handler]:
    """Return a decorator that registers the handler of an event type."""

    def register(handler: Handler) -> Handler:
        _EVENT_HANDLERS[event_type] = handler
        return handler

    return register


def on_message(message_type: type) -> Callable[..., Any]:
    """Return a decorator that registers the handler of a message type."""

    def register(
        handler: Callable[[VmState, str, Any, float], None],
    ) -> Callable[[VmState, str, Any, float], None]:
        _MESSAGE_HANDLERS[message_type] = handler
        return handler

    return register


def deliver_message(
    state: VmState, sender: str, message: object, now: float
) -> None:
    """Call the handler of a message from a peer or from this VM itself.

    Raises ``KeyError`` if no handler is registered for the message's type.
    """
    _MESSAGE_HANDLERS[type(message)](state, sender, message, now)


class Core:
    """Decision core of one VM.

    ``handle`` is deterministic: the same events at the same times give the
    same effects. ``now`` is in seconds of the VM's boot-time clock.
    """

    def __init__(self, settings: CoreSettings) -> None:
        """Create a core without a configuration and without known peers."""
        self.state = VmState(
            settings=settings,
            membership=Membership(
                settings.vm,
                settings.heartbeat_timeout_s,
                settings.max_full_mesh_peers,
            ),
            retries=RetryBudget(settings.retry_share),
            operations=OperationTable(settings.max_operation_keys),
            ownership=KeyOwnership(settings.vm, settings.ownership),
        )

    def handle(self, event: Event, *, now: float) -> list[Effect]:
        """Reduce one event and return its effects in the order to apply them.

        Messages that the VM sends to itself are handled in the same call.
        Raises ``KeyError`` if no handler is registered for the event's type.
        """
        self.state.started_at = min(self.state.started_at, now)
        _EVENT_HANDLERS[type(event)](self.state, event, now)
        while self.state.loopback_messages:
            deliver_message(
                self.state,
                self.state.vm,
                self.state.loopback_messages.popleft(),
                now,
            )
        effects = self.state.effects
        self.state.effects = []
        return effects
