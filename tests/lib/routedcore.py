"""Builders of routes and routed calls, and a core that routes the calls."""

from typing import Any

from bilberryspoke._internal.core import Core, CoreSettings
from bilberryspoke._internal.models.events import Tick
from bilberryspoke._internal.models.routetable import RouteTable
from bilberryspoke._internal.models.routing import (
    ApiKeyHolder,
    EngineLimits,
    ListedUpstream,
    PromptPart,
    RetrySafety,
    Route,
    RoutedCall,
    SendStatus,
    Service,
    StorePosition,
    Target,
)
from bilberryspoke._internal.models.routing_effects import RefuseCall, Send
from bilberryspoke._internal.models.routing_events import (
    CallArrived,
    RoutesOffered,
    SendEnded,
    SendProgressed,
    UpstreamsListed,
)
from bilberryspoke._internal.models.vmsettings import DeploymentBounds

# Longer than the window of the retry budget.
RUNNING_TIME_S = 60.0


def build_route(name: str = 'drafts', **changes: Any) -> Route:
    """Return a route to the service ``llm`` whose streams may be resumed."""
    fields = {
        'name': name,
        'host': 'calls.example',
        'path_prefix': f'/{name}/',
        'targets': (Target('llm'),),
        'repeats': RetrySafety.resumed,
        'streams': True,
        'timeout_s': 6.0,
        'latency_target_s': 2.0,
        'priority': 2,
        'max_attempts': 2,
        'max_event_gap_s': 0.8,
        **changes,
    }
    return Route(**fields)


SHORT_TARGET_ROUTE = build_route(
    latency_target_s=0.5,
    timeout_s=4.0,
    priority=1,
    max_event_gap_s=0.3,
)
TIGHT_GAP_ROUTE = build_route(
    'gaps',
    latency_target_s=0.3,
    timeout_s=15.0,
    priority=0,
    max_event_gap_s=0.2,
)
DRAFT_ROUTE = build_route()
RUN_ONCE_ROUTE = build_route(
    'once',
    targets=(Target('app'),),
    repeats=RetrySafety.never,
    streams=False,
    max_event_gap_s=None,
    max_attempts=1,
)
READ_ROUTE = build_route(
    'read',
    targets=(Target('app'),),
    repeats=RetrySafety.any_time,
    streams=False,
    max_event_gap_s=None,
    latency_target_s=0.2,
)


# Tokens of the two shared parts of a prompt (system, shared), by route.
SHARED_PART_TOKENS = {'drafts': (2500, 3800), 'gaps': (100, 70)}


def build_table(version: int = 1, **changes: Any) -> RouteTable:
    """Return a route table with an engine service and a plain service."""
    fields = {
        'version': version,
        'routes': (TIGHT_GAP_ROUTE, DRAFT_ROUTE, RUN_ONCE_ROUTE, READ_ROUTE),
        'services': {
            'llm': Service('llm', 300, EngineLimits(64, 232_000)),
            'app': Service('app', 96),
        },
        'limits': None,
        'api_key_holders': {'key-1': ApiKeyHolder('press')},
        'uses_keys': True,
        'encoded': b'encoded-%d' % version,
        **changes,
    }
    return RouteTable(**fields)


def build_upstream(instance: str, **changes: Any) -> ListedUpstream:
    """Return an upstream as discovery lists it, by default an engine."""
    fields = {
        'instance': instance,
        'service': 'llm',
        'address': f'{instance}:80',
        'data_centre': 'levis',
        'slots': 64,
        **changes,
    }
    return ListedUpstream(**fields)


def build_call(
    call_id: str,
    route: Route = DRAFT_ROUTE,
    *,
    now: float = 0.0,
    own_tokens: int = 2900,
    shared: str = 'notes-1',
    **changes: Any,
) -> RoutedCall:
    """Return a call that arrives at ``now`` (in seconds).

    A streaming call has a prompt of three parts: the system part, the part
    ``shared``, which other calls may have too, and ``own_tokens`` tokens that
    no other call has.
    """
    parts = ()
    if route.streams:
        system_tokens, shared_tokens = SHARED_PART_TOKENS[route.name]
        parts = (
            PromptPart('system', system_tokens),
            PromptPart(shared, shared_tokens),
            PromptPart(f'own-{call_id}', own_tokens),
        )
    fields = {
        'call_id': call_id,
        'req_id': f'req-{call_id}',
        'route': route,
        'service': route.targets[0].service,
        'workspace': 'press',
        'priority': route.priority,
        'arrived_at': now,
        'deadline_at': now + route.timeout_s,
        'prompt_tokens': sum(part.tokens for part in parts),
        'parts': parts,
        **changes,
    }
    return RoutedCall(**fields)


def build_core() -> Core:
    """Return a core that routes calls and has just started."""
    return Core(
        CoreSettings(
            vm='vm-1',
            data_centre='levis',
            incarnation=1,
            peer_address='127.0.0.1:1',
            bounds=DeploymentBounds(retry_reserve=56),
            shares_slots=False,
        ),
    )


class RoutedCore:
    """A core with engines and plain upstreams, driven by events.

    Times are seconds on a clock that the test sets.
    """

    def __init__(self, engines: int = 8, plain_upstreams: int = 2) -> None:
        """Create a core that has run for a while with its routes and upstreams.

        It started ``RUNNING_TIME_S`` before 0 s.
        """
        self.core = build_core()
        self.routing = self.core.state.routing
        self.upstreams = [
            build_upstream(f'engine-{number}') for number in range(engines)
        ]
        self.upstreams += [
            build_upstream(f'app-{number}', service='app', slots=6)
            for number in range(plain_upstreams)
        ]
        self.handle(Tick(), now=-RUNNING_TIME_S)
        self.handle(RoutesOffered(build_table()), now=0.0)
        listed = UpstreamsListed(tuple(self.upstreams), StorePosition(0, 1))
        self.handle(listed, now=0.0)

    def handle(self, event: object, *, now: float) -> list[object]:
        """Submit an event and return its effects."""
        return self.core.handle(event, now=now)

    def arrive(
        self, call: RoutedCall, *, now: float
    ) -> Send | RefuseCall | None:
        """Submit a call; return its send or refusal, or None if it waits."""
        return find_decision(self.handle(CallArrived(call), now=now))

    def end(
        self,
        send: Send,
        status: SendStatus,
        *,
        now: float,
        **changes: Any,
    ) -> list[object]:
        """Submit the end of a send and return the effects."""
        event = SendEnded(send.call_id, send.attempt, status, **changes)
        return self.handle(event, now=now)

    def progress(self, send: Send, *, now: float, event: int = 1) -> list:
        """Submit a delivered event of a stream and return the effects.

        ``event`` is the id of the event.
        """
        progressed = SendProgressed(send.call_id, send.attempt, event)
        return self.handle(progressed, now=now)


def end_unproven(
    core: RoutedCore, send: Send, *, now: float, event: int = 5
) -> list[object]:
    """Deliver an event, and end the send without a proof that it is the last.

    Returns the effects of the end.
    """
    core.progress(send, now=now - 0.005, event=event)
    return core.end(
        send,
        SendStatus.unproven,
        now=now,
        delivered=True,
        last_event_id=event,
    )


def find_decision(effects: list[object]) -> Send | RefuseCall | None:
    """Return the first send or refusal among effects, or None."""
    found = [each for each in effects if isinstance(each, Send | RefuseCall)]
    return found[0] if found else None


def probe_tight_gap_engines(core: RoutedCore) -> set[str]:
    """Return the engines that streams with a tight gap limit are sent to.

    Submits 60 such streams one after another; each ends at once.
    """
    sent = set()
    for number in range(60):
        send = core.arrive(
            build_call(
                f't{number}', TIGHT_GAP_ROUTE, own_tokens=10, shared=str(number)
            ),
            now=0.0,
        )
        sent.add(send.instance)
        core.end(send, SendStatus.finished, now=0.0)
    return sent


def list_sends(effects: list[object]) -> list[Send]:
    """Return the sends among effects."""
    return [each for each in effects if isinstance(each, Send)]


def fill_engines(core: RoutedCore, now: float) -> None:
    """Submit 62 to 300 drafts, until no engine has capacity for the next."""
    for number in range(300):
        call = build_call(f'f{number}', shared=f's{number}', now=now)
        if core.arrive(call, now=now) is None and number > 60:
            break
