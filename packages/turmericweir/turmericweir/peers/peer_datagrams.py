"""Datagrams between instances: heartbeats and whatever else may be lost.

One socket sends and receives, on the same address as the peers' streams. Datagrams go straight from
the reducer's effect to the system and from the system to the reducer, with no task in between:
there may be hundreds a second.
"""

from __future__ import annotations

import asyncio
from types import TracebackType
from typing import Final, Self

from turmericweir.peers.peer_codec import FrameReader, decode, encode
from turmericweir.process import logs
from turmericweir.process.errors import ListenError, describe
from turmericweir.process.node import Node
from turmericweir_core.base.ids import InstanceName
from turmericweir_core.messages.effects import SendDatagram
from turmericweir_core.messages.peer_messages import PeerMessage

# Larger ones are split by the network and lost as a whole when any part is.
DATAGRAM_MAX: Final = 60_000


class PeerDatagrams(asyncio.DatagramProtocol):
    """The datagram socket of this instance."""

    _node: Node
    # None before the node is there: what comes then is lost.
    _reader: FrameReader | None
    _me: InstanceName
    _address: str
    _transport: asyncio.DatagramTransport
    # The system takes no more for now; what is to be sent meanwhile is lost and counted.
    _is_full: bool
    # The newest message that was encoded: most go to several peers.
    _message: PeerMessage | None
    _frame: bytes

    def __init__(self, me: InstanceName, address: str) -> None:
        self._me = me
        self._address = address
        self._reader = None
        self._is_full = False
        self._message = None
        self._frame = b""

    def attach(self, node: Node) -> None:
        """Take the node whose effects these are; it is made after its adapters."""
        self._node = node
        self._reader = FrameReader(node)

    async def __aenter__(self) -> Self:
        host, _, port = self._address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            self._transport, _ = await loop.create_datagram_endpoint(
                lambda: self, local_addr=(host, int(port))
            )
        except OSError as exc:
            detail = exc.strerror or str(exc)
            raise ListenError("listen for datagrams", self._address, detail) from exc
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._transport.close()

    def send(self, effect: SendDatagram) -> None:
        """Send a message as one datagram; what does not fit is lost and counted."""
        frame = self._encode(effect.message)
        if len(frame) > DATAGRAM_MAX:
            self._node.count("peer.datagram_too_large")
            logs.write("datagram_too_large", peer=effect.peer, bytes=len(frame))
            return
        if self._is_full:
            self._node.count("peer.datagram_overflow")
            return
        host, _, port = effect.address.rpartition(":")
        try:
            self._transport.sendto(frame, (host, int(port)))
        except (OSError, ValueError) as exc:
            self._unsent(effect.address, exc)
            return
        self._node.traffic.counter_for(effect.message).sent.add(len(frame))
        self._node.traffic.datagrams.sent.add(len(frame))

    def _encode(self, message: PeerMessage) -> bytes:
        if message is not self._message:
            self._frame = encode(self._me, message)
            self._message = message
        return self._frame

    def _unsent(self, address: str, exc: Exception) -> None:
        # A peer that is gone, or a route that is: its heartbeats tell the reducer more.
        logs.write("datagram_unsent", peer=address, error=describe(exc))

    # Called by the event loop.

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Hand what comes in to the reducer."""
        if self._reader is None:
            return
        self._node.traffic.datagrams.received.add(len(data))
        self._reader.take(decode(data, f"{addr[0]}:{addr[1]}"), len(data))

    def pause_writing(self) -> None:
        """Note that too much waits for the system."""
        self._is_full = True

    def resume_writing(self) -> None:
        """Note that the system takes more again."""
        self._is_full = False

    def error_received(self, exc: Exception) -> None:
        """Note that the system could not deliver a datagram."""
        self._unsent(self._address, exc)
