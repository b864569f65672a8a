"""Tests of extra copies of answers to an earlier arrival of the same request."""

from __future__ import annotations

import threading
from pathlib import Path

import pytest

from tests.platform.cut_world import REFUSE_NEW, CutWorld
from tests.platform.platform_world import PlatformWorld, until

# They tell a caller that its request was not run.
PROMISES = {408, 421, 429, 503}
STATUSES = [400, 429, 503]
REQUESTS = 6


def open_world(path: Path, engines: int) -> PlatformWorld:
    """Return a world of servers that keep their connections."""
    return PlatformWorld(path, engines=engines, plain_servers=engines)


def prepare(world: PlatformWorld, mode: str = "refuse_once", status: int = 503) -> None:
    """Let connections carry requests, and give servers a mode for first arrivals."""
    for server in world.servers.values():
        server.keeps_streams = True
        server.extra_status = status
    for path in ("/lm/doc/", "/shop/look/"):
        for _ in range(4):
            assert world.send(path).status == 200
    world.set_mode(mode)


@pytest.mark.parametrize("engines", [1, 2, 3])
@pytest.mark.parametrize("status", STATUSES)
def test_copy_of_a_refusal_makes_no_stream_run_twice(
    tmp_path: Path, status: int, engines: int
) -> None:
    # Guards against believing that a copy of an earlier refusal answers the newest send.
    with open_world(tmp_path, engines) as world:
        prepare(world, status=status)
        for _ in range(REQUESTS):
            request_id = world.new_id()
            answer = world.send("/lm/doc/", request_id=request_id)
            runs = world.runs(request_id)
            assert len(runs) <= 1
            assert not (runs and answer.status in PROMISES)
            assert answer.status == 200


@pytest.mark.parametrize("path", ["/shop/buy/", "/shop/look/", "/lm/chat/"])
def test_request_refused_once_is_served_in_spite_of_a_copy(tmp_path: Path, path: str) -> None:
    # Guards against a caller that gets the copy of a refusal where its request has run.
    with open_world(tmp_path, 1) as world:
        prepare(world)
        for _ in range(REQUESTS):
            request_id = world.new_id()
            answer = world.send(path, request_id=request_id)
            assert answer.status == 200
            assert len(world.runs(request_id)) == 1


@pytest.mark.parametrize("path", ["/shop/look/", "/lm/chat/"])
def test_request_that_failed_once_is_served_in_spite_of_a_copy(tmp_path: Path, path: str) -> None:
    # Guards against a caller that gets the copy of an error where its request has run since.
    with open_world(tmp_path, 1) as world:
        prepare(world, "error_once")
        assert [world.send(path).status for _ in range(REQUESTS)] == [200] * REQUESTS


def test_resumed_stream_does_not_go_on_with_a_copy_of_its_beginning(tmp_path: Path) -> None:
    # Guards against a stream that is joined with, or broken off by, a copy of its first answer.
    with open_world(tmp_path, 1) as world:
        prepare(world, "half_once")
        for _ in range(REQUESTS):
            answer = world.send("/lm/chat/")
            assert not answer.is_cut
            assert answer.event_data == [f"piece {number}" for number in range(6)]


@pytest.mark.parametrize("path", ["/lm/doc/", "/shop/buy/"])
def test_copy_of_a_refusal_by_way_of_a_peer_makes_no_second_run(tmp_path: Path, path: str) -> None:
    # Guards against connections of a peer that are taken for connections of their own.
    with CutWorld(tmp_path, engines=1, plain_servers=1, instances=2) as world:
        prepare(world)
        world.cut("entry-1", REFUSE_NEW)
        until(
            lambda: world.send(path).status == 200
            and bool(world.running["entry-1"].logged("path_found")),
            "the server is reached by way of the peer",
        )
        for _ in range(REQUESTS):
            request_id = world.new_id()
            assert world.send(path, request_id=request_id).status == 200
            assert len(world.runs(request_id)) == 1


def test_request_that_was_refused_before_a_restart_runs_once(tmp_path: Path) -> None:
    # Guards against a refusal of an earlier start of a server that makes a second run.
    with open_world(tmp_path, 1) as world:
        prepare(world)
        for number in range(REQUESTS):
            request_id = world.new_id()
            status = _send_and_restart(world, request_id, born=number + 2)
            runs = world.runs(request_id)
            assert len(runs) <= 1
            assert not (runs and status in PROMISES)


def _send_and_restart(world: PlatformWorld, request_id: str, born: int) -> int:
    """Restart the engine when it has refused a request; return what the caller was told."""
    answers: list[int] = []
    caller = threading.Thread(
        target=lambda: answers.append(world.send("/lm/doc/", request_id=request_id).status)
    )
    caller.start()
    until(lambda: bool(world.received(request_id)), "the engine has the request")
    world.crash_server("lm-1")
    world.restart_server("lm-1", born=born)
    caller.join()
    return answers[0]
