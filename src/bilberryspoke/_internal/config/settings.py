"""Settings of the daemon, read from a file of JSON with comments.

The reference page is made from the docstrings and descriptions of the models.
"""

from pathlib import Path
from typing import Annotated, Literal

from expression import Error, Ok, Result
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from bilberryspoke._internal.config.errors import make_findings
from bilberryspoke._internal.config.jsonc import read_jsonc
from bilberryspoke._internal.config.objects import Name
from bilberryspoke._internal.models.findings import Finding

Port = Annotated[int, Field(ge=0, le=65535)]


class SettingsModel(BaseModel):
    """Base of all sections of the settings."""

    model_config = ConfigDict(extra='forbid', frozen=True)


class Listener(SettingsModel):
    """An address to listen on; port 0 lets the system choose a free port."""

    host: str = Field(default='127.0.0.1', min_length=1)
    port: Port = 0


class TlsFiles(SettingsModel):
    """Paths of the certificate chain and of its private key, both in PEM."""

    certificate: str
    key: str


class Seed(SettingsModel):
    """Another VM to connect to at the start; the address is host:port."""

    name: Name
    address: str = Field(pattern='^[^:\\s]+:[0-9]+$')


class PeerSettings(SettingsModel):
    """Address for messages from other VMs, and the VMs to connect to first."""

    host: str = Field(default='127.0.0.1', min_length=1)
    port: Port = 0
    seeds: tuple[Seed, ...] = ()


class PlatformSettings(SettingsModel):
    """The platform's configuration service, read only; durations in seconds."""

    url: str = Field(default='', pattern='^(https?://\\S+)?$')
    watchers: int = Field(
        default=2,
        ge=1,
        le=8,
        description='Number of VMs of a data centre that watch the manifest.',
    )
    # Maximum time that a watch of the manifest waits for a change.
    watch_s: float = Field(default=20, gt=0, le=300)
    # Interval until the next attempt to read the manifest after a failure, or
    # while this VM is not one of the watchers.
    retry_s: float = Field(default=0.5, gt=0, le=60)
    # Interval at which the list of VMs is read.
    list_s: float = Field(default=1, gt=0, le=60)
    weights_per_s: float = Field(
        default=4,
        gt=0,
        le=1000,
        description='Reads per second of the weight store by all VMs together.',
    )


class LimitSettings(SettingsModel):
    """Limits for callers and upstreams. Durations are in seconds."""

    body_bytes: int = Field(default=4_000_000, ge=1, le=1_000_000_000)
    header_bytes: int = Field(default=32_768, ge=256, le=1_000_000)
    request_memory_bytes: int = Field(
        default=268_435_456,
        ge=1_000_000,
        description='Maximum memory for the requests of all callers together.',
    )
    # Maximum number of requests that are open at the VM.
    connections: int = Field(default=5000, ge=1, le=100_000)
    # Maximum time until the body of a request has arrived.
    body_timeout_s: float = Field(default=15, gt=0, le=3600)
    request_timeout_s: float = Field(default=300, gt=0, le=86_400)
    # Maximum time to connect to an upstream.
    upstream_connect_s: float = Field(default=0.5, gt=0, le=60)
    # Maximum time that an upstream may send no bytes of an answer.
    upstream_idle_s: float = Field(default=30, gt=0, le=3600)
    send_timeout_s: float = Field(
        default=30,
        gt=0,
        le=3600,
        description='Maximum time a caller may take no bytes of its answer.',
    )
    # Maximum number of requests in the queues.
    queue_length: int = Field(default=5000, ge=1, le=1_000_000)
    # Number of retries allowed for each first attempt.
    retry_share: float = Field(default=0.2, ge=0, le=1)


class StopSettings(SettingsModel):
    """Graceful stop. Durations are in seconds from its beginning."""

    settle_s: float = Field(
        default=1,
        ge=0,
        le=60,
        description='Time for which new requests are still accepted.',
    )
    # Requests that are still open after this time are cut off.
    limit_s: float = Field(default=120, gt=0, le=86_400)


class Settings(SettingsModel):
    """All settings of one daemon."""

    vm: Name
    data_centre: Name
    entry: Listener = Listener()
    admin: Listener = Listener()
    peers: PeerSettings = PeerSettings()
    platform: PlatformSettings = PlatformSettings()
    limits: LimitSettings = LimitSettings()
    stop: StopSettings = StopSettings()
    tls: TlsFiles | None = None
    policy: Literal[
        'slot_owner',
        'static_share',
        'two_choices',
        'least_load',
        'round_robin',
    ] = 'slot_owner'


def read_settings(path: Path) -> Result[Settings, list[Finding]]:
    """Read and check a settings file.

    The error lists all findings, not only the first one.
    """
    parsed = read_jsonc(path)
    if parsed.is_error():
        return Error([parsed.error])
    return parse_settings(parsed.ok, source=str(path))


def parse_settings(
    document: object,
    *,
    source: str,
) -> Result[Settings, list[Finding]]:
    """Check a parsed settings file and the files it refers to.

    ``source`` is the path of the settings file, for findings.
    """
    try:
        settings = Settings.model_validate(document)
    except ValidationError as exc:
        return Error(make_findings(exc, source=source, prefix=''))
    findings = _check_tls_files(settings, source)
    return Error(findings) if findings else Ok(settings)


def _check_tls_files(settings: Settings, source: str) -> list[Finding]:
    if settings.tls is None:
        return []
    findings = []
    for name in ('certificate', 'key'):
        path = getattr(settings.tls, name)
        if not Path(path).is_file():
            findings.append(
                Finding(source, f'tls.{name}', f'file does not exist: {path}')
            )
    return findings
