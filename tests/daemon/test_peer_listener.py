"""Tests of the port for peers, on a connection that the test controls."""

from __future__ import annotations

import asyncio
import socket
from typing import cast

import anyio.lowlevel
import pytest

from turmericweir.peers.carrier import Carrier
from turmericweir.peers.incoming_streams import IncomingStreams
from turmericweir.peers.peer_codec import FrameReader, encode
from turmericweir.peers.peer_listener import IncomingStream, PeerListener
from turmericweir.process.listening_socket import bind, listen
from turmericweir.process.memory_budget import MemoryBudget
from turmericweir.process.node import Node
from turmericweir.process.traffic import Traffic
from turmericweir_core.base.ids import InstanceName
from turmericweir_core.messages.events import Event
from turmericweir_core.messages.membership_messages import MarksAsk
from turmericweir_standins.procs import free_address

pytestmark = pytest.mark.anyio

FRAMES = 1_000


class RecordingNode:
    """Records the events of the port."""

    def __init__(self) -> None:
        self.events: list[Event] = []
        self.traffic = Traffic()
        self.memory = MemoryBudget()

    def handle(self, event: Event) -> None:
        """Record an event."""
        self.events.append(event)

    def count(self, name: str, by: int = 1) -> None:
        """Ignore a count."""


class Transport(asyncio.Transport):
    """Records what is written, and whether the connection is read."""

    def __init__(self) -> None:
        super().__init__({"socket": socket.socket(), "peername": ("127.0.0.1", 1)})
        self.written: list[bytes] = []
        self._reads = True
        self._is_closed = False

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Record written bytes."""
        self.written.append(bytes(data))

    def pause_reading(self) -> None:
        """Record that reading is paused."""
        self._reads = False

    def resume_reading(self) -> None:
        """Record that reading goes on."""
        self._reads = True

    def is_reading(self) -> bool:
        """Return whether the connection is read."""
        return self._reads

    def is_closing(self) -> bool:
        """Return whether the connection was closed."""
        return self._is_closed

    def abort(self) -> None:
        """Close the connection."""
        self._is_closed = True


def _connect(node: RecordingNode, transport: Transport) -> IncomingStream:
    own_node = cast(Node, node)
    stream = IncomingStream(own_node, FrameReader(own_node), cast(Carrier, None), IncomingStreams())
    stream.connection_made(transport)
    return stream


async def test_many_frames_leave_turns_to_others() -> None:
    # Guards against one read of small frames that keeps the event loop from all other work.
    node, transport = RecordingNode(), Transport()
    stream = _connect(node, transport)
    stream.data_received(encode(InstanceName("entry-2"), MarksAsk()) * FRAMES)
    assert 0 < len(node.events) < FRAMES / 10
    assert not transport.is_reading()
    turns = 1
    while len(node.events) < FRAMES:
        await anyio.lowlevel.checkpoint()
        turns += 1
        assert turns <= FRAMES
    await anyio.lowlevel.checkpoint()
    assert transport.is_reading()
    assert transport.written[-1] == b"\xcd\x03\xe8"


async def test_peer_that_does_not_read_is_not_read() -> None:
    # Guards against acknowledgements that wait in memory for a peer that never reads them.
    node, transport = RecordingNode(), Transport()
    stream = _connect(node, transport)
    stream.pause_writing()
    assert not transport.is_reading()
    stream.data_received(encode(InstanceName("entry-2"), MarksAsk()))
    assert not transport.is_reading()
    stream.resume_writing()
    assert transport.is_reading()


async def test_closed_connection_processes_no_more_frames() -> None:
    node, transport = RecordingNode(), Transport()
    stream = _connect(node, transport)
    stream.data_received(encode(InstanceName("entry-2"), MarksAsk()) * FRAMES)
    processed = len(node.events)
    transport.abort()
    for _ in range(FRAMES):
        await anyio.lowlevel.checkpoint()
    assert len(node.events) == processed


async def test_streams_are_accepted_after_another_program_has_listened_on_the_port() -> None:
    # Guards against a port that listens and accepts nothing, after a first try that failed.
    address, node = free_address(), RecordingNode()
    async with PeerListener(address, bind(address, "listen for peers")) as listener:
        with bind(address, "listen for peers") as other:
            listen(other, 1, "listen for peers")
            with pytest.raises(OSError, match="in use"):
                await listener.serve(cast(Node, node))
        async with anyio.create_task_group() as group:
            group.start_soon(listener.serve, cast(Node, node))
            await anyio.lowlevel.checkpoint()
            host, _, port = address.rpartition(":")
            with anyio.fail_after(20):
                async with await anyio.connect_tcp(host, int(port)) as stream:
                    await stream.send(encode(InstanceName("entry-2"), MarksAsk()))
                    assert await stream.receive() == b"\x01"
            group.cancel_scope.cancel()
