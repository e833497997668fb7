"""Passes events to the core and carries out its effects."""

from collections.abc import Callable, Mapping
from dataclasses import asdict, dataclass, field
from typing import Any

import structlog

from bilberryspoke._internal.core import Core
from bilberryspoke._internal.metrics.counters import Counters
from bilberryspoke._internal.metrics.histograms import HistogramTable
from bilberryspoke._internal.metrics.records import RequestRecords
from bilberryspoke._internal.models.effects import (
    AnswerFailure,
    CancelAttempt,
    Count,
    Dispatch,
    Effect,
    Forward,
    KeepRecord,
    Log,
    OrderModelLoad,
    Reject,
    Replay,
    ReportAdoption,
    SendPeerMessage,
)
from bilberryspoke._internal.models.events import (
    AttemptProgressed,
    CallerGone,
    Event,
    PeerLost,
    PeerMessageReceived,
)
from bilberryspoke._internal.models.messages import ConfigPush, Envelope
from bilberryspoke._internal.models.requests import RequestRecord
from bilberryspoke._internal.models.routing_effects import (
    ProbeUpstream,
    RefreshUpstreams,
)
from bilberryspoke._internal.network.answers import AnswerStore
from bilberryspoke._internal.network.calls import Call, Command
from bilberryspoke._internal.network.clock import read_boottime
from bilberryspoke._internal.network.decisionlog import DecisionLog
from bilberryspoke._internal.network.intake import Overload
from bilberryspoke._internal.network.peers import PeerTransport

logger = structlog.get_logger()

_EFFECT_HANDLERS: dict[type, Callable[['Runtime', Any], None]] = {}


def handles_effect(effect_type: type) -> Callable[..., Any]:
    """Return a decorator that registers the handler for a type of effect."""

    def register(
        handler: Callable[['Runtime', Any], None],
    ) -> Callable[['Runtime', Any], None]:
        _EFFECT_HANDLERS[effect_type] = handler
        return handler

    return register


@dataclass(slots=True)
class Runtime:
    """A core and the objects that its effects need.

    ``calls`` has the open calls by request id: each a ``Call``, or an
    ``Exchange`` in the daemon of ``network.routing``. ``on_order``,
    ``on_push``, ``on_probe`` and ``on_refresh`` handle orders to engines,
    configurations that peers send, probes of upstreams and questions to the
    store out of turn.
    ``started_at`` is in seconds of the boot-time clock.
    """

    core: Core
    counters: Counters = field(default_factory=Counters)
    histograms: HistogramTable = field(default_factory=HistogramTable)
    records: RequestRecords = field(default_factory=RequestRecords)
    answers: AnswerStore = field(default_factory=AnswerStore)
    calls: dict[str, Any] = field(default_factory=dict)
    peers: PeerTransport | None = None
    on_order: Callable[[OrderModelLoad], None] | None = None
    on_push: Callable[[ConfigPush], None] | None = None
    on_probe: Callable[[ProbeUpstream], None] | None = None
    on_refresh: Callable[[RefreshUpstreams], None] | None = None
    started_at: float = field(default_factory=read_boottime)

    decision_log: DecisionLog = field(init=False)

    def __post_init__(self) -> None:
        """Create the decision log, which uses the counters."""
        self.decision_log = DecisionLog(self.counters)

    def submit(self, event: Event) -> None:
        """Pass an event to the core now and carry out the effects."""
        for effect in self.core.handle(event, now=read_boottime()):
            self.execute(effect)

    def execute(self, effect: Effect) -> None:
        """Carry out one effect."""
        _EFFECT_HANDLERS[type(effect)](self, effect)

    def command(self, command: Command) -> None:
        """Queue a command for its call, if the call is still open."""
        call = self.calls.get(command.req_id)
        if call is not None:
            call.commands.put_nowait(command)

    def log_decision(
        self,
        event: str,
        fields: Mapping[str, object],
        *,
        important: bool,
    ) -> None:
        """Log a decision, within the rate limits of the decision log."""
        self.decision_log.write(
            event, fields, read_boottime(), important=important
        )

    def report_overload(self, overload: Overload) -> None:
        """Count and log a request or connection refused for want of room."""
        self.counters.add('refused', overload.reason)
        self.log_decision('request_refused', asdict(overload), important=True)

    def handle_envelope(self, envelope: Envelope) -> None:
        """Handle an envelope of a peer.

        A configuration is checked before the core gets it; all other messages
        go to the core at once.
        """
        for message in envelope.messages:
            if isinstance(message, ConfigPush):
                self._handle_push(message)
                continue
            self.submit(
                PeerMessageReceived(
                    envelope.sender, envelope.incarnation, message
                ),
            )

    def handle_peer_loss(self, peer: str) -> None:
        """Handle the loss of the connection to a peer."""
        self.counters.add('peers_lost', peer)
        self.submit(PeerLost(peer))

    def report_progress(self) -> None:
        """Report every call that has progressed since its last report."""
        for call in list(self.calls.values()):
            if call.delivered != call.reported:
                self.report_call_progress(call)

    def report_call_progress(self, call: Call) -> None:
        """Report to the core how many events of a call were delivered."""
        call.reported = call.delivered
        call.last_progress_at = read_boottime()
        self.submit(
            AttemptProgressed(call.req.req_id, call.attempt, call.delivered),
        )

    def abort_stalled_calls(
        self, caller_timeout_s: float, upstream_timeout_s: float
    ) -> None:
        """Abort calls whose caller or upstream makes no progress.

        A caller counts as gone if it reads nothing for ``caller_timeout_s``
        seconds, and an attempt is broken if its upstream sends nothing for
        ``upstream_timeout_s`` seconds, both since ``last_progress_at``.
        """
        now = read_boottime()
        for call in list(self.calls.values()):
            stalled_s = now - call.last_progress_at
            if call.sending and stalled_s > caller_timeout_s:
                self.counters.add('stuck_callers', call.req.service_class)
                self.submit(CallerGone(call.req.req_id))
            elif not call.sending and stalled_s > upstream_timeout_s:
                self._cancel_idle_attempt(call)

    def _cancel_idle_attempt(self, call: Call) -> None:
        if call.attempt_task is not None and not call.upstream_idle:
            self.counters.add('idle_upstreams', call.req.service_class)
            call.upstream_idle = True
            call.attempt_task.cancel()

    def _handle_push(self, message: ConfigPush) -> None:
        if self.on_push is not None:
            self.on_push(message)


@handles_effect(SendPeerMessage)
def send_peer_message(runtime: Runtime, effect: SendPeerMessage) -> None:
    """Send a message to a peer."""
    if runtime.peers is not None:
        runtime.peers.send(effect.peer, effect.message)


@handles_effect(Dispatch)
def queue_dispatch(runtime: Runtime, effect: Dispatch) -> None:
    """Queue a dispatch for its call."""
    runtime.command(effect)


@handles_effect(AnswerFailure)
def queue_failure_answer(runtime: Runtime, effect: AnswerFailure) -> None:
    """Queue the answer to a request that did not complete."""
    runtime.command(effect)


@handles_effect(CancelAttempt)
def cancel_attempt(runtime: Runtime, effect: CancelAttempt) -> None:
    """Cancel an attempt, also if its dispatch is still queued."""
    call = runtime.calls.get(effect.req_id)
    if call is None:
        return
    call.cancelled_attempt = effect.attempt
    if call.attempt_task is not None and call.attempt == effect.attempt:
        call.attempt_task.cancel()


@handles_effect(Reject)
def queue_rejection(runtime: Runtime, effect: Reject) -> None:
    """Queue the command to refuse a call with a given HTTP status."""
    runtime.command(effect)


@handles_effect(Forward)
def queue_forward(runtime: Runtime, effect: Forward) -> None:
    """Queue the command to forward a call to another VM."""
    runtime.command(effect)


@handles_effect(Replay)
def queue_replay(runtime: Runtime, effect: Replay) -> None:
    """Queue the command to answer a call with a recorded answer."""
    runtime.command(effect)


@handles_effect(OrderModelLoad)
def order_model_load(runtime: Runtime, effect: OrderModelLoad) -> None:
    """Order an engine to load a model."""
    if runtime.on_order is not None:
        runtime.on_order(effect)


@handles_effect(KeepRecord)
def keep_record(runtime: Runtime, effect: KeepRecord) -> None:
    """Store the record of an ended request and its durations."""
    record = effect.record
    runtime.records.keep(record)
    _record_durations(runtime, record)


@handles_effect(Count)
def add_count(runtime: Runtime, effect: Count) -> None:
    """Add to a counter."""
    runtime.counters.add(effect.name, effect.label, effect.amount)


@handles_effect(Log)
def write_log(runtime: Runtime, effect: Log) -> None:
    """Log a change of state."""
    logger.info(effect.event, detail=effect.detail)


@handles_effect(ReportAdoption)
def report_adoption(runtime: Runtime, effect: ReportAdoption) -> None:
    """Count and log that a configuration is in force."""
    runtime.counters.add('config_adoptions')
    logger.info(
        'config_adopted',
        revision=effect.revision,
        digest=effect.digest,
    )


def _record_durations(runtime: Runtime, record: RequestRecord) -> None:
    durations = {'queue': record.queue_s, 'total': record.total_s}
    if record.first_token_s is not None:
        durations['first_token'] = record.first_token_s
    groups = {
        'class': record.service_class,
        'workspace': record.workspace,
    }
    for kind, group in groups.items():
        for measure, seconds in durations.items():
            runtime.histograms.record(kind, group, measure, seconds)
