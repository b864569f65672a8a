"""Tests of many requests that are read at once, through a real process."""

from __future__ import annotations

import os
import socket
from collections.abc import Iterator
from contextlib import ExitStack
from pathlib import Path
from typing import Final

import pytest

from tests.platform.client_crowd import LimitedWorld
from tests.platform.platform_world import call, document, until

_CALLERS: Final = 1_000
_CONNECTIONS: Final = "turmericweir_callers_connections"
_LONGEST_STEP: Final = "turmericweir_longest_step_seconds"
# The share of the work for a rush that may be done in one step.
_STEP_SHARE_MAX: Final = 0.25


@pytest.fixture
def world(tmp_path: Path) -> Iterator[LimitedWorld]:
    """Yield a world whose engines do not answer."""
    with LimitedWorld(
        tmp_path, metrics=True, machine={"max_fds": 4_100}, descriptors=4_100
    ) as world:
        world.set_mode("mute", "lm-1", "lm-2")
        # Requests wait for longer than the test takes, so that none is refused.
        world.publish(routes=[{**each, "timeout-ms": 60_000} for each in document(1)["routes"]])
        until(
            lambda: world.reported_state("entry-1")["settings_version"] == world.version,
            "the settings are in force",
        )
        yield world


def _processor_s(world: LimitedWorld) -> float:
    """Return the processor time that the process has used."""
    stat = Path(f"/proc/{world.running['entry-1'].process.pid}/stat").read_text()
    fields = stat.rpartition(") ")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _gauge(world: LimitedWorld, name: str) -> float:
    page = call(world.metrics_address, "GET", "/").body.decode()
    line = next(each for each in page.splitlines() if each.startswith(f"{name} "))
    return float(line.split()[1])


def _connect(world: LimitedWorld) -> socket.socket:
    host, _, port = world.address_of("caller").rpartition(":")
    return socket.create_connection((host, int(port)), timeout=60)


def _send(world: LimitedWorld, sock: socket.socket, path: str) -> None:
    headers = world.request_headers(path, world.new_id(), Content_Length="6", X_Deadline_Ms="60000")
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    sock.sendall(f"POST {path} HTTP/1.1\r\n{lines}\r\nprompt".encode())


def test_rush_is_not_handled_in_one_step(world: LimitedWorld) -> None:
    # Guards against a process that serves nobody until it has begun all that came at once.
    process = world.running["entry-1"].process
    with ExitStack() as stack:
        callers = [stack.enter_context(_connect(world)) for _ in range(_CALLERS)]
        until(lambda: _gauge(world, _CONNECTIONS) == _CALLERS, "the callers are connected")
        used_before_s = _processor_s(world)
        process.pause()
        try:
            for sock in callers[1:]:
                _send(world, sock, "/lm/doc/")
            # Requests begin in the order in which their connections became ready.
            _send(world, callers[0], "/shop/buy/")
        finally:
            process.resume()
        assert callers[0].recv(12) == b"HTTP/1.1 200"
        used_s = _processor_s(world) - used_before_s
        longest_s = _gauge(world, _LONGEST_STEP)
    print(f"longest step {longest_s:.3f} s, all {used_s:.3f} s")
    assert longest_s < _STEP_SHARE_MAX * used_s
