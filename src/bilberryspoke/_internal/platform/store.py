"""Read-only client of the platform's key-value store."""

import asyncio
import base64
import binascii
from dataclasses import dataclass
from typing import Annotated

import aiohttp
import msgspec

from bilberryspoke._internal.exceptions import (
    PlatformHistoryLostError,
    PlatformUnavailableError,
)
from bilberryspoke._internal.models.routing import NO_POSITION, StorePosition
from bilberryspoke._internal.utils.boundedprotocol import BoundedConnector
from bilberryspoke._internal.utils.boundedreads import read_body
from bilberryspoke._internal.utils.resending import forbid_resending

_READ_TIMEOUT_S = 1.0
# Time for the answer to arrive after the store has ended a watch by itself.
WATCH_TIMEOUT_MARGIN_S = 0.5
# A value has at most 1 MB, which base64 makes a third larger. A page ends at
# about as much; a watch returns all later versions of a value.
_MAX_ANSWER_BYTES = 8_388_608
# A page has at most about 500 items; a watch returns all changes since.
_MAX_ITEMS = 16_384
# For all pages of a list.
_MAX_PAGES = 256
_MAX_LIST_BYTES = 16_777_216
_LIST_TIMEOUT_S = 10.0
# Above it a number can't be passed on to other VMs.
_MAX_REVISION = 9_223_372_036_854_775_807
_MAX_ERA_DIGITS = 18
_MS_PER_S = 1000
_STATUS_OK = 200
_STATUS_GONE = 410
_STATUS_NOT_FOUND = 404
# Rises by one whenever the store was restored from a copy.
_ERA_HEADER = 'Store-Era'


@dataclass(frozen=True, slots=True)
class StoredValue:
    """Value of a key and the revision that wrote it.

    ``raw`` is None if the key was deleted, and empty if the stored value is
    not valid base64.
    """

    key: str
    revision: int
    raw: bytes | None


@dataclass(frozen=True, slots=True)
class StoredValues:
    """Values that one read or watch returned.

    ``position`` is the position of the store after which the next watch
    continues; its revision is 0 if the key that was read does not exist.
    """

    values: tuple[StoredValue, ...]
    position: StorePosition


_Revision = Annotated[int, msgspec.Meta(ge=0, le=_MAX_REVISION)]


class _Item(msgspec.Struct, rename='kebab'):
    key: str = ''
    mod_revision: _Revision = 0
    # Standard base64 with padding.
    value: str = ''
    deleted: bool = False


class _ReadReply(_Item):
    # Revision of the store at the time of the read, not of the item.
    at: _Revision = 0


class _RangeReply(msgspec.Struct, rename='kebab'):
    items: list[_Item]
    at: _Revision
    has_more: bool = False


class _WatchReply(msgspec.Struct, rename='kebab'):
    events: list[_Item]
    # Revision after which the next watch continues.
    at: _Revision


@dataclass(frozen=True, slots=True)
class _Answer:
    """Body of an answer, None for status 404, and the era of the store."""

    raw: bytes | None
    era: int


class StoreClient:
    """Reads values of the store and waits for changes.

    All methods raise PlatformUnavailableError if the store does not answer in
    time or not as expected. Each request has a connection of its own: one that
    was idle may have gone silent without a sign. ``calls`` counts the HTTP
    requests to the store.
    """

    def __init__(self, address: str, local_host: str) -> None:
        """Create the client session; must run inside the event loop.

        ``address`` is the host:port of the store. Requests are sent from the
        local address ``local_host``.
        """
        self.calls = 0
        self._base_url = f'http://{address}'
        self._session = aiohttp.ClientSession(
            connector=BoundedConnector(
                limit=0, local_addr=(local_host, 0), force_close=True
            ),
            middlewares=(forbid_resending,),
        )

    async def close(self) -> None:
        """Close all connections to the store."""
        await self._session.close()

    async def read(self, key: str) -> StoredValues:
        """Read the current value of a key; no values if it does not exist."""
        answer = await self._get('/-/kv-key', {'key': key}, _READ_TIMEOUT_S)
        if answer.raw is None:
            return StoredValues((), StorePosition(answer.era, 0))
        item = _decode_reply(answer.raw, _ReadReply, key)
        position = StorePosition(answer.era, item.at)
        return StoredValues((_decode_item(item),), position)

    async def read_prefix(self, prefix: str) -> StoredValues:
        """Read all values whose keys start with a prefix, page by page.

        Pages may be from different revisions. The returned position is that
        of the first page, so that a watch from there also returns what
        changed while the other pages were read. Raises
        PlatformHistoryLostError if the store was restored between two pages.
        All pages together are bounded in number, size and time.
        """
        try:
            async with asyncio.timeout(_LIST_TIMEOUT_S):
                return await self._read_pages(prefix)
        except TimeoutError as exc:
            raise PlatformUnavailableError(prefix, 'list too slow') from exc

    async def watch(
        self,
        prefix: str,
        after: int,
        wait_s: float,
        *,
        longest_wait_s: float = 0,
    ) -> StoredValues:
        """Return changes after a revision to keys that start with a prefix.

        Waits up to ``wait_s`` seconds for a change; then returns no values.
        A slow store has that time or ``longest_wait_s``, and a margin.
        Raises PlatformHistoryLostError if the store no longer holds the
        changes after ``after``.
        """
        query = {
            'path-prefix': prefix,
            'after': str(after),
            'wait-ms': str(round(wait_s * _MS_PER_S)),
        }
        timeout_s = max(wait_s, longest_wait_s) + WATCH_TIMEOUT_MARGIN_S
        answer = await self._get('/-/kv-watch', query, timeout_s)
        reply = _decode_reply(answer.raw or b'', _WatchReply, prefix)
        values = tuple(_decode_item(item) for item in reply.events)
        return StoredValues(values, StorePosition(answer.era, reply.at))

    async def _read_pages(self, prefix: str) -> StoredValues:
        values: list[StoredValue] = []
        position = NO_POSITION
        after = ''
        remaining_bytes = _MAX_LIST_BYTES
        for _ in range(_MAX_PAGES):
            query = _make_range_query(prefix, after)
            answer = await self._get('/-/kv-range', query, _READ_TIMEOUT_S)
            raw = answer.raw or b''
            remaining_bytes -= len(raw)
            if remaining_bytes < 0 or len(values) > _MAX_ITEMS:
                break
            page = _decode_reply(raw, _RangeReply, prefix)
            values.extend(_decode_item(item) for item in page.items)
            page_position = StorePosition(answer.era, page.at)
            if not after:
                position = page_position
            if not position.is_continued_by(page_position):
                raise PlatformHistoryLostError(prefix)
            if not page.has_more or not page.items:
                return StoredValues(tuple(values), position)
            after = page.items[-1].key
        raise PlatformUnavailableError(prefix, 'list too long')

    async def _get(
        self,
        path: str,
        query: dict[str, str],
        timeout_s: float,
    ) -> _Answer:
        self.calls += 1
        url = self._base_url + path
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        try:
            async with self._session.get(
                url,
                params=query,
                timeout=timeout,
            ) as resp:
                era = _parse_era(resp.headers.get(_ERA_HEADER, ''))
                if resp.status == _STATUS_NOT_FOUND:
                    return _Answer(None, era)
                if resp.status == _STATUS_GONE:
                    raise PlatformHistoryLostError(url)
                if resp.status != _STATUS_OK:
                    cause = f'status {resp.status}'
                    raise PlatformUnavailableError(url, cause)
                return _Answer(await read_body(resp, _MAX_ANSWER_BYTES), era)
        except (TimeoutError, aiohttp.ClientError, OSError) as exc:
            cause = str(exc) or type(exc).__name__
            raise PlatformUnavailableError(url, cause) from exc


def _make_range_query(prefix: str, after: str) -> dict[str, str]:
    query = {'path-prefix': prefix}
    return {**query, 'after': after} if after else query


def _parse_era(text: str) -> int:
    """Return the era of an answer; 0 if it is missing or malformed."""
    if len(text) > _MAX_ERA_DIGITS:
        return 0
    return int(text) if text.isascii() and text.isdigit() else 0


def _decode_reply(raw: bytes, reply_type: type, key_or_prefix: str):
    # Decoded items are many times as large as the shortest encoded ones.
    if raw.count(b'{') > _MAX_ITEMS:
        raise PlatformUnavailableError(key_or_prefix, 'too many items')
    try:
        return msgspec.json.decode(raw, type=reply_type)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as exc:
        raise PlatformUnavailableError(key_or_prefix, str(exc)) from exc


def _decode_item(item: _Item) -> StoredValue:
    if item.deleted:
        return StoredValue(item.key, item.mod_revision, None)
    try:
        raw = base64.b64decode(item.value, validate=True)
    except (binascii.Error, ValueError):
        # Not an error of the store: the empty value fails to decode as a record
        # and is logged with its key.
        raw = b''
    return StoredValue(item.key, item.mod_revision, raw)
