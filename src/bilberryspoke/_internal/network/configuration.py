"""Updates the configuration and the list of VMs while the daemon runs."""

import asyncio

import structlog
from expression import Result

from bilberryspoke._internal.config.bundles import (
    Bundle,
    LoadedBundle,
    load_bundle,
)
from bilberryspoke._internal.exceptions import PlatformUnavailableError
from bilberryspoke._internal.models.events import CatalogOffered, VmsListed
from bilberryspoke._internal.models.findings import Finding
from bilberryspoke._internal.models.messages import ConfigPush
from bilberryspoke._internal.network.clock import read_boottime
from bilberryspoke._internal.network.platformclient import PlatformClient
from bilberryspoke._internal.network.runtime import Runtime

logger = structlog.get_logger()

_MAX_LOGGED_FINDINGS = 5


class ConfigurationUpdater:
    """Offers configurations of the platform and of peers to the core.

    Each is checked first; a refused one is logged and counted.

    Once a VM has a configuration, it reads the manifest only if it is among
    the first live VMs of its data centre by rendezvous hashing (as many as
    ``watchers`` of the platform settings); the others get updates from their
    peers. Every VM reads the list of VMs.
    """

    def __init__(self, runtime: Runtime, platform: PlatformClient) -> None:
        """Create an updater that has read nothing yet."""
        self._runtime = runtime
        self._platform = platform
        self._last_read_digest = ''
        self._last_refused_digest = ''
        self._reachable = True
        self._push_checks: set[asyncio.Task[None]] = set()

    async def poll_manifest(self) -> None:
        """Read the manifest and watch it for changes until cancelled."""
        while True:
            if (
                not self._platform.settings.url
                or not self._should_read_manifest()
            ):
                await asyncio.sleep(self._platform.settings.retry_s)
                continue
            try:
                await self._check_next_manifest()
            except PlatformUnavailableError as exc:
                self._update_reachability(reachable=False, cause=str(exc))
                await asyncio.sleep(self._platform.settings.retry_s)

    async def poll_vm_list(self) -> None:
        """Read the list of VMs every ``list_s`` seconds until cancelled."""
        while True:
            if self._platform.settings.url:
                try:
                    listed = await self._platform.list_vms()
                except PlatformUnavailableError:
                    self._runtime.counters.add('platform_errors', 'vms')
                else:
                    self._apply_vm_list(listed)
            await asyncio.sleep(self._platform.settings.list_s)

    def handle_push(self, message: ConfigPush) -> None:
        """Check a configuration that a peer sent, in the background."""
        task = asyncio.create_task(self._check_push(message))
        self._push_checks.add(task)
        task.add_done_callback(self._push_checks.discard)

    async def _check_push(self, message: ConfigPush) -> None:
        held = self._runtime.core.state.values
        bundle = Bundle(message.manifest, {**held, **message.values}).prune()
        if bundle.digest != message.digest:
            finding = Finding(
                'push', 'digest', 'does not match the manifest and its values'
            )
            self._report_refused(message.digest, [finding])
            return
        await self._check_and_offer(bundle)

    async def _check_next_manifest(self) -> None:
        if self._last_read_digest:
            manifest = await self._platform.watch_manifest(
                self._last_read_digest
            )
        else:
            manifest = await self._platform.read_manifest()
        self._update_reachability(reachable=True)
        if manifest is None:
            return
        held = self._runtime.core.state.values
        result = await self._platform.read_bundle(manifest, held)
        if result.is_error():
            self._report_refused('', result.error)
            await asyncio.sleep(self._platform.settings.retry_s)
            return
        bundle = result.ok
        self._last_read_digest = bundle.digest
        await self._check_and_offer(bundle)

    async def _check_and_offer(self, bundle: Bundle) -> None:
        # In a thread: checking a large bundle takes seconds and would block
        # the event loop, and with it streams and heartbeats.
        loaded = await asyncio.to_thread(load_bundle, bundle)
        self._offer(bundle, loaded)

    def _offer(
        self,
        bundle: Bundle,
        loaded: Result[LoadedBundle, list[Finding]],
    ) -> None:
        if loaded.is_error():
            self._report_refused(bundle.digest, loaded.error)
            return
        self._runtime.submit(
            CatalogOffered(
                loaded.ok.catalog,
                bundle.manifest,
                bundle.values,
            ),
        )

    def _report_refused(self, digest: str, findings: list[Finding]) -> None:
        self._runtime.counters.add('config_refused')
        # Peers may send a refused configuration again; it is logged once. The
        # digest is empty if the manifest is malformed; that is always logged.
        if digest == self._last_refused_digest and digest:
            return
        self._last_refused_digest = digest
        shown = [str(finding) for finding in findings[:_MAX_LOGGED_FINDINGS]]
        logger.error(
            'config_refused',
            digest=digest,
            findings=shown,
            count=len(findings),
        )

    def _should_read_manifest(self) -> bool:
        state = self._runtime.core.state
        if state.catalog is None:
            return True
        return state.membership.is_watcher(
            state.settings.data_centre,
            read_boottime(),
            watchers=self._platform.settings.watchers,
        )

    def _update_reachability(self, *, reachable: bool, cause: str = '') -> None:
        if not reachable:
            self._runtime.counters.add('platform_errors', 'manifest')
        if reachable != self._reachable:
            self._reachable = reachable
            event = (
                'platform_reachable' if reachable else 'platform_unreachable'
            )
            logger.warning(event, cause=cause)

    def _apply_vm_list(self, listed: VmsListed) -> None:
        peers = self._runtime.peers
        for vm in listed.vms:
            if vm.role == 'entry' and vm.peer_address and peers is not None:
                if vm.name != self._runtime.core.state.vm:
                    peers.connect_peer(vm.name, vm.peer_address)
        self._runtime.submit(listed)
