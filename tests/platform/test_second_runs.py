"""Tests of requests that must run once, and of what may start them a second time."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from concurrent.futures import Future, ThreadPoolExecutor
from pathlib import Path
from typing import Any

import pytest

from tests.platform.ahead_callers import AheadCaller, request_bytes
from tests.platform.cut_world import HANG, RESET, CutWorld
from tests.platform.platform_world import Answer, Instance, PlatformWorld, document, until

# They tell a caller that its request was not run.
PROMISES = {408, 421, 429, 503}
PATHS = ["/shop/buy/", "/lm/doc/"]
AHEAD = 4
REQUESTS = 8


@pytest.fixture
def world(tmp_path: Path) -> Iterator[PlatformWorld]:
    """Yield a world of one instance whose servers keep their connections."""
    with PlatformWorld(tmp_path) as world:
        for server in world.servers.values():
            server.keeps_streams = True
        yield world


# --- clients that send requests ahead ---


@pytest.mark.parametrize("path", PATHS)
def test_requests_sent_ahead_run_once_each_with_their_own_paths(
    world: PlatformWorld, path: str
) -> None:
    # Guards against requests that run with the path of a later one on their connection.
    ids = [world.new_id() for _ in range(AHEAD)]
    with AheadCaller(world, "entry-1") as caller:
        caller.send(*[request_bytes(world, f"{path}{each}?n={each}", each) for each in ids])
        answers = [caller.read_answer() for _ in ids]
    assert [each and each.headers.get("x-attempt-id") for each in answers] == ids
    runs = sorted((run.attempt_id, run.path) for run in world.runs())
    assert runs == [(each, f"{path}{each}?n={each}") for each in ids]


def test_request_is_not_repeated_by_the_route_of_a_later_one(world: PlatformWorld) -> None:
    # Guards against a second run by the rules of a request that was sent ahead.
    world.set_mode("lost", "shop-1", "shop-2")
    first, second = world.new_id(), world.new_id()
    with AheadCaller(world, "entry-1") as caller:
        caller.send(
            request_bytes(world, "/shop/buy/", first),
            request_bytes(world, "/shop/look/", second, method="GET", body=b""),
        )
        answer = caller.read_answer()
    assert len(world.runs(first)) == 1
    assert answer is not None
    assert answer.status not in PROMISES


@pytest.mark.parametrize("rest", [b"GET /lm", b"POST /lm/doc/x HTTP/1.1\r\nHost", b"\0\0\r\n\r\n"])
def test_request_is_served_by_its_own_path_whatever_follows_it(
    world: PlatformWorld, rest: bytes
) -> None:
    # Guards against requests that are refused, or routed, by the beginning of the next one.
    request_id = world.new_id()
    with AheadCaller(world, "entry-1") as caller:
        caller.send_part(request_bytes(world, "/shop/buy/a", request_id) + rest)
        answer = caller.read_answer()
    assert answer is not None
    assert answer.status == 200
    assert [run.path for run in world.runs()] == ["/shop/buy/a"]


@pytest.mark.parametrize(
    "end",
    [b"0\r\nX-T: " + b"a" * 40_000 + b"\r\n\r\n", b"0\r\nX-T\0\r\n\r\n", b"zz\r\n\r\n"],
    ids=["long trailer", "invalid trailer", "invalid chunk"],
)
def test_request_that_is_refused_for_its_end_has_not_run(world: PlatformWorld, end: bytes) -> None:
    # Guards against a request that is passed on before the end of its body was accepted.
    request_id = world.new_id()
    data = request_bytes(world, "/shop/buy/", request_id, chunked=True)
    with AheadCaller(world, "entry-1") as caller:
        caller.send_part(data.removesuffix(b"0\r\n") + end)
        answer = caller.read_answer()
    assert answer is not None
    assert len(world.runs(request_id)) == (answer.status == 200)


def test_head_that_is_late_ends_no_running_request(world: PlatformWorld) -> None:
    # Guards against a 408 for what follows a request that is read as the answer to this one.
    limits = {**document(1)["limits"], "header-timeout-ms": 200}
    world.publish(limits=limits)
    instance = world.running["entry-1"]
    until(
        lambda: any(each["version"] == world.version for each in _settings_in_force(instance)),
        "the settings are in force",
    )
    world.set_mode("hold", "lm-1", "lm-2")
    request_id = world.new_id()
    with AheadCaller(world, "entry-1") as caller:
        caller.send_part(request_bytes(world, "/lm/doc/", request_id) + b"GET /shop/look/ HT")
        until(lambda: bool(world.runs(request_id)), "the request runs")
        until(lambda: _refuses_late_head(world), "a late head is refused")
        for name in ("lm-1", "lm-2"):
            world.release_held(name)
        answer = caller.read_answer()
    assert answer is not None
    assert answer.status == 200
    assert len(answer.event_data) == 6


def _settings_in_force(instance: Instance) -> list[dict[str, Any]]:
    return instance.logged("settings_in_force")


def _refuses_late_head(world: PlatformWorld) -> bool:
    """Send half a head, and return whether it is refused."""
    with AheadCaller(world, "entry-1") as caller:
        caller.send_part(b"GET /shop/look/ HT")
        answer = caller.read_answer()
    return answer is not None and answer.status == 408


# --- requests by way of a peer ---

TROUBLES: dict[str, tuple[Callable[[CutWorld], None], Callable[[CutWorld], None]]] = {
    "killed": (
        lambda world: world.running["entry-2"].process.kill(),
        lambda world: world.restart_instance("entry-2"),
    ),
    "stopped": (
        lambda world: world.running["entry-2"].process.terminate(),
        lambda world: None,
    ),
    "suspended": (
        lambda world: world.running["entry-2"].process.pause(),
        lambda world: world.running["entry-2"].process.resume(),
    ),
    "cut, late": (
        lambda world: world.cut("entry-2", HANG),
        lambda world: world.heal("entry-2"),
    ),
    "cut, reset": (
        lambda world: world.cut("entry-2", RESET),
        lambda world: world.heal("entry-2"),
    ),
}


@pytest.mark.parametrize("trouble", TROUBLES)
def test_request_by_way_of_a_peer_in_trouble_runs_at_most_once(
    tmp_path: Path, trouble: str
) -> None:
    # Guards against a send by way of a peer that counts as not made though it reaches a server.
    begin, end = TROUBLES[trouble]
    with CutWorld(tmp_path, instances=3, bounds={"revoke_ms": 60_000}) as world:
        _prepare_servers(world)
        world.cut("entry-1", RESET)
        until(lambda: _is_served(world), "requests go by way of peers")
        world.set_mode("refuse_once")
        with ThreadPoolExecutor(2 * REQUESTS) as pool:
            pending = _send_unsafe(world, pool, "b")
            until(lambda: bool(world.received("b0")), "a server has a request")
            begin(world)
            pending |= _send_unsafe(world, pool, "d")
            answers = {each: future.result(30) for each, future in pending.items()}
        end(world)
        world.heal("entry-1")
        world.set_mode("")
        until(lambda: _is_served(world), "requests are served again")
        _check_once(world, answers)


def test_log_of_a_second_send_leads_to_what_the_peer_saw(tmp_path: Path) -> None:
    # Guards against second sends of which nobody can tell what the peer that carried them saw.
    with CutWorld(tmp_path, instances=2, bounds={"revoke_ms": 60_000}) as world:
        world.cut("entry-1", RESET)
        until(lambda: _is_served(world), "requests go by way of the peer")
        world.set_mode("refuse_once")
        assert {world.send(path + world.new_id()).status for path in PATHS} == {200}
        first, peer = world.running["entry-1"], world.running["entry-2"]
        until(lambda: len(first.logged("sent_again")) >= len(PATHS), "second sends are logged")
        lines = first.logged("sent_again")
        assert {line["refused_via"] for line in lines} == {"entry-2"}
        refused_on = {line["refused_connection"] for line in lines}
        opened = {line["connection"] for line in peer.logged("carry_opened")}
        assert refused_on <= opened
        first.process.kill()
        until(lambda: refused_on <= _passed_on(peer), "the peer logs what it passed on")


def _passed_on(peer: Instance) -> set[str]:
    """Return the connections on which a peer passed something on to a server."""
    lines = peer.logged("carry_ended")
    return {line["connection"] for line in lines if line["to_server_bytes"]}


def _prepare_servers(world: PlatformWorld) -> None:
    for server in world.servers.values():
        server.keeps_streams = True
        server.work_s = 0.1
        server.event_interval_s = 0.02


def _is_served(world: PlatformWorld) -> bool:
    sends = [world.send(path + world.new_id(), X_Deadline_Ms="1500") for path in PATHS]
    return [each.status for each in sends] == [200, 200]


def _send_unsafe(
    world: PlatformWorld, pool: ThreadPoolExecutor, prefix: str
) -> dict[str, Future[Answer | None]]:
    """Send requests that must run once; return their answers by ID, None for none."""

    def send(number: int) -> Answer | None:
        request_id = f"{prefix}{number}"
        # Requests that are alike would be suspected of crashing servers.
        path = PATHS[number % 2] + request_id
        try:
            return world.send(path, request_id=request_id, X_Deadline_Ms="2000")
        except OSError:
            return None

    return {f"{prefix}{number}": pool.submit(send, number) for number in range(REQUESTS)}


def _check_once(world: PlatformWorld, answers: dict[str, Answer | None]) -> None:
    """Check that no request ran twice, and that none ran whose caller was told otherwise."""
    for request_id, answer in answers.items():
        runs = len(world.runs(request_id))
        assert runs <= 1, request_id
        assert answer is None or answer.status not in PROMISES or not runs, request_id
    for instance in world.running.values():
        assert not [each for each in instance.logged("sent_again") if each["evidence"] == "none"]


# --- servers that start again under their names ---


@pytest.mark.parametrize("is_registered", [True, False], ids=["registered", "unregistered"])
@pytest.mark.parametrize("mode", ["refuse_once", "misdirected", "mute"])
def test_request_at_a_server_that_starts_again_runs_at_most_once(
    world: PlatformWorld, mode: str, is_registered: bool
) -> None:
    # Guards against a refusal, or a 421, of one start of a server that counts for another one.
    for server in world.servers.values():
        server.work_s = 0.05
    world.set_mode(mode)
    with ThreadPoolExecutor(REQUESTS) as pool:
        pending = _send_unsafe(world, pool, "s")
        until(lambda: bool(world.received("s0") and world.received("s1")), "servers have requests")
        for number, name in enumerate(("lm-1", "shop-1", "lm-2", "shop-2")):
            world.crash_server(name)
            restart = world.restart_server if is_registered else world.restart_unregistered
            restart(name, born=number + 2)
        answers = {each: future.result(30) for each, future in pending.items()}
    _check_once(world, answers)


# --- requests whose caller or instance is lost ---


@pytest.mark.parametrize("loss", ["caller", "killed", "suspended"])
def test_request_whose_caller_or_instance_is_lost_is_not_started_elsewhere(
    tmp_path: Path, loss: str
) -> None:
    # Guards against a claim, a probe or an isolated run that starts a request a second time.
    with PlatformWorld(tmp_path, instances=2) as world:
        world.set_mode("mute", "lm-1", "shop-1")
        world.set_mode("lost", "lm-2", "shop-2")
        first = world.running["entry-1"].process
        with AheadCaller(world, "entry-1") as caller:
            ids = [world.new_id() for _ in range(AHEAD)]
            caller.send(*[request_bytes(world, f"{PATHS[0]}{each}", each) for each in ids])
            until(lambda: bool(world.runs(ids[0])), "the first request runs")
            if loss == "killed":
                first.kill()
            elif loss == "suspended":
                first.pause()
        if loss == "suspended":
            first.resume()
        world.set_mode("")
        until(lambda: _is_served_by(world, "entry-2"), "the other one serves")
        if loss != "killed":
            until(lambda: _is_served_by(world, "entry-1"), "the first one serves")
        _check_once(world, dict.fromkeys(ids))


def _is_served_by(world: PlatformWorld, *instances: str) -> bool:
    sends = [world.send(path + world.new_id(), instance=n) for n in instances for path in PATHS]
    return all(each.status == 200 for each in sends)


def test_copies_of_a_request_that_crashes_servers_run_once_each(tmp_path: Path) -> None:
    # Guards against an isolated run of a request that must not be repeated and has run.
    with PlatformWorld(tmp_path, engines=4, plain_servers=4, instances=2) as world:
        world.set_crash_body(b"crash")
        answers: dict[str, Answer | None] = {}
        for number in range(AHEAD):
            for instance in world.running:
                request_id = world.new_id()
                answers[request_id] = world.send(
                    PATHS[number % 2], request_id=request_id, instance=instance, body=b"crash"
                )
        _check_once(world, answers)


@pytest.mark.parametrize("mode", ["lost", "error", "shed"])
def test_requests_at_a_server_that_is_ejected_and_probed_run_once(
    world: PlatformWorld, mode: str
) -> None:
    # Guards against a request that is a probe of a suspected server and runs at another one too.
    world.set_mode(mode, "lm-1", "shop-1")
    answers: dict[str, Answer | None] = {}
    with ThreadPoolExecutor(REQUESTS) as pool:
        for number in range(6):
            pending = _send_unsafe(world, pool, f"e{number}-")
            answers |= {each: future.result(30) for each, future in pending.items()}
    _check_once(world, answers)


# --- an ID that comes twice ---


def test_each_copy_of_an_id_gets_an_answer_of_its_own(tmp_path: Path) -> None:
    # Guards against copies of an ID that take each other's place in an instance.
    with PlatformWorld(tmp_path, instances=2) as world:
        for server in world.servers.values():
            server.work_s = 0.1
        with AheadCaller(world, "entry-1") as caller, AheadCaller(world, "entry-2") as other:
            copies = [request_bytes(world, f"/shop/buy/{number}", "copy") for number in range(3)]
            caller.send(*copies[:2])
            other.send(copies[2])
            answers = [caller.read_answer(), caller.read_answer(), other.read_answer()]
        assert [each and each.status for each in answers] == [200] * 3
        assert sorted(run.path for run in world.runs("copy")) == [
            f"/shop/buy/{n}" for n in range(3)
        ]
