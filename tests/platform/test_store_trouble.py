"""The store misbehaves: what callers see, and for how long."""

from __future__ import annotations

import socket
from collections.abc import Callable
from functools import partial
from pathlib import Path

from tests.platform.platform_world import Answer, Instance, PlatformWorld, until
from tests.platform.standin_store import OPERATOR, SERVERS

# The bound on keys is 1.6 s here, so that a test need not wait for the usual five.
QUICK_REVOKE = {"revoke_ms": 2600}


def test_keys_stop_in_time_on_an_instance_that_cannot_read_the_store(tmp_path: Path) -> None:
    # The store hangs: reads are neither refused nor answered. A key may have been taken away, and
    # nobody here would know; callers with keys are refused, and told to come back. Readiness falls.
    # Once the store answers, they are served as before.
    with PlatformWorld(tmp_path, bounds=QUICK_REVOKE) as world:
        instance = world.running["entry-1"]
        assert world.look().status == 200
        world.store.mode = "silent"
        until(lambda: world.look().status == 503, "a caller with a key is refused")
        refused = world.look(request_id="k1")
        assert refused.status == 503
        assert not world.ran("k1")
        assert not instance.ready()
        world.store.mode = ""
        until(lambda: world.look().status == 200, "callers are served again")


def test_a_key_that_is_taken_away_stops(tmp_path: Path) -> None:
    with PlatformWorld(tmp_path) as world:
        assert world.look(X_Key="key-2").status == 200
        world.publish(tenants=[{"name": "school", "api-keys": ["key-1"]}])
        until(lambda: world.look(X_Key="key-2").status == 401, "the key stops")
        assert world.look().status == 200


def test_an_older_version_never_comes_back(tmp_path: Path) -> None:
    # A late record brings an older version, after a newer one was in force.
    with PlatformWorld(tmp_path) as world:
        world.publish(tenants=[{"name": "school", "api-keys": ["key-9"]}])
        until(lambda: world.look(X_Key="key-9").status == 200, "version 2 is in force")
        world.version = 0
        world.publish()
        instance = world.running["entry-1"]
        until(lambda: bool(instance.logged("settings_older")), "the older one was read")
        assert world.look().status == 401


def test_settings_that_cannot_be_read_change_nothing(tmp_path: Path) -> None:
    with PlatformWorld(tmp_path) as world:
        world.store.write(OPERATOR, "config", b"{ not json")
        instance = world.running["entry-1"]
        until(lambda: bool(instance.logged("settings_unreadable")), "it was read")
        assert world.look().status == 200


def test_a_broken_entry_names_no_server_and_the_others_hold(tmp_path: Path) -> None:
    # Another writer has put nonsense into the list of servers.
    with PlatformWorld(tmp_path) as world:
        instance = world.running["entry-1"]
        broken: list[object] = [
            b"\xff\xfe",
            {"service": "shop"},
            {"service": "shop", "address": 7, "zone": "dc-1", "state": "ready"},
            {"service": "shop", "address": "nowhere", "zone": "dc-1", "state": "ready"},
            {"service": "shop", "address": "127.0.0.1:9", "zone": "dc-1", "state": "melting"},
        ]
        for number, each in enumerate(broken):
            world.store.write(SERVERS, f"broken-{number}", each)
        until(lambda: len(instance.logged("entry_unreadable")) >= len(broken), "all were read")
        assert all(world.look().status == 200 for _ in range(6))


def test_a_leaving_server_gets_no_new_requests(tmp_path: Path) -> None:
    with PlatformWorld(tmp_path) as world:
        instance = world.running["entry-1"]
        world.register("shop-1", state="draining", seq=2)
        until(lambda: _left(instance.logged("server_listed"), "shop-1"), "shop-1 leaves")
        for number in range(8):
            world.look(request_id=f"l{number}")
        assert {seen.server for n in range(8) for seen in world.ran(f"l{n}")} == {"shop-2"}


def _left(lines: list[dict[str, object]], name: str) -> bool:
    return any(line["peer"] == name and line["leaving"] for line in lines)


def test_a_server_whose_entry_goes_gets_no_new_requests(tmp_path: Path) -> None:
    with PlatformWorld(tmp_path) as world:
        instance = world.running["entry-1"]
        world.store.write(SERVERS, "shop-1", None)
        until(lambda: bool(instance.logged("server_removed")), "shop-1 is gone")
        for number in range(8):
            world.look(request_id=f"l{number}")
        assert {seen.server for n in range(8) for seen in world.ran(f"l{n}")} == {"shop-2"}


def test_history_that_goes_is_read_anew(tmp_path: Path) -> None:
    # Records are deleted before they were read, a removal among them, which nobody will tell again:
    # only the newest of all keys together show what is missing.
    with PlatformWorld(tmp_path) as world:
        instance = world.running["entry-1"]
        world.store.mode = "busy"
        until(lambda: bool(instance.logged("store_lost")), "the store is lost")
        world.publish(tenants=[{"name": "school", "api-keys": ["key-9"]}])
        world.store.write(SERVERS, "shop-1", None)
        world.store.forget(OPERATOR)
        world.store.forget(SERVERS)
        world.store.mode = ""
        until(lambda: world.look(X_Key="key-9").status == 200, "version 2 is in force")
        until(lambda: bool(instance.logged("server_removed")), "shop-1 is gone")


def test_the_store_is_down_for_a_moment_and_nothing_is_lost(tmp_path: Path) -> None:
    with PlatformWorld(tmp_path) as world:
        instance = world.running["entry-1"]
        for mode in ("busy", "reset"):
            lost = len(instance.logged("store_lost"))
            world.store.mode = mode
            until(partial(_more, instance, "store_lost", lost), "it is noticed")
            assert world.look().status == 200
            back = len(instance.logged("store_back"))
            world.store.mode = ""
            until(partial(_more, instance, "store_back", back), "it is back")


def _more(instance: Instance, event: str, than: int) -> bool:
    return len(instance.logged(event)) > than


def test_an_instance_without_settings_refuses_and_is_not_ready(tmp_path: Path) -> None:
    # It starts while the store is down: it knows no route, and must not say that there is none.
    with PlatformWorld(tmp_path, instances=0) as world:
        world.store.mode = "busy"
        instance = world.add_instance("entry-1", wait=False)
        until(lambda: instance.readiness_status() == 503, "it listens")
        answer = world.look(request_id="n1")
        assert answer.status == 503
        assert float(answer.headers["retry-after"]) > 0
        world.store.mode = ""
        until(instance.ready, "it is ready")
        until(lambda: world.look().status == 200, "callers are served")


def test_callers_of_a_starting_instance_wait_for_its_settings(tmp_path: Path) -> None:
    # All instances stopped together. A caller connects while this one loads, and its request is
    # read before the store has answered: it waits for that and is served, not told to come back.
    with PlatformWorld(tmp_path, instances=0) as world:
        world.store.slow_s = 0.05
        instance = world.add_instance("entry-1", wait=False)
        until(lambda: _connects(instance.callers), "its port is listened on")
        assert world.look(request_id="s1").status == 200
        assert not instance.logged("refused")


def _connects(address: str) -> bool:
    host, _, port = address.rpartition(":")
    try:
        socket.create_connection((host, int(port)), timeout=5).close()
    except OSError:
        return False
    return True


def test_an_instance_that_the_store_turns_away_follows_by_its_peers(tmp_path: Path) -> None:
    # The store refuses one instance and serves the other. A key is taken away, and a server leaves;
    # the refused one holds both, and goes on serving callers with keys.
    with PlatformWorld(tmp_path) as world:
        door = world.store.door()
        second = world.add_instance("entry-2", store=world.open_door(door))
        door.mode = "busy"
        until(lambda: bool(second.logged("store_lost")) or _told(world), "it is on its own")
        world.publish(tenants=[{"name": "school", "api-keys": ["key-1"]}])
        world.register("shop-1", state="draining", seq=2)
        ask = partial(world.look, instance="entry-2")
        until(lambda: ask(X_Key="key-2").status == 401, "the key is gone at entry-2")
        until(lambda: _left(second.logged("server_listed"), "shop-1"), "shop-1 leaves at entry-2")
        answered = len(second.logged("finished"))
        until(lambda: _proves(world, ask, answered), "it has proofs of its peer's")


def _told(world: PlatformWorld) -> bool:
    """Tell whether an instance does not read the store, and so cannot find it lost."""
    return world.beliefs("entry-2")["reads_the_store"] is False


def _proves(world: PlatformWorld, ask: Callable[[], Answer], answered: int) -> bool:
    instance = world.running["entry-2"]
    return ask().status == 200 and len(instance.logged("finished")) > answered + 20


def test_a_slow_store_delays_no_caller(tmp_path: Path) -> None:
    # Each answer takes 60 times as long. Callers with keys are served all the while, and a change
    # is in force some moments later.
    with PlatformWorld(tmp_path) as world:
        world.store.slow_s = 0.24
        reads = world.store.answered[OPERATOR]
        until(lambda: world.store.answered[OPERATOR] > reads + 4, "it was read slowly")
        assert all(world.look().status == 200 for _ in range(6))
        world.publish(tenants=[{"name": "school", "api-keys": ["key-9"]}])
        until(lambda: world.look(X_Key="key-9").status == 200, "version 2 is in force")


def test_answers_of_the_store_that_are_lost_are_asked_for_again(tmp_path: Path) -> None:
    # Every third answer never comes: keys hold, and so does what changes meanwhile.
    with PlatformWorld(tmp_path) as world:
        instance = world.running["entry-1"]
        world.store.mode = "lost"
        until(lambda: len(instance.logged("store_lost")) >= 3, "answers were lost")
        assert world.look().status == 200
        world.publish(tenants=[{"name": "school", "api-keys": ["key-9"]}])
        world.register("shop-1", state="draining", seq=2)
        until(lambda: world.look(X_Key="key-9").status == 200, "version 2 is in force")
        until(lambda: _left(instance.logged("server_listed"), "shop-1"), "shop-1 leaves")
