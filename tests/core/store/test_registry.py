"""The servers' entries: expired ones, delayed ones, and updates from readers."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.core.store_world import PLAIN, StoreWorld, datagrams, only, start_of
from turmericweir_core.base.config import ServerEntry
from turmericweir_core.base.ids import InstanceName, ServerName
from turmericweir_core.engines import engine_model
from turmericweir_core.membership import leaving, server_list, store_duty
from turmericweir_core.messages.effects import SendPeer, StartAttempt
from turmericweir_core.messages.events import EndComplete, ListedInstance, ListRead, RegistryRead
from turmericweir_core.messages.membership_messages import Mark
from turmericweir_core.messages.server_messages import (
    RegistryNews,
    RegistryRow,
    ServersAsk,
    ServersSend,
)
from turmericweir_core.state.membership_state import Member


def test_entry_that_expired_in_an_outage_is_used_for_a_short_time() -> None:
    """Entries that expired while the store was unreachable are used until servers renew them.

    Prevents refusals of all requests after an outage of the store.
    """
    world = StoreWorld(plain=1)
    world.wait(6.0)
    world.give(RegistryRead((), is_complete=True, end=9))
    assert only(world.arrive("1", target=PLAIN), StartAttempt)
    world.give(RegistryRead(((world.entries[-1], 9),)))
    world.wait(3.0)
    assert only(world.arrive("2", target=PLAIN), StartAttempt)


def test_entry_that_is_not_renewed_after_an_outage_is_removed() -> None:
    """An entry that is not renewed after an outage is removed; its address may be reused."""
    world = StoreWorld(plain=1)
    world.wait(6.0)
    world.give(RegistryRead((), is_complete=True, end=9))
    world.wait(2.0)
    world.give(RegistryRead(()))
    world.wait(1.0)
    assert not only(world.arrive("1", target=PLAIN), StartAttempt)


def test_delayed_record_is_ignored() -> None:
    """A page that was read before a removal is applied after it and is ignored."""
    world = StoreWorld(plain=1)
    (entry,) = [candidate for candidate in world.entries if candidate.service == "shop"]
    world.give(RegistryRead((), ((entry.name, 7),)))
    world.give(RegistryRead(((entry, 3),)))
    assert not only(world.arrive("1", target=PLAIN), StartAttempt)


def test_restarted_server_has_no_load() -> None:
    """The load of a server's former incarnation is not counted against the new one."""
    world = StoreWorld(engines=1, plain=0)
    entry = world.entry("lm-1", "lm", incarnation="1")
    world.give(RegistryRead(((entry, 2),)))
    start = start_of(world.arrive("1", prompt_tokens=1_000, parts=(("a", 900),)))
    world.begin(start)
    new_entry = world.entry("lm-1", "lm", incarnation="2")
    world.give(RegistryRead(((new_entry, 3),)))
    assert world.state.servers.by_name[ServerName("lm-1")].in_flight == {}


def test_update_from_a_reader_is_applied_and_counts_as_a_read() -> None:
    world = StoreWorld()
    leaving_server, *_ = world.entries
    leaving_entry = world.entry(leaving_server.name, leaving_server.service, leaving=True)
    listed = {**world.state.servers.listed, leaving_entry.name: leaving_entry}
    servers_hash = server_list.hash_full_entries(listed.values())
    world.now += 5.0
    world.peer(
        "b-1",
        RegistryNews(servers_hash, [RegistryRow(9, leaving_entry.name, leaving_entry)], end=10),
    )
    assert world.state.servers.by_name[leaving_server.name].leaving
    assert world.state.registry.read_at == world.now


def test_entries_are_as_old_as_the_request_of_their_read() -> None:
    """A slow answer does not make entries newer: they age from the request of their read.

    Prevents an instance whose reader's answers lag from using a leaving server for too long.
    """
    world = StoreWorld()
    world.know("b-1")
    world.now += 1.0
    world.give(RegistryRead((), requested_at=world.now - 0.6))
    assert world.state.registry.read_at == world.now - 0.6
    world.now += 1.0
    servers_hash = server_list.hash_full_entries(world.state.servers.listed.values())
    world.peer("b-1", RegistryNews(servers_hash, end=2, age_ms=700))
    assert world.state.registry.read_at == pytest.approx(world.now - 0.7)
    world.state.members.started_at = None
    assert store_duty.is_registry_read_due(world.state, world.now + 0.9)


def test_reader_tells_the_age_of_its_read() -> None:
    """A reader whose read took long tells the others the age of what it sends."""
    world = StoreWorld()
    world.now += 1.0
    world.know("b-1")
    world.state.registry.is_fallback_reader = True
    effects = datagrams(world.give(RegistryRead((), requested_at=world.now - 0.6)))
    ages_ms = [
        effect.message.age_ms for effect in effects if isinstance(effect.message, RegistryNews)
    ]
    assert ages_ms == [600]


def test_lost_update_is_detected_by_the_next_one() -> None:
    """A lost update is detected by the hash of the next one."""
    world = StoreWorld()
    world.state.members.by_name[InstanceName("b-1")] = Member(
        InstanceName("b-1"), "dc-a", "127.0.0.1:2", region="home"
    )
    read_before = world.state.registry.read_at
    world.now += 1.0
    effects = world.peer("b-1", RegistryNews(12345, end=10))
    assert [effect.message for effect in only(effects, SendPeer)] == [ServersAsk()]
    assert world.state.registry.read_at == read_before


def test_instance_reads_for_itself_without_updates() -> None:
    world = StoreWorld()
    for number in range(2, 8):
        world.know(f"a-{number}")
    readers = {member.name for member in store_duty.store_readers(world.state, world.now)}
    assert len(readers) == 1
    world.state.registry.read_at = world.now
    reads = store_duty.is_registry_read_due(world.state, world.now + 0.5)
    assert reads == (world.state.me.name in readers)
    assert store_duty.is_registry_read_due(world.state, world.now + 1.5)


class Readers:
    """Instances before one store that send each other what they read."""

    def __init__(self, count: int, started_at: float) -> None:
        self.worlds = {f"a-{number}": StoreWorld(name=f"a-{number}") for number in range(1, count)}
        for world in self.worlds.values():
            world.state.members.started_at = started_at
        self.now = 101.0
        self.last_read: dict[str, float] = {}

    def run(self, seconds: float, *, acquainted: bool = True, away: str = "") -> Counter[str]:
        """Advance the time and count the reads of each instance; `away` neither reads nor sends."""
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
        if store_duty.is_store_reader(world.state, self.now):
            return self.now - self.last_read.get(name, 0.0) >= 0.9
        return store_duty.is_registry_read_due(world.state, self.now)

    def _read(self, name: str, world: StoreWorld, away: str) -> None:
        self.last_read[name] = self.now
        effects = datagrams(world.give(RegistryRead(())))
        updates = [effect.message for effect in effects if isinstance(effect.message, RegistryNews)]
        assert updates
        for other in self.worlds:
            if other not in (name, away):
                self.worlds[other].now = self.now
                self.worlds[other].peer(name, updates[0])

    def oldest_read_age_s(self, *, but: str = "") -> float:
        """Return the age in seconds of the oldest read of the servers' entries."""
        states = [world.state for name, world in self.worlds.items() if name != but]
        return max(self.now - state.registry.read_at for state in states)


def test_few_of_many_starting_instances_read() -> None:
    # All instances start together and know no other ones. The first whose delay ends becomes the
    # reader, and the others receive its updates.
    readers = Readers(9, started_at=100.0)
    reads = readers.run(6.0, acquainted=False)
    assert sum(reads.values()) <= 8
    assert len(reads) <= 2


def test_one_fallback_reader_replaces_an_unresponsive_reader() -> None:
    # The reader fails or loses the store. One instance reads in its place, before the entries are
    # too old to follow leaving servers, and stops when the reader returns.
    readers = Readers(9, started_at=0.0)
    (reader,) = readers.run(4.0)
    reads_without_reader = readers.run(2.0, away=reader)
    assert readers.oldest_read_age_s(but=reader) < 1.6
    assert len(reads_without_reader) == 1
    assert len(readers.run(4.0, away=reader)) == 1
    readers.run(1.5)
    assert set(readers.run(4.0)) == {reader}


@given(st.permutations(range(6)), st.lists(st.booleans(), min_size=6, max_size=6))
def test_any_order_of_records_ends_with_the_newest(
    order: list[int], is_present: list[bool]
) -> None:
    """Pages, delayed reads and updates come in any order; the highest offset applies."""
    world = StoreWorld(plain=1)
    (entry,) = [candidate for candidate in world.entries if candidate.service == "shop"]
    for number in order:
        offset = 10 + number
        if is_present[number]:
            world.give(RegistryRead(((entry, offset),)))
        else:
            world.give(RegistryRead((), ((entry.name, offset),)))
    assert (entry.name in world.state.servers.listed) == is_present[5]


def test_only_readers_send_updates() -> None:
    world = StoreWorld()
    world.give(
        ListRead((), (ListedInstance(InstanceName("a-2"), "dc-a", "127.0.0.1:2", "x", False),))
    )
    world.state.members.by_name[InstanceName("a-2")].last_seen_at = world.now
    world.state.members.by_name[InstanceName("a-2")].region = "home"
    entry: ServerEntry = world.entries[0]
    effects = world.give(RegistryRead(((entry, 20),)))
    updates = [effect for effect in datagrams(effects) if isinstance(effect.message, RegistryNews)]
    assert [effect.peer for effect in updates] == ["a-2"]


def test_server_that_returns_with_a_new_incarnation_is_used() -> None:
    """A server that left and returned with a new incarnation receives requests.

    Its first entry has no incarnation. Prevents the former leaving notice from applying to the new
    one.
    """
    world = StoreWorld(plain=1)
    world.give(RegistryRead(((world.entry("shop-1", "shop", leaving=True), 2),)))
    world.wait(1.0)
    new_entry = world.entry("shop-1", "shop", incarnation="1700000000000")
    world.give(RegistryRead(((new_entry, 3),)))
    world.wait(1.0)
    assert start_of(world.arrive("1", target=PLAIN)).server == "shop-1"


def test_leaving_notice_does_not_apply_to_a_new_incarnation() -> None:
    world = StoreWorld(plain=1)
    new_entry = world.entry("shop-1", "shop", incarnation="1700000000000")
    world.give(RegistryRead(((new_entry, 3),)))
    leaving.take_notices(world.state, world.now, [Mark("shop-1", "", drained=False, age_s=0)])
    assert start_of(world.arrive("1", target=PLAIN)).server == "shop-1"


def test_server_whose_entry_expired_during_a_request_is_used_again() -> None:
    """A server whose entry expired during a request is used again once the entry returns."""
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


def test_new_incarnation_of_a_server_has_an_empty_cache() -> None:
    """The prefix cache of a crashed server's former incarnation is not counted."""
    world = StoreWorld(engines=1)
    shared_part = ("sheet", 13_300)
    first = start_of(world.arrive("1", prompt_tokens=17_000, parts=(shared_part, ("own", 3_700))))
    world.begin(first)
    world.end(first, EndComplete(200))
    request = world.request("2", prompt_tokens=17_000, parts=(shared_part, ("other", 3_700)))
    engine = engine_model.engine_info_of(world.state, first.server)
    assert engine_model.uncached_tokens(engine, request) == 3_700
    new_entry = world.entry(first.server, "lm", incarnation="1700000000000")
    world.give(RegistryRead(((new_entry, 2),)))
    engine = engine_model.engine_info_of(world.state, first.server)
    assert engine_model.uncached_tokens(engine, request) == 17_000


def test_list_of_an_instance_back_from_a_cut_restores_no_removed_server() -> None:
    """Guards against requests to removed servers that a peer keeps after its own cut."""
    in_touch, cut_off = StoreWorld(name="a-1"), StoreWorld(name="b-1")
    in_touch.know("b-1")
    cut_off.know("a-1")
    gone, *remaining = in_touch.entries
    in_touch.wait(4.0)
    in_touch.give(RegistryRead((), removed=((gone.name, 5),)))
    cut_off.wait(6.0)
    snapshot = tuple((entry, 1) for entry in remaining)
    cut_off.give(RegistryRead(snapshot, is_complete=True, end=6))
    in_touch.wait(2.0)
    answers = only(cut_off.peer("a-1", ServersAsk()), SendPeer)
    for answer in answers:
        in_touch.peer("b-1", answer.message)
    assert gone.name not in in_touch.state.servers.by_name


def test_list_that_ends_before_what_is_known_is_ignored() -> None:
    """Guards against a server that a peer has not yet seen leave being used again."""
    world = StoreWorld()
    world.know("b-1")
    gone, *_ = world.entries
    offsets = [1] * len(world.entries)
    world.give(RegistryRead((), removed=((gone.name, 5),), end=6))
    world.wait(1.0)
    world.peer("b-1", ServersSend(0.0, world.entries, offsets, end=5))
    assert gone.name not in world.state.servers.by_name


def test_update_that_ends_before_what_is_known_does_not_count_as_a_read() -> None:
    """Guards against a slow reader that keeps others from reading for themselves."""
    world = StoreWorld()
    world.give(RegistryRead((), end=9))
    world.know("b-1")
    world.now += 5.0
    assert not only(world.peer("b-1", RegistryNews(12345, end=8)), SendPeer)
    assert world.state.registry.read_at == world.now - 5.0


def test_server_kept_for_an_own_outage_is_in_no_list_for_others() -> None:
    """Guards against servers that one instance keeps for its own cut spreading to others."""
    world = StoreWorld()
    world.know("b-1")
    gone, *remaining = world.entries
    world.wait(6.0)
    snapshot = tuple((entry, 2) for entry in remaining)
    world.give(RegistryRead(snapshot, is_complete=True, end=6))
    assert gone.name in world.state.servers.by_name
    (answer,) = only(world.peer("b-1", ServersAsk()), SendPeer)
    assert isinstance(answer.message, ServersSend)
    assert gone.name not in {entry.name for entry in answer.message.servers}


def test_delayed_read_does_not_keep_a_server_that_is_missing() -> None:
    """Guards against a read that was answered late making a removed server permanent."""
    world = StoreWorld()
    world.know("b-1")
    gone, *remaining = world.entries
    world.wait(6.0)
    world.peer("b-1", ServersSend(0.0, remaining, [2] * len(remaining), end=6))
    world.give(RegistryRead(((gone, 1),), end=5))
    world.wait(1.0)
    world.give(RegistryRead((), end=7))
    world.wait(2.0)
    assert gone.name not in world.state.servers.by_name


class Log:
    """The store's topic of server entries: a record, or its removal, at each offset."""

    def __init__(self) -> None:
        self.records: list[tuple[str, bool]] = []

    def newest(self, end: int) -> dict[str, tuple[int, bool]]:
        """Return the offset of each key's newest record before an end, and whether it is one."""
        return {name: (at, is_entry) for at, (name, is_entry) in enumerate(self.records[:end])}


_NAMES = ("lm-1", "lm-2", "shop-1")


class Exchange:
    """Instances that read one topic of server entries and send each other lists."""

    def __init__(self) -> None:
        self.worlds = [StoreWorld(engines=2, plain=1, name=f"a-{number}") for number in range(3)]
        self.entries = {each.name: each for each in self.worlds[0].entries}
        self.log = Log()
        # The worlds have entries with offset 1 already, so theirs are written after that.
        self.log.records = [("", False), ("", False), *((name, True) for name in _NAMES)]
        for reader, world in enumerate(self.worlds):
            for other in range(len(self.worlds)):
                world.know(f"a-{other}")
            self.read(reader, is_complete=True)

    def read(self, reader: int, *, is_complete: bool) -> None:
        """Have an instance read all records, as a snapshot or as changes."""
        end = len(self.log.records)
        newest = {name: each for name, each in self.log.newest(end).items() if name}
        entries = [
            (self.entries[ServerName(n)], at) for n, (at, is_entry) in newest.items() if is_entry
        ]
        removed = [(ServerName(n), at) for n, (at, is_entry) in newest.items() if not is_entry]
        event = RegistryRead(
            tuple(entries), () if is_complete else tuple(removed), is_complete, end
        )
        self.worlds[reader].give(event)

    def ask(self, asker: int, answerer: int) -> None:
        """Have an instance request the list of another one."""
        for answer in only(self.worlds[answerer].peer(f"a-{asker}", ServersAsk()), SendPeer):
            self.worlds[asker].peer(f"a-{answerer}", answer.message)

    def check(self) -> None:
        """Compare what each instance lists with the records that it knows."""
        for world in self.worlds:
            registry = world.state.registry
            newest = self.log.newest(registry.read_to)
            live = {name for name, (_, is_entry) in newest.items() if is_entry}
            assert set(world.state.servers.listed) - set(registry.missing_until) == live


_INSTANCES = st.integers(0, 2)
_STEPS = st.one_of(
    st.builds(
        lambda name, live: lambda each: each.log.records.append((name, live)),
        st.sampled_from(_NAMES),
        st.booleans(),
    ),
    st.builds(
        lambda reader, whole: lambda each: each.read(reader, is_complete=whole),
        _INSTANCES,
        st.booleans(),
    ),
    st.builds(lambda asker, other: lambda each: each.ask(asker, other), _INSTANCES, _INSTANCES),
    st.builds(
        lambda waiter, s: lambda each: each.worlds[waiter].wait(s, step=s),
        _INSTANCES,
        st.sampled_from((0.5, 4.0)),
    ),
)


@given(st.lists(_STEPS, max_size=40))
def test_no_exchange_between_instances_undoes_what_one_has_read(
    steps: list[Callable[[Exchange], None]],
) -> None:
    """Guards against a list or an update that takes an instance back to earlier records."""
    exchange = Exchange()
    for step in steps:
        step(exchange)
        exchange.check()


# --- keys of other writers, and lists that are not read to their end -------------------------


def _partial(*entries: tuple[ServerEntry, int], end: int) -> RegistryRead:
    return RegistryRead(entries, is_partial=True, end=end)


def _announcements(world: StoreWorld, read: RegistryRead) -> list[RegistryNews]:
    messages = [each.message for each in datagrams(world.give(read))]
    return [each for each in messages if isinstance(each, RegistryNews)]


def test_removals_of_unknown_keys_take_no_memory() -> None:
    """Guards against a writer of many keys that fills the memory of every instance."""
    world = StoreWorld(plain=1)
    before = dict(world.state.registry.offsets)
    removed = tuple((ServerName(f"foreign-{number}"), 10 + number) for number in range(100))
    world.give(RegistryRead((), removed, end=200))
    assert world.state.registry.offsets == before


@pytest.mark.parametrize("outage_s", [0.0, 6.0])
def test_server_that_a_partial_list_lacks_is_kept(outage_s: float) -> None:
    """Guards against servers that are taken for gone as a list could not be read to its end."""
    world = StoreWorld(plain=1)
    world.wait(outage_s)
    world.give(_partial(end=9))
    world.wait(3.0)
    world.give(RegistryRead((), end=9))
    assert only(world.arrive("1", target=PLAIN), StartAttempt)
    assert world.state.registry.is_partial


def test_partial_list_adds_and_removes_what_it_names() -> None:
    """Guards against a partial list of which nothing is used."""
    world = StoreWorld(plain=1)
    old, new = world.entries[-1], world.entry("shop-9", "shop")
    removal = ((old.name, 8),)
    world.give(RegistryRead(((new, 7),), removal, is_partial=True, end=9))
    assert set(world.state.servers.listed) & {old.name, new.name} == {new.name}


def test_complete_list_ends_a_partial_one() -> None:
    """Guards against an instance that goes on keeping what a later list shows to be gone."""
    world = StoreWorld(plain=1)
    world.give(_partial(end=9))
    world.give(RegistryRead((), is_complete=True, end=10))
    assert not world.state.registry.is_partial
    assert not world.state.servers.listed


def test_partial_list_is_not_announced() -> None:
    """Guards against peers that drop the servers that a partial list lacks."""
    world = StoreWorld(plain=1)
    world.state.registry.is_fallback_reader = True
    world.know("b-1")
    assert _announcements(world, RegistryRead((), end=5))
    assert not _announcements(world, _partial(end=9))
    assert not _announcements(world, RegistryRead((), end=9))


def test_partial_list_of_a_peer_removes_nothing() -> None:
    """Guards against a peer whose partial list is taken for the list of all servers."""
    world = StoreWorld(plain=1)
    new = world.entry("shop-9", "shop")
    read_to = world.state.registry.read_to
    world.peer("b-1", ServersSend(0.0, [new], [7], 9, is_partial=True))
    assert {new.name, *(each.name for each in world.entries)} <= set(world.state.servers.listed)
    assert world.state.registry.read_to == read_to
    assert not world.state.registry.is_partial
