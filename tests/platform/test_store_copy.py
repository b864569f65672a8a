"""Drills in which the store comes back from a copy some seconds old, with real processes."""

from __future__ import annotations

import json
from collections.abc import Callable
from pathlib import Path

import pytest

from tests.platform.platform_world import Instance, PlatformWorld, document, until
from tests.platform.standin_store import OPERATOR, OWN, SERVERS

ALL_KEYS = ["key-1", "key-2", "key-3"]


def _publish(world: PlatformWorld, *keys: str) -> bytes:
    """Publish a version with keys; return its record."""
    world.publish(tenants=[{"name": "school", "api-keys": list(keys)}])
    return world.store.topics[OPERATOR].records[-1][1]


def _has_version(instance: Instance, version: int) -> Callable[[], bool]:
    return lambda: version in {each["version"] for each in instance.logged("settings_in_force")}


@pytest.mark.parametrize("in_order", [False, True], ids=["newest", "in order"])
def test_key_that_is_taken_away_after_a_drill_is_refused(tmp_path: Path, in_order: bool) -> None:
    """Guards against an old offset that hides a manifest of the new era."""
    with PlatformWorld(tmp_path, instances=3) as world:
        _publish(world, *ALL_KEYS)
        copy = world.store.copy_topics()
        lost = [_publish(world, *ALL_KEYS) for _ in range(2)]
        for instance in world.running.values():
            until(_has_version(instance, world.version), "the version is in force")

        def drill() -> None:
            world.store.come_back_from(copy)
            for raw in lost if in_order else lost[-1:]:
                world.store.write(OPERATOR, "config", raw)
            _publish(world, "key-1", "key-3")

        world.at_once(drill)
        for name in world.running:
            until(
                lambda name=name: world.send_safe(instance=name, X_Key="key-2").status == 401,  # type: ignore[misc]
                "the key is refused",
            )
            until(
                lambda name=name: world.send_safe(instance=name, X_Key="key-3").status == 200,  # type: ignore[misc]
                "the other keys are served",
            )


def test_settings_of_a_copy_bring_no_key_back(tmp_path: Path) -> None:
    """Guards against settings that a copy of the store takes back to an older version."""
    with PlatformWorld(tmp_path, instances=2) as world:
        _publish(world, *ALL_KEYS)
        copy = world.store.copy_topics()
        newest = _publish(world, "key-1")
        for instance in world.running.values():
            until(_has_version(instance, world.version), "the version is in force")
        world.at_once(lambda: world.store.come_back_from(copy))
        for instance in world.running.values():
            until(
                lambda each=instance: bool(each.logged("store_era")),  # type: ignore[misc]
                "the copy was read",
            )
            answers = [world.send_safe(instance=instance.name, X_Key="key-2") for _ in range(10)]
            assert {each.status for each in answers} <= {401, 503}
        world.store.write(OPERATOR, "config", newest)
        for name in world.running:
            until(
                lambda name=name: world.send_safe(instance=name).status == 200,  # type: ignore[misc]
                "the keys in force are served",
            )


def test_instance_that_starts_on_a_copy_serves_no_key_that_was_taken_away(tmp_path: Path) -> None:
    """Guards against an instance that starts in a drill and takes the copy for the newest."""
    with PlatformWorld(tmp_path) as world:
        instance = world.running["entry-1"]
        until(
            lambda: "era" in {key for key, _ in world.store.topics[OWN].records},
            "the era is marked",
        )
        copy = world.store.copy_topics()
        newest = _publish(world, "key-1")
        until(_has_version(instance, world.version), "the version is in force")
        world.at_once(lambda: world.store.come_back_from(copy))
        world.restart_instance("entry-1")
        until(lambda: bool(instance.logged("settings_in_force")), "the copy was read")
        before = len(world.runs())
        statuses: list[int] = []

        def is_refused() -> bool:
            try:
                statuses.append(world.send_safe(X_Key="key-2").status)
            except OSError:
                return False
            if len(statuses) == 1:
                world.store.write(OPERATOR, "config", newest)
            return statuses[-1] == 401

        until(is_refused, "the key is refused")
        assert set(statuses) <= {401, 503}
        assert len(world.runs()) == before
        until(lambda: world.send_safe().status == 200, "the key in force is served")


def test_server_that_leaves_after_a_drill_gets_nothing(tmp_path: Path) -> None:
    """Guards against an old offset that hides the entries of the new era."""
    with PlatformWorld(tmp_path) as world:
        instance = world.running["entry-1"]
        copy = world.store.copy_topics()
        for seq in range(2, 8):
            for name in ("shop-1", "shop-2"):
                world.register(name, seq=seq)
        # Two answers, since the first may have been on its way.
        seen = world.store.answered[SERVERS]
        until(lambda: world.store.answered[SERVERS] >= seen + 2, "the instance read on")

        def drill() -> None:
            world.store.come_back_from(copy)
            world.register("shop-1", seq=8, state="draining")
            # The log grows beyond the offset from which the instances would read on.
            for seq in range(8, 30):
                world.register("shop-2", seq=seq)

        world.at_once(drill)
        until(
            lambda: any(
                line["peer"] == "shop-1" and line["leaving"]
                for line in instance.logged("server_listed")
            ),
            "the server leaves",
        )
        ids = [f"l{number}" for number in range(8)]
        assert all(world.send_safe(request_id=each).status == 200 for each in ids)
        assert {run.server for request_id in ids for run in world.runs(request_id)} == {"shop-2"}


def test_servers_that_a_copy_lacks_are_used_until_they_write_again(tmp_path: Path) -> None:
    """Guards against refusals because a copy holds no entries at all."""
    with PlatformWorld(tmp_path) as world:
        copy = {name: [] if name == SERVERS else each for name, each in _copy(world).items()}
        world.at_once(lambda: world.store.come_back_from(copy))
        instance = world.running["entry-1"]
        until(lambda: bool(instance.logged("store_era")), "the copy was read")
        assert all(world.send_safe().status == 200 for _ in range(6))
        for name in world.servers:
            world.register(name, seq=2)
        until(lambda: world.store.answered[SERVERS] > 0, "entries are read")
        assert all(world.send_safe().status == 200 for _ in range(6))


def _copy(world: PlatformWorld) -> dict[str, list[tuple[str, bytes]]]:
    return world.store.copy_topics()


def test_state_shows_the_era(tmp_path: Path) -> None:
    with PlatformWorld(tmp_path) as world:
        assert world.reported_state("entry-1")["store_era"] == 1
        assert json.loads(world.store.topics[OPERATOR].records[-1][1]) == document(world.version)
