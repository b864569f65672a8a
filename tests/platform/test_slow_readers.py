"""Tests of callers and servers that do not read, through real processes."""

from __future__ import annotations

import socket
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack
from typing import Any

import pytest

from tests.platform.platform_world import PlatformWorld, call, document, until
from tests.platform.slow_callers import RECEIVE_BUFFER_BYTES, HeadCaller, SlowCaller
from tests.platform.standin_server import stream_of

_MEMORY_MB = 160
_CALLERS = 24
_CALLERS_AT_ONCE = 80
# More bytes of events than the kernel's buffers of two connections hold.
_EVENTS = 4_000
_EVENT_BYTES = 5_000
_LARGE_BODY = b"x" * 4_000_000


@pytest.fixture
def world(tmp_path_factory: pytest.TempPathFactory) -> Iterator[PlatformWorld]:
    """Yield a world with one instance that has a memory limit."""
    directory = tmp_path_factory.mktemp("slow_readers")
    with PlatformWorld(directory, metrics=True, machine={"memory_mb": _MEMORY_MB}) as world:
        yield world


def _cut_off(world: PlatformWorld, reason: str) -> list[dict[str, Any]]:
    lines = world.running["entry-1"].logged("caller_cut_off")
    return [line for line in lines if line["reason"] == reason]


def _metric(world: PlatformWorld, name: str) -> float:
    page = call(world.metrics_address, "GET", "/").body.decode()
    return next(float(line.split()[1]) for line in page.splitlines() if line.startswith(f"{name} "))


def _many_events(world: PlatformWorld, count: int, size: int) -> None:
    for name in ("lm-1", "lm-2"):
        world.servers[name].event_count = count
        world.servers[name].version = "x" * size


def test_stream_of_a_slow_caller_slows_its_server_and_is_whole(world: PlatformWorld) -> None:
    # Guards against buffering the stream of a caller that does not read.
    _many_events(world, _EVENTS, _EVENT_BYTES)
    with SlowCaller(world, "/lm/doc/") as caller:
        until(lambda: len(world.runs(caller.request_id)) == 1, "the stream runs")
        until(
            lambda: _metric(world, "turmericweir_memory_held_bytes") > 0,
            "something waits to be read",
        )
        (run,) = world.runs(caller.request_id)
        assert run.outcome == ""
        assert _metric(world, "turmericweir_memory_held_bytes") < 1_000_000
        assert caller.read_body() == stream_of(_EVENTS, "x" * _EVENT_BYTES)


def test_caller_that_reads_nothing_is_cut_off(world: PlatformWorld) -> None:
    # Guards against answers that are held for as long as their callers stay connected.
    world.set_mode("large")
    with SlowCaller(world, "/shop/buy/") as caller:
        until(lambda: len(_cut_off(world, "unread")) == 1, "the caller is cut off")
        assert _cut_off(world, "unread")[0]["request_id"] == caller.request_id
        _, was_reset = caller.read_all()
        assert was_reset
    until(lambda: _metric(world, "turmericweir_memory_held_bytes") == 0, "nothing is held")


def test_memory_stays_below_its_share_beside_many_large_requests(world: PlatformWorld) -> None:
    # Guards against a process that is killed, since each of its callers is within its own bound.
    _allow_large_bodies(world)
    world.set_mode("mute")
    with ExitStack() as stack:
        callers = {}
        for _ in range(_CALLERS):
            caller = stack.enter_context(SlowCaller(world, "/shop/buy/", _LARGE_BODY))
            callers[caller.request_id] = caller
        until(lambda: bool(_refused_for_memory(world)), "a request is refused for want of memory")
        for request_id in _refused_for_memory(world):
            answer, _ = callers[request_id].read_all()
            assert answer.startswith(b"HTTP/1.1 503 ")
            assert b"\r\nretry-after: " in answer
            assert not world.runs(request_id)
        assert len(world.runs()) > 0
    assert _metric(world, "turmericweir_memory_peak_bytes") < 0.8 * _MEMORY_MB * 1_000_000
    until(lambda: _metric(world, "turmericweir_memory_held_bytes") == 0, "nothing is held")
    world.set_mode("")
    assert world.send_unsafe().status == 200


def test_callers_at_once_are_refused_and_none_is_cut_off(world: PlatformWorld) -> None:
    # Guards against bodies that arrive together and fill the memory before they are counted.
    _allow_large_bodies(world)
    world.set_mode("mute")

    def ask(_: int) -> bytes:
        with SlowCaller(world, "/shop/buy/", _LARGE_BODY) as caller:
            return caller.read_all()[0]

    with ThreadPoolExecutor(_CALLERS_AT_ONCE) as pool:
        answers = list(pool.map(ask, range(_CALLERS_AT_ONCE)))
    assert {answer[:13] for answer in answers} == {b"HTTP/1.1 503 ", b"HTTP/1.1 504 "}
    assert not world.running["entry-1"].logged("caller_cut_off")
    assert _metric(world, "turmericweir_memory_peak_bytes") < 0.8 * _MEMORY_MB * 1_000_000


def _fill_memory(world: PlatformWorld, stack: ExitStack) -> None:
    """Send large bodies to servers that do not answer, until one is refused for want of memory."""
    for _ in range(_CALLERS):
        stack.enter_context(SlowCaller(world, "/shop/buy/", _LARGE_BODY))
    until(lambda: bool(_refused_for_memory(world)), "a request is refused for want of memory")


def test_room_after_a_burst_is_nearly_that_of_before(world: PlatformWorld) -> None:
    # Guards against an instance that refuses large requests for good after one burst of them.
    _allow_large_bodies(world)
    room_before = _metric(world, "turmericweir_memory_room_bytes")
    world.set_mode("mute")
    with ExitStack() as stack:
        _fill_memory(world, stack)
    until(lambda: _metric(world, "turmericweir_memory_held_bytes") == 0, "nothing is held")
    until(
        lambda: _metric(world, "turmericweir_memory_room_bytes") > 0.9 * room_before,
        "the room is that of before",
    )


def test_refused_before_its_body_and_served_next_on_the_same_connection(
    world: PlatformWorld,
) -> None:
    # Guards against a body that was refused unread and is read as the next request.
    _allow_large_bodies(world)
    world.set_mode("mute")
    with ExitStack() as stack:
        _fill_memory(world, stack)
        late = HeadCaller(world)
        late.begin("/shop/buy/", len(_LARGE_BODY))
        assert late.read_status() == 503
    with late:
        until(lambda: _metric(world, "turmericweir_memory_held_bytes") == 0, "nothing is held")
        world.set_mode("")
        late.send(_LARGE_BODY)
        late.begin("/shop/buy/", 6)
        late.send(b"prompt")
        assert late.read_status() == 200


def test_refusal_reaches_a_caller_whose_connection_closes(world: PlatformWorld) -> None:
    # Guards against a close with unread bytes of the body, which resets the connection.
    _allow_large_bodies(world)
    world.set_mode("mute")
    with ExitStack() as stack:
        _fill_memory(world, stack)
        late = stack.enter_context(HeadCaller(world))
        late.begin("/shop/buy/", len(_LARGE_BODY), Connection="close")
        late.send(_LARGE_BODY)
        assert late.read_status() == 503


def test_server_that_reads_nothing_holds_no_memory_beyond_its_request(world: PlatformWorld) -> None:
    # Guards against requests that are held for servers which never read them.
    _allow_large_bodies(world)
    with socket.create_server(("127.0.0.1", 0)) as unread:
        unread.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        address = f"127.0.0.1:{unread.getsockname()[1]}"
        for name in ("shop-1", "shop-2"):
            world.register(name, address=address, born=2)
        until(lambda: _uses(world, address), "the instance knows the new address")
        answer = world.send("/shop/buy/", body=_LARGE_BODY, X_Deadline_Ms="2000")
    assert answer.status == 504
    until(lambda: _metric(world, "turmericweir_memory_held_bytes") == 0, "nothing is held")


def _refused_for_memory(world: PlatformWorld) -> list[str]:
    lines = world.running["entry-1"].logged("refused")
    return [line["request_id"] for line in lines if line["reason"] == "memory_short"]


def _allow_large_bodies(world: PlatformWorld) -> None:
    base = document(1)
    limits = {**base["limits"], "max-body-bytes": 8_000_000}
    routes = [{**route, "timeout-ms": 10_000} for route in base["routes"]]
    world.publish(limits=limits, routes=routes)
    until(
        lambda: world.reported_state("entry-1")["settings_version"] == world.version,
        "large bodies are allowed",
    )


def _uses(world: PlatformWorld, address: str) -> bool:
    lines = world.running["entry-1"].logged("server_listed")
    return len([line for line in lines if line["address"] == address]) == 2
