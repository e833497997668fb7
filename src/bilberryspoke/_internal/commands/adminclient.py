"""HTTP client for the admin addresses of several VMs."""

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
_READ_TIMEOUT_S = 3.0


@dataclass(frozen=True, slots=True)
class AdminReply:
    """Answer of one VM to a request at its admin address.

    ``document`` is the parsed JSON body, whatever the HTTP ``status``. If
    the VM did not answer with JSON in time, ``status`` is 0, ``document`` is
    None and ``problem`` says which address failed and why.
    """

    url: str
    status: int = 0
    document: Any = None
    problem: str = ''


def resolve_admin_urls(admin: str | tuple[str, ...] | None) -> list[str]:
    """Return the admin URLs of the VMs to ask.

    They come from the option ``--admin`` or else from the environment
    variable ``BILBERRYSPOKE_ADMIN``. Without either, they are those of the
    demo that runs in the current folder. The list is empty if there is none.
    fire passes an option with commas as a string or as a tuple.
    """
    given = admin or os.environ.get(ADMIN_VARIABLE, '')
    if given:
        addresses = given.split(',') if isinstance(given, str) else list(given)
        return [_normalize_url(address) for address in addresses if address]
    if _ENDPOINTS_FILE.exists():
        endpoints = json.loads(_ENDPOINTS_FILE.read_text())
        return [entry['admin_url'] for entry in endpoints['entries']]
    return []


def fetch_all(urls: list[str], path: str) -> list[AdminReply]:
    """Send GET for a path to all URLs concurrently; keep their order.

    Never raises for a VM that does not answer: its reply has a ``problem``.
    """
    return asyncio.run(_fetch_concurrently(urls, path))


async def _fetch_concurrently(urls: list[str], path: str) -> list[AdminReply]:
    timeout = aiohttp.ClientTimeout(total=_READ_TIMEOUT_S)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        fetches = [_fetch(session, url, path) for url in urls]
        return list(await asyncio.gather(*fetches))


async def _fetch(
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


def _normalize_url(address: str) -> str:
    stripped = address.strip().rstrip('/')
    return stripped if '://' in stripped else f'http://{stripped}'
