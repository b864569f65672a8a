"""Streams of two versions that callers take up after all instances were killed at once."""

from __future__ import annotations

import time
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Final

import msgspec
import pytest

from tests.platform.platform_world import PlatformWorld, until
from tests.platform.standin_store import OWN, SERVERS
from tests.platform.stream_callers import Stream, StreamCaller
from tests.platform.test_versions import (
    begin,
    engines_of_version,
    finish,
    joined,
    open_world,
)
from turmericweir_core.messages.stream_messages import StreamRow

STREAMS: Final = 30
EVENTS: Final = 100
# For as long as this all instances are down.
DOWN_S: Final = 1.0
# Streams of a version that is there have to go on.
GO_ON_SHARE: Final = 0.9


def _records(world: PlatformWorld, prefix: str) -> list[bytes]:
    records = list(world.store.topics[OWN].records)
    return [value for key, value in records if key.startswith(prefix)]


def _stored_streams(world: PlatformWorld) -> int:
    rows = [
        row.key
        for each in _records(world, "streams/")
        for row in msgspec.msgpack.decode(each, type=list[StreamRow])
    ]
    return len(set(rows))


def _leave(world: PlatformWorld) -> None:
    """Remove the entries of all engines of the first version, which go on with what they run."""
    for name in engines_of_version(world, "v1"):
        world.store.write(SERVERS, name, None)


def _crash(world: PlatformWorld) -> None:
    for name in engines_of_version(world, "v1"):
        world.crash_server(name)


def _kill_all(world: PlatformWorld) -> None:
    for instance in world.running.values():
        instance.process.kill()


def _start_all(world: PlatformWorld) -> None:
    time.sleep(DOWN_S)
    for name in world.running:
        world.restart_instance(name)


def _lose_all(world: PlatformWorld) -> None:
    _kill_all(world)
    _start_all(world)


def _leave_before(world: PlatformWorld) -> None:
    _leave(world)
    _lose_all(world)


def _leave_meanwhile(world: PlatformWorld) -> None:
    _kill_all(world)
    _leave(world)
    _start_all(world)


def _crash_and_expire(world: PlatformWorld) -> None:
    _kill_all(world)
    _crash(world)
    _start_all(world)
    _leave(world)


def _lose_twice(world: PlatformWorld) -> None:
    _leave(world)
    _lose_all(world)
    until(lambda: all(each.is_ready() for each in world.running.values()), "all instances are back")
    _lose_all(world)


def _leave_after(world: PlatformWorld) -> None:
    _lose_all(world)
    _leave(world)


TROUBLES: Final[dict[str, Callable[[PlatformWorld], None]]] = {
    "leave before": _leave_before,
    "leave meanwhile": _leave_meanwhile,
    "crash and expire": _crash_and_expire,
    "twice": _lose_twice,
    "leave after": _leave_after,
    "stay": _lose_all,
}


def _begin(world: PlatformWorld) -> list[StreamCaller]:
    for server in world.servers.values():
        server.event_count = EVENTS
    names = ("entry-1", "entry-2", "entry-3")
    callers = begin(world, STREAMS, names)
    for caller in callers:
        caller.allow_tries(600)
    return callers


def _went_on(streams: list[Stream], version: str) -> tuple[int, int]:
    """Return how many streams of a version were complete, of how many."""
    all_streams = [each for each in streams if each.event_versions[0] == version]
    return sum(each.is_complete for each in all_streams), len(all_streams)


@pytest.mark.parametrize("trouble", TROUBLES)
def test_streams_go_on_at_their_version_or_not_at_all(tmp_path: Path, trouble: str) -> None:
    """Guards against streams that are joined, or all refused, once nobody remembers them."""
    with open_world(tmp_path) as world:
        until(partial(_records, world, "releases"), "the versions are stored")  # type: ignore[arg-type]
        callers = _begin(world)
        until(lambda: _stored_streams(world) >= STREAMS, "the streams are stored")
        TROUBLES[trouble](world)
        streams = finish(callers)
    assert not joined(streams)
    versions = ("v1", "v2") if trouble == "stay" else ("v2",)
    for version in versions:
        complete, total = _went_on(streams, version)
        assert complete >= GO_ON_SHARE * total, [each.refusals for each in streams]


@pytest.mark.parametrize("are_records_lost", [False, True])
def test_early_loss_of_all_joins_no_stream(tmp_path: Path, are_records_lost: bool) -> None:
    """Guards against instances that take what they see at their start for all that there was."""
    with open_world(tmp_path) as world:
        callers = _begin(world)
        _kill_all(world)
        if are_records_lost:
            records = world.store.topics[OWN].records
            records[:] = [("expired", b"")] * len(records)
        _leave(world)
        _start_all(world)
        streams = finish(callers)
    assert not joined(streams)


def test_streams_of_the_only_version_go_on(tmp_path: Path) -> None:
    """Guards against refusals where a service has had one version only."""
    with open_world(tmp_path, versions=("v1",)) as world:
        until(partial(_records, world, "releases"), "the version is stored")  # type: ignore[arg-type]
        callers = _begin(world)
        _lose_all(world)
        streams = finish(callers)
    assert all(each.is_complete for each in streams), [each.refusals for each in streams]
