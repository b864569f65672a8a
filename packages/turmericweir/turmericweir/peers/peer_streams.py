"""Streams of messages between instances.

An instance opens one stream to each peer to which it sends messages, and accepts the streams of its
peers (`peer_listener`). The receiver acknowledges frames by number on the same connection. If a
frame is not acknowledged in time, the connection is considered unresponsive: the stream is closed,
the reducer receives `PeerUnreachable`, and the next message uses a new connection.
"""

from __future__ import annotations

import socket
from collections import deque
from types import TracebackType
from typing import Final, Self

import anyio
import msgspec
from anyio.abc import SocketAttribute, SocketStream

from turmericweir.peers.frame_splitter import FrameSplitter
from turmericweir.peers.peer_codec import encode
from turmericweir.peers.peer_listener import PeerListener
from turmericweir.process.errors import PeerError, describe_error
from turmericweir.process.foreign_data import DECODE_ERRORS
from turmericweir.process.node import Node
from turmericweir.process.outgoing_socket import connect_socket
from turmericweir.servers.backend_stream import set_options
from turmericweir_core.base.ids import InstanceName
from turmericweir_core.messages.effects import SendPeer
from turmericweir_core.messages.events import PeerUnreachable

# Limit of messages that wait for one peer.
MAX_QUEUED_FRAMES: Final = 256
CONNECT_TIMEOUT_S: Final = 1.0
# Time after which a connection without an acknowledgement is considered unresponsive.
ACK_TIMEOUT_S: Final = 2.0
# Time after which an idle connection is closed.
IDLE_MAX_S: Final = 5.0
_CHECK_INTERVAL_S: Final = 0.25
_READ_MAX_BYTES: Final = 65_536
# The largest number in msgpack.
_ACK_MAX_BYTES: Final = 9
_ACK: Final = msgspec.msgpack.Decoder(int)
_CONNECTION_ERRORS: Final = (
    OSError,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
    # The connection was reset before its options were set.
    anyio.TypedAttributeLookupError,
    # The peer announced an address that is none, or sent bytes that are no acknowledgement.
    *DECODE_ERRORS,
)


class PeerLink:
    """The stream to one peer, which is opened when there is a message to send."""

    _node: Node
    _peer: InstanceName
    address: str
    # The local IP of the connection, which the peers' firewalls allow.
    _source_ip: str
    # Encoded frames to write.
    _queue: deque[bytes]
    # Set when a frame is queued.
    _frame_queued: anyio.Event
    # Counts of frames written and acknowledged on the open connection.
    _written: int
    _acked: int
    # Since when an acknowledgement is awaited; None if all written frames are acknowledged.
    _unacked_since: float | None
    _last_sent_at: float
    # Cancelled to end `run`, which closes the stream.
    scope: anyio.CancelScope

    def __init__(self, node: Node, peer: InstanceName, address: str, source_ip: str) -> None:
        self._node = node
        self._peer = peer
        self.address = address
        self._source_ip = source_ip
        self._queue = deque()
        self._frame_queued = anyio.Event()
        self._reset()
        self.scope = anyio.CancelScope()

    def _reset(self) -> None:
        self._written = 0
        self._acked = 0
        self._unacked_since = None
        self._last_sent_at = anyio.current_time()

    def send(self, frame: bytes) -> None:
        """Queue a frame; if the queue is full, drop the oldest one."""
        if len(self._queue) >= MAX_QUEUED_FRAMES:
            self._queue.popleft()
            self._node.count("peer.queue_overflow")
        self._queue.append(frame)
        self._frame_queued.set()

    async def run(self) -> None:
        """Open the stream whenever frames are queued, and reopen it after errors."""
        with self.scope:
            while True:
                await self._wait_for_frame()
                try:
                    await self._run_connection()
                except* (PeerError, TimeoutError, *_CONNECTION_ERRORS) as group:
                    self._report_broken(group)

    async def _wait_for_frame(self) -> None:
        if not self._queue:
            self._frame_queued = anyio.Event()
            await self._frame_queued.wait()

    def _report_broken(self, group: BaseExceptionGroup[BaseException]) -> None:
        error = describe_error(_first_exception(group))
        # Prevents the peer from receiving stale messages. The reducer resends the relevant ones.
        self._queue.clear()
        self._node.count("peer.stream_broken")
        self._node.handle(PeerUnreachable(self._peer, error))

    async def _run_connection(self) -> None:
        host, _, port = self.address.rpartition(":")
        with anyio.fail_after(CONNECT_TIMEOUT_S):
            sock = await connect_socket(host, int(port), source_ip=self._source_ip)
            stream = await SocketStream.from_socket(sock)
        async with stream:
            set_options(stream.extra(SocketAttribute.raw_socket))
            self._reset()
            async with anyio.create_task_group() as group:
                group.start_soon(self._read_acks, stream)
                group.start_soon(self._write, stream)
                await self._monitor()
                group.cancel_scope.cancel()

    async def _write(self, stream: SocketStream) -> None:
        while True:
            await self._wait_for_frame()
            frame = self._queue.popleft()
            self._last_sent_at = anyio.current_time()
            if self._unacked_since is None:
                self._unacked_since = self._last_sent_at
            self._written += 1
            await stream.send(frame)
            self._node.traffic.streams.sent.add(len(frame))

    async def _read_acks(self, stream: SocketStream) -> None:
        splitter = FrameSplitter()
        while True:
            data = await stream.receive(_READ_MAX_BYTES)
            self._node.traffic.streams.received.add(len(data))
            splitter.feed(data)
            for frame in splitter.split():
                self._acked = _ACK.decode(frame)
            if splitter.held_bytes > _ACK_MAX_BYTES:
                raise PeerError(
                    "read acknowledgement", self.address, "the acknowledgement is not a number"
                )
            self._unacked_since = None if self._acked >= self._written else anyio.current_time()

    async def _monitor(self) -> None:
        """Return when the connection is idle for too long; raise if it is unresponsive."""
        while True:
            await anyio.sleep(_CHECK_INTERVAL_S)
            now = anyio.current_time()
            if self._unacked_since is not None and now - self._unacked_since > ACK_TIMEOUT_S:
                raise PeerError(
                    "await acknowledgement", self.address, "the connection is unresponsive"
                )
            if (
                self._unacked_since is None
                and now - self._last_sent_at > IDLE_MAX_S
                and not self._queue
            ):
                return


class PeerStreams:
    """All streams of this instance, to and from its peers."""

    _node: Node
    _local_name: InstanceName
    _address: str
    _links: dict[InstanceName, PeerLink]
    _listener: PeerListener

    def __init__(
        self, local_name: InstanceName, address: str, bound_socket: socket.socket | None = None
    ) -> None:
        self._local_name = local_name
        self._address = address
        self._links = {}
        self._listener = PeerListener(address, bound_socket)

    def attach(self, node: Node) -> None:
        """Set the node, which is created after its adapters."""
        self._node = node

    async def __aenter__(self) -> Self:
        await self._listener.__aenter__()
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        for link in self._links.values():
            link.scope.cancel()
        await self._listener.__aexit__(exc_type, exc, traceback)

    def send(self, effect: SendPeer) -> None:
        """Send a message to a peer, opening a stream if necessary."""
        link = self._links.get(effect.peer)
        if link is None or link.address != effect.address:
            if link is not None:
                # The peer has restarted with a new address.
                link.scope.cancel()
            source_ip = self._address.rpartition(":")[0]
            link = PeerLink(self._node, effect.peer, effect.address, source_ip)
            self._links[effect.peer] = link
            self._node.run_in_background(link.run)
        frame = encode(self._local_name, effect.message)
        self._node.traffic.counter_for(effect.message).sent.add(len(frame))
        link.send(frame)

    async def serve(self) -> None:
        """Accept streams of peers and receive their frames."""
        await self._listener.serve(self._node)


def _first_exception(group: BaseExceptionGroup[BaseException]) -> BaseException:
    exception: BaseException = group
    while isinstance(exception, BaseExceptionGroup):
        exception = exception.exceptions[0]
    return exception
