"""Whether this VM has lost its links to the upstreams of a service.

Sends that are lost at several upstreams in a row, while no answer arrives, put
all links in doubt. Until probes have found out which links are left, calls are
handed off. Times are in seconds of the boot-time clock.
"""

from bilberryspoke._internal.core.routing.linkreview import LinkReview
from bilberryspoke._internal.core.routing.state import RoutingState
from bilberryspoke._internal.core.routing.upstreamstate import UpstreamState
from bilberryspoke._internal.core.state import VmState
from bilberryspoke._internal.models.effects import Count
from bilberryspoke._internal.models.routing_effects import (
    LogDecision,
    ProbeUpstream,
)
from bilberryspoke._internal.utils.hashing import hash_parts

# Upstreams at which sends have to be lost within the window to doubt all links.
_MIN_SUSPECTS = 2
_SUSPICION_WINDOW_S = 2.0
# Upstreams whose answers arrived within this time are in reach.
_HEARING_WINDOW_S = 0.3
# More upstreams than these that are lost at once did not crash under calls.
_MAX_LOST_ALONE = 2
# Upstreams without a lost send that are probed first.
_CONTROLS = 3
# An upstream out of reach is probed after this time if calls lack it.
_HASTENED_PROBE_S = 0.25
# Probes of one review that are under way at the same time.
_MAX_AWAITED_PROBES = 64


def is_doubted(routing: RoutingState, service: str) -> bool:
    """Return whether this VM may have lost most links to a service."""
    review = routing.link_reviews.get(service)
    return review is not None and review.doubted


def suspect_link(state: VmState, upstream: UpstreamState, now: float) -> None:
    """Record a send that was lost, or an upstream without any response."""
    service = upstream.listed.service
    review = _get_review(state.routing, service)
    review.suspects[upstream.listed.instance] = now
    since = now - _SUSPICION_WINDOW_S
    for instance, lost_at in list(review.suspects.items()):
        if lost_at < since:
            review.suspects.pop(instance)
    if len(review.suspects) < _MIN_SUSPECTS or review.doubted:
        return
    if not review.is_open and not _list_reached(state.routing, service, now):
        # There is nothing left to find out, and nothing to doubt.
        state.routing.link_reviews[service] = review.make_next()
        return
    if not _hears_any(state.routing, service, now):
        review.doubted = True
        fields = {'service': service, 'suspects': sorted(review.suspects)}
        state.emit(Count('links_doubted', service))
        state.emit(LogDecision('links_doubted', fields))
    _probe_controls(state, service, review, now)
    _proceed(state, service, review, now)


def check_upstream(state: VmState, upstream: UpstreamState, now: float) -> None:
    """Find out whether an upstream is lost, and whether others are too."""
    service = upstream.listed.service
    review = _get_review(state.routing, service)
    _probe_controls(state, service, review, now)
    if upstream.listed.instance not in review.probed:
        review.pending.append(upstream.listed.instance)
    _proceed(state, service, review, now)


def is_lost_alone(routing: RoutingState, upstream: UpstreamState) -> bool:
    """Return whether an upstream was lost while the links to others work.

    That is as of the last review. Few others may have been lost with it.
    """
    service = upstream.listed.service
    review = routing.link_reviews.get(service)
    if review is None:
        return True
    if upstream.listed.instance not in review.lost_last:
        return False
    if len(review.lost_last) > _MAX_LOST_ALONE:
        return False
    others = len(routing.list_accepting_upstreams(service)) - 1
    return bool(review.answered_last) or not others


def is_reviewing(routing: RoutingState, service: str) -> bool:
    """Return whether probes find out which links to a service are left."""
    review = routing.link_reviews.get(service)
    return review is not None and review.is_open


def record_probe(
    state: VmState, upstream: UpstreamState, now: float, *, accepts: bool
) -> None:
    """Apply the end of a probe to the review of the service's links."""
    service = upstream.listed.service
    review = state.routing.link_reviews.get(service)
    if review is None:
        return
    instance = upstream.listed.instance
    if instance not in review.awaited:
        if accepts and not review.is_open:
            review.suspects.clear()
        return
    is_suspect = instance in review.suspects
    # A VM that is busy itself may read the answer to a probe too late.
    accepts = accepts or (not is_suspect and _is_heard(upstream, now))
    review.record_probe(instance, accepts=accepts)
    if not accepts:
        if not upstream.health.unreachable:
            upstream.health.record_unreachable(now)
        if not review.widened and not is_suspect:
            review.widen(_list_reached(state.routing, service, now))
    _proceed(state, service, review, now)


def hasten_probes(routing: RoutingState, service: str, now: float) -> None:
    """Probe a few upstreams of a service soon, as calls have to be refused.

    If one answers, all others are probed at once.
    """
    lost = [
        upstream
        for upstream in routing.list_accepting_upstreams(service)
        if upstream.health.is_out_of_reach
    ]
    for upstream in lost[:_CONTROLS]:
        upstream.health.hasten_probe(now + _HASTENED_PROBE_S)


def review_links(state: VmState, now: float) -> None:
    """Begin the probes whose turn it is."""
    for service, review in state.routing.link_reviews.items():
        if review.is_open:
            review.awaited &= state.routing.upstreams.keys()
            _proceed(state, service, review, now)


def _is_heard(upstream: UpstreamState, now: float) -> bool:
    return now - upstream.last_heard_at <= _HEARING_WINDOW_S


def _hears_any(routing: RoutingState, service: str, now: float) -> bool:
    """Return whether answers of a service arrive, so that links work."""
    return any(
        _is_heard(upstream, now)
        for upstream in routing.upstreams.values()
        if upstream.listed.service == service
    )


def _get_review(routing: RoutingState, service: str) -> LinkReview:
    return routing.link_reviews.setdefault(service, LinkReview())


def _probe_controls(
    state: VmState, service: str, review: LinkReview, now: float
) -> None:
    """Begin the review, unless it has begun, with a few upstreams at random."""
    if review.is_open:
        return
    unsuspected = [
        each
        for each in _list_reached(state.routing, service, now)
        if each not in review.suspects
    ]
    unsuspected.sort(key=lambda each: hash_parts(state.vm, each, now))
    review.begin(unsuspected[:_CONTROLS])


def _list_reached(routing: RoutingState, service: str, now: float) -> list[str]:
    return [
        each.listed.instance
        for each in routing.list_reached_upstreams(service, now)
    ]


def _proceed(
    state: VmState, service: str, review: LinkReview, now: float
) -> None:
    """Begin the next probes, or end the review if there is none left."""
    routing = state.routing
    while review.pending and len(review.awaited) < _MAX_AWAITED_PROBES:
        instance = review.pending.pop(0)
        upstream = routing.upstreams.get(instance)
        if upstream is None:
            continue
        review.probed.add(instance)
        review.awaited.add(instance)
        probe_upstream(state, upstream)
    if review.awaited or review.pending:
        return
    reached = _list_reached(routing, service, now)
    fields = {
        'service': service,
        'probed': len(review.probed),
        'reached_upstreams': len(reached),
    }
    state.emit(LogDecision('links_reviewed', fields))
    routing.link_reviews[service] = review.make_next()


def probe_upstream(state: VmState, upstream: UpstreamState) -> None:
    """Find out whether an upstream answers this VM."""
    listed = upstream.listed
    state.emit(Count('probes', listed.service))
    state.emit(
        ProbeUpstream(listed.instance, listed.created_ms, listed.address)
    )
