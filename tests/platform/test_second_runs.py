"""Tests of requests that must run once, and of what may start them a second time."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.platform.ahead_callers import AheadCaller, request_bytes
from tests.platform.platform_world import PlatformWorld

# They tell a caller that its request was not run.
PROMISES = {408, 421, 429, 503}
PATHS = ["/shop/buy/", "/lm/doc/"]
AHEAD = 4


@pytest.fixture
def world(tmp_path: Path) -> Iterator[PlatformWorld]:
    """Yield a world of one instance whose servers keep their connections."""
    with PlatformWorld(tmp_path) as world:
        for server in world.servers.values():
            server.keeps_streams = True
        yield world


# --- clients that send requests ahead ---


@pytest.mark.parametrize("path", PATHS)
def test_requests_sent_ahead_run_once_each_with_their_own_paths(
    world: PlatformWorld, path: str
) -> None:
    # Guards against requests that run with the path of a later one on their connection.
    ids = [world.new_id() for _ in range(AHEAD)]
    with AheadCaller(world, "entry-1") as caller:
        caller.send(*[request_bytes(world, f"{path}{each}?n={each}", each) for each in ids])
        answers = [caller.read_answer() for _ in ids]
    assert [each and each.headers.get("x-attempt-id") for each in answers] == ids
    runs = sorted((run.attempt_id, run.path) for run in world.runs())
    assert runs == [(each, f"{path}{each}?n={each}") for each in ids]


def test_request_is_not_repeated_by_the_route_of_a_later_one(world: PlatformWorld) -> None:
    # Guards against a second run by the rules of a request that was sent ahead.
    world.set_mode("lost", "shop-1", "shop-2")
    first, second = world.new_id(), world.new_id()
    with AheadCaller(world, "entry-1") as caller:
        caller.send(
            request_bytes(world, "/shop/buy/", first),
            request_bytes(world, "/shop/look/", second, method="GET", body=b""),
        )
        answer = caller.read_answer()
    assert len(world.runs(first)) == 1
    assert answer is not None
    assert answer.status not in PROMISES


@pytest.mark.parametrize("rest", [b"GET /lm", b"POST /lm/doc/x HTTP/1.1\r\nHost", b"\0\0\r\n\r\n"])
def test_request_is_served_by_its_own_path_whatever_follows_it(
    world: PlatformWorld, rest: bytes
) -> None:
    # Guards against requests that are refused, or routed, by the beginning of the next one.
    request_id = world.new_id()
    with AheadCaller(world, "entry-1") as caller:
        caller.send_part(request_bytes(world, "/shop/buy/a", request_id) + rest)
        answer = caller.read_answer()
    assert answer is not None
    assert answer.status == 200
    assert [run.path for run in world.runs()] == ["/shop/buy/a"]
