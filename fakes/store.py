"""Stand-in for the platform's store: values, ranges, watches and faults."""

import asyncio
import base64
import json
from dataclasses import dataclass, field
from typing import Any

from aiohttp import web

_PAGE = 3


@dataclass(slots=True)
class StoreStandIn:
    """A store that keeps all changes until its history is dropped.

    ``refused`` maps a caller's address to the status it gets; with status 0
    its calls are never answered.
    """

    values: dict[str, tuple[bytes, int]] = field(default_factory=dict)
    revision: int = 100
    history: list[dict[str, Any]] = field(default_factory=list)
    kept_since: int = 100
    refused: dict[str, int] = field(default_factory=dict)
    calls: int = 0
    address: str = ''
    _changed: asyncio.Event = field(default_factory=asyncio.Event)
    _runner: web.AppRunner | None = None

    async def start(self, host: str = '127.0.0.1') -> None:
        """Listen on a free port."""
        app = web.Application()
        app.router.add_get('/-/kv-key', self._read)
        app.router.add_get('/-/kv-range', self._range)
        app.router.add_get('/-/kv-watch', self._watch)
        self._runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, host, 0)
        await site.start()
        bound = self._runner.addresses[0]
        self.address = f'{bound[0]}:{bound[1]}'

    async def stop(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    def put(self, key: str, document: Any) -> None:
        """Write a value; bytes are written as they are."""
        raw = document
        if not isinstance(raw, bytes):
            raw = json.dumps(document).encode()
        self.revision += 1
        self.values[key] = (raw, self.revision)
        self._record(self._describe(key))

    def delete(self, key: str) -> None:
        """Delete a value."""
        self.revision += 1
        self.values.pop(key)
        deleted = {'key': key, 'mod-revision': self.revision, 'deleted': True}
        self._record(deleted)

    def drop_history(self) -> None:
        """Forget all changes; watches from before end with 410."""
        self.kept_since = self.revision + 1
        self.history.clear()
        self._wake()

    def _record(self, event: dict[str, Any]) -> None:
        self.history.append(event)
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _describe(self, key: str) -> dict[str, Any]:
        raw, revision = self.values[key]
        return {
            'key': key,
            'value': base64.b64encode(raw).decode(),
            'mod-revision': revision,
            'created-at': revision,
            'lease': 0,
        }

    async def _turn_away(self, request: web.Request) -> web.Response | None:
        self.calls += 1
        status = self.refused.get(request.remote)
        if status is None:
            return None
        if not status:
            await asyncio.sleep(3600)
        return web.Response(status=status)

    async def _read(self, request: web.Request) -> web.Response:
        refusal = await self._turn_away(request)
        if refusal is not None:
            return refusal
        key = request.query['key']
        if key not in self.values:
            return web.Response(status=404)
        return web.json_response({**self._describe(key), 'at': self.revision})

    async def _range(self, request: web.Request) -> web.Response:
        refusal = await self._turn_away(request)
        if refusal is not None:
            return refusal
        prefix = request.query['path-prefix']
        after = request.query.get('after', '')
        keys = sorted(
            key for key in self.values if key.startswith(prefix) and key > after
        )
        page = {
            'items': [self._describe(key) for key in keys[:_PAGE]],
            'has-more': len(keys) > _PAGE,
            'at': self.revision,
        }
        return web.json_response(page)

    async def _watch(self, request: web.Request) -> web.Response:
        prefix = request.query['path-prefix']
        after = int(request.query['after'])
        wait_s = int(request.query['wait-ms']) / 1000
        loop = asyncio.get_running_loop()
        limit_at = loop.time() + wait_s
        while True:
            refusal = await self._turn_away(request)
            if refusal is not None:
                return refusal
            if after + 1 < self.kept_since:
                return web.Response(status=410)
            events = [
                event
                for event in self.history
                if event['mod-revision'] > after
                and event['key'].startswith(prefix)
            ]
            left_s = limit_at - loop.time()
            if events or left_s <= 0:
                found = {'events': events, 'at': self.revision}
                return web.json_response(found)
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                continue
