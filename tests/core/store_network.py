"""Many instances before one store, driven by the reducer alone.

Each instance checks at a fixed interval whether it should read the settings and the servers'
entries, as its process does; a reader pauses between its reads. Time is simulated. The store
answers at once, or refuses instances.
"""

from __future__ import annotations

import heapq
import itertools
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from tests.core.member_network import Network
from turmericweir_core.base.config import Config, PlacementPolicy, ServerEntry, Service, ServiceKind
from turmericweir_core.base.ids import ServerName, Target
from turmericweir_core.base.options import Options
from turmericweir_core.base.store_times import StoreTimes
from turmericweir_core.membership import store_duty
from turmericweir_core.messages.effects import DecodeDocument, Effect, SendDatagram
from turmericweir_core.messages.events import DocumentConfirmed, DocumentRead, Event, RegistryRead
from turmericweir_core.reducers.reducer_store import reduce
from turmericweir_core.state.document_state import DocumentState
from turmericweir_core.state.state import Identity, State

CHECK_INTERVAL_S = 0.1
SERVICE = Service("lm", ServiceKind.MODEL, slots=12, kv_tokens=480_000, event_tokens=3)


@dataclass
class Store:
    """The content of the store, and its calls."""

    version: int = 1
    entries: dict[str, tuple[ServerEntry, int]] = field(default_factory=dict)
    # Number of calls by instance.
    calls: Counter[str] = field(default_factory=Counter)
    # Returns whether the store answers an instance.
    answers: Callable[[str], bool] = lambda name: True

    @property
    def total(self) -> int:
        """The number of all calls."""
        return sum(self.calls.values())


class StoreNetwork(Network):
    """Instances, the links between them, and the store."""

    def __init__(self, times: StoreTimes, seed: int = 1) -> None:
        super().__init__(seed, options=Options(tick_s=0.05, probe_servers=False, store=times))
        self.store = Store()
        for number in range(1, 9):
            entry = ServerEntry(ServerName(f"lm-{number}"), "lm", "dc0", f"127.0.0.1:{number}")
            self.store.entries[entry.name] = (entry, 1)
        # Number of datagrams that each instance has sent.
        self.datagrams: Counter[str] = Counter()
        self._checks: list[tuple[float, int, str, str]] = []
        self._check_order = itertools.count()

    def make_state(self, identity: Identity) -> State:
        return State(
            identity,
            self.options,
            Random(self.rng.randrange(1 << 30)),
            settings=None,  # type: ignore[arg-type]
            document=DocumentState(),
        )

    def reduce(self, state: State, now: float, event: Event) -> list[Effect]:
        return reduce(state, now, event)

    def start_all(self, count: int, data_centres: int) -> list[str]:
        """Start a number of instances at once, each with the addresses of the same three."""
        names = [f"i{number:03d}" for number in range(count)]
        for number, name in enumerate(names):
            self.add(name, f"dc{number % data_centres}")
        self.begin(names)
        return names

    def begin(self, names: list[str]) -> None:
        """Send seeds to started instances and start their checks of the store."""
        seeds = self.rng.sample(sorted(self.nodes), min(3, len(self.nodes)))
        for name in names:
            self.seed(name, seeds)
            for part in ("settings", "servers"):
                self._schedule_check(self.now + 0.3 * self.rng.random(), name, part)

    def run(self, seconds: float) -> None:
        end_at = self.now + seconds
        while self._checks and self._checks[0][0] <= end_at:
            check_at, _, name, part = heapq.heappop(self._checks)
            super().run(max(0.0, check_at - self.now))
            self._check_store(name, part)
        super().run(end_at - self.now)

    def _schedule_check(self, check_at: float, name: str, part: str) -> None:
        heapq.heappush(self._checks, (check_at, next(self._check_order), name, part))

    def _check_store(self, name: str, part: str) -> None:
        node = self.nodes[name]
        if node.down:
            return
        state = node.state
        is_settings = part == "settings"
        is_due = store_duty.is_document_read_due if is_settings else store_duty.is_registry_read_due
        if not is_due(state, self.now):
            self._schedule_check(self.now + CHECK_INTERVAL_S, name, part)
            return
        self.store.calls[name] += 1
        if self.store.answers(name):
            self._read_settings(name) if is_settings else self._read_servers(name)
        times = self.options.store
        period_s = times.settings_read_s if is_settings else times.servers_read_s
        is_reader = store_duty.is_store_reader(state, self.now)
        self._schedule_check(
            self.now + (0.95 * period_s if is_reader else CHECK_INTERVAL_S), name, part
        )

    def _read_settings(self, name: str) -> None:
        if self.nodes[name].state.settings_offset() == self.store.version:
            self.give(name, DocumentConfirmed(self.now, self.store.version))
        else:
            self._give_document(name, self.store.version, self.now, "")

    def _read_servers(self, name: str) -> None:
        self.give(name, RegistryRead(tuple(self.store.entries.values()), is_complete=True))

    def _give_document(self, name: str, version: int, asked_at: float | None, peer: str) -> None:
        config = Config(
            services={"lm": SERVICE},
            service_by_target={Target("lm"): SERVICE},
            policy=PlacementPolicy.PREDICTED,
            offset=version,
        )
        raw = str(version).encode()
        self.give(name, DocumentRead(version, config, raw, asked_at, peer))

    def _perform(self, name: str, effects: list[Effect]) -> None:
        super()._perform(name, effects)
        for effect in effects:
            if isinstance(effect, SendDatagram):
                self.datagrams[name] += 1
            if isinstance(effect, DecodeDocument):
                self._give_document(name, int(effect.raw), None, effect.peer)

    def versions(self) -> set[int]:
        """Return the versions in force on the running instances."""
        return {node.state.settings_offset() for node in self.nodes.values() if not node.down}

    def reader(self) -> str:
        """Return the name of the one instance that reads for all."""
        live = (node.state for node in self.nodes.values() if not node.down)
        (reader_name,) = {member.name for member in store_duty.store_readers(next(live), self.now)}
        return reader_name
