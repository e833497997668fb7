"""Stand-in for an upstream that sends copies of its refusals."""

import asyncio
from dataclasses import dataclass, field

from fakes.upstream import Run, UpstreamStandIn, write_whole


@dataclass(slots=True)
class CopyingUpstream(UpstreamStandIn):
    """An upstream that repeats a refusal where the next answer is due.

    It refuses calls for other instances with 421, and the next calls with the
    statuses in ``answers``, once ``answer_refusal`` is set. When another call
    comes on the connection of a refusal, that call runs, and once ``send_copy``
    is set, the copy of the refusal arrives before its answer. ``copies`` counts
    those sent. If ``answers_any`` is true, it refuses no call for other
    instances.
    """

    answer_refusal: asyncio.Event = field(default_factory=asyncio.Event)
    send_copy: asyncio.Event = field(default_factory=asyncio.Event)
    copies: int = 0
    answers_any: bool = False
    _refused: dict[asyncio.StreamWriter, tuple[int, Run]] = field(
        default_factory=dict
    )

    async def _answer(self, run: Run, writer: asyncio.StreamWriter) -> None:
        status = self._choose_refusal(run)
        if status is not None:
            self.refused_at.append(run.arrived_at)
            await self.answer_refusal.wait()
            _write_refusal(writer, status, run)
            self._refused[writer] = (status, run)
            return
        self.runs.append(run)
        refused = self._refused.pop(writer, None)
        if refused is not None:
            await self.send_copy.wait()
            _write_refusal(writer, *refused)
            self.copies += 1
            # The copy is read before the answer comes.
            await asyncio.sleep(0.1)
        await self.run_script(self.default, run, writer)
        run.ended = True

    def _choose_refusal(self, run: Run) -> int | None:
        """Return the status of a refusal, None if the call runs."""
        expected = run.headers.get('x-expect-instance', self.instance)
        if expected != self.instance and not self.answers_any:
            return 421
        if self.answers:
            return int(self.answers.pop(0))
        return None


def _write_refusal(writer: asyncio.StreamWriter, status: int, run: Run) -> None:
    refusal = {'X-Not-Executed': '1'}
    write_whole(writer, run, status, b'', refusal, sealed=False)
