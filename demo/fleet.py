"""Fleet of the demonstration: stand-ins, and daemons in data centres.

The examples have four data centres; by default each runs two daemons.
"""

import asyncio
import json
import time
from dataclasses import dataclass, field
from pathlib import Path

import aiohttp

from bilberryspoke._internal.config.bundles import make_bundle
from bilberryspoke._internal.config.folder import read_folder
from bilberryspoke._internal.config.validation import (
    ObjectSet,
    RawObject,
    has_errors,
    validate_objects,
)
from demo.processes import Processes, find_free_ports

ROOT = Path(__file__).parent.parent
EXAMPLES = {'xela': 'xelaju', 'maree': 'maree'}
_READY_TIMEOUT_S = 30.0
_POLL_INTERVAL_S = 0.1


@dataclass
class VmProcess:
    """One daemon of the fleet, with its ports on localhost."""

    name: str
    data_centre: str
    entry_port: int
    admin_port: int
    peer_port: int
    pid: int = 0

    @property
    def url(self) -> str:
        """Base URL for callers."""
        return f'http://127.0.0.1:{self.entry_port}'

    @property
    def admin_url(self) -> str:
        """Base URL of the admin endpoints."""
        return f'http://127.0.0.1:{self.admin_port}'

    @property
    def peer_address(self) -> str:
        """Address for the other VMs, without a scheme."""
        return f'127.0.0.1:{self.peer_port}'


@dataclass
class FleetSettings:
    """Settings of a fleet.

    ``name`` is a key of ``EXAMPLES``; ``folder`` gets settings and logs of the
    processes; ``engine_options`` go to the engines' command lines.
    """

    name: str
    folder: Path
    vms_per_data_centre: int = 2
    policy: str = 'slot_owner'
    settle_s: float = 1.0
    engine_options: tuple[str, ...] = ()


@dataclass
class Fleet:
    """Running processes of one example, and its configured objects.

    ``ports`` are the ports of the upstreams by name, ``revision`` is the last
    one that was published.
    """

    settings: FleetSettings
    processes: Processes
    objects: ObjectSet
    vms: list[VmProcess] = field(default_factory=list)
    ports: dict[str, int] = field(default_factory=dict)
    platform_port: int = 0
    revision: int = 0

    @property
    def platform_url(self) -> str:
        """Base URL of the platform stand-in."""
        return f'http://127.0.0.1:{self.platform_port}'

    @property
    def upstreams(self) -> list[dict]:
        """Name, URL, kind, data centre and pid of each upstream."""
        return [
            {
                'name': name,
                'url': f'http://127.0.0.1:{self.ports[name]}',
                'kind': item.serves,
                'data_centre': item.data_centre,
                'pid': self.processes.children[name].pid,
            }
            for name, item in self.objects.of_kind('upstream').items()
        ]

    def start_stand_ins(self) -> None:
        """Start the platform, the engines and the service replicas."""
        upstreams = self.objects.of_kind('upstream')
        ports = find_free_ports(len(upstreams) + 1)
        self.platform_port = ports.pop()
        self.processes.start(
            'platform',
            '-m',
            'fakes.platform',
            f'--port={self.platform_port}',
        )
        for name, item in upstreams.items():
            self.ports[name] = ports.pop()
            self._start_upstream(name, item)

    def start_vms(self) -> None:
        """Start the daemons of all data centres."""
        names = [
            (f'{data_centre}-vm{number}', data_centre)
            for data_centre in self.objects.of_kind('data_centre')
            for number in range(1, self.settings.vms_per_data_centre + 1)
        ]
        ports = find_free_ports(3 * len(names))
        for name, data_centre in names:
            vm = VmProcess(
                name,
                data_centre,
                ports.pop(),
                ports.pop(),
                ports.pop(),
            )
            self.vms.append(vm)
        for vm in self.vms:
            self.start_vm(vm)

    def start_vm(self, vm: VmProcess) -> None:
        """Write the settings of one daemon and start it, also again."""
        path = self.settings.folder / f'{vm.name}.jsonc'
        path.write_text(self._make_settings(vm))
        child = self.processes.start(
            vm.name,
            '-c',
            'from bilberryspoke._internal.cli.daemon import main; main()',
            f'--settings={path}',
        )
        vm.pid = child.pid

    async def wait_ready(self, vms: list[VmProcess] | None = None) -> None:
        """Wait until daemons (by default all) are ready.

        Raises RuntimeError if a process has exited or 30 s have passed.
        """
        deadline_at = time.monotonic() + _READY_TIMEOUT_S
        async with aiohttp.ClientSession() as session:
            for vm in vms or self.vms:
                while not await _is_ready(session, vm.url):
                    exited = self.processes.find_exited()
                    if exited or time.monotonic() > deadline_at:
                        logs = self.processes.log_folder
                        raise RuntimeError(
                            f'{vm.name} is not ready; exited: {exited}; '
                            f'see the logs in {logs}',
                        )
                    await asyncio.sleep(_POLL_INTERVAL_S)

    async def publish(self, changes: dict[str, dict] | None = None) -> int:
        """Publish the objects with changed fields; return the revision.

        ``changes`` maps labels such as ``upstream/rota-1`` to the fields that
        differ from the example.
        """
        self.revision += 1
        published = self._apply_changes(changes or {})
        bundle = make_bundle(published, self.revision)
        async with aiohttp.ClientSession() as session:
            for digest, raw in bundle.values.items():
                await _put(session, f'{self._values_url}/{digest}', raw)
            url = f'{self._values_url}/manifest'
            await _put(session, url, bundle.manifest)
        return self.revision

    async def publish_vm_list(
        self, leaving: frozenset[str] = frozenset()
    ) -> None:
        """Write the platform's list of VMs; those in ``leaving`` leave."""
        vm_entries = [
            {
                'name': vm.name,
                'role': 'entry',
                'data_centre': vm.data_centre,
                'state': 'leaving' if vm.name in leaving else 'live',
                'peer_address': vm.peer_address,
            }
            for vm in self.vms
        ]
        vm_entries.extend(
            {
                'name': name,
                'role': 'upstream',
                'data_centre': item.data_centre,
                'state': 'leaving' if name in leaving else 'live',
            }
            for name, item in self.objects.of_kind('upstream').items()
        )
        raw = json.dumps({'vms': vm_entries}).encode()
        async with aiohttp.ClientSession() as session:
            await _put(session, f'{self.platform_url}/admin/vms', raw)

    async def wait_for_platform(self) -> None:
        """Wait until the platform stand-in answers, for up to 30 s."""
        deadline_at = time.monotonic() + _READY_TIMEOUT_S
        url = f'{self.platform_url}/admin/stats'
        async with aiohttp.ClientSession() as session:
            while time.monotonic() < deadline_at:
                try:
                    async with session.get(url):
                        return
                except aiohttp.ClientError:
                    await asyncio.sleep(_POLL_INTERVAL_S)
        raise RuntimeError('platform stand-in did not answer within 30 s')

    def stop_vms(self) -> dict[str, int]:
        """Stop all daemons gracefully; return their exit codes by name."""
        names = [vm.name for vm in self.vms]
        alive = [name for name in names if name in self.processes.children]
        return self.processes.stop(alive)

    def stop_all(self) -> dict[str, int]:
        """Stop daemons, then stand-ins; return the daemons' exit codes."""
        codes = self.stop_vms()
        self.processes.stop(list(self.processes.children))
        return codes

    @property
    def _values_url(self) -> str:
        return f'{self.platform_url}/admin/values'

    def _start_upstream(self, name: str, item: object) -> None:
        port = f'--port={self.ports[name]}'
        if item.serves == 'model':
            self.processes.start(
                name,
                '-m',
                'fakes.engine',
                port,
                f'--slots={item.slots}',
                *self.settings.engine_options,
            )
            return
        options = ['--deduplicates'] if item.deduplicates else []
        self.processes.start(name, '-m', 'fakes.service', port, *options)

    def _make_settings(self, vm: VmProcess) -> str:
        document = {
            'vm': vm.name,
            'data_centre': vm.data_centre,
            'entry': {'port': vm.entry_port},
            'admin': {'port': vm.admin_port},
            'peers': {
                'port': vm.peer_port,
                'seeds': [
                    {'name': other.name, 'address': other.peer_address}
                    for other in self.vms
                    if other.name != vm.name
                ],
            },
            'platform': {'url': self.platform_url},
            'stop': {'settle_s': self.settings.settle_s},
            'policy': self.settings.policy,
        }
        return f'// Settings of {vm.name}.\n{json.dumps(document, indent=2)}\n'

    def _apply_changes(self, changes: dict[str, dict]) -> ObjectSet:
        raw_objects = []
        for kind, items in self.objects.items.items():
            for name, item in items.items():
                fields = item.model_dump(mode='json', by_alias=True)
                if kind == 'upstream':
                    fields['url'] = f'http://127.0.0.1:{self.ports[name]}'
                fields.update(changes.get(f'{kind}/{name}', {}))
                raw_objects.append(RawObject('demo', name, fields))
        objects = validate_objects(raw_objects)
        if has_errors(objects.findings):
            raise ValueError('\n'.join(map(str, objects.findings)))
        return objects


def make_fleet(settings: FleetSettings) -> Fleet:
    """Read the objects of an example and return its fleet, not started."""
    settings.folder.mkdir(parents=True, exist_ok=True)
    objects = read_folder(ROOT / 'examples' / EXAMPLES[settings.name])
    processes = Processes(settings.folder / 'logs')
    return Fleet(settings, processes, objects)


async def start_fleet(settings: FleetSettings) -> Fleet:
    """Start a fleet and wait until every daemon is ready.

    All processes are stopped again if that fails.
    """
    fleet = make_fleet(settings)
    try:
        fleet.start_stand_ins()
        await fleet.wait_for_platform()
        await fleet.publish()
        fleet.start_vms()
        await fleet.publish_vm_list()
        await fleet.wait_ready()
    except BaseException:
        fleet.stop_all()
        raise
    return fleet


def describe_endpoints(fleet: Fleet) -> dict:
    """Return what clients need: endpoints, keys, classes and pools."""
    approvals = fleet.objects.of_kind('approval').values()
    classes = fleet.objects.of_kind('class').values()
    return {
        'entries': [
            {
                'url': vm.url,
                'admin_url': vm.admin_url,
                'vm': vm.name,
                'data_centre': vm.data_centre,
                'pid': vm.pid,
            }
            for vm in fleet.vms
        ],
        'upstreams': fleet.upstreams,
        'platform': {'url': fleet.platform_url},
        'workspaces': [
            {
                'name': name,
                'key': f'demo-{name}',
                'classes': [
                    approval.service_class
                    for approval in approvals
                    if approval.workspace == name
                ],
            }
            for name in fleet.objects.of_kind('workspace')
        ],
        'classes': [
            {
                'name': each.name,
                'tier': each.tier,
                'protected': each.protected,
                'target_ms': each.total_ms or each.first_token_ms,
                'first_token_ms': each.first_token_ms,
                'total_ms': each.total_ms,
            }
            for each in classes
        ],
        'pools': [
            {'name': pool.name, 'serves': pool.serves, 'offers': pool.offers}
            for pool in fleet.objects.of_kind('pool').values()
        ],
    }


async def _is_ready(session: aiohttp.ClientSession, url: str) -> bool:
    try:
        async with session.get(f'{url}/readyz') as resp:
            return resp.status == 200
    except (aiohttp.ClientError, OSError):
        return False


async def _put(session: aiohttp.ClientSession, url: str, raw: bytes) -> None:
    async with session.put(url, data=raw) as resp:
        resp.raise_for_status()
