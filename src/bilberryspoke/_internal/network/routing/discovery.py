"""Watches the platform's store for routes and upstreams."""

import asyncio
from collections.abc import Iterable, Iterator

import structlog

from bilberryspoke._internal.exceptions import (
    PlatformHistoryLostError,
    PlatformUnavailableError,
)
from bilberryspoke._internal.models.routing import (
    NO_POSITION,
    ListedUpstream,
    StorePosition,
)
from bilberryspoke._internal.models.routing_effects import RefreshUpstreams
from bilberryspoke._internal.models.routing_events import (
    DiscoverySynced,
    RoutesOffered,
    StoreReachReported,
    StoreWatch,
    UpstreamChanged,
    UpstreamsListed,
)
from bilberryspoke._internal.network.clock import read_boottime
from bilberryspoke._internal.network.routing.storehistory import (
    HistoryWanted,
    read_missed_changes,
)
from bilberryspoke._internal.network.routing.storewatch import RefreshableWatch
from bilberryspoke._internal.network.runtime import Runtime
from bilberryspoke._internal.platform.records import (
    CONFIG_KEY,
    UPSTREAM_PREFIX,
    decode_route_table,
    decode_upstream,
)
from bilberryspoke._internal.platform.store import (
    StoreClient,
    StoredValue,
    StoredValues,
)
from bilberryspoke._internal.utils.hashing import hash_parts

logger = structlog.get_logger()

# Upstreams rewrite their entries continually: the next watch starts after this
# interval, so that it returns many changes at once.
_BATCH_INTERVAL_S = 0.6
RETRY_INTERVAL_S = 0.25
_READING_POLL_INTERVAL_S = 0.1
# Number of different jitter fractions.
_JITTER_STEPS = 100

_WATCHES = {
    CONFIG_KEY: StoreWatch.routes,
    UPSTREAM_PREFIX: StoreWatch.upstreams,
}


class DiscoveryWatcher:
    """Submits routes and upstreams from the store to the core.

    Reads all entries first, then watches them for changes, as long as the core
    wants it to.
    """

    def __init__(self, runtime: Runtime, store: StoreClient) -> None:
        """Create the watcher of a VM."""
        self._runtime = runtime
        self._store = store
        self._routing = runtime.core.state.routing
        # Number of sleeps so far, which gives each sleep another jitter.
        self._sleep_count = 0
        self._reads_history = False
        # The last ones before the store stopped to answer.
        self._lost_positions = dict.fromkeys(_WATCHES, NO_POSITION)
        self._watches = {
            prefix: RefreshableWatch(store, prefix) for prefix in _WATCHES
        }

    def refresh_upstreams(self, effect: RefreshUpstreams) -> None:
        """Ask for changes of the upstreams at once, instead of in turn."""
        self._reads_history |= effect.reads_history
        self._watches[UPSTREAM_PREFIX].refresh()

    async def watch_routes(self) -> None:
        """Keep the route table up to date until cancelled."""
        await self._watch_prefix(
            prefix=CONFIG_KEY,
            batch_interval_s=0,
        )

    async def watch_upstreams(self) -> None:
        """Keep the list of upstreams up to date until cancelled."""
        await self._watch_prefix(
            prefix=UPSTREAM_PREFIX,
            batch_interval_s=_BATCH_INTERVAL_S,
        )

    async def _watch_prefix(
        self,
        *,
        prefix: str,
        batch_interval_s: float,
    ) -> None:
        position = NO_POSITION
        while True:
            if not self._routing.reads_store:
                position = NO_POSITION
                self._lost_positions[prefix] = NO_POSITION
                await asyncio.sleep(_READING_POLL_INTERVAL_S)
                continue
            previous = position
            asked_at = read_boottime()
            try:
                position = await self._fetch_changes(prefix, position)
            except PlatformHistoryLostError as exc:
                logger.warning('store_history_lost', cause=str(exc))
                position = NO_POSITION
                self._lost_positions[prefix] = NO_POSITION
                await self._sleep_with_jitter(_BATCH_INTERVAL_S)
                continue
            except PlatformUnavailableError as exc:
                # The store may have been restored from a copy meanwhile, and
                # may not say so: its revisions mean nothing then.
                self._lost_positions[prefix] = max(
                    position, self._lost_positions[prefix]
                )
                position = NO_POSITION
                self._runtime.counters.add('store_errors', prefix)
                self._runtime.submit(
                    StoreReachReported(False, _WATCHES[prefix], str(exc))
                )
                await self._sleep_with_jitter(RETRY_INTERVAL_S)
                continue
            if position.revision:
                await self._watches[prefix].pause(batch_interval_s)
            else:
                await self._sleep_with_jitter(RETRY_INTERVAL_S)
            if position == previous:
                # A store at fault may end each watch at once.
                wakes_at = asked_at + RETRY_INTERVAL_S
                await asyncio.sleep(max(0, wakes_at - read_boottime()))

    async def _fetch_changes(
        self,
        prefix: str,
        position: StorePosition,
    ) -> StorePosition:
        """Submit changes after ``position``, or all entries if it is unknown.

        Returns the position of the store up to which changes are known. All
        entries are read as well if the store was restored since ``position``,
        because changes between the two are not in its answer.
        """
        if not position.revision:
            return await self._read_current(prefix)
        answer = await self._watches[prefix].wait_for_changes(position.revision)
        changes = answer.changes
        self._report_answer(prefix, changes)
        if not position.is_continued_by(changes.position):
            return await self._read_current(prefix)
        self._apply_changes(changes)
        if prefix == UPSTREAM_PREFIX:
            synced = DiscoverySynced(changes.position, answer.asked_at)
            self._runtime.submit(synced)
            if self._reads_history:
                await self._read_missed_changes(changes.position)
        return changes.position

    async def _read_current(self, prefix: str) -> StorePosition:
        if prefix == CONFIG_KEY:
            stored = await self._store.read(CONFIG_KEY)
            self._report_answer(prefix, stored)
            self._apply_changes(stored)
            return stored.position
        asked_at = read_boottime()
        stored = await self._store.read_prefix(prefix)
        self._report_answer(prefix, stored)
        self._runtime.submit(
            UpstreamsListed(
                tuple(self._decode_upstreams(stored.values)),
                stored.position,
                asked_at,
            ),
        )
        if self._lost_positions[UPSTREAM_PREFIX].revision:
            await self._read_missed_changes(stored.position)
        return stored.position

    async def _read_missed_changes(self, position: StorePosition) -> None:
        """Submit which upstreams had entries before a position.

        The answer tells since when these are all.
        """
        self._reads_history = False
        before = self._lost_positions[UPSTREAM_PREFIX]
        self._lost_positions[UPSTREAM_PREFIX] = NO_POSITION
        settings = self._runtime.core.state.settings
        missed = await read_missed_changes(
            self._store,
            UPSTREAM_PREFIX,
            HistoryWanted(
                before,
                position,
                entries=len(self._routing.upstreams),
                span_s=settings.bounds.seen_history_s,
                heartbeat_s=settings.bounds.upstream_heartbeat_s,
            ),
        )
        self._runtime.submit(missed)

    def _decode_upstreams(
        self, values: Iterable[StoredValue]
    ) -> Iterator[ListedUpstream]:
        """Return the entries that can be decoded."""
        for value in values:
            decoded = self._decode_upstream(value)
            if decoded is not None:
                yield decoded

    def _report_answer(self, prefix: str, stored: StoredValues) -> None:
        self._runtime.submit(
            StoreReachReported(True, _WATCHES[prefix], position=stored.position)
        )

    def _apply_changes(self, changes: StoredValues) -> None:
        for value in changes.values:
            if value.key == CONFIG_KEY:
                self._submit_routes(value, changes.position)
            elif value.key.startswith(UPSTREAM_PREFIX):
                self._submit_upstream_change(value)

    def _submit_upstream_change(self, value: StoredValue) -> None:
        instance = value.key.removeprefix(UPSTREAM_PREFIX)
        listed = None
        if value.raw is not None:
            listed = self._decode_upstream(value)
        self._runtime.submit(UpstreamChanged(instance, listed))

    def _submit_routes(
        self, value: StoredValue, position: StorePosition
    ) -> None:
        if value.raw is None:
            self._log_unusable_entry(value, 'deleted')
            return
        decoded = decode_route_table(value.raw)
        if decoded.is_error():
            self._log_unusable_entry(value, decoded.error)
            return
        self._runtime.submit(RoutesOffered(decoded.ok, position=position))

    def _decode_upstream(self, value: StoredValue) -> ListedUpstream | None:
        decoded = decode_upstream(value.key, value.raw or b'')
        if decoded.is_error():
            self._log_unusable_entry(value, decoded.error)
            return None
        return decoded.ok

    def _log_unusable_entry(self, value: StoredValue, cause: str) -> None:
        self._runtime.counters.add('store_entries_refused')
        self._runtime.log_decision(
            'store_entry_unusable',
            {'key': value.key, 'revision': value.revision, 'cause': cause},
            important=True,
        )

    async def _sleep_with_jitter(self, seconds: float) -> None:
        # VMs that lost the store at the same time must not all retry at once.
        self._sleep_count += 1
        hashed = hash_parts(self._runtime.core.state.vm, self._sleep_count)
        fraction = hashed % _JITTER_STEPS / _JITTER_STEPS
        await asyncio.sleep(seconds * (0.5 + fraction))
