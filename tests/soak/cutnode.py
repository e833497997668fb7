"""Runs the program of a checkout, whose messages to other VMs can be cut.

While the file beside its settings exists (``name_cut_file``), messages to and
from the VMs that it names, by name or IP address, are dropped.
"""

import signal

# As in deploy/node.py: a SIGHUP during the imports would end the process.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

import os  # noqa: E402
import runpy  # noqa: E402
import sys  # noqa: E402
from pathlib import Path  # noqa: E402


def name_cut_file(boot_path: str | Path) -> Path:
    """Return the path of the file that names the VMs that are cut off."""
    return Path(f'{boot_path}.cut')


def _is_cut(cut_path: Path, peer: str) -> bool:
    try:
        words = cut_path.read_text('utf-8').split()
    except FileNotFoundError:
        return False
    # A seed has its address in its name until its own is known.
    return any(peer == each or f'{each}:' in peer for each in words)


def _make_transport_cuttable(cut_path: Path) -> None:
    from bilberryspoke._internal.network.peers import (
        PeerTransport,
    )

    send_envelope = PeerTransport._send_envelope
    start_receiving = PeerTransport.start_receiving

    def send_unless_cut(self, peer, messages) -> None:
        if not _is_cut(cut_path, peer):
            send_envelope(self, peer, messages)

    def start_receiving_unless_cut(self, handler, *others) -> None:
        def handle(envelope) -> None:
            if not _is_cut(cut_path, envelope.sender):
                handler(envelope)

        start_receiving(self, handle, *others)

    PeerTransport._send_envelope = send_unless_cut
    PeerTransport.start_receiving = start_receiving_unless_cut


if __name__ == '__main__':
    # The checkout whose program runs is the working directory.
    sys.path.insert(0, str(Path('src').resolve()))
    _make_transport_cuttable(name_cut_file(os.environ['BILBERRYSPOKE_BOOT']))
    runpy.run_path('deploy/node.py', run_name='__main__')
