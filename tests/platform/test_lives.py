"""Tests of processes and servers that crash, freeze and restart."""

from __future__ import annotations

import time
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from pathlib import Path

from tests.platform.platform_world import Instance, PlatformWorld, until

REVOKE_MS = 2_600
MS_PER_S = 1000
CRASH_BODY = b"poison"


def test_key_revoked_during_a_freeze_is_refused_at_once(
    tmp_path: Path,
) -> None:
    # Guards against a clock that stops while the process is frozen, so a stale freshness proof
    # looks fresh.
    with PlatformWorld(tmp_path, bounds={"revoke_ms": REVOKE_MS}) as world:
        with ThreadPoolExecutor(1) as pool:
            process = world.running["entry-1"].process
            assert world.send_safe(X_Key="key-2").status == 200
            process.pause()
            frozen_at = time.monotonic()
            world.store.mode = "silent"
            pending_answer = pool.submit(world.send_safe, request_id="z1", X_Key="key-2")
            until(
                lambda: (time.monotonic() - frozen_at) * MS_PER_S > REVOKE_MS,
                "the bound has passed",
            )
            process.resume()
            assert pending_answer.result(20).status == 503
            assert not world.runs("z1")
        world.publish(tenants=[{"name": "school", "api-keys": ["key-1"]}])
        world.store.mode = ""
        until(lambda: world.send_safe(X_Key="key-2").status == 401, "the key is refused")
        assert world.send_safe().status == 200


def test_change_survives_a_restart_of_all_instances(tmp_path: Path) -> None:
    # Guards against losing a change when all instances restart right after it.
    with PlatformWorld(tmp_path, instances=3) as world:
        world.publish(tenants=[{"name": "school", "api-keys": ["key-9"]}])
        for instance in world.running.values():
            instance.process.kill()
        for name in world.running:
            world.restart_instance(name)
        for name, instance in world.running.items():
            until(instance.is_ready, f"{name} is ready")
            until(partial(_is_served, world, name, "key-9"), f"{name} serves")
            assert world.send_safe(instance=name).status == 401


def _is_served(world: PlatformWorld, name: str, key: str) -> bool:
    return world.send_safe(instance=name, X_Key=key).status == 200


def test_request_that_crashes_servers_is_stopped(tmp_path: Path) -> None:
    # Guards against a repeated request that crashes all servers.
    with PlatformWorld(tmp_path, engines=6, plain_servers=0, instances=2) as world:
        world.set_crash_body(CRASH_BODY)
        for number in range(8):
            world.send("/lm/chat/", body=CRASH_BODY, instance=f"entry-{1 + number % 2}")
        assert len(world.crashed_servers) <= 3
        assert world.send("/lm/chat/", body=b"harmless").status == 200


def test_restarted_server_is_used_again(tmp_path: Path) -> None:
    with PlatformWorld(tmp_path, engines=1, plain_servers=0) as world:
        instance = world.running["entry-1"]
        world.crash_server("lm-1")
        assert world.send().status == 503
        world.restart_server("lm-1", born=1_700_000_000_000)
        until(lambda: world.send().status == 200, "the server is used again")
        # The server may be used before its new entry is read.
        until(
            partial(_has_listed_incarnations, instance, "lm-1", ["", "1700000000000"]),
            "its new incarnation is listed",
        )
        assert world.send().status == 200


def _has_listed_incarnations(instance: Instance, name: str, incarnations: list[str]) -> bool:
    lines = [line for line in instance.logged("server_listed") if line["peer"] == name]
    return [line["incarnation"] for line in lines] == incarnations


def test_dead_pooled_connections_fail_no_request(tmp_path: Path) -> None:
    # Guards against failed or repeated requests on reused connections that silently drop data.
    with PlatformWorld(tmp_path, engines=0, plain_servers=2) as world:
        for _ in range(4):
            assert world.send_safe().status == 200
        world.set_mode("stale")
        for number in range(4):
            assert world.send_safe(request_id=f"s{number}").status == 200
            assert world.send_unsafe(request_id=f"b{number}").status == 200
            assert len(world.runs(f"b{number}")) == 1
