"""Carries out the effects of decisions on routed calls."""

from bilberryspoke._internal.models.routing_effects import (
    Connect,
    Decode,
    Measure,
    Note,
    PassOn,
    Refuse,
    Send,
    StopSend,
)
from bilberryspoke._internal.models.routing_events import RoutesOffered
from bilberryspoke._internal.network.runtime import Runtime, executes
from bilberryspoke._internal.platform.records import decode_route_table


@executes(Send)
@executes(PassOn)
@executes(Refuse)
def command_call(runtime: Runtime, effect: Send | PassOn | Refuse) -> None:
    """Pass a command to the task of the routed call it belongs to."""
    exchange = runtime.calls.get(effect.call_id)
    if exchange is not None:
        exchange.commands.put_nowait(effect)


@executes(StopSend)
def stop_send(runtime: Runtime, effect: StopSend) -> None:
    """Stop a send; its connection is closed."""
    exchange = runtime.calls.get(effect.call_id)
    if exchange is not None and exchange.task is not None:
        exchange.task.cancel()


@executes(Note)
def write_note(runtime: Runtime, effect: Note) -> None:
    """Write a line about a decision."""
    runtime.note(effect.event, effect.facts, urgent=effect.urgent)


@executes(Measure)
def measure_call(runtime: Runtime, effect: Measure) -> None:
    """Record the durations of a routed call."""
    durations = {'total': effect.total_s}
    if effect.first_s is not None:
        durations['first_token'] = effect.first_s
    groups = {'class': effect.route, 'workspace': effect.workspace}
    for kind, group in groups.items():
        for measure, seconds in durations.items():
            runtime.histograms.record(kind, group, measure, seconds)


@executes(Connect)
def connect_peer(runtime: Runtime, effect: Connect) -> None:
    """Connect to another VM."""
    if runtime.peers is not None:
        runtime.peers.learn_address(effect.peer, effect.address)


@executes(Decode)
def decode_passed(runtime: Runtime, effect: Decode) -> None:
    """Decode a configuration that another VM passed on, and offer it."""
    decoded = decode_route_table(effect.encoded)
    if decoded.is_error():
        facts = {'source': effect.source, 'cause': decoded.error}
        runtime.note('passed_routes_refused', facts, urgent=True)
        return
    runtime.submit(RoutesOffered(decoded.ok, effect.source))
