"""Streams of messages between instances.

Each instance opens one stream to each peer that it has something to tell, and accepts theirs. The
receiver acknowledges frames by number on the same connection. That is how a connection is found out
that has gone silent while the system still believes in it: a frame that is not acknowledged in time
breaks the stream, the reducer is told that messages may be lost, and the next message goes out on a
new connection.
"""

from __future__ import annotations

from collections import deque
from types import TracebackType
from typing import Final, Self

import anyio
import msgpack
from anyio.abc import SocketAttribute, SocketStream
from anyio.streams.stapled import MultiListener

from turmericweir.peers.peer_codec import FRAME_MAX, FrameReader, encode, read_frame
from turmericweir.process import logs
from turmericweir.process.errors import ListenError, PeerError, describe
from turmericweir.process.node import Node
from turmericweir.process.traffic import TrafficCounter
from turmericweir.servers.backend_stream import set_options
from turmericweir_core.base.ids import InstanceName
from turmericweir_core.messages.effects import SendPeer
from turmericweir_core.messages.events import PeerUnreachable

# Messages that wait for one peer; more than that says that it takes none.
QUEUE_MAX: Final = 256
CONNECT_TIMEOUT_S: Final = 1.0
# A frame that is not acknowledged for so long is taken for lost, and its connection for silent.
ACK_TIMEOUT_S: Final = 2.0
# A connection that carried nothing for so long is not trusted with the next message.
IDLE_S: Final = 5.0
_CHECK_S: Final = 0.25
_READ_BYTES: Final = 65_536
_BROKEN: Final = (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError, anyio.EndOfStream)


class PeerLink:
    """The stream to one peer, opened when there is something to send."""

    _node: Node
    _peer: InstanceName
    address: str
    # The IP from which it is opened: the one that its peers' firewalls know this instance by.
    _source: str
    # Encoded frames that were not written yet.
    _queue: deque[bytes]
    # Set when there is something to send.
    _wanted: anyio.Event
    # Frames written to, and acknowledged on, the open connection.
    _written: int
    _acked: int
    # Since when an acknowledgement is due, or None.
    _due_since: float | None
    # When something was last written.
    _used_at: float
    # Ends the link.
    scope: anyio.CancelScope

    def __init__(self, node: Node, peer: InstanceName, address: str, source: str) -> None:
        self._node = node
        self._peer = peer
        self.address = address
        self._source = source
        self._queue = deque()
        self._wanted = anyio.Event()
        self._reset()
        self.scope = anyio.CancelScope()

    def _reset(self) -> None:
        self._written = 0
        self._acked = 0
        self._due_since = None
        self._used_at = anyio.current_time()

    def send(self, frame: bytes) -> None:
        """Queue a frame; where the peer takes none for long, the oldest is lost."""
        if len(self._queue) >= QUEUE_MAX:
            self._queue.popleft()
            self._node.count("peer.queue_overflow")
        self._queue.append(frame)
        self._wanted.set()

    async def run(self) -> None:
        """Keep the stream while there are messages for it."""
        with self.scope:
            while True:
                await self._wait_wanted()
                try:
                    await self._connect_and_talk()
                except* (PeerError, TimeoutError, *_BROKEN) as group:
                    self._give_up(group)

    async def _wait_wanted(self) -> None:
        if not self._queue:
            self._wanted = anyio.Event()
            await self._wanted.wait()

    def _give_up(self, group: BaseExceptionGroup[BaseException]) -> None:
        error = describe(_first(group))
        # What waited is lost with the stream: the reducer is told so and sends again what still
        # matters, instead of the peer getting old news first.
        self._queue.clear()
        self._node.count("peer.stream_broken")
        self._node.handle(PeerUnreachable(self._peer, error))

    async def _connect_and_talk(self) -> None:
        host, _, port = self.address.rpartition(":")
        with anyio.fail_after(CONNECT_TIMEOUT_S):
            stream = await anyio.connect_tcp(host, int(port), local_host=self._source)
        async with stream:
            set_options(stream.extra(SocketAttribute.raw_socket))
            self._reset()
            async with anyio.create_task_group() as group:
                group.start_soon(self._read_acks, stream)
                group.start_soon(self._write, stream)
                await self._watch()
                group.cancel_scope.cancel()

    async def _write(self, stream: SocketStream) -> None:
        while True:
            await self._wait_wanted()
            frame = self._queue.popleft()
            self._used_at = anyio.current_time()
            if self._due_since is None:
                self._due_since = self._used_at
            self._written += 1
            await stream.send(frame)
            self._node.traffic.streams.sent.add(len(frame))

    async def _read_acks(self, stream: SocketStream) -> None:
        unpacker = msgpack.Unpacker(max_buffer_size=_READ_BYTES)
        while True:
            data = await stream.receive(_READ_BYTES)
            self._node.traffic.streams.received.add(len(data))
            unpacker.feed(data)
            for acked in unpacker:
                if not isinstance(acked, int):
                    raise PeerError("read acknowledgement", self.address, "it is no number")
                self._acked = acked
            self._due_since = None if self._acked >= self._written else anyio.current_time()

    async def _watch(self) -> None:
        """Return when the connection has idled, raise when it has gone silent."""
        while True:
            await anyio.sleep(_CHECK_S)
            now = anyio.current_time()
            if self._due_since is not None and now - self._due_since > ACK_TIMEOUT_S:
                raise PeerError("await acknowledgement", self.address, "the connection is silent")
            if self._due_since is None and now - self._used_at > IDLE_S and not self._queue:
                return


class PeerStreams:
    """All streams of this instance: its own to its peers, and theirs to it."""

    _node: Node
    _me: InstanceName
    _address: str
    _links: dict[InstanceName, PeerLink]
    _listener: MultiListener[SocketStream]

    def __init__(self, me: InstanceName, address: str) -> None:
        self._me = me
        self._address = address
        self._links = {}

    def attach(self, node: Node) -> None:
        """Take the node whose effects these are; it is made after its adapters."""
        self._node = node

    async def __aenter__(self) -> Self:
        host, _, port = self._address.rpartition(":")
        try:
            self._listener = await anyio.create_tcp_listener(local_host=host, local_port=int(port))
        except OSError as exc:
            raise ListenError("listen for peers", self._address, exc.strerror or str(exc)) from exc
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        for link in self._links.values():
            link.scope.cancel()
        await self._listener.aclose()

    def send(self, effect: SendPeer) -> None:
        """Send a message to a peer."""
        link = self._links.get(effect.peer)
        if link is None or link.address != effect.address:
            if link is not None:
                # The peer has restarted elsewhere.
                link.scope.cancel()
            source = self._address.rpartition(":")[0]
            link = PeerLink(self._node, effect.peer, effect.address, source)
            self._links[effect.peer] = link
            self._node.in_background(link.run)
        frame = encode(self._me, effect.message)
        self._node.traffic.counter_for(effect.message).sent.add(len(frame))
        link.send(frame)

    async def serve(self) -> None:
        """Accept the streams of peers."""
        reader = FrameReader(self._node)

        async def accept(stream: SocketStream) -> None:
            async with stream:
                await _receive_frames(stream, reader, self._node.traffic.streams)

        await self._listener.serve(accept)


async def _receive_frames(
    stream: SocketStream, reader: FrameReader, traffic: TrafficCounter
) -> None:
    address = stream.extra(SocketAttribute.remote_address)
    origin = f"{address[0]}:{address[1]}"
    set_options(stream.extra(SocketAttribute.raw_socket))
    unpacker = msgpack.Unpacker(max_buffer_size=FRAME_MAX)
    received = 0
    # Bytes of the stream up to the end of the last frame.
    taken = 0
    try:
        while True:
            data = await stream.receive(_READ_BYTES)
            traffic.received.add(len(data))
            unpacker.feed(data)
            before = received
            for frame in unpacker:
                received += 1
                size = unpacker.tell() - taken
                taken += size
                reader.take(read_frame(frame, origin), size)
            if received > before:
                ack = msgpack.packb(received)
                await stream.send(ack)
                traffic.sent.add(len(ack))
    except _BROKEN as exc:
        if not isinstance(exc, anyio.EndOfStream):
            logs.write("peer_stream_lost", step="receive", peer=origin, error=describe(exc))
    # A stream that is out of step cannot be followed any further; msgpack raises ValueError, its
    # subclasses and a few others.
    except (ValueError, msgpack.UnpackException, msgpack.exceptions.BufferFull) as exc:
        reader.drop(PeerError("split stream", origin, describe(exc)))


def _first(group: BaseExceptionGroup[BaseException]) -> BaseException:
    found: BaseException = group
    while isinstance(found, BaseExceptionGroup):
        found = found.exceptions[0]
    return found
