"""Tests of what servers state about themselves in their answers."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

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
