"""Whether an answer that has been read to its end is whole.

An answer with a length or chunks says so itself. One that ends with its
connection looks the same if its upstream broke it off by closing the
connection, as the kernel does for a process that ends. What else becomes of
the upstream at that moment tells some of the two apart, and the rest stay
unproven.
"""

import asyncio
from enum import StrEnum

from bilberryspoke._internal.models.routing_effects import HandOff, Send
from bilberryspoke._internal.network.clock import read_boottime
from bilberryspoke._internal.network.routing.answerbody import AnswerBody
from bilberryspoke._internal.network.routing.connections import (
    KeepAliveConnector,
)
from bilberryspoke._internal.network.routing.linkprobes import LinkProber

# The connections of a process that ends close within this time.
_SAME_MOMENT_S = 0.05


class AnswerEnd(StrEnum):
    """What the end of an answer says of it.

    ``whole``: the answer says that this is its end. ``cut``: it was broken
    off. ``unproven``: it may be either; its upstream has closed the connection
    and still answers.
    """

    whole = 'whole'
    cut = 'cut'
    unproven = 'unproven'


class EndJudge:
    """Judges the ends of answers to calls."""

    def __init__(
        self, connector: KeepAliveConnector, prober: LinkProber
    ) -> None:
        """Create a judge of answers on the connections of ``connector``.

        ``prober`` finds out whether upstreams still answer.
        """
        self._connector = connector
        self._prober = prober

    async def judge(
        self, body: AnswerBody, effect: Send | HandOff
    ) -> AnswerEnd:
        """Return what the end of a body says that was read to its end.

        ``effect`` is the send that it answers. A probe is sent only if the body
        ends with its connection. Other VMs send no such bodies.
        """
        if body.says_its_end:
            return AnswerEnd.whole
        if isinstance(effect, HandOff) or not body.is_closed_cleanly():
            return AnswerEnd.cut
        ended_at = read_boottime()
        if not await self._prober.serves(effect.address, effect.instance):
            return AnswerEnd.cut
        await asyncio.sleep(_SAME_MOMENT_S)
        if self._connector.lost_at(effect.address) >= ended_at - _SAME_MOMENT_S:
            return AnswerEnd.cut
        return AnswerEnd.unproven
