"""What a VM tells others of the origins of streams.

Times are in seconds of the boot-time clock.
"""

import math

from bilberryspoke._internal.core.reducer import on_message
from bilberryspoke._internal.core.routing.members import send_to_peer
from bilberryspoke._internal.core.routing.originledger import StreamOrigin
from bilberryspoke._internal.core.routing.streamwindow import StreamWindow
from bilberryspoke._internal.core.routing.upstreamrefresh import (
    refresh_upstreams,
)
from bilberryspoke._internal.core.routing.versionproof import (
    Verdict,
    VersionProof,
    judge_versions,
)
from bilberryspoke._internal.core.state import VmState
from bilberryspoke._internal.models.routing_messages import (
    OriginReply,
    OriginRequest,
    StreamBegun,
)


@on_message(StreamBegun)
def keep_origin(
    state: VmState, sender: str, message: StreamBegun, now: float
) -> None:
    """Keep the origin of a stream that began at another VM."""
    origin = StreamOrigin(message.software_version)
    state.routing.origins.record(message.key, origin, now)


@on_message(OriginRequest)
def answer_request(
    state: VmState, sender: str, message: OriginRequest, now: float
) -> None:
    """Tell another VM what is known of a stream's origin."""
    peer = state.routing.peers.get(sender)
    if peer is None:
        return
    origin = state.routing.origins.find(message.key)
    if origin is None:
        proof = _judge_for_other(state, message, now)
        reply = OriginReply(
            message.key,
            is_known=False,
            only_version=proof.version,
            verdict=proof.verdict,
        )
    else:
        reply = OriginReply(
            message.key,
            is_known=True,
            software_version=origin.software_version,
        )
    send_to_peer(state, peer, reply)


def _judge_for_other(
    state: VmState, message: OriginRequest, now: float
) -> VersionProof:
    """Judge which versions there were in the time that another VM asks about.

    Ages of upstreams count only for one that could go by nothing else if it
    read the store itself.
    """
    seconds = (message.call_age_s, message.window_s)
    if not message.service or not all(0 <= each < math.inf for each in seconds):
        return VersionProof(Verdict.unknown)
    latest_at = now - message.call_age_s
    window = StreamWindow(
        message.service, latest_at - message.window_s, latest_at
    )
    proof = judge_versions(state, window, trusts_ages=message.trusts_ages)
    if proof.verdict is Verdict.awaited:
        refresh_upstreams(state, now)
    return proof
