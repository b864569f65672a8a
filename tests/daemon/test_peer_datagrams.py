"""Tests of the datagram socket between instances, in a process with few turns of the event loop."""

from __future__ import annotations

import socket
from typing import cast

import anyio
import anyio.lowlevel
import pytest

from turmericweir.peers import peer_datagrams
from turmericweir.peers.peer_codec import encode
from turmericweir.peers.peer_datagrams import PeerDatagrams
from turmericweir.process.listening_socket import bind_datagrams
from turmericweir.process.node import Node
from turmericweir.process.traffic import Traffic
from turmericweir_core.base.ids import InstanceName
from turmericweir_core.messages.duty_messages import DutyStatus
from turmericweir_core.messages.events import Event, PeerReceived
from turmericweir_core.messages.load_messages import LoadNews, LoadRow, SentPart

pytestmark = pytest.mark.anyio

HOST = "127.0.0.1"
PEER = InstanceName("entry-2")
# What peers send while this process is busy for a moment; the socket's buffer holds them.
WAITING_COUNT = 100
SAFETY_S = 20.0


class RecordingNode:
    """Records the events of the datagram socket."""

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

    @property
    def fences(self) -> list[int]:
        """The numbers of the received messages."""
        messages = (event.message for event in self.events if isinstance(event, PeerReceived))
        return [message.fence for message in messages if isinstance(message, DutyStatus)]

    @property
    def updates(self) -> list[LoadNews]:
        """The received load updates."""
        messages = (event.message for event in self.events if isinstance(event, PeerReceived))
        return [message for message in messages if isinstance(message, LoadNews)]


def free_address() -> str:
    """Return an address on which no socket is bound now."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind((HOST, 0))
        return f"{HOST}:{sock.getsockname()[1]}"


def send_all(address: str, count: int) -> None:
    """Send numbered messages to an address, without a turn of the event loop between them."""
    host, _, port = address.rpartition(":")
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        for number in range(count):
            sock.sendto(encode(PEER, DutyStatus(number)), (host, int(port)))


async def receive(node: RecordingNode, count: int) -> None:
    """Wait for the turn of the event loop that receives an event, until there are so many."""
    with anyio.fail_after(SAFETY_S):
        while len(node.events) < count:
            node.event_received = anyio.Event()
            await node.event_received.wait()


async def test_all_waiting_datagrams_are_received_in_one_turn() -> None:
    """Guards against messages that wait for seconds in the socket of a busy process."""
    address = free_address()
    node = RecordingNode()
    async with PeerDatagrams(InstanceName("entry-1"), address) as datagrams:
        datagrams.attach(cast(Node, node))
        send_all(address, WAITING_COUNT)
        await receive(node, 1)
        assert node.fences == list(range(WAITING_COUNT))


async def test_load_updates_that_wait_are_processed_as_one() -> None:
    """Guards against a busy process that does nothing but process load updates."""
    address = free_address()
    node = RecordingNode()
    async with PeerDatagrams(InstanceName("entry-1"), address) as datagrams:
        datagrams.attach(cast(Node, node))
        host, _, port = address.rpartition(":")
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            for number in range(9):
                part = SentPart("lm-1", f"p{number}", 400, True, 0)
                update = LoadNews("x", number, [LoadRow("lm-1", [], number, 0)], [part])
                sock.sendto(encode(PEER, update), (host, int(port)))
            sock.sendto(encode(PEER, DutyStatus(7)), (host, int(port)))
        await receive(node, 1)
        # All others are not delayed by the updates before them.
        assert node.fences == [7]
        await receive(node, 2)
        (update,) = node.updates
    assert update.seq == 8
    assert [row.running for row in update.rows] == [8]
    assert [part.part for part in update.parts] == [f"p{number}" for number in range(9)]


async def test_datagrams_leave_room_for_requests(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a flood of datagrams that keeps the event loop from all other work."""
    monkeypatch.setattr(peer_datagrams, "_RECEIVED_PER_TURN_MAX", 10)
    address = free_address()
    node = RecordingNode()
    async with PeerDatagrams(InstanceName("entry-1"), address) as datagrams:
        datagrams.attach(cast(Node, node))
        send_all(address, WAITING_COUNT)
        await receive(node, 1)
        assert len(node.events) == 10
        with anyio.fail_after(SAFETY_S):
            while len(node.events) < WAITING_COUNT:
                await anyio.lowlevel.checkpoint()
        assert node.fences == list(range(WAITING_COUNT))


async def test_datagrams_from_before_the_daemon_was_loaded_are_discarded() -> None:
    """Guards against heartbeats that count as new though they waited through the imports."""
    address = free_address()
    node = RecordingNode()
    bound_socket = bind_datagrams(address, "test")
    send_all(address, WAITING_COUNT)
    async with PeerDatagrams(InstanceName("entry-1"), address, bound_socket) as datagrams:
        datagrams.attach(cast(Node, node))
        host, _, port = address.rpartition(":")
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            sock.sendto(encode(PEER, DutyStatus(7_000)), (host, int(port)))
        await receive(node, 1)
        assert node.fences == [7_000]
