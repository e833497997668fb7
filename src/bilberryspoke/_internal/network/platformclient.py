"""HTTP client of the platform's configuration service."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import aiohttp
import msgspec
from expression import Error, Ok, Result

from bilberryspoke._internal.config.bundles import (
    MANIFEST_NAME,
    Bundle,
    parse_manifest,
)
from bilberryspoke._internal.config.settings import PlatformSettings
from bilberryspoke._internal.exceptions import PlatformUnavailableError
from bilberryspoke._internal.models.events import ListedVm, VmsListed
from bilberryspoke._internal.utils.boundedreads import read_body

_READ_TIMEOUT_S = 5.0
# A value of the service has at most 1 MB.
_MAX_ANSWER_BYTES = 4_194_304
# All values of a configuration, which VMs send to one another in one message.
_MAX_BUNDLE_BYTES = 64_000_000
# Added to the time for which the service may hold a watch open.
_WATCH_TIMEOUT_MARGIN_S = 5.0


class _VmEntry(msgspec.Struct):
    name: str
    role: str
    data_centre: str
    state: str
    peer_address: str = ''


class _VmList(msgspec.Struct):
    vms: list[_VmEntry]
    as_of_ms: int = 0


@dataclass(slots=True)
class PlatformClient:
    """Client of the configuration service; ``reads`` counts its requests.

    Its methods raise ``PlatformUnavailableError`` if the service does not
    give a usable answer in time.
    """

    settings: PlatformSettings
    session: aiohttp.ClientSession
    reads: int = 0

    async def read_manifest(self) -> bytes:
        """Return the current manifest."""
        return await self._read(f'/v1/values/{MANIFEST_NAME}', _READ_TIMEOUT_S)

    async def watch_manifest(self, digest: str) -> bytes | None:
        """Wait for a manifest other than the one with this digest.

        Returns None if there is none within ``watch_s`` seconds.
        """
        wait_s = self.settings.watch_s
        path = f'/v1/watch/{MANIFEST_NAME}?digest={digest}&wait_s={wait_s}'
        raw = await self._read(path, wait_s + _WATCH_TIMEOUT_MARGIN_S)
        return raw or None

    async def read_bundle(
        self,
        manifest: bytes,
        known: Mapping[str, bytes],
    ) -> Result[Bundle, Any]:
        """Return the bundle of a manifest; read only values not in ``known``.

        ``known`` has values by digest. Returns a list with a finding as the
        error if the manifest is malformed.
        """
        parsed = parse_manifest(manifest)
        if parsed.is_error():
            return Error([parsed.error])
        values = {}
        remaining_bytes = _MAX_BUNDLE_BYTES
        for digest in parsed.ok.values:
            raw = known.get(digest)
            if raw is None:
                raw = await self._read(f'/v1/values/{digest}', _READ_TIMEOUT_S)
            remaining_bytes -= len(raw)
            if remaining_bytes < 0:
                cause = f'the values are over {_MAX_BUNDLE_BYTES} bytes'
                raise PlatformUnavailableError(self.settings.url, cause)
            values[digest] = raw
        return Ok(Bundle(manifest, values))

    async def list_vms(self) -> VmsListed:
        """Return the platform's list of VMs, which lags behind their state."""
        raw = await self._read('/v1/vms', _READ_TIMEOUT_S)
        try:
            parsed = msgspec.json.decode(raw, type=_VmList)
        except msgspec.MsgspecError as exc:
            raise PlatformUnavailableError('/v1/vms', str(exc)) from exc
        listed = tuple(
            ListedVm(
                name=vm.name,
                role=vm.role,
                data_centre=vm.data_centre,
                leaving=vm.state == 'leaving',
                peer_address=vm.peer_address,
            )
            for vm in parsed.vms
        )
        return VmsListed(listed, parsed.as_of_ms)

    async def _read(self, path: str, timeout_s: float) -> bytes:
        """Return the body of a GET, empty for status 204."""
        url = self.settings.url + path
        self.reads += 1
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        try:
            async with self.session.get(url, timeout=timeout) as resp:
                if resp.status == 204:
                    return b''
                if resp.status != 200:
                    cause = f'status {resp.status}'
                    raise PlatformUnavailableError(url, cause)
                return await read_body(resp, _MAX_ANSWER_BYTES)
        except (TimeoutError, aiohttp.ClientError, OSError) as exc:
            cause = str(exc) or type(exc).__name__
            raise PlatformUnavailableError(url, cause) from exc
