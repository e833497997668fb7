"""Functions that carry out the effects of routing decisions."""

from bilberryspoke._internal.models.routing_effects import (
    CancelSend,
    ConnectPeer,
    DecodeRoutes,
    FinishStream,
    HandOff,
    LogDecision,
    ProbeUpstream,
    RecordDurations,
    RefreshUpstreams,
    RefuseCall,
    RelayFailure,
    Send,
)
from bilberryspoke._internal.models.routing_events import RoutesOffered
from bilberryspoke._internal.network.routing.exchange import Command
from bilberryspoke._internal.network.runtime import Runtime, handles_effect
from bilberryspoke._internal.platform.records import decode_route_table
from bilberryspoke._internal.utils.compression import decompress


@handles_effect(Send)
@handles_effect(HandOff)
@handles_effect(RelayFailure)
@handles_effect(RefuseCall)
@handles_effect(FinishStream)
def queue_command(runtime: Runtime, effect: Command) -> None:
    """Queue a command for the task that serves the call.

    Ignored if the call has ended.
    """
    exchange = runtime.calls.get(effect.call_id)
    if exchange is not None:
        exchange.commands.put_nowait(effect)


@handles_effect(ProbeUpstream)
def probe_upstream(runtime: Runtime, effect: ProbeUpstream) -> None:
    """Start a probe; an ``UpstreamProbed`` event follows."""
    if runtime.on_probe is not None:
        runtime.on_probe(effect)


@handles_effect(RefreshUpstreams)
def refresh_upstreams(runtime: Runtime, effect: RefreshUpstreams) -> None:
    """Ask the store for changes; ``DiscoverySynced`` follows its answer."""
    if runtime.on_refresh is not None:
        runtime.on_refresh(effect)


@handles_effect(CancelSend)
def cancel_send(runtime: Runtime, effect: CancelSend) -> None:
    """Cancel a send of a call; its connection is closed, if it has one."""
    exchange = runtime.calls.get(effect.call_id)
    if exchange is not None:
        exchange.cancel_send(effect.attempt)


@handles_effect(LogDecision)
def write_decision(runtime: Runtime, effect: LogDecision) -> None:
    """Log a decision."""
    runtime.log_decision(
        effect.event, effect.fields, important=effect.important
    )


@handles_effect(RecordDurations)
def record_durations(runtime: Runtime, effect: RecordDurations) -> None:
    """Record the durations of a routed call in the histograms."""
    durations = {'total': effect.total_s}
    if effect.first_event_s is not None:
        durations['first_token'] = effect.first_event_s
    groups = {'class': effect.route, 'workspace': effect.workspace}
    for kind, group in groups.items():
        for measure, seconds in durations.items():
            runtime.histograms.record(kind, group, measure, seconds)


@handles_effect(ConnectPeer)
def handle_connect_peer(runtime: Runtime, effect: ConnectPeer) -> None:
    """Pass the address of another VM to the peer transport."""
    if runtime.peers is not None:
        runtime.peers.connect_peer(effect.peer, effect.address)


@handles_effect(DecodeRoutes)
def decode_routes(runtime: Runtime, effect: DecodeRoutes) -> None:
    """Decode a route table from another VM and submit it to the core."""
    encoded = decompress(effect.compressed)
    decoded = decode_route_table(encoded or b'')
    if decoded.is_error():
        fields = {'source': effect.source, 'cause': decoded.error}
        runtime.log_decision('peer_routes_invalid', fields, important=True)
        return
    runtime.submit(RoutesOffered(decoded.ok, effect.source))
