"""Tests of requests whose route changes between repeatable and not while they are under way."""

from __future__ import annotations

import threading
from functools import partial
from pathlib import Path
from typing import Any

import pytest

from tests.platform.platform_world import Answer, PlatformWorld, document, until

REPEATABLE = [("/lm/chat/", "hold"), ("/shop/look/", "mute")]
FORBIDS: dict[str, dict[str, Any]] = {
    "/lm/chat/": {"resumable": False},
    "/shop/look/": {"route-type": "unsafe"},
}
ALLOWS: dict[str, dict[str, Any]] = {
    "/lm/doc/": {"resumable": True},
    "/shop/buy/": {"route-type": "safe"},
}


def open_world(path: Path) -> PlatformWorld:
    """Return a world of three servers of each service."""
    return PlatformWorld(path, engines=3, plain_servers=3)


def _change_route(world: PlatformWorld, path: str, **changes: Any) -> None:
    """Publish a change of one route, and wait until all instances have it."""
    routes = [{**route, "max-attempts": 5} for route in document(1)["routes"]]
    for route in routes:
        if route["path-prefix"] == path:
            route |= changes
    world.publish(routes=routes)
    until(partial(_is_in_force, world, world.version), "the change is in force")


def _is_in_force(world: PlatformWorld, version: int) -> bool:
    return all(
        any(line["version"] == version for line in instance.logged("settings_in_force"))
        for instance in world.running.values()
    )


def _send_and_change(
    world: PlatformWorld, path: str, mode: str, **changes: Any
) -> tuple[Answer, int]:
    """Change the route of a request that is at a server, and crash the server.

    Return the answer, and the number of runs that began after the change.
    """
    _change_route(world, path)
    world.set_mode(mode)
    request_id = world.new_id()
    answers: list[Answer] = []
    caller = threading.Thread(
        target=lambda: answers.append(world.send(path, request_id=request_id))
    )
    caller.start()
    until(lambda: bool(world.received(request_id)), "a server has the request")
    _change_route(world, path, **changes)
    world.set_mode("")
    runs_before = world.runs(request_id)
    for run in runs_before:
        world.crash_server(run.server)
    caller.join()
    return answers[0], len(world.runs(request_id)) - len(runs_before)


@pytest.mark.parametrize(("path", "mode"), REPEATABLE)
def test_request_whose_route_forbids_it_by_now_does_not_run_again(
    tmp_path: Path, path: str, mode: str
) -> None:
    # Guards against a second run by settings that are not in force any more.
    with open_world(tmp_path) as world:
        answer, later_runs = _send_and_change(world, path, mode, **FORBIDS[path])
        assert not later_runs
        assert answer.is_cut or answer.status == 502


@pytest.mark.parametrize(("path", "mode"), REPEATABLE)
def test_request_whose_route_changes_otherwise_runs_again(
    tmp_path: Path, path: str, mode: str
) -> None:
    # Guards against failing what may still run again.
    with open_world(tmp_path) as world:
        answer, later_runs = _send_and_change(world, path, mode, priority=2)
        assert later_runs
        assert answer.status == 200
        assert not answer.is_cut


@pytest.mark.parametrize(("path", "mode"), [("/lm/doc/", "hold"), ("/shop/buy/", "mute")])
def test_request_that_was_not_repeatable_does_not_become_so(
    tmp_path: Path, path: str, mode: str
) -> None:
    # Guards against a second run of what its caller sent as a request that runs once.
    with open_world(tmp_path) as world:
        answer, later_runs = _send_and_change(world, path, mode, **ALLOWS[path])
        assert not later_runs
        assert answer.is_cut or answer.status == 502
