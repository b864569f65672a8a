"""The port on which an instance receives the streams of its peers.

Frames are split, decoded and passed to the node as they arrive, and acknowledged by number. A
connection whose first frame is a `CarryAsk` goes to the `carrier`. The event loop's callbacks are
used without a task for each connection, so an error on one connection ends only that connection.

`IncomingStreams` bounds the number of connections and the bytes of incomplete frames on them. One
turn of the event loop processes a few frames of a connection, and nothing is read from a peer while
it does not read its acknowledgements.
"""

from __future__ import annotations

import asyncio
import socket
from contextlib import suppress
from itertools import islice
from types import TracebackType
from typing import Final, Self, cast

import anyio
import msgpack
from returns.pipeline import is_successful
from returns.result import Result

from turmericweir.peers.carrier import Carrier
from turmericweir.peers.frame_splitter import FrameSplitter
from turmericweir.peers.incoming_streams import IncomingStreams
from turmericweir.peers.peer_codec import FrameReader, read_frame
from turmericweir.process.errors import PeerError, describe_error
from turmericweir.process.foreign_data import DECODE_ERRORS
from turmericweir.process.listening_socket import bind
from turmericweir.process.node import Node
from turmericweir.process.socket_buffers import SocketBuffers
from turmericweir.servers.backend_stream import set_options
from turmericweir_core.messages.events import PeerReceived
from turmericweir_core.messages.server_messages import CarryAsk

# Connections that wait to be accepted, and those that are accepted in one turn of the event loop.
_BACKLOG: Final = 1_024
_ACCEPTED_PER_TURN_MAX: Final = 64
# Frames of one connection that are processed in one turn.
_FRAMES_PER_TURN_MAX: Final = 64
# What a peer may send ahead that has sent a message.
_AHEAD_BYTES: Final = 65_536


class IncomingStream(asyncio.Protocol):
    """The stream of one peer."""

    _node: Node
    _frame_reader: FrameReader
    _carrier: Carrier
    # All streams, with this one until it ends or is carried.
    _streams: IncomingStreams
    _transport: asyncio.Transport
    # Address of the other end, for logs.
    _origin: str
    _splitter: FrameSplitter
    _received_frames: int
    # When bytes arrived last, and whether a frame of them was a message.
    received_at: float
    has_sent_message: bool
    # The size of a receive buffer that was widened; 0 for any other.
    _granted_bytes: int
    # Why nothing is read: frames wait for the next turn, or the peer does not read.
    _has_waiting_frames: bool
    _is_write_paused: bool

    def __init__(
        self, node: Node, frame_reader: FrameReader, carrier: Carrier, streams: IncomingStreams
    ) -> None:
        self._node = node
        self._frame_reader = frame_reader
        self._carrier = carrier
        self._streams = streams
        self._origin = "unknown"
        self._splitter = FrameSplitter()
        self._received_frames = 0
        self.received_at = anyio.current_time()
        self.has_sent_message = False
        self._granted_bytes = 0
        self._has_waiting_frames = False
        self._is_write_paused = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the options of the connection, which may be reset already."""
        self._transport = cast(asyncio.Transport, transport)
        # None if the connection was reset before it was accepted.
        address = transport.get_extra_info("peername")
        if address is not None:
            self._origin = f"{address[0]}:{address[1]}"
        raw: socket.socket = transport.get_extra_info("socket")
        with suppress(OSError):
            set_options(raw)
        self._streams.buffers.fix(raw)
        self._streams.add(self)

    @property
    def held_bytes(self) -> int:
        """The number of bytes that wait for the rest of a frame, or for the next turn."""
        return self._splitter.held_bytes

    def drop(self, reason: str) -> None:
        """Close the connection to keep a bound."""
        self._node.count("peer.stream_dropped")
        self._frame_reader.log_limited("peer_stream_dropped", peer=self._origin, reason=reason)
        self._transport.abort()

    def data_received(self, data: bytes) -> None:
        """Process the complete frames, and acknowledge them."""
        self._node.traffic.streams.received.add(len(data))
        self.received_at = anyio.current_time()
        self._splitter.feed(data)
        self._process()

    def _process(self) -> None:
        """Process some frames, and the others in the next turn."""
        previous_frames = self._received_frames
        try:
            for frame in islice(self._splitter.split(), _FRAMES_PER_TURN_MAX):
                self._received_frames += 1
                result = read_frame(frame, self._origin)
                if is_successful(result) and not self.has_sent_message:
                    self._widen_buffer()
                if self._takes_over(result):
                    self._streams.remove(self)
                    return
                self.has_sent_message = self.has_sent_message or is_successful(result)
                self._frame_reader.process_result(result, len(frame))
        # The stream cannot be split into frames any more.
        except DECODE_ERRORS as exc:
            error = PeerError("split stream", self._origin, describe_error(exc))
            self._frame_reader.drop_frame(error)
            self._transport.abort()
            return
        if self._received_frames > previous_frames:
            ack = msgpack.packb(self._received_frames)
            self._transport.write(ack)
            self._node.traffic.streams.sent.add(len(ack))
        if self._received_frames - previous_frames == _FRAMES_PER_TURN_MAX:
            self._has_waiting_frames = True
            asyncio.get_running_loop().call_soon(self._process_waiting)
        self._update_reading()
        self._streams.update(self)

    def _widen_buffer(self) -> None:
        """Let a peer send more at a time, once it has sent a message."""
        sock = self._transport.get_extra_info("socket")
        if sock is not None:
            self._granted_bytes = self._streams.buffers.widen(sock, _AHEAD_BYTES, 0)

    def _give_back_buffer(self) -> None:
        self._streams.buffers.give_back(self._granted_bytes)
        self._granted_bytes = 0

    def _process_waiting(self) -> None:
        self._has_waiting_frames = False
        if not self._transport.is_closing():
            self._process()

    def pause_writing(self) -> None:
        """Stop reading while the peer does not read its acknowledgements."""
        self._is_write_paused = True
        self._update_reading()

    def resume_writing(self) -> None:
        """Continue reading."""
        self._is_write_paused = False
        self._update_reading()

    def _update_reading(self) -> None:
        if self._transport.is_closing():
            return
        if self._has_waiting_frames or self._is_write_paused:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def _takes_over(self, result: Result[PeerReceived, PeerError]) -> bool:
        """Pass the connection to the carrier if its first frame asks for that."""
        if self._received_frames > 1 or not is_successful(result):
            return False
        message = result.unwrap().message
        if not isinstance(message, CarryAsk):
            return False
        self._carrier.start(self._transport, self._origin, message, self._give_back_buffer)
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Log the loss of the connection."""
        self._give_back_buffer()
        self._streams.remove(self)
        if exc is not None:
            self._frame_reader.log_limited(
                "peer_stream_lost", step="receive", peer=self._origin, error=describe_error(exc)
            )


class PeerListener:
    """Accepts the streams of peers."""

    _address: str
    # A socket that was bound to the address before; None if there is none.
    _bound_socket: socket.socket | None
    _node: Node | None
    _streams: IncomingStreams
    _server: asyncio.Server
    # The socket of the server, which closes it.
    _socket: socket.socket

    def __init__(self, address: str, bound_socket: socket.socket | None = None) -> None:
        self._address = address
        self._bound_socket = bound_socket
        self._node = None
        self._streams = IncomingStreams()

    async def __aenter__(self) -> Self:
        self._socket = self._bound_socket or bind(self._address, "listen for peers")
        loop = asyncio.get_running_loop()
        # The server accepts as many connections in one turn as its backlog.
        self._server = await loop.create_server(
            self._make_stream,
            sock=self._socket,
            backlog=_ACCEPTED_PER_TURN_MAX,
            start_serving=False,
        )
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._server.close()

    async def serve(self, node: Node) -> None:
        """Accept streams and pass their messages to a node."""
        if self._node is None:
            # Not at another try, before which streams may have got larger buffers.
            self._streams.buffers = SocketBuffers.for_peers(node.memory.socket_limit_bytes)
        self._node = node
        self._frame_reader = FrameReader(node)
        self._carrier = Carrier(node)
        self._streams.buffers.limit_accepted(self._socket)
        # Before the server listens, which counts as serving also after a try that failed.
        self._socket.listen(_BACKLOG)
        await self._server.start_serving()
        # The server has replaced the backlog.
        self._socket.listen(_BACKLOG)
        # Not `serve_forever`, whose future `close` cancels for whoever awaits it.
        await anyio.sleep_forever()

    def _make_stream(self) -> IncomingStream:
        assert self._node is not None
        return IncomingStream(self._node, self._frame_reader, self._carrier, self._streams)
