"""Tests of engines that fail requests at once, by real processes."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
from functools import partial
from pathlib import Path
from typing import Any

import pytest

from tests.platform.platform_world import PlatformWorld, until

CALLERS = 6
REQUESTS = 20
# Calls that are not repeated and reach the failing engine before it is ejected, or to probe it.
LOST_MAX = 6


def _prompt(own: str) -> dict[str, Any]:
    """Return the headers of a prompt that begins like all others and goes on with an own part."""
    return {"X_Prefix_Hash": f"a1:6000,{own}:600", "X_Token_Count": "6600,60"}


def _send_many(world: PlatformWorld, path: str) -> int:
    """Send requests that do not wait for each other; return how many were served whole."""

    def send_some(caller: int) -> int:
        served = 0
        for number in range(REQUESTS):
            answer = world.send(path, **_prompt(f"own{caller}x{number}"))
            served += answer.status == 200 and not answer.is_cut
        return served

    with ThreadPoolExecutor(CALLERS) as pool:
        return sum(pool.map(send_some, range(CALLERS)))


def _send_calls(world: PlatformWorld, count: int = REQUESTS) -> int:
    """Send plain calls that may not be repeated, to all instances; return how many were served."""
    names = list(world.running)

    def send_some(caller: int) -> int:
        instance = names[caller % len(names)]
        answers = [world.send_unsafe(instance=instance) for _ in range(count)]
        return sum(answer.status == 200 and not answer.is_cut for answer in answers)

    with ThreadPoolExecutor(CALLERS) as pool:
        return sum(pool.map(send_some, range(CALLERS)))


@pytest.mark.parametrize("mode", ["no_answer", "head_only", "error", "lost"])
def test_engine_that_fails_at_once_does_not_draw_the_work(tmp_path: Path, mode: str) -> None:
    # Guards against losing calls that may not be repeated to one failing engine of four.
    with PlatformWorld(tmp_path, engines=4, placement={"ejects_servers": True}) as world:
        for server in world.servers.values():
            server.event_interval_s = 0.03
        world.send("/lm/doc/", **_prompt("first"))
        (first,) = world.received()
        world.set_mode(mode, first.server)
        assert _send_many(world, "/lm/doc/") >= CALLERS * REQUESTS - LOST_MAX
        lines = world.running["entry-1"].logged("server_ejected")
        assert {line["peer"] for line in lines} <= {first.server}


@pytest.mark.parametrize("mode", ["no_answer", "error", "lost"])
def test_plain_server_that_fails_at_once_does_not_draw_the_calls(tmp_path: Path, mode: str) -> None:
    # Guards against losing plain calls to one failing server of four.
    with PlatformWorld(
        tmp_path, engines=1, plain_servers=4, placement={"ejects_servers": True}
    ) as world:
        for server in world.servers.values():
            server.work_s = 0.03
        assert _send_calls(world, 4) == 4 * CALLERS
        world.set_mode(mode, "shop-1")
        assert _send_calls(world) >= CALLERS * REQUESTS - LOST_MAX


def test_all_instances_restart_beside_a_server_that_fails_at_once(tmp_path: Path) -> None:
    # Guards against what only instances know that have run for long.
    with PlatformWorld(
        tmp_path, engines=1, plain_servers=4, instances=2, placement={"ejects_servers": True}
    ) as world:
        for server in world.servers.values():
            server.work_s = 0.03
        world.set_mode("no_answer", "shop-1")
        _send_calls(world, 4)
        for name in world.running:
            world.restart_instance(name)
        for instance in world.running.values():
            until(instance.is_ready, f"{instance.name} is ready")
            until(partial(world.has_listed_servers, instance), f"{instance.name} lists servers")
        requests = 2 * REQUESTS
        assert _send_calls(world, requests) >= 0.95 * CALLERS * requests


def test_engine_that_is_well_again_comes_back(tmp_path: Path) -> None:
    # Guards against an engine that stays ejected, and against probes whose callers get no answer.
    with PlatformWorld(
        tmp_path,
        engines=2,
        bounds={"retry_ratio": 100},
        placement={"ejects_servers": True},
    ) as world:
        instance = world.running["entry-1"]
        world.send("/lm/chat/")
        (first,) = world.received()
        world.set_mode("no_answer", first.server)
        until(lambda: _is_served_and(world, bool(instance.logged("server_ejected"))), "ejected")
        world.set_mode("", first.server)
        until(lambda: _is_served_and(world, bool(instance.logged("server_reinstated"))), "back")
        (line,) = instance.logged("server_reinstated")
        assert (line["peer"], line["reason"]) == (first.server, "served")


def _is_served_and(world: PlatformWorld, condition: bool) -> bool:
    """Return a condition, and let one more repeatable request be served."""
    answer = world.send("/lm/chat/")
    assert (answer.status, answer.is_cut) == (200, False)
    return condition
