"""Tests of a platform's store that answers slowly, with real processes."""

from __future__ import annotations

import time
from pathlib import Path

import pytest

from tests.platform.platform_world import Instance, PlatformWorld, call, until
from tests.platform.standin_store import SERVERS

BOUNDS = {"revoke_ms": 5_000}
# How long callers are served from a slow store: the bound on revoked keys, and as long again.
WATCHED_S = 10.0
# The shortest time limit after which another read is sent.
LIMIT_S = 0.7


def _metric(world: PlatformWorld, name: str) -> float:
    page = call(world.metrics_address, "GET", "/").body.decode()
    (line,) = [each for each in page.splitlines() if each.startswith(f"{name} ")]
    return float(line.split()[1])


@pytest.mark.parametrize("delay_s", [0.8, 1.2, 2.0, 3.0])
def test_instance_starts_with_a_slow_store(tmp_path: Path, delay_s: float) -> None:
    """Guards against giving up each read of the first settings before its answer can come."""
    with PlatformWorld(tmp_path, bounds=BOUNDS, instances=0) as world:
        world.store.delay_s = delay_s
        instance = world.add_instance("entry-1", wait=False)
        until(instance.is_ready, "the instance is ready")
        until(lambda: world.has_listed_servers(instance), "the servers are listed")
        assert _statuses_for(world, WATCHED_S) == {200}


@pytest.mark.parametrize("delay_s", [0.8, 1.5, 3.0])
def test_instance_goes_on_serving_when_the_store_becomes_slow(
    tmp_path: Path, delay_s: float
) -> None:
    """Guards against proofs of the keys that a slow store could give and that are given up."""
    with PlatformWorld(tmp_path, bounds=BOUNDS, metrics=True) as world:
        instance = world.running["entry-1"]
        # Before, it waits for another instance that reads for all.
        until(lambda: world.reported_state("entry-1")["reads_the_store"], "it reads the store")
        assert world.send_safe().status == 200
        world.store.delay_s = delay_s
        assert _statuses_for(world, WATCHED_S) == {200}
        assert instance.logged("store_slow")
        assert _metric(world, "turmericweir_store_limits_expired") > 0
        until(
            lambda: _metric(world, "turmericweir_store_read_seconds") >= delay_s,
            "the time of a read is shown",
        )
        world.store.delay_s = 0.0
        until(lambda: bool(instance.logged("store_quick")), "the store is quick again")
        assert instance.logged("store_quick")[0]["answered_late"] > 0


def test_all_instances_go_on_serving_when_the_store_becomes_slow(tmp_path: Path) -> None:
    """Guards against proofs that reach the instances too late which do not read for themselves."""
    with PlatformWorld(tmp_path, bounds=BOUNDS, instances=3) as world:
        until(
            lambda: any(world.reported_state(name)["reads_the_store"] for name in world.running),
            "one reads the store",
        )
        world.store.delay_s = 2.0
        assert _statuses_for(world, WATCHED_S) == {200}
        calls_s = _reads_per_s(world, WATCHED_S)
        # Each instance may read both topics once in each of the shortest time limits.
        assert calls_s <= len(world.running) * 2 / LIMIT_S


def _reads_per_s(world: PlatformWorld, seconds: float) -> float:
    """Return how often the store is read."""
    before = world.store.answered.total()
    time.sleep(seconds)
    return (world.store.answered.total() - before) / seconds


def _statuses_for(world: PlatformWorld, seconds: float) -> set[int]:
    """Send requests to all instances for some time; return their statuses."""
    statuses = set()
    ends_at = time.monotonic() + seconds
    while time.monotonic() < ends_at:
        statuses |= {world.send_safe(instance=name).status for name in world.running}
        time.sleep(0.1)
    return statuses


def test_revoked_key_is_refused_in_time_with_a_slow_store(tmp_path: Path) -> None:
    """Guards against late answers that count as proofs of the time when they came."""
    with PlatformWorld(tmp_path, bounds=BOUNDS) as world:
        instance = world.running["entry-1"]
        world.store.delay_s = 3.0
        until(lambda: bool(instance.logged("store_slow")), "the store is slow")
        world.publish(tenants=[{"name": "school", "api-keys": ["key-1"]}])
        revoked_at = time.monotonic()
        last_served_at = revoked_at
        while time.monotonic() < revoked_at + 2 * BOUNDS["revoke_ms"] / 1000:
            sent_at = time.monotonic()
            if world.send_safe(X_Key="key-2").status == 200:
                last_served_at = sent_at
            time.sleep(0.05)
        assert last_served_at - revoked_at <= BOUNDS["revoke_ms"] / 1000
        assert world.send_safe().status == 200


def test_silent_connections_of_the_store_are_left_at_once(tmp_path: Path) -> None:
    """Guards against waiting for a dead connection while a new one would be answered."""
    with PlatformWorld(tmp_path, bounds=BOUNDS) as world:
        instance = world.running["entry-1"]
        world.store.silence_connections()
        silenced_at = time.monotonic()
        world.store.write(SERVERS, "shop-1", None)
        until(lambda: _is_removed(instance), "the change is read on a new connection")
        assert time.monotonic() - silenced_at < BOUNDS["revoke_ms"] / 1000
        assert world.send_safe().status == 200


def test_long_history_is_skipped_when_it_cannot_be_read(tmp_path: Path) -> None:
    """Guards against reading a history again and again that is too long for a slow store."""
    with PlatformWorld(tmp_path, bounds=BOUNDS) as world:
        instance = world.running["entry-1"]
        world.store.mode = "busy"
        until(lambda: bool(instance.logged("store_lost")), "the outage is noticed")
        for _ in range(40):
            world.publish_more_routes(500)
        world.store.part_delay_s, world.store.delays_first_byte = 0.3, True
        world.store.mode = ""
        until(lambda: _is_in_force(instance, world.version), "the newest version is in force")
        until(lambda: world.send_safe().status == 200, "callers are served")


def _is_in_force(instance: Instance, version: int) -> bool:
    return any(line["version"] == version for line in instance.logged("settings_in_force"))


def _is_removed(instance: Instance) -> bool:
    return bool(instance.logged("server_removed"))


@pytest.mark.parametrize("delays_first_byte", [False, True])
def test_settings_that_a_slow_link_carries_are_read(
    tmp_path: Path, delays_first_byte: bool
) -> None:
    """Guards against a start that gives up a large answer which makes progress."""
    with PlatformWorld(tmp_path, bounds=BOUNDS, instances=0) as world:
        world.publish_more_routes(500)
        world.store.part_delay_s, world.store.delays_first_byte = 0.3, delays_first_byte
        instance = world.add_instance("entry-1", wait=False)
        until(instance.is_ready, "the instance is ready")
