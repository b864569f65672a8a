"""Tests of servers that break streams off, and may have started again with other software."""

from __future__ import annotations

import pytest

from tests.core.store_world import FIT, StoreWorld, datagrams, only, start_of
from turmericweir_core.base.ids import ServerName
from turmericweir_core.messages.effects import CancelAttempt, Effect, StartAttempt
from turmericweir_core.messages.events import EndBroken, RegistryRead
from turmericweir_core.messages.stream_messages import StreamsBound
from turmericweir_core.streams import stream_bindings

ONE = ServerName("lm-1")
BROKEN = EndBroken("reset", server_alive=True)


def world_of(*versions: str) -> StoreWorld:
    """Return a world with a peer, and a server of each version."""
    world = StoreWorld(len(versions), 0)
    world.know("peer")
    read_entries(world, *versions)
    world.state.streams.gone_releases.clear()
    world.wait(0.5)
    return world


def read_entries(world: StoreWorld, *versions: str) -> list[Effect]:
    """Let the world read an entry of each server; return the effects."""
    entries = tuple(
        (world.entry(f"lm-{number}", "lm", software_version=version), 2)
        for number, version in enumerate(versions, 1)
    )
    return world.give(RegistryRead(entries, is_complete=True))


def is_confirmed(world: StoreWorld) -> bool:
    server = world.state.servers.by_name[ONE]
    return stream_bindings.is_release_confirmed(world.state, server)


def break_stream(world: StoreWorld, name: str, end: EndBroken = BROKEN) -> list[StreamsBound]:
    """Break a stream off; return what the peers are told of it."""
    fields = {"service_class": FIT, "repeatable": True, "sends_max": 3}
    (start,) = only(world.arrive(name, **fields), StartAttempt)
    world.sent(start)
    sent = [each.message for each in datagrams(world.end(start, end))]
    return [each for each in sent if isinstance(each, StreamsBound) and each.suspected_servers]


@pytest.mark.parametrize("versions", [("v1",), ("v1", "v1"), ("v1", "v2"), ("v1", "v2", "v1")])
def test_entry_is_suspected_here_and_at_peers_until_it_is_read(versions: tuple[str, ...]) -> None:
    """Guards against a stream that a peer goes on with at a server that has other software now."""
    world, peer = world_of(*versions), world_of(*versions)
    (message,) = break_stream(world, "r")
    (name,) = message.suspected_servers
    for each in (world, peer):
        each.peer("peer", message)
        server = each.state.servers.by_name[ServerName(name)]
        assert not stream_bindings.is_release_confirmed(each.state, server)
        each.wait(0.6)
        read_entries(each, *versions)
        assert stream_bindings.is_release_confirmed(each.state, server)


def test_stream_goes_on_at_once_at_another_server_of_the_only_version() -> None:
    """Guards against streams that wait without need."""
    world = world_of("v1", "v1")
    start = start_of(world.arrive("r", service_class=FIT, repeatable=True, sends_max=3))
    world.sent(start)
    world.begin(start)
    assert start_of(world.end(start, BROKEN)).server != start.server


def test_stream_waits_for_the_entry_of_the_only_server() -> None:
    """Guards against the first server of another version, under the name of the only one."""
    world = world_of("v1")
    start = start_of(world.arrive("r", service_class=FIT, repeatable=True, sends_max=3))
    world.sent(start)
    world.begin(start)
    assert not only(world.end(start, BROKEN), StartAttempt)
    assert not only(world.wait(0.6), StartAttempt)
    assert start_of(read_entries(world, "v1")).server == start.server


def test_attempt_that_connects_while_its_server_breaks_others_off_is_stopped() -> None:
    """Guards against a stream that goes on at the next start of a server, placed just before."""
    world = world_of("v1", "v1")
    fields = {"service_class": FIT, "repeatable": True, "sends_max": 3}
    starts = [start_of(world.arrive(name, **fields)) for name in ("a", "b")]
    for start in starts:
        world.sent(start)
        world.begin(start)
    resumed = start_of(world.end(starts[0], BROKEN))
    assert resumed.server != starts[0].server
    (cancelled,) = only(world.peer("peer", StreamsBound([], [resumed.server])), CancelAttempt)
    assert cancelled.attempt_id == resumed.attempt_id


def test_answer_that_is_none_is_no_restart() -> None:
    """Guards against suspicion of a server that only answers wrongly."""
    world = world_of("v1", "v2")
    assert not break_stream(world, "r", EndBroken("bytes", server_alive=True, is_malformed=True))


def test_server_that_breaks_many_streams_is_confirmed_in_between() -> None:
    """Guards against streams that wait for ever for a server that breaks others off."""
    world = world_of("v1", "v2")
    confirmed = 0
    for _ in range(40):
        world.peer("peer", StreamsBound([], [ONE]))
        world.wait(0.1)
        read_entries(world, "v1", "v2")
        confirmed += is_confirmed(world)
    assert confirmed >= 8


def test_server_of_a_retry_is_the_other_one_of_the_version() -> None:
    """Guards against an own retry at the server that has just broken the stream off."""
    world = world_of("v1", "v1", "v2")
    start = start_of(world.arrive("r", service_class=FIT, repeatable=True, sends_max=3))
    world.sent(start)
    world.begin(start)
    ended = only(world.end(start, BROKEN), StartAttempt)
    assert start.server not in [each.server for each in ended]
