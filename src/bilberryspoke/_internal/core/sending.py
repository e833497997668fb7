"""Sending of messages to peers, or to this VM itself, from handlers."""

from bilberryspoke._internal.core.state import VmState
from bilberryspoke._internal.models.effects import SendPeerMessage
from bilberryspoke._internal.models.messages import PeerMessage


def send(state: VmState, peer: str, message: PeerMessage) -> None:
    """Send a message to a VM.

    One to this VM itself is handled in the same call of ``Core.handle``.
    """
    if peer == state.vm:
        state.loopback_messages.append(message)
    else:
        state.emit(SendPeerMessage(peer, message))
