"""Tests of instances that lose their paths to servers while others reach these."""

from __future__ import annotations

import socket
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
    for server in world.servers.values():
        # Requests overlap, so that one server alone is loaded.
        server.event_interval_s = 0.03
        server.work_s = 0.1

    def uses_all_servers() -> bool:
        before = {name: len(server.received) for name, server in world.servers.items()}
        with ThreadPoolExecutor(16) as pool:
            for _ in range(32):
                # An engine gets all requests whose parts it holds, so no two share any.
                parts = f"{world.new_id()}:400,own:600"
                pool.submit(world.send, "/lm/chat/", instance="entry-1", X_Prefix_Hash=parts)
                pool.submit(world.send_safe, instance="entry-1")
        return all(len(each.received) > before[name] for name, each in world.servers.items())

    until(uses_all_servers, "the instance uses all servers")


def test_carried_stream_that_must_not_be_repeated_uses_no_closed_connection(
    world: CutWorld,
) -> None:
    """Guards against requests lost on connections whose end has not come by way of the peer yet."""
    for name in ("entry-1", "entry-2"):
        world.cut(name, RESET)
    _until_served(world, "entry-1")
    world.hold_ends("entry-3")
    for path in ("/lm/chat/", "/lm/doc/", "/lm/doc/"):
        assert world.send(path, instance="entry-1").status == 200


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


def _cut_off(world: CutWorld, how: str = RESET) -> None:
    """Cut the first instance off from all servers, and wait until it serves by way of others."""
    world.cut("entry-1", how)
    _until_served(world, "entry-1")


def _carrying_peer(world: CutWorld, request_id: str) -> str:
    """Return the peer by way of which a request was sent."""

    def peers() -> list[str]:
        lines = world.running["entry-1"].logged("placed")
        return [line["via"] for line in lines if line["request_id"] == request_id]

    until(lambda: bool(peers()), "the placement is logged")
    return peers()[-1]


def _until_running(world: CutWorld, request_id: str) -> None:
    until(lambda: len(world.runs(request_id)) == 1, "the request runs")


def test_stream_whose_peer_dies_is_resumed_whole(world: CutWorld) -> None:
    """Guards against streams that end or repeat events when the peer that carries them dies."""
    _cut_off(world)
    world.set_mode("hold", "lm-1", "lm-2", request_count=1)
    with ThreadPoolExecutor(1) as pool:
        pending = pool.submit(world.send, "/lm/chat/", request_id="s1", instance="entry-1")
        _until_running(world, "s1")
        world.set_mode("")
        world.running[_carrying_peer(world, "s1")].process.kill()
        answer = pending.result(20)
    assert (answer.status, answer.is_cut) == (200, False)
    assert answer.event_data == [f"piece {number}" for number in range(6)]


@pytest.mark.parametrize("path", ["/shop/buy/", "/lm/doc/"])
def test_request_that_must_not_be_repeated_is_not_when_its_peer_dies(
    world: CutWorld, path: str
) -> None:
    """Guards against a second run of a request, or a false promise, after its peer died."""
    _cut_off(world)
    world.set_mode("mute")
    with ThreadPoolExecutor(1) as pool:
        pending = pool.submit(world.send, path, request_id="d1", instance="entry-1")
        _until_running(world, "d1")
        world.set_mode("")
        world.running[_carrying_peer(world, "d1")].process.kill()
        answer = pending.result(20)
    assert answer.status == 502
    assert len(world.runs("d1")) == 1


def test_server_sees_that_the_caller_of_a_carried_request_has_left(world: CutWorld) -> None:
    """Guards against servers that go on for a caller that left, as its peer stays connected."""
    _cut_off(world)
    world.set_mode("hold", "lm-1", "lm-2")
    host, _, port = world.running["entry-1"].caller_address.rpartition(":")
    headers = world.request_headers("/lm/doc/", "g1")
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    with socket.create_connection((host, int(port))) as conn:
        conn.sendall(f"POST /lm/doc/ HTTP/1.1\r\n{lines}Content-Length: 0\r\n\r\n".encode())
        _until_running(world, "g1")
    (request,) = world.runs("g1")
    until(lambda: request.outcome == "abandoned", "the server sees the request abandoned")


def test_stopping_peer_ends_what_it_carries_first(world: CutWorld) -> None:
    """Guards against a graceful stop that cuts streams which the process carries for others."""
    _cut_off(world)
    world.set_mode("hold", "lm-1", "lm-2")
    with ThreadPoolExecutor(1) as pool:
        pending = pool.submit(world.send, "/lm/doc/", request_id="p1", instance="entry-1")
        _until_running(world, "p1")
        peer = world.running[_carrying_peer(world, "p1")]
        peer.process.terminate()
        until(lambda: bool(peer.logged("stopping")), "the peer stops")
        for name in ("lm-1", "lm-2"):
            world.release_held(name)
        answer = pending.result(20)
    assert (answer.status, answer.is_cut, len(answer.event_data)) == (200, False, 6)
    assert peer.process.wait(20) == 0


@pytest.mark.parametrize(
    ("mode", "status"), [("unframed", 200), ("short", 502), ("lost", 502), ("misdirected", 503)]
)
def test_carried_answers_are_judged_like_direct_ones(
    world: CutWorld, mode: str, status: int
) -> None:
    """Guards against answers that seem complete, or not run, because a peer carried them."""
    _cut_off(world)
    world.set_mode(mode, "shop-1", "shop-2")
    answer = world.send_unsafe(instance="entry-1")
    assert answer.status == status
    assert answer.body == b"whole" or status != 200


def test_servers_that_are_all_down_are_not_asked_for_by_way_of_others(world: CutWorld) -> None:
    """Guards against requests that circle or pile up at peers while servers are down."""
    for name in world.servers:
        world.crash_server(name)
    answers = [send(X_Deadline_Ms="500") for send in _kinds(world, "entry-1") * 3]
    assert {answer.status for answer in answers} <= {502, 503}
    assert not [line for each in world.running.values() for line in each.logged("carry_opened")]
    refused = [line for each in world.running.values() for line in each.logged("carry_refused")]
    assert len(refused) <= len(answers)
    for name in world.servers:
        world.restart_server(name, 1)
    _until_served(world, "entry-1")


def test_direct_path_is_used_again_once_it_is_back(world: CutWorld) -> None:
    """Guards against requests that go by way of others for ever."""
    world.cut("entry-1", RESET)
    _until_served(world, "entry-1")
    world.heal("entry-1")

    def is_direct() -> bool:
        _until_served(world, "entry-1")
        return not world.reported_state("entry-1")["indirect_paths"]

    until(is_direct, "all paths are direct")
