"""Reading from the operators' addresses of several VMs."""

import asyncio
import json
import os
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import aiohttp

from bilberryspoke._internal.exceptions import AdminUnavailableError

ADMIN_VARIABLE = 'BILBERRYSPOKE_ADMIN'
_ENDPOINTS_FILE = Path('.demo/endpoints.json')
_TIMEOUT_S = 3.0


@dataclass(frozen=True, slots=True)
class AdminReply:
    """What one VM answered: a document, or the reason for none."""

    url: str
    status: int = 0
    document: Any = None
    problem: str = ''


def find_urls(admin: str | tuple[str, ...] | None) -> list[str]:
    """Return operators' addresses from the option or the environment.

    Without either, a running demo's addresses are taken.
    """
    given = admin or os.environ.get(ADMIN_VARIABLE, '')
    if given:
        parts = given.split(',') if isinstance(given, str) else list(given)
        return [_complete(part) for part in parts if part]
    if _ENDPOINTS_FILE.exists():
        endpoints = json.loads(_ENDPOINTS_FILE.read_text())
        return [entry['admin_url'] for entry in endpoints['entries']]
    return []


def read_all(urls: list[str], path: str) -> list[AdminReply]:
    """Read a path from all VMs at once."""
    return asyncio.run(_gather(urls, path))


async def _gather(urls: list[str], path: str) -> list[AdminReply]:
    timeout = aiohttp.ClientTimeout(total=_TIMEOUT_S)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        reads = [_read(session, url, path) for url in urls]
        return list(await asyncio.gather(*reads))


async def _read(
    session: aiohttp.ClientSession,
    url: str,
    path: str,
) -> AdminReply:
    try:
        async with session.get(url + path) as resp:
            return AdminReply(url, resp.status, await resp.json())
    except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as exc:
        cause = str(exc) or type(exc).__name__
        problem = str(AdminUnavailableError(url, cause))
        return AdminReply(url, problem=problem)


def _complete(address: str) -> str:
    stripped = address.strip().rstrip('/')
    return stripped if '://' in stripped else f'http://{stripped}'
