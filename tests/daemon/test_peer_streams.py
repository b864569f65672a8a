"""Streams between instances, against a peer that behaves badly."""

from __future__ import annotations

from collections.abc import Callable
from typing import cast

import anyio
import msgpack
import pytest
from anyio.abc import SocketAttribute, SocketStream

from turmericweir.peers.peer_codec import encode
from turmericweir.peers.peer_streams import PeerLink
from turmericweir.process.node import Node
from turmericweir.process.traffic import Traffic
from turmericweir_core.base.ids import InstanceName
from turmericweir_core.messages.events import Event, PeerUnreachable
from turmericweir_core.messages.peer_messages import SettingsAsk

pytestmark = pytest.mark.anyio

ME = InstanceName("entry-1")
PEER = InstanceName("entry-2")
SAFETY_S = 20.0
# The IP by which peers and what lies in between know this instance.
SOURCE = "127.0.0.3"


class Listening:
    """Takes what a link tells its node."""

    def __init__(self) -> None:
        self.events: list[Event] = []
        self.happened = anyio.Event()
        self.traffic = Traffic()

    def handle(self, event: Event) -> None:
        """Note an event."""
        self.events.append(event)
        self.happened.set()

    def count(self, name: str, by: int = 1) -> None:
        """Count nothing."""


class BadPeer:
    """Accepts connections and lets the test say what is done on each."""

    def __init__(self) -> None:
        # Frames by connection, as the senders wrote them.
        self.connections: list[list[object]] = []
        # The IPs from which they came.
        self.sources: set[str] = set()
        self.changed = anyio.Event()

    async def serve(self, stream: SocketStream, answers: Callable[[int], bool]) -> None:
        """Read frames, and acknowledge them on the connections that answer."""
        number = len(self.connections)
        frames: list[object] = []
        self.connections.append(frames)
        self.sources.add(stream.extra(SocketAttribute.remote_address)[0])
        unpacker = msgpack.Unpacker()
        async with stream:
            async for data in stream:
                unpacker.feed(data)
                frames.extend(unpacker)
                self.changed.set()
                self.changed = anyio.Event()
                if answers(number):
                    await stream.send(msgpack.packb(len(frames)))


async def test_silent_connection_is_found_out_and_replaced() -> None:
    # The peer's first connection has gone silent: bytes are taken, nothing comes back, as when
    # something between the two ends has lost track of it. The reducer is told that messages may be
    # lost, and the next message goes out on a new connection, which works.
    listening = Listening()
    peer = BadPeer()
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(SocketAttribute.local_port)
    link = PeerLink(cast(Node, listening), PEER, f"127.0.0.1:{port}", SOURCE)

    async def accept(stream: SocketStream) -> None:
        await peer.serve(stream, lambda number: number > 0)

    with anyio.fail_after(SAFETY_S):
        async with listener, anyio.create_task_group() as group:
            group.start_soon(listener.serve, accept)
            group.start_soon(link.run)
            link.send(encode(ME, SettingsAsk(1)))
            await listening.happened.wait()
            (event,) = listening.events
            assert isinstance(event, PeerUnreachable)
            assert event.peer == PEER
            assert "silent" in event.error

            link.send(encode(ME, SettingsAsk(2)))
            while len(peer.connections) < 2 or not peer.connections[1]:
                await peer.changed.wait()
            assert peer.connections[1] == [[ME, "SettingsAsk", [2]]]
            assert peer.sources == {SOURCE}
            group.cancel_scope.cancel()


async def test_peer_that_is_gone_is_reported_and_its_queue_dropped() -> None:
    # Nothing listens at the address. What waited is lost, and the reducer is told; were it kept,
    # the peer would get old news first when it comes back.
    listening = Listening()
    async with await anyio.create_tcp_listener(local_host="127.0.0.1") as listener:
        port = listener.extra(SocketAttribute.local_port)
    link = PeerLink(cast(Node, listening), PEER, f"127.0.0.1:{port}", SOURCE)

    with anyio.fail_after(SAFETY_S):
        async with anyio.create_task_group() as group:
            group.start_soon(link.run)
            link.send(encode(ME, SettingsAsk(1)))
            await listening.happened.wait()
            group.cancel_scope.cancel()
    (event,) = listening.events
    assert isinstance(event, PeerUnreachable)
