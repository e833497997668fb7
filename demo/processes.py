"""Starts and stops the processes of a fleet."""

import itertools
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path

_STOP_TIMEOUT_S = 150.0
# Linux takes ports from 32768 on for outgoing connections.
_FIRST_PORT = 10_240
_PORT_COUNT = 22_000
# Runs at the same time begin at different ports.
_port_offsets = itertools.count(os.getpid() * 64)


@dataclass
class Processes:
    """Child processes by name; each is signalled by its own pid."""

    log_folder: Path
    children: dict[str, subprocess.Popen] = field(default_factory=dict)

    def start(self, name: str, *arguments: str) -> subprocess.Popen:
        """Run Python with some arguments, its output in a log file."""
        self.log_folder.mkdir(parents=True, exist_ok=True)
        log = (self.log_folder / f'{name}.log').open('wb')
        child = subprocess.Popen(
            [sys.executable, *arguments],
            stdout=log,
            stderr=subprocess.STDOUT,
            # Ctrl-C at the terminal then signals only the demonstration,
            # which stops its children in order.
            start_new_session=True,
        )
        log.close()
        self.children[name] = child
        return child

    def stop(self, names: list[str]) -> dict[str, int]:
        """Send SIGTERM to children; return their exit codes by name.

        A child that has not exited within 150 s is killed. Raises KeyError if
        a name is not that of a child.
        """
        chosen = {name: self.children[name] for name in names}
        for child in chosen.values():
            if child.poll() is None:
                os.kill(child.pid, signal.SIGTERM)
        deadline_at = time.monotonic() + _STOP_TIMEOUT_S
        codes = {}
        for name, child in chosen.items():
            try:
                codes[name] = child.wait(
                    max(0.1, deadline_at - time.monotonic())
                )
            except subprocess.TimeoutExpired:
                os.kill(child.pid, signal.SIGKILL)
                codes[name] = child.wait()
            del self.children[name]
        return codes

    def find_exited(self) -> list[str]:
        """Return the names of children that exited without being stopped."""
        return [
            name
            for name, child in self.children.items()
            if child.poll() is not None
        ]


def find_free_ports(
    count: int, ips: Sequence[str] = ('127.0.0.1',)
) -> list[int]:
    """Return ports that are free at all given addresses, in ascending order.

    The system gives them to no outgoing connection before they are bound, and
    no other call returns them.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = _FIRST_PORT + next(_port_offsets) % _PORT_COUNT
        if all(_is_free(ip, port) for ip in ips):
            ports.append(port)
    return sorted(ports)


def _is_free(ip: str, port: int) -> bool:
    with socket.socket() as sock:
        try:
            sock.bind((ip, port))
        except OSError:
            return False
    return True
