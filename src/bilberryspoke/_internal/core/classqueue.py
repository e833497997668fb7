"""Queue of the slot requests of one service class at an owner.

Requests of a workspace are served in the order of arrival, those that can
still meet their target before the others. Workspaces share the slots by
weighted fair queueing.
"""

import bisect
from dataclasses import dataclass, field

from bilberryspoke._internal.models.messages import SlotRequest


@dataclass(slots=True)
class QueuedSlotRequest:
    """A slot request queued at an owner.

    Times are of the owner's boot-time clock. ``arrived_at`` is when the
    request reached its entry VM, ``queued_at`` when the owner queued it, and
    ``latest_start_at`` the latest start that can still meet the class's
    target. ``weight`` is the workspace's weight in fair queueing.
    """

    slot_req: SlotRequest
    entry: str
    arrived_at: float
    queued_at: float
    latest_start_at: float
    weight: float = 1.0


@dataclass(slots=True)
class WorkspaceQueue:
    """Queued slot requests of one workspace, oldest first.

    ``late`` holds those found past their latest start, ``on_time`` the
    others. ``virtual_time`` is explained at ``ClassQueue``.
    """

    on_time: list[QueuedSlotRequest] = field(default_factory=list)
    late: list[QueuedSlotRequest] = field(default_factory=list)
    virtual_time: float = 0.0

    @property
    def size(self) -> int:
        """Number of queued slot requests of the workspace."""
        return len(self.on_time) + len(self.late)

    def add(self, waiting: QueuedSlotRequest) -> None:
        """Insert a slot request in the order of arrival."""
        bisect.insort(self.on_time, waiting, key=_get_arrived_at)

    def remove(self, waiting: QueuedSlotRequest) -> None:
        """Remove a slot request; one that is not queued is ignored."""
        for queue in (self.on_time, self.late):
            if waiting in queue:
                queue.remove(waiting)

    def demote_late(self, now: float) -> None:
        """Move requests that can no longer meet their target to ``late``."""
        while self.on_time and self.on_time[0].latest_start_at < now:
            bisect.insort(self.late, self.on_time.pop(0), key=_get_arrived_at)


@dataclass(slots=True)
class ClassQueue:
    """Queued slot requests of one class, served by weighted fair queueing.

    The virtual time of a workspace is the sum of the tokens of its grants,
    each divided by the workspace's weight. The workspace with the lowest one
    is served next. ``system_virtual_time`` is the highest virtual time at
    which a grant started; a workspace that begins to wait starts there at the
    lowest, so that it gains nothing from having been idle.
    """

    workspace_queues: dict[str, WorkspaceQueue] = field(default_factory=dict)
    system_virtual_time: float = 0.0

    @property
    def size(self) -> int:
        """Number of queued slot requests of the class."""
        return sum(
            workspace_queue.size
            for workspace_queue in self.workspace_queues.values()
        )

    def add(self, waiting: QueuedSlotRequest) -> None:
        """Queue a slot request behind earlier ones of its workspace."""
        workspace_queue = self.workspace_queues.get(waiting.slot_req.workspace)
        if workspace_queue is None:
            workspace_queue = WorkspaceQueue(
                virtual_time=self.system_virtual_time
            )
            self.workspace_queues[waiting.slot_req.workspace] = workspace_queue
        elif workspace_queue.size == 0:
            workspace_queue.virtual_time = max(
                workspace_queue.virtual_time, self.system_virtual_time
            )
        workspace_queue.add(waiting)

    def remove(self, waiting: QueuedSlotRequest) -> None:
        """Remove a slot request; one that is not queued is ignored."""
        workspace_queue = self.workspace_queues.get(waiting.slot_req.workspace)
        if workspace_queue is not None:
            workspace_queue.remove(waiting)

    def head(self, now: float) -> QueuedSlotRequest | None:
        """Return the slot request to serve next, without removing it.

        Requests that can still meet their target go first. Those that can no
        longer meet it are first moved to the late ones.
        """
        workspace_queues = list(self.workspace_queues.values())
        for workspace_queue in workspace_queues:
            workspace_queue.demote_late(now)
        on_time = [each for each in workspace_queues if each.on_time]
        if on_time:
            return min(on_time, key=_get_virtual_time).on_time[0]
        late = [each for each in workspace_queues if each.late]
        if late:
            return min(late, key=_get_virtual_time).late[0]
        return None

    def list_on_time(self, limit: int) -> list[QueuedSlotRequest]:
        """Return the oldest ``limit`` on-time requests of each workspace.

        Requests that have become late since the last ``demote_late`` are
        included, so callers compare ``latest_start_at`` with the time.
        """
        return [
            waiting
            for workspace_queue in self.workspace_queues.values()
            for waiting in workspace_queue.on_time[:limit]
        ]

    def find_oldest_late(self, now: float) -> QueuedSlotRequest | None:
        """Return the oldest late request that cannot have been started.

        Returns ``None`` if there is none. Requests that can no longer meet
        their target are first moved to the late ones.
        """
        late = []
        for workspace_queue in self.workspace_queues.values():
            workspace_queue.demote_late(now)
            late.extend(
                each
                for each in workspace_queue.late
                if not each.slot_req.may_have_started
            )
        return min(late, key=_get_arrived_at, default=None)

    def charge_workspace(
        self, workspace: str, expected_tokens: float, weight: float
    ) -> None:
        """Add the expected tokens of a grant to a workspace's virtual time.

        The system virtual time follows the virtual time at which grants
        start, so that a workspace that begins to wait starts level with the
        one that is being served.
        """
        workspace_queue = self.workspace_queues.setdefault(
            workspace, WorkspaceQueue(virtual_time=self.system_virtual_time)
        )
        self.system_virtual_time = max(
            self.system_virtual_time, workspace_queue.virtual_time
        )
        workspace_queue.virtual_time += expected_tokens / weight

    def correct_charge(
        self, workspace: str, extra_tokens: float, weight: float
    ) -> None:
        """Correct the expected to the actual tokens of an ended attempt.

        ``extra_tokens`` is the actual less the expected number of tokens.
        """
        workspace_queue = self.workspace_queues.get(workspace)
        if workspace_queue is not None:
            workspace_queue.virtual_time += extra_tokens / weight


def _get_arrived_at(waiting: QueuedSlotRequest) -> float:
    return waiting.arrived_at


def _get_virtual_time(workspace_queue: WorkspaceQueue) -> float:
    return workspace_queue.virtual_time
