"""Listening sockets and the HTTP servers on them."""

import contextlib
import socket
from collections.abc import Iterator
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import uvicorn

from bilberryspoke._internal.network.binding import bind_address

if TYPE_CHECKING:
    from bilberryspoke._internal.config.settings import Listener, Settings

_IDLE_S = 30


@dataclass(slots=True)
class Sockets:
    """Listening sockets, bound before anything else starts."""

    entry: socket.socket
    admin: socket.socket

    @property
    def entry_address(self) -> str:
        """The entry address as ``host:port``."""
        return _address_of(self.entry)

    @property
    def admin_address(self) -> str:
        """The operators' address as ``host:port``."""
        return _address_of(self.admin)


class QuietServer(uvicorn.Server):
    """A server that leaves signals to the daemon."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no signal handlers."""
        yield


def bind_listener(listener: 'Listener') -> socket.socket:
    """Bind a listening socket."""
    return bind_address(listener.host, listener.port)


def make_server(app: Any, settings: 'Settings', *, tls: bool) -> QuietServer:
    """Return a server for an application within the callers' limits."""
    files = settings.tls if tls else None
    config = uvicorn.Config(
        app,
        log_level='warning',
        access_log=False,
        lifespan='off',
        ws='none',
        # Callers over the limit get an answer of ours; beyond twice that the
        # server turns connections away by itself.
        limit_concurrency=2 * settings.limits.connections,
        h11_max_incomplete_event_size=settings.limits.header_bytes,
        server_header=False,
        timeout_keep_alive=_IDLE_S,
        ssl_certfile=files.certificate if files else None,
        ssl_keyfile=files.key if files else None,
    )
    return QuietServer(config)


def make_routed_server(
    app: Any,
    *,
    idle_s: float,
    protocol: Any = 'httptools',
) -> QuietServer:
    """Return a server for routed calls.

    ``idle_s`` is how long a connection without a call is kept, where the
    protocol class has no limit of its own.
    """
    config = uvicorn.Config(
        app,
        http=protocol,
        log_level='critical',
        access_log=False,
        lifespan='off',
        ws='none',
        server_header=False,
        date_header=False,
        timeout_keep_alive=round(idle_s),
    )
    return QuietServer(config)


def _address_of(bound: socket.socket) -> str:
    host, port = bound.getsockname()[:2]
    return f'[{host}]:{port}' if ':' in host else f'{host}:{port}'
