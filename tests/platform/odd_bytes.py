"""Malformed bytes at every port of real processes, and in answers of servers and of the store.

`python -m tests.platform.odd_bytes --seeds 1-20` plays each seed in a world of its own. No process
may end, log a fault or stop serving.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
import sys
from collections.abc import Callable
from itertools import islice
from pathlib import Path
from random import Random
from typing import Any, Final, cast

from tests.foreign_bytes import mutations
from tests.platform.platform_world import HOST, KEY, PlatformWorld, until
from tests.platform.seed_plays import play_seeds
from tests.platform.standin_http import Call, Handler, Listener
from tests.platform.standin_server import Server
from turmericweir.peers.peer_codec import encode
from turmericweir_core.base.ids import InstanceName
from turmericweir_core.messages.settings_messages import DocumentAsk
from turmericweir_standins.procs import free_address

# The share of writes of a faulty end that are changed.
_SERVER_SHARE: Final = 0.7
_STORE_SHARE: Final = 0.1
_READ_TIMEOUT_S: Final = 0.05
_ODD_SERVERS: Final = {"odd-lm": True, "odd-shop": False}


class _OddWriter:
    """Changes some of the bytes that a stand-in writes."""

    def __init__(self, writer: asyncio.StreamWriter, rng: Random, share: float) -> None:
        self._writer = writer
        self._rng = rng
        self._share = share

    # Any: stands for every other attribute of the writer.
    def __getattr__(self, name: str) -> Any:
        return getattr(self._writer, name)

    def write(self, data: bytes) -> None:
        """Write the data, or a changed form of it."""
        if self._rng.random() < self._share:
            data = next(mutations(data, self._rng.randrange(1 << 30)))
        self._writer.write(data)


def _make_odd(handler: Handler, rng: Random, share: float) -> Handler:
    async def handle(call: Call) -> bool:
        writer = call.writer
        call.writer = cast(asyncio.StreamWriter, _OddWriter(writer, rng, share))
        try:
            return await handler(call)
        finally:
            call.writer = writer

    return handle


class OddWorld(PlatformWorld):
    """A world with servers, and a store of one instance, whose answers are malformed."""

    rng: Random

    def add_odd_ends(self, rng: Random) -> None:
        """Start the faulty servers, and an instance that reads from a faulty store."""
        self.rng = rng
        for name, is_streaming in _ODD_SERVERS.items():
            server = Server(name, is_streaming, free_address(), version="v1")
            self.servers[name] = server
            listener = Listener(server.address, _make_odd(server.handle, rng, _SERVER_SHARE))
            self._loop.run(listener.start())
            self._listeners[name] = listener
            self.register(name)
        store = self._open_listener(_make_odd(self.store.handle, rng, _STORE_SHARE))
        self.add_instance("entry-2", store=store, wait=False)

    def addresses(self, name: str) -> dict[str, str]:
        """Return the addresses of the ports of an instance."""
        text = (self.directory / f"{name}.json").read_text()
        cfg = json.loads(text.split("\n", 1)[1])
        kinds = ("caller_address", "readiness_address", "admin_address", "peer_address")
        return {kind: cfg[kind] for kind in kinds}


def _request(path: str, request_id: str) -> bytes:
    head = [
        f"POST {path} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Key: {KEY}",
        f"X-Attempt-Id: {request_id}",
        "Transfer-Encoding: chunked",
        "",
        "4\r\nbody\r\n0\r\nTrailer: 1\r\n\r\n",
    ]
    return "\r\n".join(head).encode()


def _send_stream(address: str, data: bytes) -> None:
    host, _, port = address.rpartition(":")
    target = (host, int(port))
    with (
        contextlib.suppress(OSError),
        socket.create_connection(target, timeout=_READ_TIMEOUT_S) as conn,
    ):
        conn.sendall(data)
        while conn.recv(65_536):
            pass


def _send_datagram(address: str, data: bytes) -> None:
    host, _, port = address.rpartition(":")
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock, contextlib.suppress(OSError):
        sock.sendto(data, (host, int(port)))


def play(seed: int, rounds: int, directory: Path) -> list[str]:
    """Play a seed; return what was broken."""
    rng = Random(seed)
    bounds = {"grace_s": 3}
    with OddWorld(directory, bounds=bounds) as world:
        world.add_odd_ends(rng)
        frame = encode(InstanceName("entry-9"), DocumentAsk(0, 1))
        for number in range(rounds):
            for name in ("entry-1", "entry-2"):
                _play_round(world, name, frame, f"{number}-{name}", rng.randrange(1 << 30))
        broken = _find_broken(world)
        with contextlib.suppress(OSError):
            for process in [each.process for each in world.running.values() if not broken]:
                process.terminate()
                exit_code = process.wait(20)
                if exit_code:
                    broken.append(f"{process.name} ended with {exit_code} after a stop")
        return broken


def _play_round(world: OddWorld, name: str, frame: bytes, request_id: str, seed: int) -> None:
    addresses = world.addresses(name)
    request = _request(world.rng.choice(("/shop/buy/", "/lm/doc/", "/lm/chat/")), request_id)
    sends: list[tuple[Callable[[str, bytes], None], str, bytes]] = [
        (_send_stream, addresses["caller_address"], request),
        (_send_stream, addresses["readiness_address"], request),
        (_send_stream, addresses["admin_address"], request),
        (_send_stream, addresses["peer_address"], frame),
        (_send_datagram, addresses["peer_address"], frame),
    ]
    for send, address, sample in sends:
        for data in islice(mutations(sample, seed), 3):
            send(address, data)
    # Sound requests, some of which the faulty servers answer.
    with contextlib.suppress(OSError, ValueError):
        world.send_safe(instance=name)


def _find_broken(world: OddWorld) -> list[str]:
    broken = []
    for name, instance in world.running.items():
        if not instance.process.is_running:
            broken.append(f"{name} ended with {instance.process.wait()}")
        broken += [f"{name} logged {line}" for line in instance.logged("fault")[:3]]
    if not broken:
        until(lambda: _is_served(world), "a caller is served")
    return broken


def _is_served(world: OddWorld) -> bool:
    try:
        return world.send_safe(instance="entry-1").status == 200
    except (OSError, ValueError):
        return False


if __name__ == "__main__":
    sys.exit(play_seeds(play, "odd-bytes"))
