"""What the kernel knows of an open connection."""

import asyncio
import fcntl
import socket
import struct
import termios

_INT = struct.Struct('i')


def has_unsent(transport: asyncio.Transport) -> bool:
    """Return whether the peer has yet to acknowledge what was written.

    False if the kernel does not tell.
    """
    if transport.get_write_buffer_size():
        return True
    sock = transport.get_extra_info('socket')
    try:
        raw = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(_INT.size))
    except OSError:
        return False
    return _INT.unpack(raw)[0] > 0


def take_error(transport: asyncio.Transport) -> int:
    """Return the number of an error, 0 without one; the kernel forgets it."""
    sock = transport.get_extra_info('socket')
    return sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
