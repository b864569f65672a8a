"""Tests of servers that start again under their names with another version of their software.

Their entries are those of earlier starts for a while, longer if they do not reach the store.
"""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from functools import partial
from pathlib import Path

import pytest

from tests.platform.platform_world import PlatformWorld, until
from tests.platform.stream_callers import StreamCaller
from tests.platform.test_versions import (
    EVENT_INTERVAL_S,
    EVENTS,
    assert_whole,
    begin,
    engine_of,
    finish,
    joined,
    know_each_other,
)

STREAMS = 8
BORN = 1_700_000_000_000


@contextmanager
def open_world(
    path: Path, *, engines: int = 2, instances: int = 2, retry_ratio: int = 20
) -> Iterator[PlatformWorld]:
    """Yield a world with engines of one version, whose entries and reports name their starts."""
    world = PlatformWorld(
        path,
        engines=engines,
        plain_servers=0,
        instances=instances,
        versions=("v1",),
        born=BORN,
        # Proofs are renewed rarely, so a killed reader of the store refuses no keys.
        bounds={"revoke_ms": 60_000, "retry_ratio": retry_ratio, "retry_burst": retry_ratio},
    )
    with world:
        for server in world.servers.values():
            server.event_count, server.event_interval_s = EVENTS, EVENT_INTERVAL_S
        until(partial(know_each_other, world), "the instances know each other")
        yield world


def begin_at(world: PlatformWorld, engine: str) -> list[StreamCaller]:
    """Return callers whose streams have begun; some of them at an engine."""
    callers = begin(world, STREAMS, tuple(world.running))
    assert any(engine_of(world, each) == engine for each in callers)
    return callers


@pytest.mark.parametrize("is_registered", [True, False], ids=["registered", "unregistered"])
@pytest.mark.parametrize("by_router", [True, False], ids=["by the router", "by callers"])
def test_stream_does_not_go_on_at_a_server_that_restarted_with_another_version(
    tmp_path: Path, is_registered: bool, by_router: bool
) -> None:
    # Guards against going on at a process by the version in the entry of an earlier start.
    with open_world(tmp_path, engines=1, retry_ratio=20 if by_router else 0) as world:
        callers = begin(world, STREAMS, tuple(world.running))
        world.add_server("lm-2", "lm", "v1").event_count = EVENTS
        for instance in world.running.values():
            until(partial(world.has_listed_servers, instance), "the new one is listed")
        world.crash_server("lm-2")
        restart = world.restart_server if is_registered else world.restart_unregistered
        restart("lm-2", BORN + 1, "v2")
        world.crash_server("lm-1")
        until(
            lambda: all(each.stream.refusals or each.stream.is_complete for each in callers)
            or bool(joined([each.stream for each in callers])),
            "no stream goes on",
        )
        world.add_server("lm-3", "lm", "v1").event_count = EVENTS
        streams = finish(callers)
        assert_whole(streams)


def test_stream_that_began_at_a_restarted_server_does_not_go_on_at_its_earlier_version(
    tmp_path: Path,
) -> None:
    # Guards against binding a stream to the version in the entry of an earlier start.
    with open_world(tmp_path) as world:
        world.crash_server("lm-1")
        world.restart_unregistered("lm-1", BORN + 1, "v2")
        callers = begin_at(world, "lm-1")
        world.crash_server("lm-1")
        streams = finish(callers)
        assert not joined(streams)
        assert all(stream.is_complete for stream in streams if stream.versions == {"v1"})


def test_stream_goes_on_where_the_entry_of_a_restarted_server_came_late(tmp_path: Path) -> None:
    # Guards against refusing for ever what a restarted server of the version can go on with.
    with open_world(tmp_path, engines=1, instances=1) as world:
        callers = begin(world, STREAMS, ("entry-1",))
        world.add_server("lm-2", "lm", "v1").event_count = EVENTS
        until(partial(world.has_listed_servers, world.running["entry-1"]), "the new one is listed")
        world.crash_server("lm-2")
        world.restart_unregistered("lm-2", BORN + 1, "v1")
        world.crash_server("lm-1")
        until(
            lambda: any(each.stream.refusals or each.stream.was_taken_up for each in callers)
            or any(each.server == "lm-2" for each in world.received()),
            "a stream is refused or goes on",
        )
        assert not [each for each in world.received() if each.server == "lm-2"]
        world.register("lm-2", born=BORN + 1)
        assert_whole(finish(callers))


@pytest.mark.parametrize("report_mode", ["silent", "closes"])
def test_engine_that_does_not_say_its_start_holds_up_no_streams(
    tmp_path: Path, report_mode: str
) -> None:
    # Guards against streams that wait for a report, and a path that counts as lost without one.
    with open_world(tmp_path, instances=1) as world:
        world.servers["lm-1"].report_mode = report_mode
        assert_whole(finish(begin(world, STREAMS, ("entry-1",))))
        instance = world.running["entry-1"]
        until(lambda: bool(instance.logged("server_unidentified")), "the engine was asked")
        assert not instance.logged("path_lost")


def test_stream_of_an_engine_that_does_not_say_its_start_is_taken_up_by_nobody(
    tmp_path: Path,
) -> None:
    # Guards against the release in an entry where nothing shows which start began the stream.
    with open_world(tmp_path, engines=1) as world:
        world.servers["lm-1"].report_mode = "nameless"
        callers = begin(world, STREAMS, tuple(world.running))
        world.add_server("lm-2", "lm", "v1").event_count = EVENTS
        for instance in world.running.values():
            until(partial(world.has_listed_servers, instance), "the new one is listed")
        world.crash_server("lm-1")
        until(lambda: all(each.stream.refusals for each in callers), "the streams are refused")
        assert not [each for each in world.received() if "last-event-id" in each.headers]
