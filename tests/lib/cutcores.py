"""Cores of several VMs, some of which reach no upstream."""

import dataclasses
from collections import Counter
from collections.abc import Iterable

from bilberryspoke._internal.models.helperends import EndCause
from bilberryspoke._internal.models.routing import (
    Route,
    RoutedCall,
    SendStatus,
)
from bilberryspoke._internal.models.routing_effects import (
    HandOff,
    LogDecision,
    RefuseCall,
    RelayFailure,
    Send,
)
from bilberryspoke._internal.models.routing_events import (
    CallArrived,
    SendEnded,
    SendProgressed,
)
from bilberryspoke._internal.network.routing.handoff import (
    find_helper_end,
    make_reason_header,
)
from bilberryspoke._internal.utils.hashing import hash_parts
from tests.lib.corefleet import MESSAGE_DELAY_S, CoreFleet
from tests.lib.routedcore import READ_ROUTE, build_call

_RUN_S = 0.03
# From the send of a stream to its events.
_EVENT_DELAYS_S = (0.05, 0.2)
_STREAM_RUN_S = 0.4
_CONNECT_TIMEOUT_S = 0.4
_PROBE_TIMEOUT_S = 1.0
# A connection that hangs is closed after this time.
_USER_TIMEOUT_S = 1.5
_HANDOFF_PREFIX = 'handoff-'
_SHARE_STEPS = 10_000


@dataclasses.dataclass(frozen=True, slots=True)
class Faults:
    """The shares of calls that upstreams refuse, fail and break off."""

    refused: float = 0.0
    failed: float = 0.0
    broken: float = 0.0

    def choose_status(self, send: Send) -> SendStatus:
        """Return how a send ends that reaches its upstream."""
        drawn = hash_parts('fault', send.call_id, send.attempt, send.instance)
        share = drawn % _SHARE_STEPS / _SHARE_STEPS
        for status, bound in (
            (SendStatus.refused, self.refused),
            (SendStatus.failed, self.refused + self.failed),
            (SendStatus.broken, self.refused + self.failed + self.broken),
        ):
            if share < bound:
                return status
        return SendStatus.finished


class CutCores(CoreFleet):
    """A fleet in which the VMs of ``cut`` reach only upstreams in ``spared``.

    ``how`` says what becomes of their connections. ``refuse``: new ones are
    refused. ``reset``: so are they, and the one that a VM has to each upstream
    is reset when it is next used. ``hang``: both get no answer. ``accept``: all
    connections open and are reset once a call is sent. ``live``: so are new
    ones, while the one that a VM has to each upstream works on. ``served`` and
    ``refused`` hold the ids of calls by what their callers got, ``handoffs``
    counts the calls that VMs handed off. ``faults`` is what upstreams do with
    the calls that reach them. ``sends`` counts these by the id of the caller's
    call, ``runs`` those among them that ran, ``lost_sends`` those that a cut
    lost by their VM. ``not_run`` are the calls that VMs refused as not run.
    ``log_lines`` counts the decisions that each VM logged, by their name.
    """

    def __init__(
        self, vms: int, *, warm_up_s: float, how: str = 'refuse', **sizes: int
    ) -> None:
        """Run the fleet for ``warm_up_s``, until its VMs know each other."""
        self.how = how
        self.spared: set[str] = set()
        self.served: list[str] = []
        self.refused: list[str] = []
        self.handoffs = 0
        self.faults = Faults()
        self.sends: Counter[str] = Counter()
        self.runs: Counter[str] = Counter()
        self.lost_sends: Counter[str] = Counter()
        self.not_run: set[str] = set()
        self.log_lines: Counter[tuple[str, str]] = Counter()
        self._cut: set[str] = set()
        self._pooled: set[tuple[str, str]] = set()
        self._busy: set[tuple[str, str]] = set()
        self._calls: dict[str, RoutedCall] = {}
        self._origin_of: dict[str, tuple[str, HandOff]] = {}
        super().__init__(vms, **sizes)
        self.run_until(warm_up_s)

    @property
    def cut(self) -> set[str]:
        """The VMs whose links are cut."""
        return self._cut

    @cut.setter
    def cut(self, names: Iterable[str]) -> None:
        self._cut = set(names)
        self._pooled = {
            (name, upstream.instance)
            for name in self._cut
            for upstream in self._upstreams
        }

    def arrive(
        self, name: str, call_id: str, route: Route = READ_ROUTE
    ) -> None:
        """Let a call arrive at a VM."""
        call = build_call(call_id, route, now=self.now)
        self._submit_call(name, call)

    def handle(self, name: str, event: object) -> list[object]:
        """Submit an event to a VM, carry out and return its effects."""
        effects = super().handle(name, event)
        for effect in effects:
            if isinstance(effect, Send):
                self._send_call(name, effect)
            elif isinstance(effect, HandOff):
                self._hand_off(name, effect)
            elif isinstance(effect, RefuseCall):
                self._refuse(effect)
            elif isinstance(effect, RelayFailure):
                self._answer(effect.call_id, SendStatus.failed)
            elif isinstance(effect, LogDecision):
                self.log_lines[name, effect.event] += 1
        return effects

    def _refuse(self, refusal: RefuseCall) -> None:
        """Tell a caller, or the VM that handed a call off, of a refusal."""
        if refusal.not_run:
            self.not_run.add(refusal.call_id)
        header = make_reason_header(refusal.reason, not_run=refusal.not_run)
        end = find_helper_end([header])
        self._answer(refusal.call_id, end.status, end.cause)

    def _submit_call(self, name: str, call: RoutedCall) -> None:
        self._calls[call.call_id] = call
        self.handle(name, CallArrived(call))

    def answers_probe(self, name: str, instance: str) -> bool:
        """Return whether an upstream answers a VM's probes."""
        return not self._is_cut_from(name, instance)

    def _get_probe_delay_s(self, *, accepts: bool) -> float:
        hangs = self.how == 'hang' and not accepts
        return _PROBE_TIMEOUT_S if hangs else MESSAGE_DELAY_S

    def _is_cut_from(self, name: str, instance: str) -> bool:
        return name in self.cut and instance not in self.spared

    def _send_call(self, name: str, send: Send) -> None:
        link = (name, send.instance)
        is_live = self.how == 'live' and link not in self._busy
        if self._is_cut_from(name, send.instance) and not is_live:
            self.lost_sends[name] += 1
            delay_s, ended = self._fail(name, send)
            self._at(self.now + delay_s, lambda: self._end(name, ended))
            return
        self._busy.add(link)
        caller_id = self._find_caller_id(send.call_id)
        self.sends[caller_id] += 1
        status = self.faults.choose_status(send)
        if status is not SendStatus.refused:
            self.runs[caller_id] += 1
        run_s = _RUN_S
        delays_s: tuple[float, ...] = (_RUN_S,)
        if self._calls[send.call_id].route.streams:
            run_s = _STREAM_RUN_S
            delays_s = _EVENT_DELAYS_S
        if status is SendStatus.broken:
            # A stream breaks off after its first event, a plain call before
            # any byte of its answer.
            delays_s = delays_s[: len(delays_s) - 1]
        elif status is not SendStatus.finished:
            run_s, delays_s = _RUN_S, ()
        first = (send.last_event_id or 0) + 1
        for number, delay_s in enumerate(delays_s, first):
            self._at(
                self.now + delay_s,
                lambda number=number: self._progress(name, send, number),
            )
        ended = SendEnded(
            send.call_id,
            send.attempt,
            status,
            delivered=bool(delays_s) or send.last_event_id is not None,
            last_event_id=first if delays_s else send.last_event_id,
            connection_lost=status is SendStatus.broken,
        )
        self._at(self.now + run_s, lambda: self._finish(link, ended))

    def _find_caller_id(self, call_id: str) -> str:
        while call_id in self._origin_of:
            call_id = self._origin_of[call_id][1].call_id
        return call_id

    def _progress(self, name: str, send: Send | HandOff, number: int) -> None:
        """Let an event of a stream arrive, also where it was handed off."""
        self.handle(name, SendProgressed(send.call_id, send.attempt, number))
        if send.call_id in self._origin_of:
            origin, handoff = self._origin_of[send.call_id]
            self._at(
                self.now + MESSAGE_DELAY_S,
                lambda: self._progress(origin, handoff, number),
            )

    def _finish(self, link: tuple[str, str], finished: SendEnded) -> None:
        self._busy.discard(link)
        self._end(link[0], finished)

    def _fail(self, name: str, send: Send) -> tuple[float, SendEnded]:
        """Return when a send over a cut link ends, and how."""
        link = (name, send.instance)
        is_lost = self.how in {'accept', 'live'} or (
            self.how != 'refuse' and link in self._pooled
        )
        self._pooled.discard(link)
        hangs = self.how == 'hang'
        delay_s = MESSAGE_DELAY_S
        if hangs:
            delay_s = _USER_TIMEOUT_S if is_lost else _CONNECT_TIMEOUT_S
        return delay_s, SendEnded(
            send.call_id,
            send.attempt,
            SendStatus.broken if is_lost else SendStatus.unsent,
            connection_lost=is_lost,
            upstream_crashed=is_lost and self.how == 'reset',
        )

    def _end(self, name: str, ended: SendEnded) -> None:
        self.handle(name, ended)
        if ended.status is SendStatus.finished:
            self._answer(ended.call_id, ended.status)

    def _hand_off(self, name: str, effect: HandOff) -> None:
        self.handoffs += 1
        call_id = f'{_HANDOFF_PREFIX}{self.handoffs}'
        self._origin_of[call_id] = (name, effect)
        origin = self._calls[effect.call_id]
        route = dataclasses.replace(
            origin.route, max_attempts=effect.max_attempts
        )
        call = build_call(
            call_id,
            route,
            now=self.now,
            handed_off=True,
            counted_before=effect.counted,
            req_id=origin.req_id,
            last_event_id=effect.last_event_id,
            resumed_req_id=origin.stream_req_id,
        )
        self._at(
            self.now + MESSAGE_DELAY_S,
            lambda: self._submit_call(effect.helper, call),
        )

    def _answer(
        self,
        call_id: str,
        status: SendStatus,
        cause: EndCause = EndCause.unstated,
    ) -> None:
        """Pass the end of a call on to its caller."""
        if not call_id.startswith(_HANDOFF_PREFIX):
            served = status is SendStatus.finished
            (self.served if served else self.refused).append(call_id)
            return
        name, effect = self._origin_of[call_id]
        ended = SendEnded(effect.call_id, effect.attempt, status, cause=cause)
        self._at(self.now + MESSAGE_DELAY_S, lambda: self._end(name, ended))
