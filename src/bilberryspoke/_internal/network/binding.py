"""Binding of listening TCP sockets."""

import socket

from bilberryspoke._internal.exceptions import AddressBindError

_LISTEN_BACKLOG = 2048


def bind_address(host: str, port: int) -> socket.socket:
    """Return a non-blocking socket that listens on an address.

    Clients can connect from then on. Raises ``AddressBindError`` if the
    address cannot be bound, for example because it is in use.
    """
    family = socket.AF_INET6 if ':' in host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        sock.bind((host, port))
    except OSError as exc:
        sock.close()
        raise AddressBindError(f'{host}:{port}', str(exc)) from exc
    sock.listen(_LISTEN_BACKLOG)
    sock.setblocking(False)
    return sock


def parse_address(address: str) -> tuple[str, int]:
    """Split ``host:port`` into the host and the port number.

    Raises ``ValueError`` if the port is not a number.
    """
    host, _, port = address.rpartition(':')
    return host, int(port)
