"""Entries of servers after the store came back from a copy that lacks the newest of them."""

from __future__ import annotations

from tests.core.era_world import EraWorld
from tests.core.store_world import only
from turmericweir_core.base.ids import ServerName
from turmericweir_core.messages.effects import SendPeer
from turmericweir_core.messages.events import RegistryRead
from turmericweir_core.messages.server_messages import (
    RegistryNews,
    RegistryRow,
    ServersAsk,
    ServersSend,
)


def test_entries_of_a_new_era_are_read_at_lower_offsets() -> None:
    """Guards against a leaving server that gets work because its entry has a lower offset."""
    world = EraWorld()
    world.read(*world.entries, era=2, first=0)
    world.read(world.plain("shop-1", leaving=True), era=2, first=5, changes=True)
    assert world.servers_used() == {"shop-2"}


def test_leaving_server_stays_so_where_the_copy_says_ready() -> None:
    """Guards against new work for a server whose notice the copy lacks."""
    world = EraWorld()
    world.read(world.plain("shop-1", leaving=True), era=1, first=20, changes=True)
    world.read(*world.entries, era=2, first=0)
    assert world.servers_used() == {"shop-2"}
    # Its next life is another server.
    world.read(world.plain("shop-1", incarnation="2"), era=2, first=30, changes=True)
    assert world.servers_used() == {"shop-1", "shop-2"}


def test_server_that_leaves_in_the_copy_gets_nothing() -> None:
    """Guards against a notice that counts only once it is written again."""
    world = EraWorld()
    leaving = [
        world.plain("shop-1", leaving=True) if entry.name == "shop-1" else entry
        for entry in world.entries
    ]
    world.read(*leaving, era=2, first=0)
    assert world.servers_used() == {"shop-2"}


def test_server_that_is_gone_is_not_new_where_the_copy_lists_it() -> None:
    """Guards against calls to an address that may be another server's by now."""
    world = EraWorld()
    world.give(RegistryRead((), ((ServerName("shop-1"), 20),), False, 21, world.now, 1))
    world.read(*world.entries, era=2, first=0)
    assert world.servers_used() == {"shop-2"}
    world.read(world.plain("shop-1"), era=2, first=9, changes=True)
    assert world.servers_used() == {"shop-1", "shop-2"}


def test_server_that_the_copy_lacks_is_used_until_it_could_write_again() -> None:
    """Guards against refusals because entries were lost with the newest records."""
    world = EraWorld()
    copied = [entry for entry in world.entries if entry.name != "shop-1"]
    world.read(*copied, era=2, first=0)
    assert world.servers_used() == {"shop-1", "shop-2"}
    for _ in range(4):
        world.wait(1.0)
        world.read(era=2, first=9, changes=True)
    assert world.servers_used() == {"shop-2"}


def test_restarted_server_keeps_its_newer_life() -> None:
    """Guards against a server's earlier life that the copy brings back."""
    world = EraWorld()
    world.read(world.plain("shop-1", incarnation="200"), era=1, first=20, changes=True)
    earlier = [
        world.plain("shop-1", incarnation="100") if entry.name == "shop-1" else entry
        for entry in world.entries
    ]
    world.read(*earlier, era=2, first=0)
    assert world.state.servers.listed[ServerName("shop-1")].incarnation == "200"


def test_late_answer_of_an_earlier_era_changes_no_server() -> None:
    """Guards against a read that takes the servers back to an earlier era."""
    world = EraWorld()
    world.read(*world.entries, era=2, first=0)
    world.read(world.plain("shop-1", leaving=True), era=1, first=900, changes=True)
    assert world.servers_used() == {"shop-1", "shop-2"}


def test_update_of_a_new_era_makes_the_instance_ask_for_the_whole_list() -> None:
    """Guards against rows of a new era that are dropped for their lower offsets."""
    world = EraWorld()
    world.know("b-1")
    row = RegistryRow(5, "shop-1", world.plain("shop-1", leaving=True))
    effects = world.peer("b-1", RegistryNews(1, [row], end=6, era=2))
    assert [each.message for each in only(effects, SendPeer)] == [ServersAsk()]
    entries = [row.entry, *(each for each in world.entries if each.name != "shop-1")]
    message = ServersSend(0.0, [each for each in entries if each], [5, 0, 1, 2], 6, 2, 4)
    world.peer("b-1", message)
    assert world.state.registry.era == 2
    assert world.servers_used() == {"shop-2"}


def test_list_and_update_of_an_earlier_era_are_ignored() -> None:
    """Guards against a peer that was cut off during the drill."""
    world = EraWorld()
    world.know("b-1")
    world.read(*world.entries, era=2, first=0)
    leaving = world.plain("shop-1", leaving=True)
    world.peer("b-1", RegistryNews(1, [RegistryRow(900, "shop-1", leaving)], end=901, era=1))
    world.peer("b-1", ServersSend(0.0, [leaving], [900], 901, 1, 0))
    assert world.servers_used() == {"shop-1", "shop-2"}


def test_update_of_an_earlier_release_is_taken() -> None:
    """Guards against a rolling upgrade in which nothing is passed on."""
    world = EraWorld()
    world.know("b-1")
    leaving = world.plain("shop-1", leaving=True)
    world.peer("b-1", RegistryNews(1, [RegistryRow(900, "shop-1", leaving)], end=901))
    assert world.servers_used() == {"shop-2"}
