"""Listening sockets and the HTTP servers on them."""

import contextlib
import functools
import socket
from collections.abc import Callable, Iterator
from dataclasses import asdict, dataclass
from typing import TYPE_CHECKING, Any

import structlog
import uvicorn

from bilberryspoke._internal.models.routing import IngressLimits
from bilberryspoke._internal.network.binding import bind_address
from bilberryspoke._internal.network.intake import (
    Intake,
    IntakeBounds,
    Overload,
)
from bilberryspoke._internal.network.protocol import IngressProtocol

if TYPE_CHECKING:
    from bilberryspoke._internal.config.settings import Listener, Settings

logger = structlog.get_logger()

_KEEP_ALIVE_TIMEOUT_S = 30


@dataclass(slots=True)
class ListeningSockets:
    """Listening sockets, bound before any other component is created."""

    entry: socket.socket
    admin: socket.socket

    @property
    def entry_address(self) -> str:
        """The entry address as ``host:port``."""
        return _format_address(self.entry)

    @property
    def admin_address(self) -> str:
        """The address for operators as ``host:port``."""
        return _format_address(self.admin)


class EmbeddedServer(uvicorn.Server):
    """uvicorn server that leaves signal handling to the daemon."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no signal handlers."""
        yield


def bind_listener(listener: 'Listener') -> socket.socket:
    """Return a listening socket bound to a listener's address."""
    return bind_address(listener.host, listener.port)


def make_server(app: Any, settings: 'Settings', *, tls: bool) -> EmbeddedServer:
    """Return a server of an application with the limits of the settings.

    ``tls`` is whether the server uses the certificate of the settings.
    """
    tls_files = settings.tls if tls else None
    limits = IngressLimits(
        # The application refuses longer headers with an answer of its own.
        header_bytes=2 * settings.limits.header_bytes,
        body_bytes=settings.limits.body_bytes,
        header_timeout_s=settings.limits.body_timeout_s,
        idle_timeout_s=_KEEP_ALIVE_TIMEOUT_S,
    )
    intake = Intake(
        IntakeBounds(memory_bytes=settings.limits.request_memory_bytes),
        _log_overload,
    )
    config = uvicorn.Config(
        app,
        http=functools.partial(IngressProtocol, lambda: limits, intake),
        log_level='warning',
        access_log=False,
        lifespan='off',
        ws='none',
        # Over the limit the application answers with its own error; uvicorn
        # refuses connections only beyond twice the limit.
        limit_concurrency=2 * settings.limits.connections,
        server_header=False,
        timeout_keep_alive=_KEEP_ALIVE_TIMEOUT_S,
        ssl_certfile=tls_files.certificate if tls_files else None,
        ssl_keyfile=tls_files.key if tls_files else None,
    )
    return EmbeddedServer(config)


def make_routing_server(
    app: Any,
    *,
    keep_alive_s: float,
    get_limits: Callable[[], IngressLimits] | None = None,
    intake: Intake | None = None,
) -> EmbeddedServer:
    """Return a server for the daemon of ``network.routing``.

    ``get_limits`` returns the limits in force. Without it the limits are those
    by default, and ``keep_alive_s`` is the keep-alive timeout in seconds.
    ``intake`` bounds what all connections hold, by default an own one.
    """
    limits = IngressLimits(idle_timeout_s=keep_alive_s)
    config = uvicorn.Config(
        app,
        http=functools.partial(
            IngressProtocol,
            get_limits or (lambda: limits),
            intake or Intake(IntakeBounds(), _log_overload),
        ),
        log_level='critical',
        access_log=False,
        lifespan='off',
        ws='none',
        server_header=False,
        date_header=False,
        timeout_keep_alive=round(keep_alive_s),
    )
    return EmbeddedServer(config)


def _log_overload(overload: Overload) -> None:
    logger.warning('request_refused', **asdict(overload))


def _format_address(sock: socket.socket) -> str:
    host, port = sock.getsockname()[:2]
    return f'[{host}]:{port}' if ':' in host else f'{host}:{port}'
