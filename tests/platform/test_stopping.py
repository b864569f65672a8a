"""Tests of stopping instances, and of callers that disconnect."""

from __future__ import annotations

import select
import socket
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from pathlib import Path

import pytest

from tests.platform.platform_world import (
    HOST,
    KEY,
    PlatformWorld,
    call_on,
    connection_to,
    until,
)
from tests.platform.standin_server import ReceivedRequest
from tests.promises import NOT_RUN_STATUSES


def test_stop_finishes_requests_after_readiness_ends(tmp_path: Path) -> None:
    # Guards against a stop that cuts streams or refuses callers before the balancer reacts.
    with PlatformWorld(tmp_path) as world, ThreadPoolExecutor(1) as pool:
        instance = world.running["entry-1"]
        world.set_mode("hold", "lm-1", "lm-2")
        pending_answer = pool.submit(world.send, request_id="t1")
        until(lambda: len(world.runs("t1")) == 1, "the stream runs")
        instance.process.terminate()
        until(lambda: bool(instance.logged("stopping")), "the instance stops")
        assert not instance.is_ready()
        late_answer = world.send_safe()
        assert late_answer.status == 200
        assert late_answer.headers["connection"] == "close"
        for name in ("lm-1", "lm-2"):
            world.release_held(name)
        answer = pending_answer.result(20)
        assert (len(answer.event_data), answer.is_cut) == (6, False)
        assert instance.process.wait(20) == 0


def test_stop_ends_within_the_grace_period(tmp_path: Path) -> None:
    # Guards against a stop that takes longer than the grace period.
    with PlatformWorld(tmp_path, bounds={"grace_s": 3}) as world, ThreadPoolExecutor(1) as pool:
        instance = world.running["entry-1"]
        world.set_mode("hold", "lm-1", "lm-2")
        pending_answer = pool.submit(world.send, request_id="t2")
        until(lambda: len(world.runs("t2")) == 1, "the stream runs")
        instance.process.terminate()
        assert instance.process.wait(20) == 0
        assert pending_answer.result(20).is_cut


def test_request_that_waits_for_a_server_is_answered_before_the_process_ends(
    tmp_path: Path,
) -> None:
    # Guards against a stop that resets the connection of a request which was never sent.
    bounds = {"grace_s": 3, "revoke_ms": 60_000}
    with PlatformWorld(tmp_path, bounds=bounds) as world, ThreadPoolExecutor(1) as pool:
        instance = world.running["entry-1"]
        for name in ("shop-1", "shop-2"):
            world.crash_server(name)
        pending_answer = pool.submit(world.send_unsafe, request_id="q1")
        until(lambda: bool(instance.logged("placed")), "the request was tried")
        instance.process.terminate()
        answer = pending_answer.result(20)
        assert answer.status == 503
        assert instance.process.wait(20) == 0


@pytest.mark.parametrize("earlier_requests", [0, 1])
def test_request_that_crosses_the_close_of_its_connection_is_answered(
    tmp_path: Path, earlier_requests: int
) -> None:
    # Guards against requests on idle connections that a stopping instance closes without an answer.
    with PlatformWorld(tmp_path) as world:
        instance = world.running["entry-1"]
        conn = connection_to(instance.caller_address)
        conn.connect()
        for _ in range(earlier_requests):
            headers = world.request_headers("/shop/look/", world.new_id())
            assert call_on(conn, "GET", "/shop/look/", b"", headers).status == 200
        instance.process.terminate()
        # The instance has written or closed; the caller has not noticed.
        select.select([conn.sock], [], [])
        headers = world.request_headers("/shop/buy/", "w1")
        answer = call_on(conn, "POST", "/shop/buy/", b"one", headers)
        assert answer.status in NOT_RUN_STATUSES
        assert answer.headers["connection"] == "close"
        assert not world.received("w1")
        assert instance.process.wait(20) == 0


def test_request_is_abandoned_when_its_caller_disconnects(tmp_path: Path) -> None:
    # Guards against servers that continue requests whose callers have disconnected.
    with PlatformWorld(tmp_path) as world:
        world.set_mode("hold", "lm-1", "lm-2")
        for number, path in enumerate(("/lm/doc/", "/lm/chat/")):
            request_id = f"u{number}"
            with _open_request(world, path, request_id):
                until(partial(_is_running, world, request_id), "the request runs")
            (request,) = world.runs(request_id)
            until(partial(_is_abandoned, request), "the server sees the request abandoned")


def _is_running(world: PlatformWorld, request_id: str) -> bool:
    return len(world.runs(request_id)) == 1


def _is_abandoned(request: ReceivedRequest) -> bool:
    return request.outcome == "abandoned"


def test_queued_request_of_a_disconnected_caller_is_not_sent(tmp_path: Path) -> None:
    with PlatformWorld(tmp_path, plain_servers=0) as world:
        instance = world.running["entry-1"]
        with _open_request(world, "/shop/look/", "v1", method="GET"):
            pass
        until(lambda: _has_finished(instance.logged("finished"), "v1"), "the request ends")
        world.add_server("shop-1", "shop")
        until(lambda: world.send_safe().status == 200, "others are served")
        assert not world.received("v1")


def _has_finished(lines: list[dict[str, object]], name: str) -> bool:
    return any(line["request_id"] == name for line in lines)


def _open_request(
    world: PlatformWorld, path: str, request_id: str, method: str = "POST"
) -> socket.socket:
    host, _, port = world.running["entry-1"].caller_address.rpartition(":")
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
