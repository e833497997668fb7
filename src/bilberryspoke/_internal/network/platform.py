"""Reading and watching of the platform's configuration service."""

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

_READ_TIMEOUT_S = 5.0
_WATCH_MARGIN_S = 5.0


class _ListedVm(msgspec.Struct):
    name: str
    role: str
    data_centre: str
    state: str
    peer_address: str = ''


class _VmList(msgspec.Struct):
    vms: list[_ListedVm]
    as_of_ms: int = 0


@dataclass(slots=True)
class PlatformClient:
    """Client of the configuration service; counts every call it makes."""

    settings: PlatformSettings
    session: aiohttp.ClientSession
    reads: int = 0

    async def read_manifest(self) -> bytes:
        """Read the manifest as it is now."""
        return await self._read(f'/v1/values/{MANIFEST_NAME}', _READ_TIMEOUT_S)

    async def watch_manifest(self, digest: str) -> bytes | None:
        """Wait for a manifest other than the one with this digest."""
        wait_s = self.settings.watch_s
        path = f'/v1/watch/{MANIFEST_NAME}?digest={digest}&wait_s={wait_s}'
        raw = await self._read(path, wait_s + _WATCH_MARGIN_S)
        return raw or None

    async def read_bundle(
        self,
        manifest: bytes,
        known: Mapping[str, bytes],
    ) -> Result[Bundle, Any]:
        """Read the values of a manifest that are not known yet."""
        parsed = parse_manifest(manifest)
        if parsed.is_error():
            return Error([parsed.error])
        values = {}
        for digest in parsed.ok.values:
            raw = known.get(digest)
            if raw is None:
                raw = await self._read(f'/v1/values/{digest}', _READ_TIMEOUT_S)
            values[digest] = raw
        return Ok(Bundle(manifest, values))

    async def list_vms(self) -> VmsListed:
        """Read the lagging list of VMs."""
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
                return await resp.read()
        except (TimeoutError, aiohttp.ClientError, OSError) as exc:
            cause = str(exc) or type(exc).__name__
            raise PlatformUnavailableError(url, cause) from exc
