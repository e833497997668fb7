"""Sending of peer messages from handlers."""

from bilberryspoke._internal.core.state import NodeState
from bilberryspoke._internal.models.effects import SendPeer
from bilberryspoke._internal.models.messages import PeerMessage


def send(state: NodeState, peer: str, message: PeerMessage) -> None:
    """Send a message to a VM; one to itself is delivered in the same step."""
    if peer == state.vm:
        state.local.append(message)
    else:
        state.emit(SendPeer(peer, message))
