"""Datagrams between instances: heartbeats and other messages that may be lost.

One socket sends and receives, on the same address as the streams. Neither direction uses a task,
since there may be hundreds of datagrams per second.

The event loop's transport receives one datagram per turn of the loop. A busy process has fewer
turns than datagrams, and what waits in the socket is delayed by seconds and then lost. Therefore
each turn receives all that wait. Most of them are load updates, of which one is processed in each
turn (`held_updates`); the others are processed at once.
"""

from __future__ import annotations

import asyncio
import socket
from contextlib import suppress
from types import TracebackType
from typing import Final, Self

from turmericweir.peers.held_updates import HeldUpdates
from turmericweir.peers.peer_codec import FrameReader, decode, encode, load_update_sender
from turmericweir.process import logs
from turmericweir.process.errors import describe_error
from turmericweir.process.foreign_data import DECODE_ERRORS
from turmericweir.process.listening_socket import bind_datagrams
from turmericweir.process.node import Node
from turmericweir_core.base.ids import InstanceName
from turmericweir_core.messages.effects import SendDatagram
from turmericweir_core.messages.peer_messages import PeerMessage

# Below the limit of UDP over IPv4, 65,507 bytes.
DATAGRAM_MAX_BYTES: Final = 60_000
# Size of the buffer for a received datagram, which truncates larger ones.
_RECEIVE_MAX_BYTES: Final = 65_536
# Limit of datagrams received in one turn of the event loop. Prevents a sender from keeping requests
# from being served.
_RECEIVED_PER_TURN_MAX: Final = 256
# Limit of datagrams discarded at the start, more than the socket's buffer holds.
_DISCARDED_MAX: Final = 65_536


class PeerDatagrams(asyncio.DatagramProtocol):
    """The datagram socket of this instance."""

    _node: Node
    # None before the node is attached; datagrams that arrive until then are lost.
    _frame_reader: FrameReader | None
    _local_name: InstanceName
    _address: str
    # A socket that was bound to the address before; None if there is none.
    _bound_socket: socket.socket | None
    _transport: asyncio.DatagramTransport
    # The socket of the transport, which closes it.
    _socket: socket.socket
    # Whether the send buffer is full; until it has space, datagrams are dropped and counted.
    _is_write_paused: bool
    # Load updates that wait, and whether a later turn of the event loop processes the next one.
    _held_updates: HeldUpdates
    _is_turn_scheduled: bool
    # The last encoded message and its frame, since most messages go to several peers.
    _encoded_message: PeerMessage | None
    _encoded_frame: bytes

    def __init__(
        self, local_name: InstanceName, address: str, bound_socket: socket.socket | None = None
    ) -> None:
        self._local_name = local_name
        self._address = address
        self._bound_socket = bound_socket
        self._frame_reader = None
        self._is_write_paused = False
        self._held_updates = HeldUpdates()
        self._is_turn_scheduled = False
        self._encoded_message = None
        self._encoded_frame = b""

    def attach(self, node: Node) -> None:
        """Set the node, which is created after its adapters."""
        self._node = node
        self._frame_reader = FrameReader(node)

    async def __aenter__(self) -> Self:
        if self._bound_socket is None:
            self._socket = bind_datagrams(self._address, "listen for datagrams")
        else:
            self._socket = self._bound_socket
            self._discard_waiting()
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(lambda: self, sock=self._socket)
        return self

    def _discard_waiting(self) -> None:
        """Discard datagrams that arrived before the daemon was loaded, which may be old."""
        with suppress(OSError):
            for _ in range(_DISCARDED_MAX):
                self._socket.recv(1)

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._transport.close()

    def send(self, effect: SendDatagram) -> None:
        """Send a message as one datagram; count and drop it if it cannot be sent."""
        frame = self._encode(effect.message)
        if len(frame) > DATAGRAM_MAX_BYTES:
            self._node.count("peer.datagram_too_large")
            logs.write("datagram_too_large", peer=effect.peer, bytes=len(frame))
            return
        if self._is_write_paused:
            self._node.count("peer.datagram_overflow")
            return
        host, _, port = effect.address.rpartition(":")
        try:
            self._transport.sendto(frame, (host, int(port)))
        except (OSError, *DECODE_ERRORS) as exc:
            self._log_unsent(effect.address, exc)
            return
        self._node.traffic.counter_for(effect.message).sent.add(len(frame))
        self._node.traffic.datagrams.sent.add(len(frame))

    def _encode(self, message: PeerMessage) -> bytes:
        if message is not self._encoded_message:
            self._encoded_frame = encode(self._local_name, message)
            self._encoded_message = message
        return self._encoded_frame

    def _log_unsent(self, address: str, exc: Exception) -> None:
        # Only logged, since the reducer detects unreachable peers by their heartbeats.
        logs.write("datagram_unsent", peer=address, error=describe_error(exc))

    # Called by the event loop.

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Receive a datagram and all others that wait in the socket."""
        self._receive(data, addr)
        self._receive_waiting()
        if not self._is_turn_scheduled:
            self._process_next_update()

    def _receive_waiting(self) -> None:
        for _ in range(_RECEIVED_PER_TURN_MAX - 1):
            try:
                data, addr = self._socket.recvfrom(_RECEIVE_MAX_BYTES)
            except (BlockingIOError, InterruptedError):
                return
            except OSError as exc:
                self.error_received(exc)
                return
            self._receive(data, addr)

    def _receive(self, data: bytes, addr: tuple[str, int]) -> None:
        """Process a datagram, or hold it if it is a load update."""
        if self._frame_reader is None:
            return
        self._node.traffic.datagrams.received.add(len(data))
        origin = f"{addr[0]}:{addr[1]}"
        sender = load_update_sender(data)
        if sender is None:
            self._frame_reader.process_result(decode(data, origin), len(data))
        elif not self._held_updates.add(sender, data, origin):
            self._node.count("peer.load_dropped")
            self._frame_reader.log_limited("load_update_dropped", peer=origin)

    def _process_next_update(self) -> None:
        """Process the load updates of one sender, and those of the next one in the next turn."""
        self._is_turn_scheduled = False
        if self._frame_reader is None or not self._held_updates:
            return
        result, size, count = self._held_updates.pop()
        if count > 1:
            self._node.count("peer.load_merged", count - 1)
        self._frame_reader.process_result(result, size)
        if self._held_updates:
            self._is_turn_scheduled = True
            asyncio.get_running_loop().call_soon(self._process_next_update)

    def pause_writing(self) -> None:
        """Drop datagrams until the send buffer has space."""
        self._is_write_paused = True

    def resume_writing(self) -> None:
        """Resume sending datagrams."""
        self._is_write_paused = False

    def error_received(self, exc: Exception) -> None:
        """Log that the system could not deliver a datagram."""
        self._log_unsent(self._address, exc)
