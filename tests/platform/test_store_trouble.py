"""Tests of what callers see when the store misbehaves."""

from __future__ import annotations

import json
import socket
from collections.abc import Callable
from functools import partial
from pathlib import Path

from tests.platform.platform_world import Answer, Instance, PlatformWorld, until
from tests.platform.standin_store import OPERATOR, SERVERS, Store

# Shortens the wait of the test.
SHORT_REVOKE = {"revoke_ms": 2600}


def test_keys_are_refused_when_the_store_does_not_answer(tmp_path: Path) -> None:
    # Guards against serving keys that may have been revoked while the store does not answer.
    with PlatformWorld(tmp_path, bounds=SHORT_REVOKE) as world:
        instance = world.running["entry-1"]
        assert world.send_safe().status == 200
        world.store.mode = "silent"
        until(lambda: world.send_safe().status == 503, "a caller with a key is refused")
        refused = world.send_safe(request_id="k1")
        assert refused.status == 503
        assert not world.runs("k1")
        assert not instance.is_ready()
        world.store.mode = ""
        until(lambda: world.send_safe().status == 200, "callers are served again")


def test_revoked_key_is_refused(tmp_path: Path) -> None:
    with PlatformWorld(tmp_path) as world:
        assert world.send_safe(X_Key="key-2").status == 200
        world.publish(tenants=[{"name": "school", "api-keys": ["key-1"]}])
        until(lambda: world.send_safe(X_Key="key-2").status == 401, "the key is refused")
        assert world.send_safe().status == 200


def test_older_settings_version_is_ignored(tmp_path: Path) -> None:
    # Guards against replacing the settings by an older version that arrives later.
    with PlatformWorld(tmp_path) as world:
        world.publish(tenants=[{"name": "school", "api-keys": ["key-9"]}])
        until(lambda: world.send_safe(X_Key="key-9").status == 200, "version 2 is in force")
        world.version = 0
        world.publish()
        instance = world.running["entry-1"]
        until(lambda: bool(instance.logged("settings_older")), "the older version was read")
        assert world.send_safe().status == 401


def test_malformed_settings_are_ignored(tmp_path: Path) -> None:
    with PlatformWorld(tmp_path) as world:
        world.store.write(OPERATOR, "config", b"{ not json")
        instance = world.running["entry-1"]
        until(
            lambda: bool(instance.logged("settings_unreadable")), "the malformed settings were read"
        )
        assert world.send_safe().status == 200


def test_malformed_entries_do_not_affect_others(tmp_path: Path) -> None:
    # Guards against a malformed entry that makes all entries unusable.
    with PlatformWorld(tmp_path) as world:
        instance = world.running["entry-1"]
        malformed_entries: list[object] = [
            b"\xff\xfe",
            {"service": "shop"},
            {"service": "shop", "address": 7, "zone": "dc-1", "state": "ready"},
            {"service": "shop", "address": "nowhere", "zone": "dc-1", "state": "ready"},
            {"service": "shop", "address": "127.0.0.1:9", "zone": "dc-1", "state": "melting"},
        ]
        for number, entry in enumerate(malformed_entries):
            world.store.write(SERVERS, f"broken-{number}", entry)
        until(
            lambda: sum_unreadable(instance) >= len(malformed_entries),
            "all were read",
        )
        assert all(world.send_safe().status == 200 for _ in range(6))


def sum_unreadable(instance: Instance) -> int:
    """Return how many entries an instance says it could not read; several share one line."""
    lines = instance.logged("entry_unreadable")
    return int(lines[-1]["count"]) if lines else 0


def test_leaving_server_gets_no_new_requests(tmp_path: Path) -> None:
    with PlatformWorld(tmp_path) as world:
        instance = world.running["entry-1"]
        world.register("shop-1", state="draining", seq=2)
        until(lambda: _is_leaving(instance.logged("server_listed"), "shop-1"), "shop-1 leaves")
        for number in range(8):
            world.send_safe(request_id=f"l{number}")
        assert {request.server for n in range(8) for request in world.runs(f"l{n}")} == {"shop-2"}


def _is_leaving(lines: list[dict[str, object]], name: str) -> bool:
    return any(line["peer"] == name and line["leaving"] for line in lines)


def test_server_with_a_removed_entry_gets_no_new_requests(tmp_path: Path) -> None:
    with PlatformWorld(tmp_path) as world:
        instance = world.running["entry-1"]
        world.store.write(SERVERS, "shop-1", None)
        until(lambda: bool(instance.logged("server_removed")), "shop-1 is removed")
        for number in range(8):
            world.send_safe(request_id=f"l{number}")
        assert {request.server for n in range(8) for request in world.runs(f"l{n}")} == {"shop-2"}


def test_deleted_records_cause_a_new_snapshot(tmp_path: Path) -> None:
    # Guards against missing a removal whose record was deleted before it was read.
    with PlatformWorld(tmp_path) as world:
        instance = world.running["entry-1"]
        world.store.mode = "busy"
        until(lambda: bool(instance.logged("store_lost")), "the outage is noticed")
        world.publish(tenants=[{"name": "school", "api-keys": ["key-9"]}])
        world.store.write(SERVERS, "shop-1", None)
        world.store.delete_history(OPERATOR)
        world.store.delete_history(SERVERS)
        world.store.mode = ""
        until(lambda: world.send_safe(X_Key="key-9").status == 200, "version 2 is in force")
        until(lambda: bool(instance.logged("server_removed")), "shop-1 is removed")


def test_requests_are_served_during_a_short_store_outage(tmp_path: Path) -> None:
    with PlatformWorld(tmp_path) as world:
        instance = world.running["entry-1"]
        for mode in ("busy", "reset"):
            outage_count = len(instance.logged("store_lost"))
            world.store.mode = mode
            until(
                partial(_has_logged_more, instance, "store_lost", outage_count),
                "the outage is noticed",
            )
            assert world.send_safe().status == 200
            recovery_count = len(instance.logged("store_back"))
            world.store.mode = ""
            until(
                partial(_has_logged_more, instance, "store_back", recovery_count),
                "the recovery is noticed",
            )


def _has_logged_more(instance: Instance, event: str, count: int) -> bool:
    return len(instance.logged(event)) > count


def test_instance_without_settings_is_not_ready_and_answers_503(tmp_path: Path) -> None:
    # Guards against answering 404 while the store is unavailable at startup.
    with PlatformWorld(tmp_path, instances=0) as world:
        world.store.mode = "busy"
        instance = world.add_instance("entry-1", wait=False)
        until(lambda: instance.readiness_status() == 503, "the instance listens")
        answer = world.send_safe(request_id="n1")
        assert answer.status == 503
        assert float(answer.headers["retry-after"]) > 0
        world.store.mode = ""
        until(instance.is_ready, "the instance is ready")
        until(lambda: world.send_safe().status == 200, "callers are served")


def test_requests_to_a_starting_instance_wait_for_its_settings(tmp_path: Path) -> None:
    # Guards against refusing requests that arrive before the first settings.
    with PlatformWorld(tmp_path, instances=0) as world:
        world.store.delay_s = 0.05
        instance = world.add_instance("entry-1", wait=False)
        until(lambda: _accepts_connections(instance.caller_address), "the instance listens")
        assert world.send_safe(request_id="s1").status == 200
        assert not instance.logged("refused")


def _accepts_connections(address: str) -> bool:
    host, _, port = address.rpartition(":")
    try:
        socket.create_connection((host, int(port)), timeout=5).close()
    except OSError:
        return False
    return True


def test_instance_without_the_store_follows_its_peers(tmp_path: Path) -> None:
    # Guards against an instance that depends on its own connection to the store.
    with PlatformWorld(tmp_path) as world:
        endpoint = world.store.second_endpoint()
        second_instance = world.add_instance("entry-2", store=world.open_store(endpoint))
        endpoint.mode = "busy"
        until(
            lambda: bool(second_instance.logged("store_lost")) or _reads_through_peer(world),
            "entry-2 has no store",
        )
        world.publish(tenants=[{"name": "school", "api-keys": ["key-1"]}])
        world.register("shop-1", state="draining", seq=2)
        send = partial(world.send_safe, instance="entry-2")
        until(lambda: send(X_Key="key-2").status == 401, "entry-2 refuses the key")
        until(
            lambda: _is_leaving(second_instance.logged("server_listed"), "shop-1"),
            "entry-2 sees shop-1 leave",
        )
        finished_count = len(second_instance.logged("finished"))
        until(
            lambda: _keeps_serving(world, send, finished_count), "entry-2 has proofs from its peer"
        )


def _reads_through_peer(world: PlatformWorld) -> bool:
    """Return whether the instance does not read the store, so it cannot notice the outage."""
    return world.reported_state("entry-2")["reads_the_store"] is False


def _keeps_serving(world: PlatformWorld, send: Callable[[], Answer], finished_count: int) -> bool:
    instance = world.running["entry-2"]
    return send().status == 200 and len(instance.logged("finished")) > finished_count + 20


def test_slow_store_does_not_delay_requests(tmp_path: Path) -> None:
    # Guards against a slow store that delays requests or prevents changes.
    with PlatformWorld(tmp_path) as world:
        world.store.delay_s = 0.24
        reads = world.store.answered[OPERATOR]
        until(
            lambda: world.store.answered[OPERATOR] > reads + 4, "the store was read several times"
        )
        assert all(world.send_safe().status == 200 for _ in range(6))
        world.publish(tenants=[{"name": "school", "api-keys": ["key-9"]}])
        until(lambda: world.send_safe(X_Key="key-9").status == 200, "version 2 is in force")


def test_lost_answers_of_the_store_are_requested_again(tmp_path: Path) -> None:
    # Guards against losing changes when every third answer is lost.
    with PlatformWorld(tmp_path) as world:
        instance = world.running["entry-1"]
        world.store.mode = "lost"
        until(lambda: world.store.lost_answers >= 3, "answers were lost")
        assert world.send_safe().status == 200
        world.publish(tenants=[{"name": "school", "api-keys": ["key-9"]}])
        world.register("shop-1", state="draining", seq=2)
        until(lambda: world.send_safe(X_Key="key-9").status == 200, "version 2 is in force")
        until(lambda: _is_leaving(instance.logged("server_listed"), "shop-1"), "shop-1 leaves")


def test_callers_do_not_wait_for_a_list_of_servers_that_does_not_come(tmp_path: Path) -> None:
    """Guards against holding callers until their time is over where no server is known."""
    store = Store()
    store.lost_topics = {SERVERS}
    with PlatformWorld(tmp_path, instances=0, store=store) as world:
        instance = world.add_instance("entry-1", wait=False)
        until(lambda: bool(instance.logged("settings_in_force")), "the settings are in force")
        for send in (world.send_safe, world.send_unsafe, world.send):
            answer = send()
            assert answer.status == 503
            assert json.loads(answer.body)["error"] == "no_server"
            assert json.loads(answer.body)["outcome"] == "not_run"
        store.lost_topics = set()
        until(lambda: world.send_safe().status == 200, "callers are served")
