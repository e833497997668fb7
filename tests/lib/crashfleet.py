"""Fleets of routing processes with upstreams that some calls crash."""

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field

from fakes.crashing import CrashingUpstream
from fakes.upstream import Run
from tests.lib.routedfleet import (
    CallerResponse,
    RoutedFleet,
    run_routed_fleet,
)

# The deployment allows three arrivals later than this after the last of the
# crashes that it allows.
STABILITY_WINDOW_S = 3.0
ALLOWED_LATE_ARRIVALS = 3
_CALL_INTERVAL_S = 0.1


@dataclass(slots=True)
class CrashFleet:
    """A fleet whose upstreams return after each crash.

    ``statuses`` holds the statuses of the calls that ``send_calls`` sent, by
    the function that made them.
    """

    fleet: RoutedFleet
    upstreams: list[CrashingUpstream]
    statuses: dict[str, list[int]] = field(default_factory=dict)

    async def send_calls(
        self,
        seconds: float,
        **senders: Callable[[int, int], asyncio.Future[CallerResponse]],
    ) -> None:
        """Let each sender send a call in turn, to each process in turn.

        A sender gets the number of the call and that of the process.
        """
        tasks = []
        for number in range(round(seconds / _CALL_INTERVAL_S)):
            for name, sender in senders.items():
                node = number % len(self.fleet.nodes)
                tasks.append((name, asyncio.create_task(sender(number, node))))
            await asyncio.sleep(_CALL_INTERVAL_S)
        for name, task in tasks:
            answer = await task
            self.statuses.setdefault(name, []).append(answer.status)

    def count_late_arrivals(self, allowed_crashes: int) -> int:
        """Return the deadly calls after the allowed crashes and a window."""
        crashed_at = sorted(
            each for upstream in self.upstreams for each in upstream.crashed_at
        )
        if len(crashed_at) < allowed_crashes:
            return 0
        since = crashed_at[allowed_crashes - 1] + STABILITY_WINDOW_S
        return sum(
            each > since
            for upstream in self.upstreams
            for each in upstream.arrived_at
        )


@contextlib.asynccontextmanager
async def run_crash_fleet(
    service: str,
    *,
    upstreams: int,
    healthy: str,
    is_deadly: Callable[[Run], bool],
    nodes: int = 3,
) -> AsyncIterator[CrashFleet]:
    """Run processes and upstreams of one service that deadly calls crash."""
    async with run_routed_fleet(
        nodes=nodes, app_upstreams=0, scripted_engines=0
    ) as fleet:
        crashing = [
            CrashingUpstream(
                f'i-{number}', is_deadly=is_deadly, healthy=healthy
            )
            for number in range(upstreams)
        ]
        for upstream in crashing:
            upstream.on_return = _make_relister(fleet, service, upstream)
            await fleet.add_upstream(upstream, service)
        await asyncio.sleep(0.5)
        try:
            yield CrashFleet(fleet, crashing)
        finally:
            for upstream in crashing:
                await upstream.stop()


def _make_relister(
    fleet: RoutedFleet, service: str, upstream: CrashingUpstream
) -> Callable[[str, str], None]:
    def relist(before: str, now: str) -> None:
        fleet.upstreams.pop(before)
        fleet.store.delete(f'servers/{before}')
        fleet.upstreams[now] = upstream
        born = int(time.time() * 1000)
        fleet.write_upstream_entry(now, service, born=born)

    return relist
