"""Starting and stopping of plain processes."""

import os
import signal
import socket
import subprocess
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path

_STOP_S = 150.0


@dataclass
class Processes:
    """Child processes of the demonstration, ended by their pid."""

    log_folder: Path
    children: dict[str, subprocess.Popen] = field(default_factory=dict)

    def start(self, name: str, *arguments: str) -> subprocess.Popen:
        """Start a Python module or program with its output in a log file."""
        self.log_folder.mkdir(parents=True, exist_ok=True)
        log = (self.log_folder / f'{name}.log').open('wb')
        child = subprocess.Popen(
            [sys.executable, *arguments],
            stdout=log,
            stderr=subprocess.STDOUT,
            # A Ctrl-C at the terminal reaches the demonstration alone, which
            # then stops its children in order.
            start_new_session=True,
        )
        log.close()
        self.children[name] = child
        return child

    def stop(self, names: list[str]) -> dict[str, int]:
        """Send SIGTERM to children and wait; return their exit codes."""
        chosen = {name: self.children[name] for name in names}
        for child in chosen.values():
            if child.poll() is None:
                os.kill(child.pid, signal.SIGTERM)
        limit = time.monotonic() + _STOP_S
        codes = {}
        for name, child in chosen.items():
            try:
                codes[name] = child.wait(max(0.1, limit - time.monotonic()))
            except subprocess.TimeoutExpired:
                os.kill(child.pid, signal.SIGKILL)
                codes[name] = child.wait()
            del self.children[name]
        return codes

    def find_dead(self) -> list[str]:
        """Return the names of children that ended by themselves."""
        return [
            name
            for name, child in self.children.items()
            if child.poll() is not None
        ]


def find_free_ports(count: int) -> list[int]:
    """Return ports that were free a moment ago."""
    sockets = []
    for _ in range(count):
        bound = socket.socket()
        bound.bind(('127.0.0.1', 0))
        sockets.append(bound)
    ports = [bound.getsockname()[1] for bound in sockets]
    for bound in sockets:
        bound.close()
    return ports
