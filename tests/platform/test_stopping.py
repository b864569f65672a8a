"""Stops, and callers that leave."""

from __future__ import annotations

import socket
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from pathlib import Path

from tests.platform.platform_world import HOST, KEY, PlatformWorld, until
from tests.platform.standin_server import Seen


def test_a_stop_cuts_off_nothing_and_falls_out_of_the_balancer_first(tmp_path: Path) -> None:
    # A stream runs when the process is told to stop. Readiness falls at once; the stream ends
    # whole, callers that still come are answered and told to connect anew, and the process ends.
    with PlatformWorld(tmp_path) as world, ThreadPoolExecutor(1) as pool:
        instance = world.running["entry-1"]
        world.set_mode("hold", "lm-1", "lm-2")
        streamed = pool.submit(world.ask, request_id="t1")
        until(lambda: len(world.ran("t1")) == 1, "the stream runs")
        instance.process.terminate()
        until(lambda: bool(instance.logged("stopping")), "it stops")
        assert not instance.ready()
        late = world.look()
        assert late.status == 200
        assert late.headers["connection"] == "close"
        for name in ("lm-1", "lm-2"):
            world.let_go(name)
        answer = streamed.result(20)
        assert (len(answer.pieces), answer.cut) == (6, False)
        assert instance.process.wait(20) == 0


def test_a_stop_ends_before_the_platform_kills(tmp_path: Path) -> None:
    # A stream would go on for longer than the platform waits. Its caller sees it cut, not whole.
    with PlatformWorld(tmp_path, bounds={"grace_s": 3}) as world, ThreadPoolExecutor(1) as pool:
        instance = world.running["entry-1"]
        world.set_mode("hold", "lm-1", "lm-2")
        streamed = pool.submit(world.ask, request_id="t2")
        until(lambda: len(world.ran("t2")) == 1, "the stream runs")
        instance.process.terminate()
        assert instance.process.wait(20) == 0
        assert streamed.result(20).cut


def test_a_caller_that_leaves_is_no_servers_business_any_more(tmp_path: Path) -> None:
    # It closes its connection in the middle of a stream, or before the first event.
    with PlatformWorld(tmp_path) as world:
        world.set_mode("hold", "lm-1", "lm-2")
        for number, path in enumerate(("/lm/doc/", "/lm/chat/")):
            request_id = f"u{number}"
            with _open(world, path, request_id):
                until(partial(_runs, world, request_id), "it runs")
            (seen,) = world.ran(request_id)
            until(partial(_is_left, seen), "the server sees its caller leave")


def _runs(world: PlatformWorld, request_id: str) -> bool:
    return len(world.ran(request_id)) == 1


def _is_left(seen: Seen) -> bool:
    return seen.end == "left"


def test_a_caller_that_leaves_while_it_waits_reaches_no_server(tmp_path: Path) -> None:
    with PlatformWorld(tmp_path, plain=0) as world:
        instance = world.running["entry-1"]
        with _open(world, "/shop/look/", "v1", method="GET"):
            pass
        until(lambda: _finished(instance.logged("finished"), "v1"), "it is given up")
        world.add_server("shop-1", "shop")
        until(lambda: world.look().status == 200, "others are served")
        assert not world.seen("v1")


def _finished(lines: list[dict[str, object]], name: str) -> bool:
    return any(line["request_id"] == name for line in lines)


def _open(world: PlatformWorld, path: str, request_id: str, method: str = "POST") -> socket.socket:
    host, _, port = world.running["entry-1"].callers.rpartition(":")
    conn = socket.create_connection((host, int(port)))
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Attempt-Id: {request_id}",
        f"X-Key: {KEY}",
        "X-Deadline-Ms: 8000",
        "X-Token-Count: 100,60",
        "",
        "",
    ]
    conn.sendall("\r\n".join(lines).encode())
    return conn
