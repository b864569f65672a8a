"""Tests of what servers state about themselves in their answers."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from tests.core.server_fleet import allowed, busiest_window
from tests.platform.platform_world import PlatformWorld, until


@pytest.fixture
def world(tmp_path_factory: pytest.TempPathFactory) -> Iterator[PlatformWorld]:
    """Yield a world with two instances."""
    with PlatformWorld(tmp_path_factory.mktemp("notices"), instances=2) as world:
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
