"""Tests of streams where servers of several software versions serve side by side.

What two versions write does not fit together, so a stream goes on only at the version that began
it, within one answer and where a caller takes it up at another instance.
"""

from __future__ import annotations

import time
from collections.abc import Iterator
from contextlib import contextmanager
from functools import partial
from pathlib import Path

import pytest

from tests.platform.platform_world import PlatformWorld, until
from tests.platform.standin_store import SERVERS
from tests.platform.stream_callers import Stream, StreamCaller

EVENTS = 80
EVENT_INTERVAL_S = 0.04
# Events of streams that last while all instances are replaced, and the time between two of these.
LONG_EVENTS = 250
REPLACE_PAUSE_S = 0.6
VERSIONS = ("v1", "v2")


@contextmanager
def open_world(
    path: Path,
    *,
    engines: int = 4,
    instances: int = 3,
    versions: tuple[str, ...] = VERSIONS,
    **bounds: float,
) -> Iterator[PlatformWorld]:
    """Yield a world with engines of several versions."""
    # Proofs are renewed rarely, so a killed reader of the store refuses no keys.
    world = PlatformWorld(
        path,
        engines=engines,
        plain_servers=0,
        instances=instances,
        versions=versions,
        bounds={"revoke_ms": 60_000, **bounds},
    )
    with world:
        for server in world.servers.values():
            server.event_count, server.event_interval_s = EVENTS, EVENT_INTERVAL_S
        until(partial(know_each_other, world), "the instances know each other")
        yield world


def know_each_other(world: PlatformWorld) -> bool:
    """Return whether all instances have heard of each other."""
    names = sorted(world.running)
    return all(world.reported_state(name)["live_instances"] == names for name in names)


def begin(
    world: PlatformWorld,
    count: int,
    instances: tuple[str, ...],
    *,
    events: int = 5,
    names_stream: bool = True,
) -> list[StreamCaller]:
    """Start callers, each with a prefix of its own, and wait until all have some events."""
    callers = [
        StreamCaller(
            world,
            instances,
            prefix=f"{number:x}a",
            time_limit_s=30.0,
            tries_max=60,
            names_stream=names_stream,
        )
        for number in range(count)
    ]
    for caller in callers:
        caller.start()
    until(
        lambda: all(len(each.stream.pieces) >= events for each in callers),
        "all streams have begun",
    )
    return callers


def finish(callers: list[StreamCaller]) -> list[Stream]:
    """Wait for the ends of all callers; return their streams."""
    for caller in callers:
        caller.join(40)
        assert not caller.is_alive()
    return [caller.stream for caller in callers]


def joined(streams: list[Stream]) -> list[Stream]:
    """Return the streams that hold events of two versions."""
    return [stream for stream in streams if len(stream.versions) > 1]


def assert_whole(streams: list[Stream]) -> None:
    """Check that all streams came whole, in order and from one version."""
    assert not joined(streams)
    for stream in streams:
        assert stream.is_complete
        assert stream.event_ids == list(range(EVENTS))


def engine_of(world: PlatformWorld, caller: StreamCaller) -> str:
    """Return the engine that runs the newest try of a caller."""
    return world.runs(caller.stream.request_ids[-1])[-1].server


def engines_of_version(world: PlatformWorld, version: str) -> list[str]:
    """Return the engines of a version."""
    return [name for name, server in world.servers.items() if server.version == version]


def test_answer_goes_on_at_its_version_after_a_crash(tmp_path: Path) -> None:
    """Guards against an instance that resumes an answer at a server of another version."""
    with open_world(tmp_path, instances=1) as world:
        callers = begin(world, 24, ("entry-1",))
        world.crash_server("lm-1")
        assert_whole(finish(callers))


def test_answers_whose_version_is_gone_end_early(tmp_path: Path) -> None:
    """Guards against streams that are joined, or that hang, once no server has their version."""
    with open_world(tmp_path, instances=2) as world:
        callers = [
            StreamCaller(world, ("entry-1", "entry-2"), prefix=f"{n:x}b", tries_max=3)
            for n in range(16)
        ]
        for caller in callers:
            caller.start()
        until(lambda: all(len(each.stream.pieces) >= 5 for each in callers), "streams have begun")
        gone = [each for each in callers if engine_of(world, each) in ("lm-2", "lm-4")]
        assert gone
        for name in ("lm-2", "lm-4"):
            world.store.write(SERVERS, name, None)
            world.crash_server(name)
        streams = finish(callers)
        assert not joined(streams)
        assert_whole([each.stream for each in callers if each not in gone])
        for caller in gone:
            assert not caller.stream.is_complete
            assert caller.stream.tries[-1][1] == 503
            for request_id in caller.stream.request_ids[1:]:
                assert not world.runs(request_id)


def test_streams_go_on_when_engine_and_instance_end_at_once(tmp_path: Path) -> None:
    """Guards against an instance that takes up a stream and knows nothing of its beginning."""
    with open_world(tmp_path, engines=4) as world:
        callers = begin(world, 16, ("entry-1", "entry-2", "entry-3"))
        world.running["entry-1"].process.kill()
        world.crash_server("lm-1")
        streams = finish(callers)
        assert all(stream.was_taken_up for stream in streams)
        assert_whole(streams)


def test_streams_go_on_when_every_instance_is_killed_in_turn(tmp_path: Path) -> None:
    """Guards against knowledge of streams that is lost when its holders restart one by one."""
    with open_world(tmp_path, engines=4) as world:
        for name in engines_of_version(world, "v1") + engines_of_version(world, "v2"):
            world.servers[name].event_interval_s = 0.06
        callers = [
            caller
            for first in range(3)
            for caller in begin(world, 6, tuple(f"entry-{1 + (first + n) % 3}" for n in range(3)))
        ]
        for name, instance in world.running.items():
            instance.process.kill()
            world.restart_instance(name)
            until(instance.is_ready, f"{name} is ready")
            until(partial(know_each_other, world), "the instances know each other")
            if name == "entry-1":
                world.crash_server("lm-1")
        assert_whole(finish(callers))


def test_stream_does_not_go_on_at_a_restarted_name(tmp_path: Path) -> None:
    """Guards against an entry that names the version of an earlier start of its server."""
    with open_world(tmp_path, instances=2) as world:
        callers = begin(world, 24, ("entry-1", "entry-2"))
        world.crash_server("lm-1")
        world.restart_server("lm-1", born=2, version="v2")
        assert_whole(finish(callers))


@pytest.mark.parametrize("engines", [1, 2])
def test_stream_does_not_go_on_at_the_first_server_of_another_version(
    tmp_path: Path, engines: int
) -> None:
    """Guards against servers that start again under their names with a version that is new."""
    with open_world(tmp_path, engines=engines, instances=2, versions=("v1",)) as world:
        callers = begin(world, 12, ("entry-1", "entry-2"))
        for name in list(world.servers):
            world.crash_server(name)
            world.restart_server(name, born=2, version="v2")
        assert not joined(finish(callers))


def test_taken_up_stream_does_not_go_on_at_a_restarted_name(tmp_path: Path) -> None:
    """Guards against two versions in a stream that its instance has no retry for."""
    with open_world(tmp_path, instances=2, retry_ratio=0, retry_burst=0) as world:
        callers = begin(world, 24, ("entry-1", "entry-2"))
        world.crash_server("lm-1")
        world.restart_server("lm-1", born=2, version="v2")
        assert not joined(finish(callers))


def test_stream_that_nobody_knows_is_refused_and_not_run(tmp_path: Path) -> None:
    """Guards against a stream that goes on at some version because none is known."""
    with open_world(tmp_path) as world:
        answer = world.send("/lm/chat/", request_id="u1", Resumes="unknown", Last_Event_Id="3")
        assert answer.status == 503
        assert b"stream" in answer.body
        answer = world.send("/lm/chat/", request_id="u2", Last_Event_Id="3")
        assert answer.status == 503
        answer = world.send("/lm/chat/", request_id="u3", Resumes="\xff" * 9000, Last_Event_Id="3")
        assert answer.status == 503
        assert not world.received()


def test_stream_of_another_customer_is_unknown(tmp_path: Path) -> None:
    """Guards against a customer that learns of another one's stream by naming its id."""
    with open_world(tmp_path, instances=2) as world:
        callers = begin(world, 1, ("entry-1",))
        first_id = callers[0].stream.first_id
        world.publish(
            tenants=[
                {"name": "school", "api-keys": ["key-1"], "priority": 1},
                {"name": "other", "api-keys": ["key-2"], "priority": 1},
            ]
        )
        for name in world.running:
            until(partial(_is_served_as_other, world, name), f"{name} knows the settings")
            answer = world.send(
                "/lm/chat/",
                request_id=f"foreign-{name}",
                instance=name,
                X_Key="key-2",
                Resumes=first_id,
                Last_Event_Id="3",
            )
            unknown = world.send(
                "/lm/chat/",
                request_id=f"unknown-{name}",
                instance=name,
                X_Key="key-2",
                Resumes="nobody",
                Last_Event_Id="3",
            )
            assert answer.status == unknown.status == 503
            assert answer.body.replace(b"foreign", b"unknown") == unknown.body
            assert not world.runs(f"foreign-{name}")
        assert_whole(finish(callers))


def _is_served_as_other(world: PlatformWorld, name: str) -> bool:
    request_id = world.new_id()
    answer = world.send("/lm/doc/", instance=name, request_id=request_id, X_Key="key-2")
    return answer.status == 200 and world.runs(request_id)[0].headers["x-tenant"] == "other"


def test_stream_without_a_name_goes_on_where_one_version_serves(tmp_path: Path) -> None:
    """Guards against a refusal of older callers, which name no stream, without need."""
    with open_world(tmp_path, engines=2, instances=2, versions=("v1",)) as world:
        answer = world.send("/lm/chat/", request_id="n1", Last_Event_Id="3")
        assert answer.status == 200
        assert answer.event_data == [f"piece {n} v1" for n in range(4, EVENTS)]


@pytest.mark.parametrize("tries", [3, 4])
def test_third_and_fourth_try_know_the_first(tmp_path: Path, tries: int) -> None:
    """Guards against an instance that does not pass on what it learnt of a stream."""
    with open_world(tmp_path, engines=4, instances=4) as world:
        for server in world.servers.values():
            server.event_interval_s = 0.06
        callers = begin(world, 8, ("entry-1", "entry-2", "entry-3", "entry-4"))
        world.crash_server("lm-1")
        for number in range(1, tries):
            world.running[f"entry-{number}"].process.kill()
            until(
                partial(_have_tried, callers, number + 1), "the streams go on at the next instance"
            )
        streams = finish(callers)
        assert all(len(stream.tries) >= tries for stream in streams), [s.tries for s in streams]
        assert_whole(streams)


def _have_tried(callers: list[StreamCaller], tries: int) -> bool:
    return all(each.stream.is_complete or len(each.stream.tries) >= tries for each in callers)


def test_streams_survive_the_fast_replacement_of_all_instances(tmp_path: Path) -> None:
    """Guards against bindings that end with the last instance that was there from the start."""
    with open_world(tmp_path) as world:
        for server in world.servers.values():
            server.event_count = LONG_EVENTS
        names = ("entry-1", "entry-2", "entry-3")
        rotations = (names[number:] + names[:number] for number in range(3))
        callers = [caller for each in rotations for caller in begin(world, 12, each)]
        for name, instance in world.running.items():
            instance.process.kill()
            world.restart_instance(name)
            until(instance.is_ready, f"{name} is ready")
            time.sleep(REPLACE_PAUSE_S)
        streams = finish(callers)
    assert not joined(streams)
    assert all(stream.is_complete for stream in streams), [stream.refusals for stream in streams]
