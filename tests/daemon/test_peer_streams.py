"""Tests of the streams between instances, with unresponsive and missing peers."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress
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
from turmericweir_core.messages.settings_messages import SettingsAsk

pytestmark = pytest.mark.anyio

LOCAL_NAME = InstanceName("entry-1")
PEER = InstanceName("entry-2")
SAFETY_S = 20.0
# A list of lists; each of them is complete, and the outer one never is.
ENDLESS_LISTS = b"\xdc\xff\xff" + b"\x90" * 65_000
ENDLESS_MAX_BYTES = 16_000_000
# The IP that the peers' firewalls allow for this instance.
SOURCE_IP = "127.0.0.3"


class RecordingNode:
    """Records the events that a link sends to its node."""

    def __init__(self) -> None:
        self.events: list[Event] = []
        self.event_received = anyio.Event()
        self.traffic = Traffic()

    def handle(self, event: Event) -> None:
        """Record an event."""
        self.events.append(event)
        self.event_received.set()

    def count(self, name: str, by: int = 1) -> None:
        """Ignore a count."""


class FaultyPeer:
    """Accepts connections and acknowledges frames only on those that the test selects."""

    def __init__(self) -> None:
        # Received frames by connection.
        self.connections: list[list[object]] = []
        # Remote IPs of the connections.
        self.sources: set[str] = set()
        self.frame_received = anyio.Event()

    async def serve(self, stream: SocketStream, answers: Callable[[int], bool]) -> None:
        """Read frames, and acknowledge them if `answers` is true for the connection."""
        number = len(self.connections)
        frames: list[object] = []
        self.connections.append(frames)
        self.sources.add(stream.extra(SocketAttribute.remote_address)[0])
        unpacker = msgpack.Unpacker()
        async with stream:
            async for data in stream:
                unpacker.feed(data)
                frames.extend(unpacker)
                self.frame_received.set()
                self.frame_received = anyio.Event()
                if answers(number):
                    await stream.send(msgpack.packb(len(frames)))


async def test_unresponsive_connection_is_reported_and_replaced() -> None:
    # Guards against losing messages unnoticed on a connection that accepts data and acknowledges
    # nothing, and against sending later messages on it.
    node = RecordingNode()
    peer = FaultyPeer()
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(SocketAttribute.local_port)
    link = PeerLink(cast(Node, node), PEER, f"127.0.0.1:{port}", SOURCE_IP)

    async def accept(stream: SocketStream) -> None:
        await peer.serve(stream, lambda number: number > 0)

    with anyio.fail_after(SAFETY_S):
        async with listener, anyio.create_task_group() as group:
            group.start_soon(listener.serve, accept)
            group.start_soon(link.run)
            link.send(encode(LOCAL_NAME, SettingsAsk(1)))
            await node.event_received.wait()
            (event,) = node.events
            assert isinstance(event, PeerUnreachable)
            assert event.peer == PEER
            assert "unresponsive" in event.error

            link.send(encode(LOCAL_NAME, SettingsAsk(2)))
            while len(peer.connections) < 2 or not peer.connections[1]:
                await peer.frame_received.wait()
            assert peer.connections[1] == [[LOCAL_NAME, "SettingsAsk", [2]]]
            assert peer.sources == {SOURCE_IP}
            group.cancel_scope.cancel()


async def test_unreachable_peer_is_reported() -> None:
    # Guards against messages to a stopped peer that are lost without an event for the reducer.
    node = RecordingNode()
    async with await anyio.create_tcp_listener(local_host="127.0.0.1") as listener:
        port = listener.extra(SocketAttribute.local_port)
    link = PeerLink(cast(Node, node), PEER, f"127.0.0.1:{port}", SOURCE_IP)

    with anyio.fail_after(SAFETY_S):
        async with anyio.create_task_group() as group:
            group.start_soon(link.run)
            link.send(encode(LOCAL_NAME, SettingsAsk(1)))
            await node.event_received.wait()
            group.cancel_scope.cancel()
    (event,) = node.events
    assert isinstance(event, PeerUnreachable)


async def test_answer_that_is_no_acknowledgement_ends_the_connection() -> None:
    # Guards against lists without end that a faulty peer sends instead of acknowledgements.
    node = RecordingNode()
    written = 0
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(SocketAttribute.local_port)
    link = PeerLink(cast(Node, node), PEER, f"127.0.0.1:{port}", SOURCE_IP)

    async def answer(stream: SocketStream) -> None:
        nonlocal written
        await stream.receive()
        with suppress(anyio.BrokenResourceError):
            while written < ENDLESS_MAX_BYTES:
                await stream.send(ENDLESS_LISTS)
                written += len(ENDLESS_LISTS)

    with anyio.fail_after(SAFETY_S):
        async with listener, anyio.create_task_group() as group:
            group.start_soon(listener.serve, answer)
            group.start_soon(link.run)
            link.send(encode(LOCAL_NAME, SettingsAsk(1)))
            await node.event_received.wait()
            group.cancel_scope.cancel()
    (event,) = node.events
    assert isinstance(event, PeerUnreachable)
    assert written < ENDLESS_MAX_BYTES
