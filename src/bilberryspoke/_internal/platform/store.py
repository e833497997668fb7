"""Client of the platform's store, which is only read and watched."""

import base64
import binascii
from dataclasses import dataclass

import aiohttp
import msgspec

from bilberryspoke._internal.exceptions import (
    PlatformHistoryLostError,
    PlatformUnavailableError,
)

_READ_TIMEOUT_S = 1.0
_WATCH_MARGIN_S = 1.0
_MS_PER_S = 1000
_OK = 200
_GONE = 410
_NOT_FOUND = 404


@dataclass(frozen=True, slots=True)
class StoredValue:
    """A value as of a revision; ``raw`` is None where the key was deleted."""

    key: str
    revision: int
    raw: bytes | None


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Values read together; the next watch goes on from ``revision``."""

    values: tuple[StoredValue, ...]
    revision: int


class _Item(msgspec.Struct, rename='kebab'):
    key: str = ''
    mod_revision: int = 0
    # Standard base64 with padding.
    value: str = ''
    deleted: bool = False


class _ItemAt(_Item):
    # Revision of the store, not of the item.
    at: int = 0


class _Page(msgspec.Struct, rename='kebab'):
    items: list[_Item]
    at: int
    has_more: bool = False


class _Events(msgspec.Struct, rename='kebab'):
    events: list[_Item]
    # Revision after which the next watch goes on.
    at: int


class StoreClient:
    """Reads values of the store and waits for changes; counts its calls."""

    def __init__(self, address: str, own_host: str) -> None:
        """Create the client session; must run inside the event loop.

        Calls come from ``own_host``.
        """
        self.calls = 0
        self._base = f'http://{address}'
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, local_addr=(own_host, 0)),
        )

    async def close(self) -> None:
        """Close all connections to the store."""
        await self._session.close()

    async def read(self, key: str) -> Snapshot:
        """Read one value as it is now; empty if there is none."""
        raw = await self._get('/-/kv-key', {'key': key}, _READ_TIMEOUT_S)
        if raw is None:
            return Snapshot((), 0)
        item = _decode(raw, _ItemAt, key)
        return Snapshot((_decode_item(item),), item.at)

    async def read_all(self, prefix: str) -> Snapshot:
        """Read all values below a prefix, page by page.

        Pages are not one snapshot: the revision is that of the first page,
        so that a watch from there brings whatever changed meanwhile.
        """
        values: list[StoredValue] = []
        revision = 0
        after = ''
        while True:
            query = {'path-prefix': prefix}
            if after:
                query['after'] = after
            raw = await self._get('/-/kv-range', query, _READ_TIMEOUT_S)
            page = _decode(raw or b'', _Page, prefix)
            values.extend(_decode_item(item) for item in page.items)
            revision = revision or page.at
            if not page.has_more or not page.items:
                return Snapshot(tuple(values), revision)
            after = page.items[-1].key

    async def watch(self, prefix: str, after: int, wait_s: float) -> Snapshot:
        """Wait for changes below a prefix; empty when the wait is over."""
        query = {
            'path-prefix': prefix,
            'after': str(after),
            'wait-ms': str(round(wait_s * _MS_PER_S)),
        }
        timeout_s = wait_s + _WATCH_MARGIN_S
        raw = await self._get('/-/kv-watch', query, timeout_s)
        found = _decode(raw or b'', _Events, prefix)
        values = tuple(_decode_item(item) for item in found.events)
        return Snapshot(values, found.at)

    async def _get(
        self,
        path: str,
        query: dict[str, str],
        timeout_s: float,
    ) -> bytes | None:
        self.calls += 1
        url = self._base + path
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        try:
            async with self._session.get(
                url,
                params=query,
                timeout=timeout,
            ) as resp:
                if resp.status == _NOT_FOUND:
                    return None
                if resp.status == _GONE:
                    raise PlatformHistoryLostError(url)
                if resp.status != _OK:
                    cause = f'status {resp.status}'
                    raise PlatformUnavailableError(url, cause)
                return await resp.read()
        except (TimeoutError, aiohttp.ClientError, OSError) as exc:
            cause = str(exc) or type(exc).__name__
            raise PlatformUnavailableError(url, cause) from exc


def _decode(raw: bytes, shape: type, subject: str):
    try:
        return msgspec.json.decode(raw, type=shape)
    except (msgspec.MsgspecError, UnicodeDecodeError) as exc:
        raise PlatformUnavailableError(subject, str(exc)) from exc


def _decode_item(item: _Item) -> StoredValue:
    if item.deleted:
        return StoredValue(item.key, item.mod_revision, None)
    try:
        raw = base64.b64decode(item.value, validate=True)
    except (binascii.Error, ValueError):
        # A writer's broken value is a value that can not be decoded.
        raw = b''
    return StoredValue(item.key, item.mod_revision, raw)
