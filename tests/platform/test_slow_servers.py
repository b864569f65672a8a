"""Tests of servers that are always slower than the first time limit for them."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from pathlib import Path

import pytest

from tests.platform.answer_ends import is_whole, send_in_form
from tests.platform.cut_world import HANG_NEW, RESET, CutWorld
from tests.platform.platform_world import Answer, Instance, PlatformWorld, until
from tests.platform.standin_answers import AnswerForm, Framing
from tests.platform.test_cut_off import _know_each_other
from tests.platform.test_restarted_versions import STREAMS, open_world
from tests.platform.test_versions import EVENTS, assert_whole, begin, finish

REPORT_S = 0.7
CHECK_S = 1.2


def _kinds(world: PlatformWorld) -> list[Callable[..., Answer]]:
    """Return a function for each kind of request."""
    return [
        partial(world.send, "/lm/doc/"),
        partial(world.send, "/lm/chat/"),
        world.send_unsafe,
        world.send_safe,
    ]


@pytest.mark.parametrize("delay_s", [0.4, 0.8, 1.3])
def test_servers_whose_connections_always_open_late_are_served(
    tmp_path: Path, delay_s: float
) -> None:
    """Guards against refusing all requests for as long as each connection takes over 0.35 s."""
    with CutWorld(tmp_path, bounds={"revoke_ms": 60_000}) as world:
        assert all(send().status == 200 for send in _kinds(world))
        world.delay_connects("entry-1", delay_s)
        for _ in range(3):
            assert [send().status for send in _kinds(world)] == [200] * 4


def test_server_that_was_slow_and_is_lost_is_noticed(tmp_path: Path) -> None:
    """Guards against waiting for a server without end since it was slow before."""
    with CutWorld(tmp_path, engines=1, plain_servers=2, bounds={"revoke_ms": 60_000}) as world:
        world.delay_connects("entry-1", 0.8)
        for _ in range(3):
            assert world.send_unsafe().status == 200
        world.cut("entry-1", HANG_NEW, "shop-1")
        for _ in range(5):
            assert world.send_unsafe(X_Deadline_Ms="8000").status == 200
        lines = world.running["entry-1"].logged("path_lost")
        until(lambda: any(line["peer"] == "shop-1" for line in lines), "the loss is logged")


def test_servers_that_a_peer_reaches_late_are_served_by_way_of_it(tmp_path: Path) -> None:
    """Guards against a fixed time limit for connections that are opened for peers."""
    bounds = {"revoke_ms": 60_000}
    with CutWorld(tmp_path, instances=2, data_centres=2, bounds=bounds) as world:
        for name in world.running:
            assert world.send_safe(instance=name).status == 200
        until(lambda: _know_each_other(world), "the instances know each other")
        world.delay_connects("entry-2", 0.8)
        for _ in range(3):
            assert world.send_unsafe(instance="entry-2").status == 200
        world.cut("entry-1", RESET)

        def is_served() -> bool:
            return world.send_safe(instance="entry-1", X_Deadline_Ms="5000").status == 200

        until(is_served, "entry-1 serves by way of entry-2")


@pytest.mark.parametrize("path", ["/shop/buy/", "/lm/doc/"])
def test_whole_answers_of_servers_whose_checks_are_always_late_arrive_whole(
    tmp_path: Path, path: str
) -> None:
    """Guards against breaking off whole answers where the server answers checks slowly."""
    with PlatformWorld(tmp_path, engines=1, plain_servers=1) as world:
        for server in world.servers.values():
            server.check_s = CHECK_S
        form = AnswerForm(Framing.CONNECTION_END)

        def is_known() -> bool:
            # How long the server takes is learned from the first answers.
            send_in_form(world, path, "entry-1", form)
            return bool(world.running["entry-1"].logged("check_late"))

        until(is_known, "a late answer")
        for _ in range(3):
            answer = send_in_form(world, path, "entry-1", form)
            assert (answer.status, answer.is_cut) == (200, False)
            assert is_whole(path, answer)


def test_streams_of_engines_whose_reports_are_always_late_go_on(tmp_path: Path) -> None:
    """Guards against streams that nobody takes up, for as long as a report takes over 0.5 s."""
    with open_world(tmp_path, engines=1) as world:
        first = world.servers["lm-1"]
        first.check_s = REPORT_S
        for name, instance in world.running.items():
            assert world.send("/lm/chat/", instance=name).status == 200
            until(partial(_has_logged, instance, "report_late"), "the report came")
        callers = begin(world, STREAMS, tuple(world.running))
        second = world.add_server("lm-2", "lm", "v1")
        second.event_count, second.check_s = EVENTS, REPORT_S
        for instance in world.running.values():
            until(partial(world.has_listed_servers, instance), "the new one is listed")
        world.crash_server("lm-1")
        assert_whole(finish(callers))


def test_answers_without_a_length_of_servers_whose_checks_are_always_late(tmp_path: Path) -> None:
    """Guards against 502 for each answer without a length while status checks take over 1 s."""
    with PlatformWorld(tmp_path, engines=0, bounds={"revoke_ms": 60_000}) as world:
        for server in world.servers.values():
            server.check_s = CHECK_S
            server.forms = [AnswerForm(Framing.CONNECTION_END)] * 30

        def are_known() -> bool:
            world.send_safe()
            lines = world.running["entry-1"].logged("check_late")
            return len({line["peer"] for line in lines}) == len(world.servers)

        until(are_known, "late answers of both")
        for _ in range(3):
            assert world.send_safe().status == 200
            assert world.send_unsafe().status == 200


def _has_logged(instance: Instance, event: str) -> bool:
    return bool(instance.logged(event))
