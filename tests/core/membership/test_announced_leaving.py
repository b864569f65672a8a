"""Test that servers that announce in an answer that they are leaving get no new work."""

from __future__ import annotations

from tests.core.server_fleet import ServerFleet
from tests.core.store_world import StoreWorld, only, start_of
from turmericweir_core.messages.effects import StartAttempt
from turmericweir_core.messages.events import AnswerReceived, EndComplete, RegistryRead


def leave(world: StoreWorld) -> None:
    """Let the only engine announce in a complete answer that it is leaving."""
    start = start_of(world.arrive("first"))
    world.give(AnswerReceived(start.request_id, start.attempt_id, is_leaving=True))
    world.end(start, EndComplete(200))


def test_entry_read_later_does_not_undo_the_announcement() -> None:
    """Guards against an entry that still says ready when the store is back."""
    world = StoreWorld(engines=1)
    leave(world)
    entry = world.entry("lm-1", "lm")
    world.give(RegistryRead(((entry, 2),), is_complete=True))
    assert not only(world.arrive("2"), StartAttempt)


def test_entry_that_lapsed_and_came_back_does_not_undo_the_announcement() -> None:
    """Guards against using a leaving server whose entry was written again after an outage."""
    world = StoreWorld(engines=1)
    leave(world)
    world.give(RegistryRead((), is_complete=True, end=3))
    world.wait(1.0)
    world.give(RegistryRead(((world.entry("lm-1", "lm"), 3),), is_complete=True))
    assert not only(world.arrive("2"), StartAttempt)


def test_new_incarnation_is_used() -> None:
    """Guards against holding the leaving of a server against its successor of the same name."""
    world = StoreWorld(engines=1)
    leave(world)
    successor = world.entry("lm-1", "lm", incarnation="2")
    world.give(RegistryRead(((successor, 3),), is_complete=True))
    assert start_of(world.arrive("2")).server == "lm-1"


def test_announcement_reaches_all_instances() -> None:
    """Guards against a leaving server that each instance has to find out by itself."""
    fleet = ServerFleet()
    names = fleet.start(40)
    fleet.store.answers = lambda name: False
    fleet.servers["lm-1"].is_leaving = True
    fleet.send(names, 40.0, 2.0)
    first_known_at = fleet.servers["lm-1"].arrivals[0].at
    fleet.send(names, 40.0, 8.0)
    assert all(each.at < first_known_at + 4.0 for each in fleet.servers["lm-1"].arrivals)
