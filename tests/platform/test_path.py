"""Tests of requests from callers to servers, with real processes."""

from __future__ import annotations

from collections.abc import Iterator
from functools import partial
from pathlib import Path

import pytest

from tests.platform.platform_world import KEY, PlatformWorld, document, until
from tests.platform.standin_server import SIGNATURE


@pytest.fixture(scope="module")
def shared_world(tmp_path_factory: pytest.TempPathFactory) -> Iterator[PlatformWorld]:
    """Yield a world with one instance and correct servers."""
    with PlatformWorld(tmp_path_factory.mktemp("calm")) as world:
        yield world


def test_stream_is_forwarded_complete_and_unchanged(shared_world: PlatformWorld) -> None:
    answer = shared_world.send(request_id="s1")
    assert (answer.status, answer.is_cut) == (200, False)
    assert answer.event_data == [f"piece {number}" for number in range(6)]
    assert answer.headers["x-server-signature"] == SIGNATURE
    assert answer.headers["x-attempt-id"] == "s1"


def test_request_is_forwarded_with_only_system_headers_changed(
    shared_world: PlatformWorld,
) -> None:
    # Guards against callers that set system headers to impersonate another customer or use its KV
    # cache, and against forwarding API keys to servers.
    shared_world.send(
        "/lm/doc/?a=1&b=",
        request_id="s2",
        X_Tenant="another",
        X_Kv_Hold="h",
        X_Pin_Ms="4000",
        X_Kv_Backup="1.1.1.1:1",
        Kv_From="1.1.1.1:1/x",
        X_Urgency_Class="0",
        X_Extra="kept",
    )
    (request,) = shared_world.runs("s2")
    assert request.path == "/lm/doc/?a=1&b="
    assert request.body == b"prompt"
    assert request.headers["host"] == "front.example"
    assert request.headers["x-tenant"] == "school"
    assert request.headers["x-extra"] == "kept"
    assert request.headers["x-expect-instance"] == request.server
    assert 0 < int(request.headers["x-deadline-ms"]) <= 6000
    for name in ("x-key", "x-kv-hold", "x-pin-ms", "x-kv-backup", "kv-from"):
        assert name not in request.headers


def test_request_without_route_or_key_is_not_run(shared_world: PlatformWorld) -> None:
    assert shared_world.send("/nowhere/", request_id="s3").status == 404
    assert shared_world.send(request_id="s4", X_Key="unknown").status == 401
    assert shared_world.send(request_id="s5", X_Token_Count="many").status == 400
    assert shared_world.send(request_id="s6", X_Deadline_Ms="soon").status == 400
    assert not any(shared_world.received(each) for each in ("s3", "s4", "s5", "s6"))


def test_body_over_the_limit_is_refused_and_the_next_is_served(shared_world: PlatformWorld) -> None:
    assert shared_world.send_unsafe(request_id="s7", Content_Length="100001").status == 413
    assert shared_world.send_unsafe(request_id="s8").status == 200
    assert [len(shared_world.runs(each)) for each in ("s7", "s8")] == [0, 1]


def test_route_follows_a_new_version_of_the_settings(tmp_path: Path) -> None:
    # Guards against requests that go to the old service after a route has changed.
    with PlatformWorld(tmp_path) as world:
        assert world.send_unsafe().body.startswith(b"by shop")
        changed_routes = [
            {**route, "service": "lm"} if route["name"] == "buy" else route
            for route in _routes(world)
        ]
        world.publish(routes=changed_routes)
        instance = world.running["entry-1"]
        until(lambda: instance.logged("settings_in_force")[-1]["version"] == 2, "version 2")
        world.set_mode("error", "lm-1", "lm-2")
        assert world.send_unsafe(request_id="m1").status == 500
        assert [request.server[:2] for request in world.runs("m1")] == ["lm"]


def _routes(world: PlatformWorld) -> list[dict[str, object]]:
    routes: list[dict[str, object]] = document(world.version)["routes"]
    return routes


def test_resumed_stream_repeats_no_event(shared_world: PlatformWorld) -> None:
    # Guards against sending events 0 to 2 again to a caller that reconnects after event 2.
    answer = shared_world.send("/lm/chat/", request_id="s9", Last_Event_Id="2")
    assert answer.event_data == ["piece 3", "piece 4", "piece 5"]
    (request,) = shared_world.runs("s9")
    assert request.headers["last-event-id"] == "2"


def test_api_keys_are_not_logged(shared_world: PlatformWorld) -> None:
    shared_world.send(request_id="s10", X_Key="key-2")
    lines = "\n".join(shared_world.running["entry-1"].process.lines)
    assert KEY not in lines
    assert "key-2" not in lines


def test_changes_reach_all_instances_through_one_reader(tmp_path: Path) -> None:
    # Guards against changes that do not reach the instances that do not read the store.
    with PlatformWorld(tmp_path, instances=5) as world:
        names = list(world.running)
        until(lambda: _have_one_reader(world, names), "all agree on one reader")
        world.publish(tenants=[{"name": "school", "api-keys": ["key-1"]}])
        world.register("shop-1", state="draining", seq=2)
        for name in names:
            until(partial(_refuses_second_key, world, name), f"{name} refuses the key")
            until(partial(_knows_leaving_server, world, name), f"{name} sees shop-1 leave")
            for number in range(4):
                world.send_safe(request_id=f"{name}-{number}", instance=name)
        used_servers = {
            request.server
            for request in world.runs()
            if request.headers["x-attempt-id"][:5] == "entry"
        }
        assert used_servers == {"shop-2"}


def _have_one_reader(world: PlatformWorld, names: list[str]) -> bool:
    readers = [tuple(world.reported_state(name)["store_readers"]) for name in names]
    return len(set(readers)) == 1 and len(readers[0]) == 1


def _refuses_second_key(world: PlatformWorld, name: str) -> bool:
    return world.send_safe(X_Key="key-2", instance=name).status == 401


def _knows_leaving_server(world: PlatformWorld, name: str) -> bool:
    lines = world.running[name].logged("server_listed")
    is_listed = any(line["peer"] == "shop-1" and line["leaving"] for line in lines)
    notices = world.running[name].logged("server_marked")
    return is_listed or any(line["server"] == "shop-1" for line in notices)
