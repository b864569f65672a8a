"""Tests of crowds at the port for other instances, through real processes."""

from __future__ import annotations

import json
import socket
from collections.abc import Iterator
from contextlib import ExitStack, suppress
from itertools import chain, repeat
from pathlib import Path

import msgspec
import pytest

from tests.platform.crowds import (
    MEMORY_MB,
    Crowd,
    assert_unharmed,
    flood,
    limit_descriptors,
    one_at_a_time,
)
from tests.platform.platform_world import PlatformWorld, until
from tests.platform.slow_callers import RECEIVE_BUFFER_BYTES
from tests.platform.unread_sockets import resident_bytes, waiting_bytes
from turmericweir.peers.carrier import CARRIED_MAX
from turmericweir.peers.peer_codec import encode
from turmericweir_core.base.config import ServerEntry
from turmericweir_core.base.ids import InstanceName, ServerName
from turmericweir_core.messages.load_messages import CachesSend, CachesServer, LoadNews, LoadRow
from turmericweir_core.messages.membership_messages import Heartbeat, MarksAsk
from turmericweir_core.messages.server_messages import CarryAsk, PathsAsk, ServersSend
from turmericweir_core.messages.settings_messages import DocumentSend
from turmericweir_standins.procs import Process

_BLOCK_BYTES = 65_536
_SENDER = InstanceName("entry-9")
_FRAME_START = b"\x93\xa7entry-9\xa8PathsAsk"
# The result of an ask that was granted: a length and one byte.
_RESULT_BYTES = 5
_DESIGN_SERVERS = 930
_DESIGN_PARTS = 200
_DESIGN_DOCUMENT_BYTES = 4_194_304


@pytest.fixture(autouse=True)
def _alone() -> Iterator[None]:
    with one_at_a_time():
        yield


@pytest.fixture
def world(tmp_path: Path, _alone: None) -> Iterator[PlatformWorld]:
    """Yield a world with one instance that has limits of memory and descriptors."""
    with PlatformWorld(tmp_path, machine={"memory_mb": MEMORY_MB, "counts_sockets": True}) as world:
        limit_descriptors(world.running["entry-1"])
        assert world.send_safe().status == 200
        yield world


def _peer_address(world: PlatformWorld) -> tuple[str, int]:
    text = (world.directory / "entry-1.json").read_text()
    host, _, port = json.loads(text.split("\n", 1)[1])["peer_address"].rpartition(":")
    return host, int(port)


def _repeated(start: bytes, unit: bytes, size: int) -> Iterator[bytes]:
    block = unit * (_BLOCK_BYTES // len(unit))
    return chain([start], repeat(block, size // len(block)))


def _paths_ask(count: int) -> Iterator[bytes]:
    frame = msgspec.msgpack.encode(("entry-9", "PathsAsk", [["ab"] * count, 1]))
    return iter([frame])


@pytest.mark.parametrize(
    ("connections", "start", "unit", "size"),
    [
        pytest.param(4, b"\x93\xa1a\xa1b\xdd\x00\xff\xff\xff", b"\x90", 4_000_000, id="lists"),
        pytest.param(4, b"\x93\xa1a\xa1b\xdd\x00\xff\xff\xff", b"\x80", 4_000_000, id="maps"),
        pytest.param(
            4, _FRAME_START + b"\x92\xdd\x00\xff\xff\xff", b"\xa2ab", 8_000_000, id="texts"
        ),
        pytest.param(40, b"\x93\xa1a\xa1b\xc6\x00\xf0\x00\x00", b"x", 8_000_000, id="length"),
        pytest.param(400, b"\x93\xa1a\xa1b\xdd\x00\xff\xff\xff", b"", 0, id="counts"),
        pytest.param(4, b"", b"\x01", 1_000_000, id="numbers"),
        pytest.param(4, b"", b"\x93\xa1a\xa1b\xc0", 1_000_000, id="unknown"),
        pytest.param(4, b"", encode(_SENDER, MarksAsk()), 250_000, id="unread acknowledgements"),
    ],
)
def test_frames_without_end_leave_an_instance_serving(
    world: PlatformWorld, connections: int, start: bytes, unit: bytes, size: int
) -> None:
    # Guards against frames that fill the memory before they are refused.
    with Crowd(_peer_address(world)) as crowd:
        crowd.send(connections, lambda: _repeated(start, unit, size) if unit else iter([start]))
        assert_unharmed(world)


def test_complete_frame_that_becomes_large_leaves_an_instance_serving(
    world: PlatformWorld,
) -> None:
    # Guards against a frame of legal size that takes many times its size as objects.
    with Crowd(_peer_address(world)) as crowd:
        crowd.send(2, lambda: _paths_ask(2_500_000))
        assert_unharmed(world)


@pytest.mark.parametrize("start", [b"", b"\x93\xa1a"], ids=["nothing", "half a frame"])
def test_silent_connections_leave_descriptors_for_callers(
    world: PlatformWorld, start: bytes
) -> None:
    # Guards against connections of nobody that keep callers out.
    with Crowd(_peer_address(world)) as crowd:
        crowd.send(1_500, lambda: iter([start]))
        assert_unharmed(world)


def test_silent_connections_do_not_end_the_stream_of_a_peer(world: PlatformWorld) -> None:
    # Guards against a crowd that keeps instances from knowing each other.
    with (
        Crowd(_peer_address(world)) as crowd,
        socket.create_connection(_peer_address(world), timeout=20) as peer,
    ):
        peer.sendall(encode(_SENDER, MarksAsk()))
        assert peer.recv(1) == b"\x01"
        crowd.send(1_500, lambda: iter([b""]))
        peer.sendall(encode(_SENDER, MarksAsk()))
        assert peer.recv(1) == b"\x02"


def _load_updates() -> dict[str, bytes]:
    rows = [LoadRow(f"i-{number:08x}", [], 1, 1) for number in range(1_300)]
    return {
        "malformed": msgspec.msgpack.encode(["1", 1, "x" * 20_000]),
        "sound": msgspec.msgpack.encode(LoadNews("1", 1, rows)),
    }


@pytest.mark.parametrize("form", ["malformed", "sound"])
def test_load_updates_of_many_names_leave_an_instance_serving(
    world: PlatformWorld, form: str
) -> None:
    # Guards against load updates that wait in memory faster than they are processed.
    body = _load_updates()[form]
    names = (f"entry-{number:08}".encode() for number in range(20_000))
    flood(_peer_address(world), (b"\x93\xae" + name + b"\xa8LoadNews" + body for name in names))
    assert_unharmed(world)


def test_heartbeats_of_many_names_leave_an_instance_serving(world: PlatformWorld) -> None:
    # Guards against members that nobody knows and that are kept.
    flood(_peer_address(world), map(_heartbeat, range(40_000)))
    assert_unharmed(world)


def _heartbeat(number: int) -> bytes:
    beat = Heartbeat("dc-1", f"127.0.0.1:{1 + number}", "1", 1, False, 0, "")
    return encode(InstanceName(f"entry-{number:08}"), beat)


def test_carried_connections_without_end_leave_an_instance_serving(world: PlatformWorld) -> None:
    # Guards against peers whose carried connections take all memory or all descriptors.
    with socket.create_server(("127.0.0.1", 0), backlog=1_024) as unread:
        unread.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        address = f"127.0.0.1:{unread.getsockname()[1]}"
        world.register("shop-2", address=address, born=2)
        until(lambda: _lists(world, address), "the instance knows the new address")
        ask = encode(_SENDER, CarryAsk("shop-2", address))
        with Crowd(_peer_address(world)) as crowd:
            # The result comes before the bytes that the server never reads.
            crowd.ask(400, ask, lambda: _repeated(b"", b"x", 2_000_000))
            world.register("shop-2", born=3)
            assert_unharmed(world)


@pytest.mark.parametrize("from_server", [True, False], ids=["answers", "bodies"])
def test_what_waits_for_the_ends_of_carried_connections_fits_into_the_memory(
    world: PlatformWorld, from_server: bool
) -> None:
    # Guards against a process that is killed for what the system holds for ends that do not read.
    process = world.running["entry-1"].process
    with ExitStack() as stack:
        server = stack.enter_context(socket.create_server(("127.0.0.1", 0), backlog=1_024))
        server.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        address = f"127.0.0.1:{server.getsockname()[1]}"
        world.register("shop-2", address=address, born=2)
        until(lambda: _lists(world, address), "the instance knows the new address")
        senders: list[socket.socket] = []
        for _ in range(CARRIED_MAX):
            peer = stack.enter_context(socket.socket())
            peer.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            peer.connect(_peer_address(world))
            peer.sendall(encode(_SENDER, CarryAsk("shop-2", address)))
            conn, _ = server.accept()
            stack.enter_context(conn)
            assert peer.recv(_RESULT_BYTES)
            senders.append(conn if from_server else peer)
        used = [0]
        until(lambda: not _send_all(senders, process, used), "nothing more can be sent")
    print(f"at most {max(used)} bytes")
    assert max(used) < MEMORY_MB * 1_000_000
    assert process.is_running


def _send_all(senders: list[socket.socket], process: Process, used: list[int]) -> bool:
    """Send what the connections take, and record the memory; return whether they took any."""
    has_sent = False
    for sock in senders:
        with suppress(BlockingIOError):
            has_sent = sock.send(bytes(4_000_000), socket.MSG_DONTWAIT) > 0 or has_sent
    used.append(resident_bytes(process) + waiting_bytes(process))
    return has_sent


def _lists(world: PlatformWorld, address: str) -> bool:
    lines = world.running["entry-1"].logged("server_listed")
    return any(line["address"] == address for line in lines)


def _design_messages() -> dict[str, bytes]:
    servers = [
        ServerEntry(ServerName(f"i-{n:08x}"), "lesson-draft", "dc-1", f"10.0.{n >> 8}.{n & 255}:80")
        for n in range(_DESIGN_SERVERS)
    ]
    parts = [f"{n:016x}" for n in range(_DESIGN_PARTS)]
    rows = [CachesServer(each.name, parts, [1_000] * _DESIGN_PARTS) for each in servers]
    return {
        "servers": encode(_SENDER, ServersSend(1.0, servers, list(range(_DESIGN_SERVERS)))),
        "caches": encode(_SENDER, CachesSend(rows)),
        "document": encode(_SENDER, DocumentSend(0, b"x" * _DESIGN_DOCUMENT_BYTES)),
        "paths": encode(_SENDER, PathsAsk([each.name for each in servers], 1)),
    }


@pytest.mark.parametrize("name", list(_design_messages()))
def test_largest_messages_of_a_large_deployment_are_taken(world: PlatformWorld, name: str) -> None:
    # Guards against bounds that a peer of a large deployment meets.
    frame = _design_messages()[name]
    with socket.create_connection(_peer_address(world), timeout=20) as peer:
        for number in range(1, 4):
            peer.sendall(frame)
            assert peer.recv(1) == bytes([number])
    assert not world.running["entry-1"].logged("bad_frame")
    assert_unharmed(world)
