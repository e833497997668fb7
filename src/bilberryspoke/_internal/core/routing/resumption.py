"""Streams that callers take up again, after their connection broke.

Such a call is sent only to upstreams of the software version that began its
stream. A VM that has no record of it asks others. If they have none either, the
version must be proven (versionproof.py), here or at another VM; otherwise the
call is refused. Times are in seconds of the boot-time clock.
"""

from bilberryspoke._internal.core.reducer import on_message
from bilberryspoke._internal.core.routing.callstate import CallStage, CallState
from bilberryspoke._internal.core.routing.completion import (
    Refusal,
    refuse_call,
)
from bilberryspoke._internal.core.routing.dispatch import dispatch_or_queue
from bilberryspoke._internal.core.routing.members import send_to_peer
from bilberryspoke._internal.core.routing.originledger import (
    OriginFound,
    OriginLookup,
    StreamOrigin,
)
from bilberryspoke._internal.core.routing.origins import (
    hash_stream,
    list_askable_keepers,
    list_witnesses,
)
from bilberryspoke._internal.core.routing.streamwindow import StreamWindow
from bilberryspoke._internal.core.routing.upstreamrefresh import (
    refresh_upstreams,
)
from bilberryspoke._internal.core.routing.versionproof import (
    Verdict,
    VersionProof,
    find_heartbeats_known_at,
    judge_versions,
    list_versions,
    make_window,
)
from bilberryspoke._internal.core.state import VmState
from bilberryspoke._internal.models.effects import Count
from bilberryspoke._internal.models.routing_effects import LogDecision
from bilberryspoke._internal.models.routing_messages import (
    OriginReply,
    OriginRequest,
)

# A message to a VM that was not connected is lost, so the question is repeated.
_REPEAT_INTERVAL_S = 0.1
_LOOKUP_TIMEOUT_S = 0.4
# Time for the store to tell what has changed, here or to another VM.
_PROOF_TIMEOUT_S = 1.0
# Time for the store to answer.
_STORE_ANSWER_S = 0.3
# A new process does not know all other VMs.
_MEMBERSHIP_TIMEOUT_S = 1.0
# What an origin rests on, if not on what other VMs say.
_RECORDED = 'recorded'
_OWN_LIST = 'own list'
_NOTHING = ''


def resume_stream(state: VmState, call_state: CallState, now: float) -> None:
    """Send or queue a call that resumes a stream, once its origin is known."""
    key = hash_stream(call_state.call)
    origin = state.routing.origins.find(key)
    if origin is not None:
        _resume_at(state, call_state, OriginFound(origin, _RECORDED), now)
        return
    call_state.stage = CallStage.resolving
    lookup = state.routing.origins.lookups.setdefault(
        key,
        OriginLookup(
            make_window(state, call_state.call, now),
            asks_until=now + _LOOKUP_TIMEOUT_S,
            ends_at=now + _PROOF_TIMEOUT_S,
        ),
    )
    lookup.call_ids.append(call_state.call.call_id)
    _ask_others(state, key, lookup, now)
    _review_lookup(state, key, lookup, now)


def review_lookups(state: VmState, now: float) -> None:
    """Repeat questions about origins, and end those without an answer."""
    for key, lookup in list(state.routing.origins.lookups.items()):
        if now - lookup.asked_at >= _REPEAT_INTERVAL_S:
            _ask_others(state, key, lookup, now)
        _review_lookup(state, key, lookup, now)


@on_message(OriginReply)
def apply_reply(
    state: VmState, sender: str, message: OriginReply, now: float
) -> None:
    """Resume the streams whose origin another VM knows."""
    lookup = state.routing.origins.lookups.get(message.key)
    if lookup is None:
        return
    lookup.answered_by.add(sender)
    if not message.is_known:
        lookup.denied_by.add(sender)
        if message.only_version is not None:
            lookup.proven_by[sender] = message.only_version
        lookup.verdicts[sender] = message.verdict
        _review_lookup(state, message.key, lookup, now)
        return
    origin = StreamOrigin(message.software_version)
    state.routing.origins.record(message.key, origin, now)
    found = OriginFound(origin, f'told by {sender}', lookup)
    for call_state in _end_lookup(state, message.key):
        _resume_at(state, call_state, found, now)


def _ask_others(
    state: VmState, key: int, lookup: OriginLookup, now: float
) -> None:
    """Ask VMs that may know the stream, or which versions there were."""
    lookup.asked_at = now
    window = lookup.window
    names = set(list_askable_keepers(state, key, now)) - lookup.denied_by
    proof = judge_versions(state, window, trusts_ages=True)
    if proof.verdict is Verdict.awaited:
        refresh_upstreams(state, now)
    if proof.verdict in {Verdict.awaited, Verdict.unknown}:
        names.update(
            name
            for name in list_witnesses(state, key, now)
            if lookup.verdicts.get(name, Verdict.awaited) == Verdict.awaited
        )
    request = OriginRequest(
        key,
        window.service,
        call_age_s=now - window.latest_at,
        window_s=window.length_s,
        trusts_ages=_knows_no_past(state, window),
    )
    for name in sorted(names):
        send_to_peer(state, state.routing.peers[name], request)


def _knows_no_past(state: VmState, window: StreamWindow) -> bool:
    """Return whether this VM can't know by itself which versions there were.

    It has started since, or does not read the store.
    """
    return (
        state.started_at > window.earliest_at or not state.routing.reads_store
    )


def _review_lookup(
    state: VmState, key: int, lookup: OriginLookup, now: float
) -> None:
    """End a lookup once its version is proven, or can't be any more."""
    may_know = set(list_askable_keepers(state, key, now)) - lookup.denied_by
    knows_members = now - state.started_at >= _MEMBERSHIP_TIMEOUT_S
    if now < lookup.asks_until and (may_know or not knows_members):
        return
    proof = judge_versions(state, lookup.window, trusts_ages=True)
    found = _choose_origin(proof, lookup)
    ends_at = lookup.ends_at
    if proof.verdict is Verdict.awaited:
        answer_at = find_heartbeats_known_at(state) + _STORE_ANSWER_S
        ends_at = max(ends_at, answer_at)
    may_be_proven = not _is_refuted(proof, lookup) and now < ends_at
    if not found.basis and may_be_proven:
        return
    for call_state in _end_lookup(state, key):
        _resume_at(state, call_state, found, now)


def _is_refuted(proof: VersionProof, lookup: OriginLookup) -> bool:
    verdicts = {proof.verdict.value, *lookup.verdicts.values()}
    return Verdict.several in verdicts


def _choose_origin(proof: VersionProof, lookup: OriginLookup) -> OriginFound:
    """Return the origin that this VM or others prove, if they agree."""
    if _is_refuted(proof, lookup):
        return OriginFound(StreamOrigin(None), _NOTHING, lookup)
    proven_by = dict(lookup.proven_by)
    if proof.version is not None:
        proven_by[_OWN_LIST] = proof.version
    versions = set(proven_by.values())
    if len(versions) != 1:
        return OriginFound(StreamOrigin(None), _NOTHING, lookup)
    basis = f'proven by {", ".join(sorted(proven_by))}'
    return OriginFound(StreamOrigin(versions.pop()), basis, lookup)


def _end_lookup(state: VmState, key: int) -> list[CallState]:
    """Return the calls that wait for the origin of a stream, if still open."""
    lookup = state.routing.origins.lookups.pop(key)
    found = [state.routing.calls.get(each) for each in lookup.call_ids]
    return [each for each in found if each is not None]


def _resume_at(
    state: VmState, call_state: CallState, found: OriginFound, now: float
) -> None:
    call_state.origin = found.origin
    is_unknown = found.origin.software_version is None
    fields = _describe_origin(state, call_state, found, now)
    state.emit(LogDecision('origin_judged', fields, important=is_unknown))
    if is_unknown:
        state.emit(Count('streams_of_unknown_origin', call_state.call.service))
        refuse_call(state, call_state, Refusal('origin_unknown'), now)
        return
    dispatch_or_queue(state, call_state, now)


def _describe_origin(
    state: VmState, call_state: CallState, found: OriginFound, now: float
) -> dict[str, object]:
    """Return on what the origin of a call's stream rests, for the log."""
    call = call_state.call
    routing = state.routing
    coverage = routing.coverage
    window = make_window(state, call, now)
    fields: dict[str, object] = {
        'req_id': call.req_id,
        'resumed_req_id': call.resumed_req_id,
        'basis': found.basis,
        'software_version': found.origin.software_version,
        'age_s': round(now - call.arrived_at, 3),
        'listed_versions': sorted(list_versions(state, call.service)),
        'window_s': round(window.length_s, 3),
        'list_verdict': judge_versions(state, window, trusts_ages=True).verdict,
        'list_age_s': round(now - coverage.until, 3),
        'list_known_s': round(now - coverage.since, 3),
        'complete_lists': coverage.lists,
        'history_read': coverage.history.is_answered,
        'service_known_s': round(now - coverage.find_since(call.service), 3),
        'paused_before_s': round(now - routing.resumed_at, 3),
    }
    if found.lookup is not None:
        denied_by = found.lookup.denied_by
        keepers = set(list_askable_keepers(state, hash_stream(call), now))
        fields['denied_by'] = sorted(denied_by)
        fields['silent'] = sorted(keepers - found.lookup.answered_by)
    return fields
