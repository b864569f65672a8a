"""Tests of bytes that wait in the sockets of a real process."""

from __future__ import annotations

import socket
from collections.abc import Callable, Iterator
from contextlib import ExitStack, suppress
from pathlib import Path
from typing import Final

import pytest

from tests.platform.client_crowd import LimitedWorld
from tests.platform.crowds import one_at_a_time
from tests.platform.platform_world import call, document, until
from tests.platform.slow_callers import SlowCaller
from tests.platform.unread_sockets import (
    connections,
    resident_bytes,
    unread_bytes,
    waiting_bytes,
)

_MEMORY_MB: Final = 160
_DESCRIPTORS: Final = 4_100
_CLIENTS: Final = 1_500
_PORTS: Final = ("caller", "readiness", "admin", "metrics", "peer")
# More than the kernel takes for a connection that is not read.
_SENT_BYTES: Final = 200_000
_UNREAD: Final = "turmericweir_sockets_unread_bytes"
# Callers that read nothing, and the streams that they asked for.
_READERS: Final = 100
_EVENTS: Final = 4_000
_EVENT_BYTES: Final = 5_000
_AHEAD: Final = b"GET / HTTP/1.1\r\n\r\n"


@pytest.fixture(autouse=True)
def _alone() -> Iterator[None]:
    with one_at_a_time():
        yield


@pytest.fixture
def world(tmp_path: Path, _alone: None) -> Iterator[LimitedWorld]:
    """Yield a world whose instance has a memory limit, and whose plain servers do not answer."""
    machine = {"memory_mb": _MEMORY_MB, "max_fds": _DESCRIPTORS, "counts_sockets": True}
    with LimitedWorld(tmp_path, metrics=True, machine=machine, descriptors=_DESCRIPTORS) as world:
        world.set_mode("mute", "shop-1", "shop-2")
        base = document(1)
        limits = {**base["limits"], "max-body-bytes": 8_000_000, "header-timeout-ms": 60_000}
        world.publish(
            limits=limits, routes=[{**each, "timeout-ms": 60_000} for each in base["routes"]]
        )
        until(
            lambda: world.reported_state("entry-1")["settings_version"] == world.version,
            "the settings are in force",
        )
        yield world


def _request(world: LimitedWorld, length: int) -> bytes:
    path = "/shop/buy/"
    headers = world.request_headers(
        path, world.new_id(), Content_Length=str(length), X_Deadline_Ms="60000"
    )
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    return f"POST {path} HTTP/1.1\r\n{lines}\r\n".encode()


def _body(world: LimitedWorld) -> bytes:
    return _request(world, _SENT_BYTES) + b"x" * _SENT_BYTES


def _ahead(world: LimitedWorld) -> bytes:
    return _request(world, 6) + b"prompt" + _AHEAD * (_SENT_BYTES // len(_AHEAD))


def _first_lines(_world: LimitedWorld) -> bytes:
    return _AHEAD * (_SENT_BYTES // len(_AHEAD))


def _frame(_world: LimitedWorld) -> bytes:
    """Return a part of a frame whose end does not come."""
    return b"\x93\xa1a\xa1b\xc6\x00\xf0\x00\x00" + b"x" * _SENT_BYTES


def _connect(address: str) -> socket.socket:
    host, _, port = address.rpartition(":")
    return socket.create_connection((host, int(port)), timeout=60)


def _is_served_or_refused(world: LimitedWorld) -> bool:
    with suppress(OSError):
        return world.send("/lm/doc/").status in (200, 503)
    return False


def _used_mb(world: LimitedWorld, addresses: list[str]) -> float:
    """Return the memory of the process with what waits in its sockets."""
    unread = unread_bytes(addresses)
    resident = resident_bytes(world.running["entry-1"].process)
    print(f"resident {resident / 1e6:.0f} MB, unread {unread / 1e6:.0f} MB")
    return (resident + unread) / 1e6


@pytest.mark.parametrize(
    ("ports", "sent"),
    [
        pytest.param(["caller"], _body, id="bodies"),
        pytest.param(["caller"], _ahead, id="requests ahead"),
        pytest.param(["readiness", "admin", "metrics"], _first_lines, id="other ports"),
        pytest.param(["peer"], _frame, id="peers"),
    ],
)
def test_bytes_that_are_not_read_fit_into_the_memory(
    world: LimitedWorld, ports: list[str], sent: Callable[[LimitedWorld], bytes]
) -> None:
    # Guards against a process that is killed for what waits in its sockets.
    process = world.running["entry-1"].process
    addresses = [world.address_of(port) for port in _PORTS]
    used_mb: list[float] = []
    with ExitStack() as stack:
        clients = [
            stack.enter_context(_connect(world.address_of(ports[number % len(ports)])))
            for number in range(_CLIENTS)
        ]
        until(lambda: all(each.is_accepted for each in connections(addresses)), "all are accepted")
        process.pause()
        try:
            for sock in clients:
                sock.setblocking(False)
                with suppress(BlockingIOError, ConnectionError):
                    sock.send(sent(world))
            used_mb.append(_used_mb(world, addresses))
        finally:
            process.resume()
        until(lambda: _is_served_or_refused(world), "an ordinary request is answered")
        used_mb.append(_used_mb(world, addresses))
    assert max(used_mb) < _MEMORY_MB
    assert process.is_running


def test_bytes_that_are_not_read_are_told(world: LimitedWorld) -> None:
    # Guards against a process that grows by what nothing of it shows.
    addresses = [world.address_of("caller")]
    assert _unread_gauge(world) == 0
    with ExitStack() as stack:
        clients = [stack.enter_context(_connect(addresses[0])) for _ in range(_CLIENTS)]
        for sock in clients:
            sock.setblocking(False)
            with suppress(BlockingIOError, ConnectionError):
                sock.send(_ahead(world))
        until(lambda: bool(world.running["entry-1"].logged("bytes_unread")), "it is logged")
        until(lambda: 0 < _unread_gauge(world) < 2 * unread_bytes(addresses), "the gauge follows")
    (line,) = world.running["entry-1"].logged("bytes_unread")
    assert line["unread_bytes"] > 0.04 * line["limit_bytes"]


def test_answers_that_are_not_read_fit_into_the_memory(world: LimitedWorld) -> None:
    # Guards against a process that is killed for what its callers do not read: the system lets the
    # buffers of a connection grow to megabytes in either direction.
    for name in ("lm-1", "lm-2"):
        world.servers[name].event_count = _EVENTS
        world.servers[name].version = "x" * _EVENT_BYTES
    process = world.running["entry-1"].process
    used_mb: list[float] = []

    def is_one_cut_off() -> bool:
        waiting, resident = waiting_bytes(process), resident_bytes(process)
        print(f"resident {resident / 1e6:.0f} MB, in sockets {waiting / 1e6:.0f} MB")
        used_mb.append((waiting + resident) / 1e6)
        return bool(world.running["entry-1"].logged("caller_cut_off"))

    with ExitStack() as stack:
        for _ in range(_READERS):
            stack.enter_context(SlowCaller(world, "/lm/doc/"))
        until(is_one_cut_off, "callers that read nothing are cut off")
    assert max(used_mb) < _MEMORY_MB
    assert process.is_running


def _unread_gauge(world: LimitedWorld) -> float:
    page = call(world.metrics_address, "GET", "/").body.decode()
    line = next(each for each in page.splitlines() if each.startswith(f"{_UNREAD} "))
    return float(line.split()[1])
