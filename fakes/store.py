"""Stand-in for the platform's key-value store, with faults.

It serves single values, ranges of keys in pages, and watches by long polling.
It can be away and come back from a copy, as a restored store does.
"""

import asyncio
import base64
import json
from dataclasses import dataclass, field
from typing import Any

from aiohttp import web

from fakes.addresses import STAND_IN_HOST

_MAX_ITEMS_PER_PAGE = 3
_ERA_HEADER = 'Store-Era'


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """Values, revision and changes of a store at one moment."""

    values: dict[str, tuple[bytes, int]]
    revision: int
    history: list[dict[str, Any]]


@dataclass(slots=True)
class StoreStandIn:
    """A store that keeps all changes until its history is dropped.

    ``values`` maps a key to its bytes and the revision that wrote them.
    ``oldest_revision`` is the first revision whose change is still known.
    ``refused`` maps a caller's IP address to the status that its calls get;
    with status 0 they get no answer for an hour. ``calls`` counts the calls,
    a watch again each time that it wakes. ``era`` is named in all answers and
    rises with each restore; a store with era None does not name any.
    """

    values: dict[str, tuple[bytes, int]] = field(default_factory=dict)
    revision: int = 100
    history: list[dict[str, Any]] = field(default_factory=list)
    oldest_revision: int = 1
    refused: dict[str, int] = field(default_factory=dict)
    calls: int = 0
    address: str = ''
    era: int | None = 1
    _changed: asyncio.Event = field(default_factory=asyncio.Event)
    _runner: web.AppRunner | None = None

    async def start(self, host: str = STAND_IN_HOST) -> None:
        """Listen on a free port, or on that of before if it was stopped."""
        app = web.Application()
        app.on_response_prepare.append(self._add_era)
        app.router.add_get('/-/kv-key', self._handle_read)
        app.router.add_get('/-/kv-range', self._handle_range)
        app.router.add_get('/-/kv-watch', self._handle_watch)
        self._runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self._runner.setup()
        _, _, port = self.address.rpartition(':')
        site = web.TCPSite(self._runner, host, int(port or 0))
        await site.start()
        bound_address = self._runner.addresses[0]
        self.address = f'{bound_address[0]}:{bound_address[1]}'

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._runner is not None:
            await self._runner.cleanup()

    def put(self, key: str, document: Any) -> None:
        """Write a value: bytes as they are, anything else as JSON."""
        raw = document
        if not isinstance(raw, bytes):
            raw = json.dumps(document).encode()
        self.revision += 1
        self.values[key] = (raw, self.revision)
        self._record(self._make_item(key))

    def delete(self, key: str) -> None:
        """Delete a value; raise KeyError if the key has none."""
        self.revision += 1
        self.values.pop(key)
        deleted = {'key': key, 'mod-revision': self.revision, 'deleted': True}
        self._record(deleted)

    def drop_history(self) -> None:
        """Drop all changes; watches from an older revision end with 410."""
        self.oldest_revision = self.revision + 1
        self.history.clear()
        self._wake_watchers()

    def make_copy(self) -> StoreCopy:
        """Return a copy of the values and the history as of now."""
        return StoreCopy(dict(self.values), self.revision, list(self.history))

    def restore(self, copy: StoreCopy) -> None:
        """Continue from a copy: later revisions are given out again."""
        self.values = dict(copy.values)
        self.revision = copy.revision
        self.history = list(copy.history)
        if self.era is not None:
            self.era += 1
        self._wake_watchers()

    async def _add_era(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        if self.era is not None:
            response.headers[_ERA_HEADER] = str(self.era)

    def _record(self, event: dict[str, Any]) -> None:
        self.history.append(event)
        self._wake_watchers()

    def _wake_watchers(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _make_item(self, key: str) -> dict[str, Any]:
        raw, revision = self.values[key]
        return {
            'key': key,
            'value': base64.b64encode(raw).decode(),
            'mod-revision': revision,
            'created-at': revision,
            'lease': 0,
        }

    async def _count_and_check_call(
        self, request: web.Request
    ) -> web.Response | None:
        """Count a call; return its refusal, or None if it is not refused."""
        self.calls += 1
        status = self.refused.get(request.remote)
        if status is None:
            return None
        if not status:
            await asyncio.sleep(3600)
        return web.Response(status=status)

    async def _handle_read(self, request: web.Request) -> web.Response:
        refusal = await self._count_and_check_call(request)
        if refusal is not None:
            return refusal
        key = request.query['key']
        if key not in self.values:
            return web.Response(status=404)
        return web.json_response({**self._make_item(key), 'at': self.revision})

    async def _handle_range(self, request: web.Request) -> web.Response:
        refusal = await self._count_and_check_call(request)
        if refusal is not None:
            return refusal
        prefix = request.query['path-prefix']
        after = request.query.get('after', '')
        keys = sorted(
            key for key in self.values if key.startswith(prefix) and key > after
        )
        page = {
            'items': [
                self._make_item(key) for key in keys[:_MAX_ITEMS_PER_PAGE]
            ],
            'has-more': len(keys) > _MAX_ITEMS_PER_PAGE,
            'at': self.revision,
        }
        return web.json_response(page)

    async def _handle_watch(self, request: web.Request) -> web.Response:
        prefix = request.query['path-prefix']
        after = int(request.query['after'])
        wait_s = int(request.query['wait-ms']) / 1000
        loop = asyncio.get_running_loop()
        deadline_at = loop.time() + wait_s
        while True:
            refusal = await self._count_and_check_call(request)
            if refusal is not None:
                return refusal
            if after + 1 < self.oldest_revision or after > self.revision:
                return web.Response(status=410)
            events = [
                event
                for event in self.history
                if event['mod-revision'] > after
                and event['key'].startswith(prefix)
            ]
            remaining_s = deadline_at - loop.time()
            if events or remaining_s <= 0:
                found = {'events': events, 'at': self.revision}
                return web.json_response(found)
            try:
                await asyncio.wait_for(self._changed.wait(), remaining_s)
            except TimeoutError:
                continue
