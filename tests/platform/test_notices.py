"""Tests of what servers state about themselves in their answers."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from tests.core.server_fleet import allowed, busiest_window
from tests.platform.platform_world import PlatformWorld, until


@pytest.fixture
def world(tmp_path_factory: pytest.TempPathFactory) -> Iterator[PlatformWorld]:
    """Yield a world with two instances, which may be without the store for long."""
    directory = tmp_path_factory.mktemp("notices")
    with PlatformWorld(directory, instances=2, bounds={"revoke_ms": 60_000}) as world:
        yield world


def test_limit_of_a_server_is_logged(world: PlatformWorld) -> None:
    """Guards against limits that operators cannot see."""
    for server in world.servers.values():
        server.limit = "2.5"
    assert world.send().status == 200
    until(
        lambda: [line["requests_s"] for line in world.running["entry-1"].logged("server_limited")]
        == [2.5],
        "the limit is logged",
    )


def test_limit_of_a_server_is_kept_by_two_instances(world: PlatformWorld) -> None:
    """Guards against overloading a server whose limit several instances know."""
    limited = world.servers["lm-1"]
    limited.limit = "0.5"
    for number in range(60):
        answer = world.send(f"/lm/doc/{number}/", instance=f"entry-{1 + number % 2}")
        assert answer.status == 200
    assert busiest_window([each.received_at for each in limited.received]) <= allowed(0.5)


@pytest.mark.parametrize(
    ("service", "is_store_away"), [("lm", False), ("lm", True), ("shop", True)]
)
def test_server_that_says_that_it_leaves_gets_no_new_work(
    world: PlatformWorld, service: str, is_store_away: bool
) -> None:
    """Guards against sending to a server that said in an answer that it is leaving."""
    leaving = world.servers[f"{service}-1"]
    leaving.is_leaving = True
    if is_store_away:
        world.store.mode = "busy"
    for number in range(20):
        if service == "lm":
            assert world.send(f"/lm/doc/{number}/").status == 200
        else:
            assert world.send_safe().status == 200
    assert len(leaving.received) == 1
    until(
        lambda: bool(world.running["entry-2"].logged("server_marked")),
        "the other instance learns that the server leaves",
    )
    for number in range(20, 40):
        assert world.send(f"/lm/doc/{number}/", instance="entry-2").status == 200
    assert len(leaving.received) == 1


def test_server_that_asked_for_a_pause_gets_no_requests_meanwhile(world: PlatformWorld) -> None:
    """Guards against sending more requests to a server that has refused them for some time."""
    paused = world.servers["lm-1"]
    paused.mode, paused.pause = "shed", "30"
    for number in range(20):
        assert world.send(f"/lm/chat/{number}/").status == 200
    assert len(paused.received) == 1


def test_server_is_used_again_after_its_pause(world: PlatformWorld) -> None:
    """Guards against excluding a server for longer than the pause that it asked for."""
    paused = world.servers["lm-1"]
    paused.mode, paused.mode_requests, paused.pause = "shed", 1, "0.5"

    def is_used_again() -> bool:
        assert world.send(f"/lm/chat/{world.new_id()}/").status == 200
        return len(paused.received) > 1

    until(is_used_again, "the server gets requests again")
    first, second = paused.received[:2]
    assert second.received_at - first.received_at >= 0.5
