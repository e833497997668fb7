"""Settings file that the platform writes for each process (YAML)."""

import math
from pathlib import Path
from typing import Annotated, Any

import yaml
from expression import Error, Ok, Result
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from bilberryspoke._internal.config.errors import make_findings
from bilberryspoke._internal.models.findings import Finding
from bilberryspoke._internal.models.vmsettings import (
    DeploymentBounds,
    VmSettings,
)

# Environment variable with the path of the settings file.
BOOT_VARIABLE = 'BILBERRYSPOKE_BOOT'
# Path of the readiness probe of the platform's load balancer.
READY_PATH = '/-/ready'
_BYTES_PER_MB = 1_000_000
_MS_PER_S = 1000

# HOST:PORT, the host without a colon.
Address = Annotated[str, Field(pattern='^[^:\\s]+:[0-9]+$')]


def _to_kebab_case(name: str) -> str:
    return name.replace('_', '-')


class _BootModel(BaseModel):
    """Base of all parts of the file, whose fields are in kebab case."""

    model_config = ConfigDict(
        extra='ignore',
        frozen=True,
        alias_generator=_to_kebab_case,
    )


class _Listen(_BootModel):
    """Addresses to listen on for callers and for readiness checks.

    ``control`` is accepted but not used.
    """

    front: Address
    ready: Address
    control: Address | None = None


class _Bounds(_BootModel):
    """The platform's names for the fields of ``DeploymentBounds``.

    ``grace_s``: seconds a stopping process has before it is killed.
    ``retry_budget_ratio``, ``budget_window_s``, ``retry_budget_slack``: within
    any ``budget_window_s`` seconds, the retries of all VMs to a service are
    at most ``retry_budget_ratio`` times its calls plus ``retry_budget_slack``.
    """

    grace_s: float = Field(default=8, gt=0)
    retry_budget_ratio: float = Field(default=0.2, ge=0)
    budget_window_s: float = Field(default=10, gt=0)
    retry_budget_slack: float = Field(default=0, ge=0)


class _Limits(_BootModel):
    """What the process may use.

    ``memory_mb``: memory in MB. ``max_fds``: open descriptors.
    """

    memory_mb: int = Field(default=512, ge=32)
    max_fds: int = Field(default=4096, ge=256)


class _Store(_BootModel):
    """Where the platform's key-value store listens.

    ``history_s``: seconds for which it is to keep changes.
    """

    address: Address
    history_s: float = Field(default=math.inf, gt=0)


class _Boot(_BootModel):
    """The whole settings file.

    ``node`` and ``zone`` are the platform's words for a VM and a data centre.
    ``ip`` is the VM's address for other VMs, ``seeds`` the addresses of some
    of them. Upstreams write their entries about every ``heartbeat_ms``.
    """

    node: str = Field(min_length=1)
    ip: str = Field(min_length=1)
    zone: str = Field(min_length=1)
    listen: _Listen
    # First and last port of the range that VMs may use among themselves. The
    # first is for peer messages, the next for calls that VMs hand off, the last
    # for metrics.
    internal_ports: tuple[int, int]
    seeds: tuple[Address, ...] = ()
    bounds: _Bounds = _Bounds()
    limits: _Limits = _Limits()
    platform: _Store
    heartbeat_ms: float = Field(default=1000, gt=0)


def read_boot_settings(path: Path) -> Result[VmSettings, list[Finding]]:
    """Read and check the platform's settings file.

    Returns all findings of the file together. A file that can't be read or is
    not YAML also gives a finding.
    """
    source = str(path)
    try:
        document = yaml.safe_load(path.read_text(encoding='utf-8'))
    except (OSError, UnicodeDecodeError) as exc:
        return Error([Finding(source, '', f'cannot be read: {exc}')])
    except yaml.YAMLError as exc:
        return Error([_make_yaml_finding(source, exc)])
    return parse_boot_settings(document, source=source)


def parse_boot_settings(
    document: Any,
    *,
    source: str,
) -> Result[VmSettings, list[Finding]]:
    """Check a parsed settings file and convert it to ``VmSettings``.

    Unknown fields are ignored. ``source`` names the file in findings.
    """
    try:
        boot = _Boot.model_validate(document)
    except ValidationError as exc:
        return Error(make_findings(exc, source=source, prefix=''))
    return Ok(_make_vm_settings(boot))


def _make_vm_settings(boot: _Boot) -> VmSettings:
    bounds = boot.bounds
    first_port, last_port = boot.internal_ports
    return VmSettings(
        vm=boot.node,
        data_centre=boot.zone,
        ip=boot.ip,
        entry_address=boot.listen.front,
        ready_address=boot.listen.ready,
        peer_port=first_port,
        metrics_port=last_port,
        handoff_port=first_port + 1 if first_port + 1 < last_port else None,
        seed_hosts=tuple(seed.rsplit(':', 1)[0] for seed in boot.seeds),
        store_address=boot.platform.address,
        memory_bytes=boot.limits.memory_mb * _BYTES_PER_MB,
        max_descriptors=boot.limits.max_fds,
        bounds=DeploymentBounds(
            stop_timeout_s=bounds.grace_s,
            retry_share=bounds.retry_budget_ratio,
            retry_window_s=bounds.budget_window_s,
            retry_reserve=bounds.retry_budget_slack,
            history_s=boot.platform.history_s,
            upstream_heartbeat_s=boot.heartbeat_ms / _MS_PER_S,
        ),
    )


def _make_yaml_finding(source: str, exc: yaml.YAMLError) -> Finding:
    mark = getattr(exc, 'problem_mark', None)
    line = mark.line + 1 if mark else 0
    problem = getattr(exc, 'problem', None) or 'not valid YAML'
    return Finding(source, '', problem, line=line)
