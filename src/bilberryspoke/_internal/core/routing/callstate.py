"""State of the calls that this VM serves.

Times are in seconds of the boot-time clock.
"""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import StrEnum

from bilberryspoke._internal.core.routing.originledger import StreamOrigin
from bilberryspoke._internal.models.routing import (
    Framing,
    ListedUpstream,
    RoutedCall,
    SendStatus,
)


class CallStage(StrEnum):
    """Whether an open call waits to be sent or is under way.

    ``resolving``: other VMs are asked for the origin of its stream.
    """

    resolving = 'resolving'
    waiting = 'waiting'
    sent = 'sent'


@dataclass(slots=True)
class CallState:
    """A call from its arrival to its final answer.

    ``attempt`` numbers the sends, ``sends`` is the number of ended ones that
    reached an upstream, and ``tried_instances`` lists the upstreams of all
    ended ones. ``queued_at`` is when the call began to wait for its next send,
    ``waited_s`` the total of such waits. ``needed_s`` are the seconds from its
    send to the first event at an engine without a backlog, as of when a
    placement was last looked for. ``instance``, ``sent_at``,
    ``last_progress_at``, ``prefill_tokens`` (prompt tokens that the engine has
    to read), ``backlog_tokens`` (those of other calls that it had to read
    before) and ``expected_first_event_s`` (seconds from the send to the first
    event) belong to the current send. ``first_event_at`` is when the first part
    of an answer arrived, ``longest_gap_s`` the longest pause after it.
    ``last_event_id`` is the id of the last delivered event, after which a
    stream is resumed. ``may_have_run`` is set if an upstream may have run the
    call, so that a refusal must not promise that it did not run.
    ``fingerprints`` are what it has in common with other calls, described for
    the log. ``created_ms`` (that of the upstream), ``began_at`` (the first
    event) and ``proven`` (the upstream outlived the begin of the answer) belong
    to the current send; ``crashes`` counts the upstreams that crashed under the
    call before they outlived that. ``sent_version`` is the software version of
    the upstream of the current send, None if not certain, and ``origin`` that
    of the begin of its stream, None before. ``helper`` is the VM that it was
    handed off to, empty while it is sent from here; ``tried_helpers`` are those
    that did not serve it. ``ended_sends`` says of each send that ended but did
    not finish, for the log, where it went, how it ended, after how many seconds
    and on which connection. ``connection`` is that of the last ended send.
    ``framing`` is what told the end of the answer to that send.
    ``is_unproven`` is whether the caller may have the whole stream, as its last
    answer ended between two events without saying that this was its end.
    ``counted`` is whether the call counts for a retry budget, here or, as far
    as this VM told it so, at its helper.
    """

    call: RoutedCall
    stage: CallStage = CallStage.waiting
    attempt: int = 0
    sends: int = 0
    instance: str = ''
    queued_at: float = 0.0
    waited_s: float = 0.0
    needed_s: float = 0.0
    sent_at: float = 0.0
    last_progress_at: float | None = None
    first_event_at: float | None = None
    longest_gap_s: float = 0.0
    last_event_id: int | None = None
    prefill_tokens: int = 0
    backlog_tokens: int = 0
    expected_first_event_s: float = 0.0
    may_have_run: bool = False
    tried_instances: list[str] = field(default_factory=list)
    fingerprints: dict[int, str] = field(default_factory=dict)
    created_ms: int = 0
    began_at: float | None = None
    proven: bool = False
    crashes: int = 0
    sent_version: str | None = None
    origin: StreamOrigin | None = None
    helper: str = ''
    tried_helpers: list[str] = field(default_factory=list)
    ended_sends: list[str] = field(default_factory=list)
    connection: str = ''
    framing: Framing | None = None
    is_unproven: bool = False
    counted: bool = False

    @property
    def may_be_whole(self) -> bool:
        """Whether the caller got events here that may be the whole stream.

        That a stream has ended where its caller takes it up needs a proof.
        """
        return self.is_unproven and self.first_event_at is not None

    def begin_send(self, now: float) -> None:
        """Start to count a send, after the call may have waited for it."""
        self.stage = CallStage.sent
        self.waited_s += now - self.queued_at
        self.attempt += 1
        self.sent_at = now
        self.last_progress_at = None
        self.began_at = None
        self.proven = False

    def note_send_end(self, status: SendStatus, now: float) -> None:
        """Note the end of the current send for the log."""
        target = self.helper or self.instance
        seconds = round(now - self.sent_at, 3)
        described = f'{target} {status.value} {seconds}'
        if self.connection:
            described += f' connection {self.connection}'
        self.ended_sends.append(described)

    def may_use(self, listed: ListedUpstream) -> bool:
        """Return whether an upstream can serve the call, by its software.

        What two versions write of one stream does not fit together.
        """
        return (
            self.origin is None
            or self.origin.software_version == listed.software_version
        )


@dataclass(slots=True)
class WaitQueue:
    """Calls that wait for capacity at an upstream, in order of arrival.

    A call that could be sent elsewhere but waits for the engine that caches its
    prompt does not hold up less urgent calls; its rank is not counted.
    """

    _calls: dict[str, CallState] = field(default_factory=dict)
    _rank_counts: dict[str, Counter[int]] = field(default_factory=dict)
    _groups: dict[str, str] = field(default_factory=dict)

    def __len__(self) -> int:
        """Return how many calls wait."""
        return len(self._calls)

    def __iter__(self) -> Iterator[CallState]:
        """Return the calls that wait."""
        return iter(self._calls.values())

    def add(self, call_state: CallState, group: str | None) -> None:
        """Add a call that waits for capacity in a group of engines.

        ``group`` is None for a call whose rank does not count, because it
        waits for the engine that caches its prompt.
        """
        self.discard(call_state)
        call = call_state.call
        self._calls[call.call_id] = call_state
        if group is None:
            return
        self._groups[call.call_id] = group
        counts = self._rank_counts.setdefault(group, Counter())
        counts[call.rank] += 1

    def discard(self, call_state: CallState) -> None:
        """Remove a call if it waits."""
        call = call_state.call
        self._calls.pop(call.call_id, None)
        group = self._groups.pop(call.call_id, None)
        if group is None:
            return
        counts = self._rank_counts[group]
        counts[call.rank] -= 1
        if not counts[call.rank]:
            counts.pop(call.rank)
        if not counts:
            self._rank_counts.pop(group)

    def get_most_urgent_ranks(self) -> dict[str, int]:
        """Return the most urgent (lowest) rank that waits, by group."""
        return {
            group: min(counts) for group, counts in self._rank_counts.items()
        }
