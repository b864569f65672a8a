"""Datagrams between instances: heartbeats and whatever else may be lost.

One socket sends and receives, on the same address as the peers' streams.
"""

from __future__ import annotations

from types import TracebackType
from typing import Final, Self

import anyio
from anyio.abc import UDPSocket
from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream

from turmericweir.peers.peer_codec import FrameReader, decode, encode
from turmericweir.process import logs
from turmericweir.process.errors import ListenError, describe
from turmericweir.process.node import Node
from turmericweir_core.base.ids import InstanceName
from turmericweir_core.messages.effects import SendDatagram

# Larger ones are split by the network and lost as a whole when any part is.
DATAGRAM_MAX: Final = 60_000
QUEUE_MAX: Final = 1024


class PeerDatagrams:
    """The datagram socket of this instance."""

    _node: Node
    _me: InstanceName
    _address: str
    _socket: UDPSocket
    # Datagrams that were not handed to the system yet, with their address.
    _outgoing: MemoryObjectSendStream[tuple[str, bytes]]
    _waiting: MemoryObjectReceiveStream[tuple[str, bytes]]

    def __init__(self, me: InstanceName, address: str) -> None:
        self._me = me
        self._address = address
        self._outgoing, self._waiting = anyio.create_memory_object_stream[tuple[str, bytes]](
            QUEUE_MAX
        )

    def attach(self, node: Node) -> None:
        """Take the node whose effects these are; it is made after its adapters."""
        self._node = node

    async def __aenter__(self) -> Self:
        host, _, port = self._address.rpartition(":")
        try:
            self._socket = await anyio.create_udp_socket(local_host=host, local_port=int(port))
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
        self._outgoing.close()
        self._waiting.close()
        await self._socket.aclose()

    def send(self, effect: SendDatagram) -> None:
        """Send a message as one datagram; what does not fit is lost and counted."""
        frame = encode(self._me, effect.message)
        if len(frame) > DATAGRAM_MAX:
            self._node.count("peer.datagram_too_large")
            logs.write("datagram_too_large", peer=effect.peer, bytes=len(frame))
            return
        try:
            self._outgoing.send_nowait((effect.address, frame))
        except anyio.WouldBlock:
            self._node.count("peer.datagram_overflow")
            return
        self._node.traffic.of_message(effect.message).sent.add(len(frame))

    async def send_forever(self) -> None:
        """Hand datagrams to the system."""
        async for address, frame in self._waiting:
            host, _, port = address.rpartition(":")
            try:
                await self._socket.sendto(frame, host, int(port))
                self._node.traffic.datagrams.sent.add(len(frame))
            except (OSError, ValueError) as exc:
                # A peer that is gone, or a route that is: its heartbeats tell the reducer more.
                logs.write("datagram_unsent", peer=address, error=describe(exc))

    async def receive_forever(self) -> None:
        """Hand what comes in to the reducer."""
        reader = FrameReader(self._node)
        async for data, (host, port) in self._socket:
            self._node.traffic.datagrams.received.add(len(data))
            reader.take(decode(data, f"{host}:{port}"), len(data))
