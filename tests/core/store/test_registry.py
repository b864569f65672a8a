"""Servers' entries: what is used while they lapse, come late, or are told by others."""

from __future__ import annotations

from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from tests.core.store_world import PLAIN, StoreWorld, datagrams, only, start_of
from turmericweir_core.base.config import ServerEntry
from turmericweir_core.base.ids import InstanceName, ServerName
from turmericweir_core.engines import engine_model
from turmericweir_core.membership import leaving, server_list, store_duty
from turmericweir_core.messages.effects import SendPeer, StartAttempt
from turmericweir_core.messages.events import EndComplete, ListedInstance, ListRead, RegistryRead
from turmericweir_core.messages.peer_messages import Mark, RegistryNews, RegistryRow, ServersAsk
from turmericweir_core.state.membership_state import Member


def test_an_entry_that_lapsed_while_the_store_was_away_is_used_for_a_moment() -> None:
    """The store was away for longer than entries last, and comes back without them.

    The servers are well and write their entries again within two seconds. Callers would be told
    that no server is there, and all at once.
    """
    world = StoreWorld(plain=1)
    world.wait(6.0)
    world.give(RegistryRead((), whole=True))
    assert only(world.arrive("1", target=PLAIN), StartAttempt)
    world.give(RegistryRead(((world.entries[-1], 9),)))
    world.wait(3.0)
    assert only(world.arrive("2", target=PLAIN), StartAttempt)


def test_an_entry_that_is_still_missing_after_that_is_gone() -> None:
    """One of the servers died during the outage; its address may be another's by now."""
    world = StoreWorld(plain=1)
    world.wait(6.0)
    world.give(RegistryRead((), whole=True))
    world.wait(2.0)
    world.give(RegistryRead(()))
    world.wait(1.0)
    assert not only(world.arrive("1", target=PLAIN), StartAttempt)


def test_a_record_that_comes_late_undoes_nothing() -> None:
    """A page that was read before a removal comes behind the record of it."""
    world = StoreWorld(plain=1)
    (entry,) = [each for each in world.entries if each.service == "shop"]
    world.give(RegistryRead((), ((entry.name, 7),)))
    world.give(RegistryRead(((entry, 3),)))
    assert not only(world.arrive("1", target=PLAIN), StartAttempt)


def test_a_server_that_starts_again_under_its_name_begins_afresh() -> None:
    """It holds nothing any more, and what is counted of its former life is no load on it."""
    world = StoreWorld(engines=1, plain=0)
    entry = world.entry("lm-1", "lm", incarnation="1")
    world.give(RegistryRead(((entry, 2),)))
    start = start_of(world.arrive("1", prompt_tokens=1_000, parts=(("a", 900),)))
    world.begin(start)
    again = world.entry("lm-1", "lm", incarnation="2")
    world.give(RegistryRead(((again, 3),)))
    assert world.state.servers.by_name[ServerName("lm-1")].in_flight == {}


def test_a_change_that_a_reader_tells_is_taken_and_counts_as_a_read() -> None:
    world = StoreWorld()
    leaver, *_ = world.entries
    gone = world.entry(leaver.name, leaver.service, leaving=True)
    listed = {**world.state.servers.listed, gone.name: gone}
    exact = server_list.exact_hash(listed.values())
    world.now += 5.0
    world.peer("b-1", RegistryNews(exact, [RegistryRow(9, gone.name, gone)]))
    assert world.state.servers.by_name[leaver.name].leaving
    assert world.state.registry.read_at == world.now


def test_a_change_whose_datagram_was_lost_is_found_by_the_next_one() -> None:
    """The news that a server leaves is lost; nothing has changed since when the next one comes."""
    world = StoreWorld()
    world.state.members.by_name[InstanceName("b-1")] = Member(
        InstanceName("b-1"), "dc-a", "127.0.0.1:2", region="home"
    )
    before = world.state.registry.read_at
    world.now += 1.0
    effects = world.peer("b-1", RegistryNews(12345))
    assert [each.message for each in only(effects, SendPeer)] == [ServersAsk()]
    assert world.state.registry.read_at == before


def test_an_instance_reads_for_itself_when_it_is_not_told() -> None:
    world = StoreWorld()
    for number in range(2, 8):
        world.know(f"a-{number}")
    readers = {each.name for each in store_duty.readers(world.state, world.now)}
    assert len(readers) == 1
    world.state.registry.read_at = world.now
    reads = store_duty.reads_registry(world.state, world.now + 0.5)
    assert reads == (world.state.me.name in readers)
    assert store_duty.reads_registry(world.state, world.now + 1.5)


class Readers:
    """Instances before one store, which tell each other what they read."""

    def __init__(self, count: int, started_at: float) -> None:
        self.worlds = {f"a-{number}": StoreWorld(name=f"a-{number}") for number in range(1, count)}
        for world in self.worlds.values():
            world.state.members.started_at = started_at
        self.now = 101.0
        self.last_read: dict[str, float] = {}

    def run(self, seconds: float, *, acquainted: bool = True, away: str = "") -> Counter[str]:
        """Let time pass; count the reads of each. One may be away: it neither reads nor tells."""
        reads: Counter[str] = Counter()
        for _ in range(round(10 * seconds)):
            self.now += 0.1
            for name, world in self.worlds.items():
                world.now = self.now
                for peer in self.worlds if acquainted else ["a-0"]:
                    world.know(peer)
                if name != away and self._is_due(name, world):
                    reads[name] += 1
                    self._read(name, world, away)
        return reads

    def _is_due(self, name: str, world: StoreWorld) -> bool:
        if store_duty.is_reader(world.state, self.now):
            return self.now - self.last_read.get(name, 0.0) >= 0.9
        return store_duty.reads_registry(world.state, self.now)

    def _read(self, name: str, world: StoreWorld, away: str) -> None:
        self.last_read[name] = self.now
        effects = datagrams(world.give(RegistryRead(())))
        told = [each.message for each in effects if isinstance(each.message, RegistryNews)]
        assert told
        for other in self.worlds:
            if other not in (name, away):
                self.worlds[other].now = self.now
                self.worlds[other].peer(name, told[0])

    def oldest_word(self, *, but: str = "") -> float:
        """Give the age of the oldest word on the servers, seconds."""
        states = [world.state for name, world in self.worlds.items() if name != but]
        return max(self.now - state.registry.read_at for state in states)


def test_of_many_that_start_at_once_few_read() -> None:
    # All instances start together and know none of the others yet, so each would read for all. Each
    # has read once. The one whose delay ends first reads again and tells the others, and these
    # leave it at that, now and as long as it goes on.
    readers = Readers(9, started_at=100.0)
    reads = readers.run(6.0, acquainted=False)
    assert sum(reads.values()) <= 8
    assert len(reads) <= 2


def test_one_stands_in_for_a_reader_that_falls_silent() -> None:
    # The one instance that reads for all dies or loses the store. A server that leaves now must get
    # no more requests after two seconds, so no word may grow that old. One reads in its place, and
    # leaves it to the reader again as soon as that tells.
    readers = Readers(9, started_at=0.0)
    (reader,) = readers.run(4.0)
    silent = readers.run(2.0, away=reader)
    assert readers.oldest_word(but=reader) < 1.6
    assert len(silent) == 1
    assert len(readers.run(4.0, away=reader)) == 1
    readers.run(1.5)
    assert set(readers.run(4.0)) == {reader}


@given(st.permutations(range(6)), st.lists(st.booleans(), min_size=6, max_size=6))
def test_any_order_of_records_ends_with_the_newest(order: list[int], there: list[bool]) -> None:
    """Pages, late reads and peers bring records in any order; the highest offset decides."""
    world = StoreWorld(plain=1)
    (entry,) = [each for each in world.entries if each.service == "shop"]
    for number in order:
        offset = 10 + number
        if there[number]:
            world.give(RegistryRead(((entry, offset),)))
        else:
            world.give(RegistryRead((), ((entry.name, offset),)))
    assert (entry.name in world.state.servers.listed) == there[5]


def test_only_readers_tell_the_others() -> None:
    world = StoreWorld()
    world.give(
        ListRead((), (ListedInstance(InstanceName("a-2"), "dc-a", "127.0.0.1:2", "x", False),))
    )
    world.state.members.by_name[InstanceName("a-2")].heard_at = world.now
    world.state.members.by_name[InstanceName("a-2")].region = "home"
    entry: ServerEntry = world.entries[0]
    effects = world.give(RegistryRead(((entry, 20),)))
    told = [each for each in datagrams(effects) if isinstance(each.message, RegistryNews)]
    assert [each.peer for each in told] == ["a-2"]


def test_a_server_that_left_and_came_back_in_another_life_is_used_again() -> None:
    """All shops are replaced in turn, and each comes back under its old name.

    Their first entries name no life, the later ones do. What was said of the one that left is not
    about the one that came: else callers are refused although three servers are free.
    """
    world = StoreWorld(plain=1)
    world.give(RegistryRead(((world.entry("shop-1", "shop", leaving=True), 2),)))
    world.wait(1.0)
    back = world.entry("shop-1", "shop", incarnation="1700000000000")
    world.give(RegistryRead(((back, 3),)))
    world.wait(1.0)
    assert start_of(world.arrive("1", target=PLAIN)).server == "shop-1"


def test_a_peers_word_on_a_life_that_ended_is_not_about_the_next() -> None:
    world = StoreWorld(plain=1)
    back = world.entry("shop-1", "shop", incarnation="1700000000000")
    world.give(RegistryRead(((back, 3),)))
    leaving.take_marks(world.state, world.now, [Mark("shop-1", "", drained=False, age_s=0)])
    assert start_of(world.arrive("1", target=PLAIN)).server == "shop-1"


def test_a_server_whose_entry_lapsed_under_a_running_request_is_used_again() -> None:
    """A server is cut off from the store, not from callers; its entry lapses and comes back."""
    world = StoreWorld(plain=1)
    running = start_of(world.arrive("1", target=PLAIN))
    world.sent(running)
    entry = world.state.servers.by_name[running.server].entry
    world.give(RegistryRead((), removed=((running.server, 2),)))
    world.wait(1.0)
    assert not only(world.arrive("2", target=PLAIN, deadline=world.now + 0.5), StartAttempt)
    world.wait(1.0)
    world.give(RegistryRead(((entry, 3),)))
    world.wait(0.2)
    assert start_of(world.arrive("3", target=PLAIN)).server == "shop-1"


def test_a_server_in_another_life_holds_nothing() -> None:
    """It crashed and is back under its name: what it had read of prompts is gone."""
    world = StoreWorld(engines=1)
    sheet = ("sheet", 13_300)
    first = start_of(world.arrive("1", prompt_tokens=17_000, parts=(sheet, ("own", 3_700))))
    world.begin(first)
    world.end(first, EndComplete(200))
    request = world.request("2", prompt_tokens=17_000, parts=(sheet, ("other", 3_700)))
    book = engine_model.book_of(world.state, first.server)
    assert engine_model.uncached_tokens(book, request) == 3_700
    back = world.entry(first.server, "lm", incarnation="1700000000000")
    world.give(RegistryRead(((back, 2),)))
    book = engine_model.book_of(world.state, first.server)
    assert engine_model.uncached_tokens(book, request) == 17_000
