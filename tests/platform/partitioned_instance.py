"""Starts the daemon with peers that a test cuts off.

The file named by `PEERS_VARIABLE` holds the IPs of the peers from which this process receives
nothing, and to which it sends nothing. It is read for each message.
"""

from __future__ import annotations

import json
import os
import sys
from pathlib import Path

from turmericweir.peers.peer_datagrams import PeerDatagrams
from turmericweir.peers.peer_listener import IncomingStream
from turmericweir_core.messages.effects import SendDatagram
from turmericweir_platform.__main__ import main

PEERS_VARIABLE = "TEST_CUT_PEERS"
_receive = PeerDatagrams._receive
_send = PeerDatagrams.send
_data_received = IncomingStream.data_received


def _is_cut(address: str) -> bool:
    return address.rpartition(":")[0] in json.loads(Path(os.environ[PEERS_VARIABLE]).read_text())


def _receive_unless_cut(self: PeerDatagrams, data: bytes, addr: tuple[str, int]) -> None:
    if not _is_cut(f"{addr[0]}:{addr[1]}"):
        _receive(self, data, addr)


def _send_unless_cut(self: PeerDatagrams, effect: SendDatagram) -> None:
    if not _is_cut(effect.address):
        _send(self, effect)


def _data_received_unless_cut(self: IncomingStream, data: bytes) -> None:
    if not _is_cut(self._origin):
        _data_received(self, data)


if __name__ == "__main__":
    PeerDatagrams._receive = _receive_unless_cut  # type: ignore[method-assign]
    PeerDatagrams.send = _send_unless_cut  # type: ignore[method-assign]
    IncomingStream.data_received = _data_received_unless_cut  # type: ignore[method-assign]
    sys.exit(main())
