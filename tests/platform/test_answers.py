"""What a caller is told when a server misbehaves: never more than is known."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from tests.platform.platform_world import PlatformWorld, until


@pytest.fixture
def world(tmp_path_factory: pytest.TempPathFactory) -> Iterator[PlatformWorld]:
    """Have one instance before servers that tests have misbehave."""
    with PlatformWorld(tmp_path_factory.mktemp("answers")) as world:
        yield world


@pytest.mark.parametrize("mode", ["foreign", "unsigned", "encoded", "false_promise", "short"])
def test_an_answer_that_may_not_be_passed_on_ends_as_unknown(
    world: PlatformWorld, mode: str
) -> None:
    # A server sends another request's answer, one without its signature, an encoded one, a status
    # that promises what is not so, or less than it announced. The call ran, once; its caller must
    # not hear that it did not, must not get these bytes as an answer, and it must not run again.
    world.set_mode(mode)
    answer = world.buy(request_id="a1")
    assert answer.status == 502
    assert "x-server-signature" not in answer.headers
    assert len(world.ran("a1")) == 1


def test_a_call_that_may_not_repeat_and_is_lost_runs_once(world: PlatformWorld) -> None:
    # The server runs it and its answer is lost with the connection.
    world.set_mode("lost")
    assert world.buy(request_id="a2").status == 502
    assert len(world.ran("a2")) == 1


def test_a_call_that_may_repeat_is_had_from_another_server(world: PlatformWorld) -> None:
    # The first server fails or loses the answer; a second one answers, and the caller sees only it.
    for number, mode in enumerate(("lost", "error", "short", "foreign")):
        world.set_mode(mode, times=1)
        world.set_mode("", "shop-2" if number % 2 else "shop-1")
        answer = world.look(request_id=f"b{number}")
        assert (answer.status, answer.body[:2]) == (200, b"by")
        assert len(world.ran(f"b{number}")) <= 2


def test_a_servers_own_failure_is_passed_on_unchanged(world: PlatformWorld) -> None:
    world.set_mode("error")
    assert (world.buy().status, world.buy().body) == (500, b"failed")
    last = world.look(request_id="c1")
    assert (last.status, last.body) == (500, b"failed")
    assert last.headers["x-server-signature"]
    assert len(world.ran("c1")) == 2


@pytest.mark.parametrize("mode", ["shed", "misdirected"])
def test_what_no_server_ran_is_refused_and_the_caller_told_when_to_come_back(
    world: PlatformWorld, mode: str
) -> None:
    # Every server is full, or the addresses belong to other servers by now.
    world.set_mode(mode)
    answer = world.buy(request_id="d1")
    assert answer.status == 503
    assert float(answer.headers["retry-after"]) > 0
    assert not world.ran("d1")


def test_bytes_behind_an_answer_reach_nobody(world: PlatformWorld) -> None:
    # A server sends a second answer behind the first. On a kept connection it would be the next
    # caller's.
    world.set_mode("extra", "shop-1", "shop-2")
    bodies = [world.look(request_id=f"e{number}").body for number in range(4)]
    assert bodies == [b"mine"] * 4
    assert all(seen.earlier == 0 for number in range(4) for seen in world.ran(f"e{number}"))


def test_an_answer_that_ends_with_its_connection_is_whole(world: PlatformWorld) -> None:
    world.set_mode("unframed")
    answer = world.buy()
    assert (answer.status, answer.body) == (200, b"whole")


def test_a_stream_goes_on_at_another_server_after_its_last_whole_event(
    world: PlatformWorld,
) -> None:
    # The server stops in the middle of event 3; the caller has whole events only, each once, and
    # the head that the first server gave.
    world.set_mode("cut", "lm-1", "lm-2", times=1)
    world.set_mode("", "lm-2")
    world.crash("lm-2")
    world.add_server("lm-3", "lm")
    until(lambda: world.knows_servers(world.running["entry-1"]), "lm-3 is known")
    answer = world.ask("/lm/chat/", request_id="f1")
    assert answer.pieces == [f"piece {number}" for number in range(6)]
    resumed = [seen.headers.get("last-event-id") for seen in world.ran("f1")]
    assert resumed in ([None, "2"], [None])


def test_a_stream_that_may_not_go_on_elsewhere_is_cut(world: PlatformWorld) -> None:
    # A caller must not take the part for the whole answer.
    world.set_mode("cut")
    answer = world.ask("/lm/doc/", request_id="g1")
    assert answer.cut
    assert len(world.ran("g1")) == 1


def test_a_server_that_never_answers_is_given_up_at_the_routes_time(
    world: PlatformWorld,
) -> None:
    # The caller would wait 8 s; the operator's limit for the route is 0.3 s. It is told at once
    # that the call may have run, and the server is left alone with it.
    world.set_mode("mute")
    answer = world.ask("/shop/brief/", request_id="h1")
    assert answer.status == 504
    (seen,) = world.ran("h1")
    until(lambda: seen.end == "left", "the server sees its caller leave")
