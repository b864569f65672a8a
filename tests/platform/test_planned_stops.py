"""Tests of planned stops: requests that are under way, wait or arrive while an instance stops."""

from __future__ import annotations

import http.client
import os
import signal
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from pathlib import Path

import pytest

from tests.platform.cut_world import RESET, CutWorld
from tests.platform.platform_world import Instance, PlatformWorld, connection_to, until


# The silence is long enough for probes of the server, and for a stream that may be resumed short
# enough not to be moved.
@pytest.mark.parametrize(
    ("path", "silence_s"), [("/lm/doc/", 2.5), ("/lm/chat/", 1.5), ("/shop/buy/", 3.0)]
)
def test_answer_is_not_given_up_when_the_peer_that_carries_it_stops(
    tmp_path: Path, path: str, silence_s: float
) -> None:
    # Guards against a stopping peer whose refusals count as the death of a sound server.
    bounds = {"revoke_ms": 60_000}
    with (
        CutWorld(tmp_path, engines=1, plain_servers=1, instances=2, bounds=bounds) as world,
        ThreadPoolExecutor(1) as pool,
    ):
        asker, carrier = world.running["entry-1"], world.running["entry-2"]
        assert world.send("/lm/chat/", instance="entry-2").status == 200
        assert world.send_safe(instance="entry-2").status == 200
        world.cut("entry-1", RESET)
        for carried_path in ("/lm/chat/", "/shop/look/"):
            until(partial(_is_served, world, carried_path), "requests are carried")
        for server in world.servers.values():
            server.event_count, server.event_interval_s, server.work_s = 2, silence_s, silence_s
        pending_answer = pool.submit(world.send, path, request_id="c1")
        until(lambda: len(world.runs("c1")) == 1, "the request runs")
        carrier.process.terminate()
        answer = pending_answer.result(20)
        assert carrier.logged("carry_refused")
        assert (answer.status, answer.is_cut) == (200, False)
        assert path.startswith("/shop") or len(answer.event_data) == 2
        assert len(world.runs("c1")) == 1
        assert not asker.logged("server_dead")
        assert not asker.logged("crash_in_flight")


def _is_served(world: CutWorld, path: str) -> bool:
    return world.send(path, X_Deadline_Ms="1500").status == 200


@pytest.mark.parametrize(("path", "server"), [("/shop/buy/", "shop-1"), ("/lm/doc/", "lm-1")])
def test_waiting_request_that_cannot_be_answered_before_the_end_is_not_passed_on(
    tmp_path: Path, path: str, server: str
) -> None:
    # Guards against requests passed on so late in a stop that they are cut off without an answer.
    bounds = {"grace_s": 5.2, "revoke_ms": 60_000}
    with (
        PlatformWorld(tmp_path, engines=1, plain_servers=1, instances=0, bounds=bounds) as world,
        ThreadPoolExecutor(16) as pool,
    ):
        world.register(server, **{"max-concurrency": 1})
        instance = world.add_instance("entry-1")
        _make_answers_take(world, 1.0)
        for _ in range(2):
            assert world.send(path).status == 200
        ids = [world.new_id() for _ in range(16)]
        pending = [pool.submit(world.send, path, request_id=each) for each in ids]
        until(lambda: any(world.runs(each) for each in ids), "one of them runs")
        instance.process.terminate()
        answers = [each.result(20) for each in pending]
        for request_id, answer in zip(ids, answers, strict=True):
            assert (answer.status, answer.is_cut) in ((200, False), (503, False))
            assert answer.status == 200 or not world.received(request_id)
        assert {answer.status for answer in answers} == {200, 503}
        assert instance.process.wait(20) == 0


def test_request_that_takes_longer_than_is_left_of_a_stop_is_refused(tmp_path: Path) -> None:
    # Guards against long answers that a stopping instance begins and cuts off.
    paths = ("/shop/buy/", "/lm/doc/", "/lm/chat/")
    bounds = {"grace_s": 3.0, "revoke_ms": 60_000}
    with (
        PlatformWorld(tmp_path, bounds=bounds) as world,
        ThreadPoolExecutor(len(paths)) as pool,
    ):
        instance = world.running["entry-1"]
        _make_answers_take(world, 3.5)
        assert [each.status for each in pool.map(world.send, paths)] == [200] * len(paths)
        instance.process.terminate()
        until(lambda: bool(instance.logged("stopping")), "the instance stops")
        pending = [pool.submit(world.send, path, request_id=path) for path in paths]
        for path, each in zip(paths, pending, strict=True):
            answer = each.result(20)
            assert (answer.status, answer.headers.get("retry-after")) == (503, "0.00")
            assert not world.received(path)
        assert instance.process.wait(20) == 0


def _make_answers_take(world: PlatformWorld, seconds: float) -> None:
    for server in world.servers.values():
        server.work_s = seconds
        server.event_interval_s = seconds / server.event_count


def test_further_signals_and_settings_in_a_stop_cut_nothing(tmp_path: Path) -> None:
    # Guards against a second signal, a reload or new settings that shorten a stop.
    with PlatformWorld(tmp_path) as world, ThreadPoolExecutor(4) as pool:
        instance = world.running["entry-1"]
        world.set_mode("hold", "lm-1", "lm-2")
        streams = [pool.submit(world.send, path) for path in ("/lm/doc/", "/lm/chat/")]
        until(lambda: len(world.runs()) == 2, "the streams run")
        instance.process.terminate()
        until(lambda: len(instance.logged("signal")) == 1, "the instance stops")
        for number, signum in enumerate((signal.SIGTERM, signal.SIGHUP, signal.SIGTERM), start=2):
            world.publish()
            os.kill(instance.process.pid, signum)
            until(partial(_has_signals, instance, number), "the signal was handled")
        orders = [world.send_unsafe(), world.send_safe()]
        assert [each.status for each in orders] == [200, 200]
        for name in ("lm-1", "lm-2"):
            world.release_held(name)
        for each in streams:
            answer = each.result(20)
            assert (answer.status, answer.is_cut, len(answer.event_data)) == (200, False, 6)
        assert instance.process.wait(20) == 0


def _has_signals(instance: Instance, number: int) -> bool:
    return len(instance.logged("signal")) == number


def test_stream_that_a_stop_ends_goes_on_at_another_instance(tmp_path: Path) -> None:
    # Guards against streams that outlast a stop and cannot be taken up, or lose events, after it.
    bounds = {"grace_s": 3, "revoke_ms": 60_000}
    with PlatformWorld(tmp_path, instances=2, versions=("v1", "v2"), bounds=bounds) as world:
        world.set_mode("hold", "lm-1", "lm-2")
        instance = world.running["entry-1"]
        conn = connection_to(instance.caller_address)
        conn.request("POST", "/lm/chat/", b"prompt", world.request_headers("/lm/chat/", "t1"))
        response = conn.getresponse()
        first = [_next_data(response) for _ in range(3)]
        instance.process.terminate()
        with pytest.raises((ConnectionResetError, http.client.IncompleteRead)):
            response.read()
        world.set_mode("")
        second = world.send("/lm/chat/", instance="entry-2", Resumes="t1", Last_Event_Id="2")
        assert (second.status, second.is_cut) == (200, False)
        (version,) = {run.version for run in world.runs("t1")}
        expected = [f"piece {number} {version}" for number in range(6)]
        assert first + second.event_data == expected


def _next_data(response: http.client.HTTPResponse) -> str:
    """Return the data of the next event of a stream."""
    while line := response.readline():
        if line.startswith(b"data: "):
            return line.decode().removeprefix("data: ").strip()
    raise AssertionError("the stream ended")
