"""The reducer: one entry point for all events of a VM."""

from collections.abc import Callable
from typing import Any

from bilberryspoke._internal.core.membership import Membership
from bilberryspoke._internal.core.operations.ownership import KeyOwnership
from bilberryspoke._internal.core.operations.table import OperationTable
from bilberryspoke._internal.core.retries import RetryBudget
from bilberryspoke._internal.core.state import CoreSettings, NodeState
from bilberryspoke._internal.models.effects import Effect
from bilberryspoke._internal.models.events import Event

Handler = Callable[[NodeState, Any, float], None]

_EVENT_HANDLERS: dict[type, Handler] = {}
_MESSAGE_HANDLERS: dict[type, Callable[[NodeState, str, Any, float], None]] = {}


def on_event(event_type: type) -> Callable[[Handler], Handler]:
    """Register the handler of an event type."""

    def register(handler: Handler) -> Handler:
        _EVENT_HANDLERS[event_type] = handler
        return handler

    return register


def on_message(message_type: type) -> Callable[..., Any]:
    """Register the handler of a peer message type."""

    def register(
        handler: Callable[[NodeState, str, Any, float], None],
    ) -> Callable[[NodeState, str, Any, float], None]:
        _MESSAGE_HANDLERS[message_type] = handler
        return handler

    return register


def deliver(state: NodeState, sender: str, message: object, now: float) -> None:
    """Hand a peer message, or one a VM sent to itself, to its handler."""
    _MESSAGE_HANDLERS[type(message)](state, sender, message, now)


class Core:
    """Decisions of one VM.

    ``handle`` is deterministic: the same events at the same times give the
    same effects. ``now`` is in seconds of a boot-time clock.
    """

    def __init__(self, settings: CoreSettings) -> None:
        """Create the core of a VM that knows nothing yet."""
        self.state = NodeState(
            settings=settings,
            membership=Membership(
                settings.vm,
                settings.dead_after_s,
                settings.neighbour_limit,
            ),
            retries=RetryBudget(settings.retry_share),
            operations=OperationTable(settings.key_limit),
            ownership=KeyOwnership(settings.vm, settings.ownership),
        )

    def handle(self, event: Event, *, now: float) -> list[Effect]:
        """Reduce one event and return the effects to carry out, in order."""
        _EVENT_HANDLERS[type(event)](self.state, event, now)
        while self.state.local:
            deliver(self.state, self.state.vm, self.state.local.popleft(), now)
        effects = self.state.effects
        self.state.effects = []
        return effects
