"""Tests of streams at servers that may be another start than their entries describe."""

from __future__ import annotations

import pytest

from tests.core.store_world import FIT, StoreWorld, only, start_of
from turmericweir_core.base.ids import RequestId, ServerName
from turmericweir_core.base.release import UNKNOWN_RELEASE, Release, release_of
from turmericweir_core.messages.effects import StartAttempt
from turmericweir_core.messages.events import (
    EndBroken,
    EndMisplaced,
    RegistryRead,
    ServerIdentified,
)
from turmericweir_core.streams.stream_bindings import find_binding, key_of

BORN, LATER = "1700000000000", "1700000000001"


def world_of(*incarnations: str) -> StoreWorld:
    """Return a world with a server of one version for each incarnation."""
    world = StoreWorld(len(incarnations), 0)
    world.know("peer")
    read_entries(world, "v1", *incarnations)
    world.wait(0.5)
    return world


def read_entries(world: StoreWorld, version: str, *incarnations: str) -> None:
    """Let the world read an entry of each server."""
    entries = tuple(
        (world.entry(f"lm-{number}", "lm", software_version=version, incarnation=each), 2)
        for number, each in enumerate(incarnations, 1)
    )
    world.give(RegistryRead(entries, is_complete=True))


def begin(world: StoreWorld, process: str | None) -> StartAttempt:
    """Begin a stream at a server that says which start it is, if it is asked."""
    fields = {"repeatable": True, "sends_max": 3, "is_resumable": True, "stream_id": "r"}
    start = start_of(world.arrive("r", service_class=FIT, **fields))
    if process is not None:
        world.give(ServerIdentified(start.request_id, start.attempt_id, process))
    world.sent(start)
    world.begin(start)
    return start


def bound_release(world: StoreWorld) -> Release:
    """Return the release that the stream is bound to."""
    req = world.state.requests[RequestId("r")]
    binding = find_binding(world.state, world.now, key_of(req.customer, "r"))
    assert binding is not None
    assert binding.release == req.release
    return binding.release


def release_named(world: StoreWorld, version: str) -> Release:
    """Return the release of the engines of a version."""
    return release_of(world.entry("lm-1", "lm", software_version=version))


@pytest.mark.parametrize(
    ("listed", "process", "is_known"),
    [
        (BORN, BORN, True),
        (BORN, LATER, False),
        (BORN, "", False),
        ("", LATER, False),
        ("", "", True),
    ],
)
def test_stream_is_bound_to_the_release_of_the_process_that_began_it(
    listed: str, process: str, is_known: bool
) -> None:
    # Guards against the release in the entry of another start of the server.
    world = world_of(listed)
    begin(world, process)
    assert bound_release(world) == (release_named(world, "v1") if is_known else UNKNOWN_RELEASE)


def test_stream_of_a_listed_start_keeps_its_release_when_the_next_start_is_listed() -> None:
    # Guards against unbinding the streams of a start by the entry of the next one.
    world = world_of(BORN)
    begin(world, BORN)
    read_entries(world, "v2", LATER)
    assert bound_release(world) == release_named(world, "v1")


def test_entry_of_the_process_counts_where_it_was_read_after_placement() -> None:
    # Guards against giving up streams whose server was listed again while they were sent.
    world = world_of(BORN)
    fields = {"repeatable": True, "sends_max": 3, "is_resumable": True, "stream_id": "r"}
    start = start_of(world.arrive("r", service_class=FIT, **fields))
    world.give(ServerIdentified(start.request_id, start.attempt_id, LATER))
    read_entries(world, "v2", LATER)
    world.sent(start)
    world.begin(start)
    assert bound_release(world) == release_named(world, "v2")


def test_stream_asks_which_start_goes_on_with_it_and_tries_another_server() -> None:
    # Guards against going on at a server that says that it is another start.
    world = world_of(BORN, BORN)
    first = begin(world, BORN)
    assert first.needs_identity
    assert not first.is_bound
    second = start_of(world.end(first, EndBroken("reset", server_alive=False)))
    assert second.needs_identity
    assert second.is_bound
    assert second.incarnation == BORN
    assert second.server != first.server
    read_entries(world, "v1", BORN, BORN)
    assert not only(world.end(second, EndMisplaced(LATER)), StartAttempt)
    server = world.state.servers.by_name[ServerName(second.server)]
    assert server.restored_at is not None, "its entry is suspected"


def test_servers_without_starts_are_asked_only_where_a_stream_goes_on() -> None:
    # Guards against a report for each stream where each start has a name of its own.
    world = world_of("", "")
    first = begin(world, None)
    assert not first.needs_identity
    second = start_of(world.end(first, EndBroken("reset", server_alive=False)))
    assert second.needs_identity
