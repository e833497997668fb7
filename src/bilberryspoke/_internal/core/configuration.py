"""Adoption of configurations, and sending them to peers."""

from bilberryspoke._internal.core.granting import serve_pool
from bilberryspoke._internal.core.heartbeats import send_heartbeats
from bilberryspoke._internal.core.reducer import on_event, on_message
from bilberryspoke._internal.core.sending import send
from bilberryspoke._internal.core.state import VmState
from bilberryspoke._internal.models.effects import Count, Log, ReportAdoption
from bilberryspoke._internal.models.events import CatalogOffered
from bilberryspoke._internal.models.messages import (
    ConfigPull,
    ConfigPush,
)


@on_event(CatalogOffered)
def adopt_catalog(state: VmState, event: CatalogOffered, now: float) -> None:
    """Adopt an offered configuration if it is newer than the current one.

    An older one is counted as a stale offer. One of the same revision is
    ignored; if its digest differs, it is counted and logged as a conflict.
    """
    offered = event.catalog
    current = state.catalog
    if current is not None:
        if offered.revision == current.revision:
            if offered.digest != current.digest:
                state.emit(Count('config_conflicts'))
                state.emit(Log('config_conflict', str(offered.revision)))
            return
        if offered.revision < current.revision:
            state.emit(Count('config_stale_offers'))
            return
    state.catalog = offered
    state.manifest = event.manifest
    state.values = event.values
    state.emit(ReportAdoption(offered.revision, offered.digest))
    send_heartbeats(state, now)
    for owned_pool in list(state.owned_pools.values()):
        serve_pool(state, owned_pool, now)


@on_message(ConfigPull)
def handle_config_pull(
    state: VmState,
    sender: str,
    message: ConfigPull,
    now: float,
) -> None:
    """Push the current configuration to a peer that has an older one.

    Values that the peer already has, by digest, are left out.
    """
    catalog = state.catalog
    if catalog is not None and catalog.revision > message.revision:
        state.emit(Count('config_pushes'))
        known_digests = frozenset(message.known_digests)
        missing = {
            digest: value
            for digest, value in state.values.items()
            if digest not in known_digests
        }
        push = ConfigPush(
            catalog.revision,
            catalog.digest,
            state.manifest,
            missing,
        )
        send(state, sender, push)
