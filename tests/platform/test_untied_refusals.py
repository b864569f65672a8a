"""Tests of refusals that do not name the request after which they arrive."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.platform.platform_world import PlatformWorld, until

# They tell a caller that its request was not run.
PROMISES = {408, 421, 429, 503}
STATUSES = [400, 421, 429, 503]


@pytest.fixture(params=[1, 2], ids=["alone", "with others"])
def world(request: pytest.FixtureRequest, tmp_path: Path) -> Iterator[PlatformWorld]:
    """Yield a world with one or two servers of each service."""
    with PlatformWorld(tmp_path, engines=request.param, plain_servers=request.param) as world:
        for server in world.servers.values():
            server.keeps_streams = True
        yield world


@pytest.mark.parametrize("status", STATUSES)
def test_extra_refusal_makes_no_stream_run_twice(world: PlatformWorld, status: int) -> None:
    # Guards against believing a refusal that was meant for no request.
    _use_connections(world, "/lm/doc/")
    for server in world.servers.values():
        server.extra_status = status
    world.set_mode("extra_refusal")
    request_id = world.new_id()
    answer = world.send("/lm/doc/", request_id=request_id)
    (request,) = world.runs(request_id)
    assert request.earlier_requests
    assert answer.status not in PROMISES


def test_call_that_must_not_run_twice_uses_a_connection_of_its_own(world: PlatformWorld) -> None:
    # Guards against extra answers that reach such a call, where a first answer is believed.
    _use_connections(world, "/shop/look/")
    request_ids = [world.new_id() for _ in range(4)]
    for request_id in request_ids:
        assert world.send("/shop/buy/", request_id=request_id).status == 200
    runs = [run for request_id in request_ids for run in world.runs(request_id)]
    assert [run.earlier_requests for run in runs] == [0] * 4


@pytest.mark.parametrize("path", ["/lm/chat/", "/shop/look/"])
def test_repeatable_request_is_served_in_spite_of_an_extra_refusal(
    world: PlatformWorld, path: str
) -> None:
    # Guards against failing what may run again because of bytes that belong to no request.
    _use_connections(world, path)
    world.set_mode("extra_refusal", "lm-1", "shop-1", request_count=1)
    assert [world.send(path).status for _ in range(4)] == [200] * 4


def test_statement_of_an_extra_refusal_is_not_believed(world: PlatformWorld) -> None:
    # Guards against a server that gets no work, or a limit, by an answer that is meant for nobody.
    _use_connections(world, "/lm/chat/")
    world.set_mode("extra_refusal")
    world.send("/lm/chat/")
    instance = world.running["entry-1"]
    until(lambda: bool(instance.logged("refusal_without_id")), "the refusal is logged")
    assert not any(instance.logged(event) for event in ("server_limited", "server_leaving"))


def _use_connections(world: PlatformWorld, path: str) -> None:
    """Let the connections to all servers of a path carry requests."""
    for _ in range(4):
        assert world.send(path).status == 200
