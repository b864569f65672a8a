"""Tests of streams that are taken up at an instance that has not heard of their version."""

from __future__ import annotations

from functools import partial
from pathlib import Path
from typing import Any, Final

import pytest

from tests.platform.partition_world import PartitionWorld
from tests.platform.platform_world import until
from tests.platform.stream_callers import Stream, StreamCaller
from tests.platform.test_versions import (
    EVENT_INTERVAL_S,
    EVENTS,
    begin,
    engine_of,
    finish,
    know_each_other,
)

STREAMS: Final = 16
CUT_OFF: Final = {"alone": ("entry-3",), "with another": ("entry-3", "entry-4")}


@pytest.mark.parametrize("names_stream", [True, False], ids=["named", "unnamed"])
@pytest.mark.parametrize("cut_off", CUT_OFF.values(), ids=CUT_OFF)
def test_instances_out_of_step_join_no_streams(
    tmp_path: Path, cut_off: tuple[str, ...], names_stream: bool
) -> None:
    # Guards against concluding from an old list of servers that a service has one version only.
    with open_world(tmp_path) as world:
        until(partial(know_each_other, world), "the instances know each other")
        world.cut_off(*cut_off)
        callers = begin_at_new_version(world, names_stream=names_stream)
        world.running["entry-1"].process.kill()
        until(
            partial(_have_tried, callers, "entry-3"),
            "all streams are taken up at the instance that is cut off",
        )
        world.heal()
        streams = finish(callers)
        assert_not_joined(streams)
        # Of a stream without a name nobody can tell which of two versions began it.
        assert all(stream.is_complete for stream in streams) or not names_stream


def test_instance_that_is_cut_off_goes_on_with_its_own_streams(tmp_path: Path) -> None:
    # Guards against refusing streams that the instance has begun itself.
    with open_world(tmp_path, retry_ratio=0, retry_burst=0) as world:
        until(partial(know_each_other, world), "the instances know each other")
        for server in world.servers.values():
            server.event_count, server.event_interval_s = EVENTS, EVENT_INTERVAL_S
        callers = begin(world, STREAMS, ("entry-3",))
        world.cut_off("entry-3")
        world.crash_server("lm-1")
        streams = finish(callers)
        assert any(stream.was_taken_up for stream in streams)
        assert all(stream.is_complete for stream in streams), [s.refusals for s in streams]
        assert_not_joined(streams)


@pytest.mark.parametrize("stream_id", ["nobody-knows-it", ""], ids=["named", "unnamed"])
def test_peer_vouches_for_an_instance_that_has_lost_the_store(
    tmp_path: Path, stream_id: str
) -> None:
    # Guards against refusing streams though a peer knows that there was one version only.
    with open_world(tmp_path) as world:
        until(partial(know_each_other, world), "the instances know each other")
        world.cut_off("entry-3", from_peers=False)
        headers: dict[str, Any] = {"Resumes": stream_id} if stream_id else {}
        answer = world.send("/lm/chat/", instance="entry-3", Last_Event_Id="3", **headers)
        assert answer.status == 200
        assert answer.event_data == ["piece 4 v1", "piece 5 v1"]


@pytest.mark.parametrize("stream_id", ["nobody-knows-it", ""], ids=["named", "unnamed"])
def test_stream_that_nobody_knows_is_refused_where_the_list_is_old(
    tmp_path: Path, stream_id: str
) -> None:
    # Guards against callers that wait for their time limit, or are told of no time to come again.
    with open_world(tmp_path) as world:
        until(partial(know_each_other, world), "the instances know each other")
        world.cut_off("entry-3")
        headers: dict[str, Any] = {"Resumes": stream_id} if stream_id else {}
        request_id = world.new_id()
        answer = world.send(
            "/lm/chat/",
            instance="entry-3",
            request_id=request_id,
            Last_Event_Id="3",
            X_Deadline_Ms="60000",
            **headers,
        )
        assert answer.status == 503
        assert float(answer.headers["retry-after"]) > 0.0
        assert not world.runs(request_id)
        instance = world.running["entry-3"]
        until(lambda: bool(instance.logged("stream_refused")), "the refusal is logged")
        assert instance.logged("stream_refused")[0]["awaited_list"]


def open_world(path: Path, **bounds: float) -> PartitionWorld:
    """Return a world of four instances, with engines of the first version only."""
    # Proofs are renewed rarely, so an instance that is cut off refuses no keys.
    return PartitionWorld(
        path,
        plain_servers=0,
        instances=4,
        versions=("v1",),
        bounds={"revoke_ms": 60_000, **bounds},
    )


def begin_at_new_version(world: PartitionWorld, *, names_stream: bool = True) -> list[StreamCaller]:
    """Add engines of another version; return callers whose streams began there."""
    for name in ("lm-3", "lm-4"):
        world.add_server(name, "lm", "v2")
    for server in world.servers.values():
        server.event_count, server.event_interval_s = EVENTS, EVENT_INTERVAL_S
    until(partial(world.has_listed_servers, world.running["entry-1"]), "the new ones are listed")
    callers = begin(world, STREAMS, ("entry-1", "entry-3"), events=2, names_stream=names_stream)
    new = [each for each in callers if engine_of(world, each) in ("lm-3", "lm-4")]
    assert new
    return new


def assert_not_joined(streams: list[Stream]) -> None:
    """Check that each stream is of one version, and its events are in order."""
    for stream in streams:
        assert len(stream.versions) == 1
        assert stream.event_ids == list(range(len(stream.event_ids)))


def _have_tried(callers: list[StreamCaller], instance: str) -> bool:
    return all(any(name == instance for name, _ in each.stream.tries) for each in callers)
