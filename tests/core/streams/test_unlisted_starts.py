"""Tests of what is believed of a server once it is known to be another start than is listed."""

from __future__ import annotations

from tests.core.store_world import FIT, datagrams, only, start_of
from tests.core.streams.test_server_starts import BORN, LATER, begin, read_entries, world_of
from turmericweir_core.base.ids import RequestId, ServerName
from turmericweir_core.engines import engine_model
from turmericweir_core.messages.effects import CancelAttempt, FinishRequest, StartAttempt
from turmericweir_core.messages.events import (
    EndBroken,
    EndMisplaced,
    EndRefused,
    ServerIdentified,
)
from turmericweir_core.messages.stream_messages import StreamAsk, StreamsBound, StreamUnknown
from turmericweir_core.streams import stream_bindings

FIELDS: dict[str, object] = {
    "service_class": FIT,
    "repeatable": True,
    "sends_max": 3,
    "is_resumable": True,
}
BROKEN = EndBroken("reset", server_alive=False)


def test_service_with_a_start_that_is_not_listed_has_several_releases() -> None:
    # Guards against going on, as of the only release, with a lost stream of an unlisted start.
    world = world_of(BORN, BORN)
    world.state.streams.gone_releases.clear()
    begin(world, LATER)
    effects = world.peer("peer", StreamAsk(12345, 1, "lm"))
    (answer,) = [
        each.message for each in datagrams(effects) if isinstance(each.message, StreamUnknown)
    ]
    assert answer.divided_services == ["lm"]


def test_server_that_says_that_it_is_another_start_is_suspected() -> None:
    # Guards against believing an entry that is known to be of an earlier start.
    world = world_of(BORN)
    begin(world, LATER)
    server = world.state.servers.by_name[ServerName("lm-1")]
    assert not stream_bindings.is_release_confirmed(world.state, server)


def test_parts_are_not_fetched_from_a_server_whose_entry_is_suspected() -> None:
    # Guards against going on from the memory of another version.
    world = world_of(BORN, BORN)
    prompt: dict[str, object] = {
        "parts": (("shared", 6_000), ("own", 400)),
        "prompt_tokens": 6_400,
    }
    first = start_of(world.arrive("first", **{**FIELDS, **prompt}))
    world.sent(first)
    world.begin(first)
    req = world.state.requests[RequestId("first")]
    (other,) = [
        each for each in world.state.servers.by_name.values() if each.entry.name != first.server
    ]
    assert engine_model.best_fetch(world.state, world.now, req, other) is not None
    world.peer("peer", StreamsBound([], [first.server]))
    assert engine_model.best_fetch(world.state, world.now, req, other) is None


def test_misplaced_request_is_never_placed_at_the_replaced_start_again() -> None:
    # Guards against using up all attempts by an entry that was read unchanged.
    world = world_of(BORN, BORN)
    first = begin(world, BORN)
    second = start_of(world.end(first, BROKEN))
    world.end(second, EndMisplaced(LATER))
    tries = len(only(world.effects, StartAttempt))
    for _ in range(4):
        world.wait(0.6)
        read_entries(world, "v1", BORN, BORN)
    later = only(world.effects, StartAttempt)[tries:]
    assert [each.server for each in later] == [first.server]
    assert not only(world.effects, FinishRequest)


def test_misplaced_request_tries_no_more_where_the_server_names_no_start() -> None:
    # Guards against using up all attempts at one moment at a server whose entry was just read.
    world = world_of(BORN, BORN)
    first = begin(world, BORN)
    second = start_of(world.end(first, BROKEN))
    world.end(second, EndMisplaced(""))
    world.wait(0.6)
    read_entries(world, "v1", BORN, BORN)
    third = only(world.effects, StartAttempt)[-1]
    assert third.attempt_id != second.attempt_id
    effects = world.end(third, EndMisplaced(""))
    assert not only(effects, StartAttempt)
    assert not only(effects, FinishRequest)


def test_attempt_at_a_known_start_is_not_stopped_by_a_suspicion() -> None:
    # Guards against a second run, and a retry, for a stream whose process is known.
    world = world_of(BORN, BORN)
    first = begin(world, BORN)
    second = start_of(world.end(first, BROKEN))
    world.give(ServerIdentified(second.request_id, second.attempt_id, BORN))
    world.sent(second)
    assert not only(world.peer("peer", StreamsBound([], [second.server])), CancelAttempt)


def test_refusal_of_a_start_that_left_does_not_exclude_the_next_start() -> None:
    # Guards against a restarted server that gets no work because its earlier start was leaving.
    world = world_of(BORN)
    start = start_of(world.arrive("r", **FIELDS))
    world.sent(start)
    read_entries(world, "v1", LATER)
    world.end(start, EndRefused(421, True))
    assert not world.state.servers.by_name[ServerName("lm-1")].leaving
