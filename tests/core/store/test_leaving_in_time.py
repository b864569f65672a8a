"""How long instances take a server for one that stays, after it has announced that it leaves.

Driven by the reducer alone, with members that all know each other, so that sizes of hundreds are
played in seconds.
"""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from random import Random

import pytest
from msgspec.structs import replace

from tests.core.store_world import StoreWorld, options
from turmericweir_core.base.store_times import derive_store_times
from turmericweir_core.membership import relays, store_duty
from turmericweir_core.messages.effects import Effect, SendDatagram, SendPeer
from turmericweir_core.messages.events import RegistryRead

DRAIN_BOUND_S = 3.0
# A request that was placed just before may take this long to connect to its server.
CONNECT_S = 0.35
CHECK_INTERVAL_S = 0.1
LINK_S = 0.01
# How long the members count as live without heartbeats.
LIVE_S = 1000.0


class Fleet:
    """Instances that know each other, the links between them, and the servers' entries."""

    def __init__(self, count: int, seed: int) -> None:
        self.rng = Random(seed)
        self.now = 100.0
        self.worlds = {f"a-{number}": StoreWorld(name=f"a-{number}") for number in range(count)}
        self.dead: set[str] = set()
        # Instances whose reads of the store fail, and the time that a read takes.
        self.cut_off: set[str] = set()
        self.read_s = 0.01
        self.loss = 0.0
        self._order = itertools.count()
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        times = derive_store_times(DRAIN_BOUND_S, DRAIN_BOUND_S)
        for name, world in self.worlds.items():
            world.state.options = replace(options(), store=times)
            for peer in self.worlds:
                if peer != name:
                    member = world.state.members.by_name[world.know(peer)]
                    member.last_seen_at = self.now + LIVE_S
                    member.peer_address = peer
            # It has chosen the reader when it knew no other instance.
            world.state.registry.next_choice_at = self.now
            self._at(self.now + CHECK_INTERVAL_S * self.rng.random(), self._check(name))
        self.entries = {
            entry.name: (entry, 1) for entry in next(iter(self.worlds.values())).entries
        }
        self.leaving = self.worlds["a-0"].entries[0].name

    def announce_leaving(self) -> None:
        """Let a server write to the store that it leaves."""
        entry, _ = self.entries[self.leaving]
        self.entries[self.leaving] = (replace(entry, leaving=True), 2)

    def run(self, seconds: float) -> None:
        """Advance the time."""
        end_at = self.now + seconds
        while self._heap and self._heap[0][0] <= end_at:
            self.now, _, step = heapq.heappop(self._heap)
            step()
        self.now = end_at

    def believers(self) -> list[str]:
        """Return the living instances that would still send requests to the leaving server."""
        return [
            name
            for name, world in self.worlds.items()
            if name not in self.dead and not world.state.servers.by_name[self.leaving].leaving
        ]

    def reader(self) -> str:
        """Return the instance that reads for all."""
        (member,) = store_duty.store_readers(self.worlds["a-0"].state, self.now)
        return member.name

    def relay_names(self) -> set[str]:
        """Return the instances that pass updates on."""
        return {member.name for member in relays.region_relays(self.worlds["a-0"].state, self.now)}

    def _at(self, due_at: float, step: Callable[[], None]) -> None:
        heapq.heappush(self._heap, (due_at, next(self._order), step))

    def _check(self, name: str) -> Callable[[], None]:
        def check() -> None:
            if name in self.dead:
                return
            state = self.worlds[name].state
            if store_duty.is_registry_read_due(state, self.now):
                self._at(self.now + self.read_s, self._finish_read(name, self.now))
            else:
                self._at(self.now + CHECK_INTERVAL_S, check)

        return check

    def _finish_read(self, name: str, requested_at: float) -> Callable[[], None]:
        entries = tuple(self.entries.values())
        end = 1 + max(offset for _, offset in entries)

        def finish() -> None:
            if name in self.dead:
                return
            state = self.worlds[name].state
            if name not in self.cut_off:
                event = RegistryRead(entries, (), is_complete=True, end=end)
                self._apply(name, replace(event, requested_at=requested_at))
            pause_s = CHECK_INTERVAL_S
            if store_duty.is_store_reader(state, self.now):
                pause_s = state.options.store.servers_read_s * self.rng.uniform(0.9, 1.0)
            self._at(self.now + pause_s, self._check(name))

        return finish

    def _apply(self, name: str, event: RegistryRead) -> None:
        world = self.worlds[name]
        world.now = self.now
        self._send(name, world.give(event))

    def _send(self, sender: str, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, SendDatagram) and self.rng.random() < self.loss:
                continue
            if isinstance(effect, SendDatagram | SendPeer):
                self._at(self.now + LINK_S, self._deliver(sender, effect))

    def _deliver(self, sender: str, effect: SendDatagram | SendPeer) -> Callable[[], None]:
        def deliver() -> None:
            if effect.peer in self.dead:
                return
            world = self.worlds[effect.peer]
            world.now = self.now
            self._send(effect.peer, world.peer(sender, effect.message))

        return deliver


def lose_reader(fleet: Fleet) -> None:
    fleet.dead.add(fleet.reader())


def cut_reader_off_from_the_store(fleet: Fleet) -> None:
    fleet.cut_off.add(fleet.reader())


def lose_relays(fleet: Fleet) -> None:
    fleet.dead |= fleet.relay_names() - {fleet.reader()}


def lose_datagrams(fleet: Fleet) -> None:
    fleet.loss = 0.3


def lose_reader_whose_reads_lag(fleet: Fleet) -> None:
    fleet.dead.add(fleet.reader())


FAILURES = [
    lose_reader,
    cut_reader_off_from_the_store,
    lose_relays,
    lose_datagrams,
    lose_reader_whose_reads_lag,
]


@pytest.mark.parametrize(
    ("count", "fail"),
    [
        *itertools.product([20, 84], FAILURES),
        *itertools.product([320], [lose_reader, lose_relays]),
    ],
)
def test_leaving_server_gets_nothing_after_the_bound(
    count: int, fail: Callable[[Fleet], None]
) -> None:
    """Guards against an entry that is believed too long, whatever fails as its server leaves."""
    fleet = Fleet(count, seed=count)
    if fail is lose_reader_whose_reads_lag:
        fleet.read_s = 0.5
    fleet.run(3.0)
    fleet.run(2.0 * fleet.rng.random())
    assert len(fleet.believers()) == count
    fleet.announce_leaving()
    fail(fleet)
    fleet.run(DRAIN_BOUND_S - CONNECT_S)
    assert fleet.believers() == []
