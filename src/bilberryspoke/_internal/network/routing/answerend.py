"""Whether an answer that has been read to its end is whole.

An answer with a length or chunks says so itself. One that ends with its
connection looks the same if its upstream broke it off by closing the
connection, as the kernel does for a process that ends. What else becomes of
the upstream at that moment tells some of the two apart, and the rest stay
unproven.
"""

import asyncio
import contextlib
from enum import StrEnum

from bilberryspoke._internal.models.routing_effects import HandOff, Send
from bilberryspoke._internal.network.clock import read_boottime
from bilberryspoke._internal.network.routing.answerbody import AnswerBody
from bilberryspoke._internal.network.routing.connections import (
    KeepAliveConnector,
)
from bilberryspoke._internal.network.routing.linkprobes import (
    LinkProber,
    ProbedState,
)

# The connections of a process that ends close within this time.
_SAME_MOMENT_S = 0.05
# So many answers that end at one moment, and leave no connection, were cut.
_MIN_COMMON_ENDS = 3
# Callers wait for the end of their answers meanwhile.
_MAX_PROBE_S = 0.3


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
        self._connector.note_end(effect.address)
        if await self._is_upstream_gone(effect, ended_at):
            return AnswerEnd.cut
        return AnswerEnd.unproven

    async def _is_upstream_gone(self, effect: Send, ended_at: float) -> bool:
        """Return whether what else ended shows that the upstream did."""
        # An upstream that is slow to answer has accepted the question.
        state = ProbedState.lives
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_MAX_PROBE_S):
                state = await self._prober.find_state(effect)
        if state is ProbedState.gone:
            return True
        await asyncio.sleep(_SAME_MOMENT_S)
        since = ended_at - _SAME_MOMENT_S
        if self._connector.lost_at(effect.address) >= since:
            return True
        if self._connector.has_open(effect.address):
            return False
        ends = self._connector.count_ends(effect.address, since)
        return state is ProbedState.unknown or ends >= _MIN_COMMON_ENDS
