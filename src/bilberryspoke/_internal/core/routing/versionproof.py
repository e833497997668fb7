"""What proves at which software version a stream began, without a record of it.

A stream began at the only version that upstreams of its service had in the
whole time in which it can have begun. To say so, a VM must know each change of
that time: silence proves nothing, nor does another VM that does not know the
stream. Times are in seconds of the boot-time clock.
"""

import math
from dataclasses import dataclass
from enum import StrEnum

from bilberryspoke._internal.core.routing.stalls import get_pause_s
from bilberryspoke._internal.core.routing.streamwindow import StreamWindow
from bilberryspoke._internal.core.routing.unixtimes import find_boottime
from bilberryspoke._internal.core.state import VmState
from bilberryspoke._internal.models.routing import ListedUpstream, RoutedCall

# Callers take a stream up again within this multiple of its route's timeout.
_STREAM_LIFETIME_TIMEOUT_RATIO = 2
# Upstreams write about once in a heartbeat interval.
_SILENT_HEARTBEATS = 1.5


class Verdict(StrEnum):
    """What a VM's list says of the software versions of a time.

    ``only``: there was one version only.
    ``awaited``: there was, up to when the store was last asked.
    ``several``: there were several.
    ``unknown``: this VM has missed a part of that time, or knows no upstream.
    """

    only = 'only'
    awaited = 'awaited'
    several = 'several'
    unknown = 'unknown'


@dataclass(frozen=True, slots=True)
class VersionProof:
    """A verdict, and the only version there was, None if not certain."""

    verdict: Verdict
    version: str | None = None


def make_window(state: VmState, call: RoutedCall, now: float) -> StreamWindow:
    """Return when the stream that a call takes up can have begun.

    Its route may have had a longer timeout then, and the call may have been
    sent while this VM stood still.
    """
    timeout_s = max(
        call.route.timeout_s,
        state.routing.longest_timeouts_s.get(call.route.name, 0),
    )
    lifetime_s = timeout_s * _STREAM_LIFETIME_TIMEOUT_RATIO
    sent_at = call.arrived_at - get_pause_s(state.routing, now)
    return StreamWindow(call.service, sent_at - lifetime_s, call.arrived_at)


def judge_versions(
    state: VmState, window: StreamWindow, *, trusts_ages: bool
) -> VersionProof:
    """Judge by this VM's list which versions there were in a window.

    A new process knows of the time before its start what it reads of the
    store's history, which may be shorter than the window. If ``trusts_ages``
    and all upstreams are older than the window, it is enough to know all that
    the store is to keep.
    """
    versions = list_versions(state, window.service)
    versions |= set(
        state.routing.origins.list_withdrawn(window.service, window.earliest_at)
    )
    if len(versions) > 1:
        return VersionProof(Verdict.several)
    coverage = state.routing.coverage
    if not versions or not coverage.is_known:
        return VersionProof(Verdict.unknown)
    known_since = coverage.find_since(window.service)
    if known_since > window.earliest_at:
        if not trusts_ages or not _has_old_upstreams_only(state, window):
            return VersionProof(Verdict.unknown)
        # Old upstreams say nothing of others that came and went beside them.
        if not coverage.history.is_answered:
            return VersionProof(Verdict.awaited)
        if known_since > _get_promised_since(state, window):
            return VersionProof(Verdict.unknown)
    if coverage.until < window.latest_at or not _knows_heartbeats(state):
        return VersionProof(Verdict.awaited)
    return VersionProof(Verdict.only, versions.pop())


def list_versions(state: VmState, service: str) -> set[str]:
    """Return the software versions of the listed upstreams of a service."""
    return {each.software_version for each in _list_upstreams(state, service)}


def _list_upstreams(state: VmState, service: str) -> list[ListedUpstream]:
    return [
        upstream.listed
        for upstream in state.routing.upstreams.values()
        if upstream.listed.service == service
    ]


def _get_promised_since(state: VmState, window: StreamWindow) -> float:
    """Return since when the store is to know each change, or a window's begin.

    A store that keeps less has lost what may have happened before.
    """
    history_s = state.settings.bounds.seen_history_s
    return max(window.earliest_at, window.latest_at - history_s)


def _has_old_upstreams_only(state: VmState, window: StreamWindow) -> bool:
    """Return whether no upstream is known to have begun in a window.

    False if this process has missed anything since its first list.
    """
    if not state.routing.coverage.is_gapless:
        return False
    return all(
        find_boottime(state, each.created_ms) <= window.earliest_at
        for each in _list_upstreams(state, window.service)
        if each.created_ms
    )


def _knows_heartbeats(state: VmState) -> bool:
    """Return whether it is known if the store records each heartbeat.

    It does not if there was none for longer than from one to the next.
    """
    coverage = state.routing.coverage
    if coverage.has_heartbeats or math.isinf(coverage.history.dated_since):
        return True
    return coverage.until >= find_heartbeats_known_at(state)


def find_heartbeats_known_at(state: VmState) -> float:
    """Return when it is known at the latest if heartbeats are recorded."""
    heartbeat_s = state.settings.bounds.upstream_heartbeat_s
    return state.routing.coverage.since + _SILENT_HEARTBEATS * heartbeat_s
