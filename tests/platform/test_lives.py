"""Processes and servers that die, freeze and come back."""

from __future__ import annotations

import time
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from pathlib import Path

from tests.platform.platform_world import Instance, PlatformWorld, until

# The bound on keys, milliseconds: a test must outwait it.
REVOKE_MS = 2_600
MS = 1000
POISON = b"poison"


def test_a_key_taken_away_during_a_freeze_is_refused_by_the_first_answer_after_it(
    tmp_path: Path,
) -> None:
    # The machine freezes, longer than the bound on keys. Meanwhile the key is taken away, and a
    # caller sends it; the store is out of reach when the machine wakes. The steady clock of the
    # process says that its proof is young. The caller must not be served, and nothing may run.
    with PlatformWorld(tmp_path, bounds={"revoke_ms": REVOKE_MS}) as world:
        with ThreadPoolExecutor(1) as pool:
            process = world.running["entry-1"].process
            assert world.look(X_Key="key-2").status == 200
            process.pause()
            frozen = time.monotonic()
            world.store.mode = "silent"
            asked = pool.submit(world.look, request_id="z1", X_Key="key-2")
            until(lambda: (time.monotonic() - frozen) * MS > REVOKE_MS, "the bound is over")
            process.resume()
            assert asked.result(20).status == 503
            assert not world.ran("z1")
        world.publish(tenants=[{"name": "school", "api-keys": ["key-1"]}])
        world.store.mode = ""
        until(lambda: world.look(X_Key="key-2").status == 401, "the key is known to be gone")
        assert world.look().status == 200


def test_all_instances_die_at_once_after_a_change_and_it_holds(tmp_path: Path) -> None:
    # A power cut takes every instance right after the operator's change. None of them keeps
    # anything; what is in force afterwards is the store's newest, on each of them.
    with PlatformWorld(tmp_path, instances=3) as world:
        world.publish(tenants=[{"name": "school", "api-keys": ["key-9"]}])
        for instance in world.running.values():
            instance.process.kill()
        for name in world.running:
            world.restart(name)
        for name, instance in world.running.items():
            until(instance.ready, f"{name} is ready")
            until(partial(_serves, world, name, "key-9"), f"{name} serves")
            assert world.look(instance=name).status == 401


def _serves(world: PlatformWorld, name: str, key: str) -> bool:
    return world.look(instance=name, X_Key=key).status == 200


def test_a_request_that_crashes_servers_stops_doing_so(tmp_path: Path) -> None:
    # One body takes down each server that begins to run it, and its caller sends it again and
    # again, by two instances. Three servers are lost at the most; the others go on serving others.
    with PlatformWorld(tmp_path, engines=6, plain=0, instances=2) as world:
        world.poison(POISON)
        for turn in range(8):
            world.ask("/lm/chat/", body=POISON, instance=f"entry-{1 + turn % 2}")
        assert len(world.crashed) <= 3
        assert world.ask("/lm/chat/", body=b"harmless").status == 200


def test_a_server_that_crashed_is_used_again_once_it_is_back(tmp_path: Path) -> None:
    with PlatformWorld(tmp_path, engines=1, plain=0) as world:
        instance = world.running["entry-1"]
        world.crash("lm-1")
        assert world.ask().status == 503
        world.revive("lm-1", born=1_700_000_000_000)
        until(lambda: world.ask().status == 200, "it is used again")
        # It may be connected to again before its new entry is read.
        until(partial(_has_lived, instance, "lm-1", ["", "1700000000000"]), "its life is known")
        assert world.ask().status == 200


def _has_lived(instance: Instance, name: str, lives: list[str]) -> bool:
    lines = [line for line in instance.logged("server_listed") if line["peer"] == name]
    return [line["incarnation"] for line in lines] == lives


def test_kept_connections_that_went_silent_cost_no_call(tmp_path: Path) -> None:
    # Something between the two ends forgets idle connections and drops what comes on them; new
    # ones work. A call that must not be repeated runs once all the same, and others are served.
    with PlatformWorld(tmp_path, engines=0, plain=2) as world:
        for _ in range(4):
            assert world.look().status == 200
        world.set_mode("stale")
        for number in range(4):
            assert world.look(request_id=f"s{number}").status == 200
            assert world.buy(request_id=f"b{number}").status == 200
            assert len(world.ran(f"b{number}")) == 1
