"""Tests of many callers whose bytes are read at once, through a real process."""

from __future__ import annotations

import socket
from collections.abc import Callable, Iterator
from contextlib import ExitStack, suppress
from pathlib import Path
from typing import Final

import pytest

from tests.platform.client_crowd import LimitedWorld, peak_bytes
from tests.platform.crowds import one_at_a_time
from tests.platform.platform_world import call, document, until

_MEMORY_MB: Final = 160
_DESCRIPTORS: Final = 4_100
_CALLERS: Final = 1_500
# More than the kernel takes for a connection that is not read.
_SENT_BYTES: Final = 200_000
_CONNECTIONS: Final = "turmericweir_callers_connections"


@pytest.fixture(autouse=True)
def _alone() -> Iterator[None]:
    with one_at_a_time():
        yield


@pytest.fixture
def world(tmp_path: Path, _alone: None) -> Iterator[LimitedWorld]:
    """Yield a world whose instance has a memory limit, and whose plain servers do not answer."""
    machine = {"memory_mb": _MEMORY_MB, "max_fds": _DESCRIPTORS}
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


def _connections(world: LimitedWorld) -> float:
    page = call(world.metrics_address, "GET", "/").body.decode()
    line = next(each for each in page.splitlines() if each.startswith(f"{_CONNECTIONS} "))
    return float(line.split()[1])


def _connect(world: LimitedWorld) -> socket.socket:
    host, _, port = world.address_of("caller").rpartition(":")
    return socket.create_connection((host, int(port)), timeout=60)


def _answers(world: LimitedWorld) -> bool:
    """Return whether a request is served, or refused while memory is short."""
    with suppress(OSError):
        return world.send("/lm/doc/").status in (200, 503)
    return False


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
    ahead = b"GET / HTTP/1.1\r\n\r\n"
    return _request(world, 6) + b"prompt" + ahead * (_SENT_BYTES // len(ahead))


@pytest.mark.parametrize("sent", [_body, _ahead])
def test_what_arrived_while_the_process_did_not_run_fits_into_its_memory(
    world: LimitedWorld, sent: Callable[[LimitedWorld], bytes]
) -> None:
    # Guards against connections that are cut off for their memory, and keep it until all others
    # have been read as well.
    process = world.running["entry-1"].process
    with ExitStack() as stack:
        callers = [stack.enter_context(_connect(world)) for _ in range(_CALLERS)]
        until(lambda: _connections(world) == _CALLERS, "the callers are connected")
        process.pause()
        try:
            for sock in callers:
                sock.setblocking(False)
                with suppress(BlockingIOError):
                    sock.send(sent(world))
        finally:
            process.resume()
        until(lambda: _answers(world), "an ordinary request is answered")
        peak_mb = peak_bytes(process) / 1_000_000
    print(f"peak {peak_mb:.0f} MB")
    assert peak_mb < _MEMORY_MB
    assert process.is_running
