"""Tests of instances that lose their paths to servers while others reach these."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from pathlib import Path

import pytest

from tests.platform.cut_world import CUTS, HANG, REFUSE_NEW, RESET, CutWorld
from tests.platform.platform_world import Answer, until

Send = Callable[..., Answer]


@pytest.fixture
def world(tmp_path: Path) -> Iterator[CutWorld]:
    """Yield a world of three instances in three data centres."""
    with CutWorld(tmp_path, instances=3, data_centres=3, bounds={"revoke_ms": 60_000}) as cut_world:
        for name in cut_world.running:
            assert all(send().status == 200 for send in _kinds(cut_world, name))
        until(lambda: _know_each_other(cut_world), "the instances know each other")
        yield cut_world


def _know_each_other(world: CutWorld) -> bool:
    names = sorted(world.running)
    return all(world.reported_state(name)["live_instances"] == names for name in names)


def _kinds(world: CutWorld, instance: str) -> list[Send]:
    """Return a function for each kind of request at an instance."""
    return [
        partial(world.send, "/lm/doc/", instance=instance),
        partial(world.send, "/lm/chat/", instance=instance),
        partial(world.send_unsafe, instance=instance),
        partial(world.send_safe, instance=instance),
    ]


def _until_served(world: CutWorld, instance: str) -> None:
    """Wait until an instance serves plain requests and streams."""

    def is_served() -> bool:
        sends = (world.send_safe, partial(world.send, "/lm/chat/"))
        return all(send(instance=instance, X_Deadline_Ms="1500").status == 200 for send in sends)

    until(is_served, f"{instance} serves")


@pytest.mark.parametrize("how", CUTS)
def test_instance_cut_off_from_all_servers_serves_every_kind(world: CutWorld, how: str) -> None:
    """Guards against an instance without a path to any server that serves nothing."""
    world.cut("entry-1", how)
    _until_served(world, "entry-1")
    for _ in range(5):
        assert [send().status for send in _kinds(world, "entry-1")] == [200] * 4


@pytest.mark.parametrize("how", [HANG, RESET])
def test_most_instances_cut_off_serve_every_kind(world: CutWorld, how: str) -> None:
    """Guards against cut instances that only ask others that are cut off too."""
    for name in ("entry-1", "entry-2"):
        world.cut(name, how)
    for name in ("entry-1", "entry-2"):
        _until_served(world, name)
        assert [send().status for send in _kinds(world, name)] == [200] * 4


def test_instance_cut_off_from_some_servers_uses_them_all(world: CutWorld) -> None:
    """Guards against load on few servers where an instance reaches only these itself."""
    world.cut("entry-1", REFUSE_NEW, "lm-1", "shop-1")

    def uses_all_servers() -> bool:
        before = {name: len(server.received) for name, server in world.servers.items()}
        with ThreadPoolExecutor(16) as pool:
            sends = [*_kinds(world, "entry-1")[1:2], *_kinds(world, "entry-1")[3:]] * 8
            list(pool.map(lambda send: send(), sends))
        return all(len(each.received) > before[name] for name, each in world.servers.items())

    until(uses_all_servers, "the instance uses all servers")


def test_unsafe_request_on_a_hanging_connection_runs_once(world: CutWorld) -> None:
    """Guards against a second run of a request that arrives after its connection was given up."""
    world.cut("entry-1", HANG)
    ids = [world.new_id() for _ in range(6)]
    with ThreadPoolExecutor(6) as pool:
        answers = list(
            pool.map(
                lambda request_id: world.send_unsafe(
                    instance="entry-1", request_id=request_id, X_Deadline_Ms="1500"
                ),
                ids,
            )
        )
    world.heal("entry-1")
    _until_served(world, "entry-1")
    for request_id, answer in zip(ids, answers, strict=True):
        runs = len(world.runs(request_id))
        assert runs <= 1
        assert answer.status != 503 or runs == 0


def test_direct_path_is_used_again_once_it_is_back(world: CutWorld) -> None:
    """Guards against requests that go by way of others for ever."""
    world.cut("entry-1", RESET)
    _until_served(world, "entry-1")
    world.heal("entry-1")

    def is_direct() -> bool:
        _until_served(world, "entry-1")
        return not world.reported_state("entry-1")["indirect_paths"]

    until(is_direct, "all paths are direct")
