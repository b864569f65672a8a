"""One data centre with engines, log and weight store, for tests of model placement.

Instances run the whole reducer. Engines record their orders, with or without checking the fencing
number; tests assert on these records.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, Final

from turmericweir_core.base.config import Config, ModelReplicas, ServerEntry, Service, ServiceKind
from turmericweir_core.base.ids import InstanceName, ServerName, Target
from turmericweir_core.base.options import Options
from turmericweir_core.messages.duty_messages import ModelDemand, ModelUse
from turmericweir_core.messages.effects import (
    AppendRecords,
    Effect,
    ProbeServer,
    ReadLog,
    RequestLoadPermit,
    SendDatagram,
    SendOrder,
    SendPeer,
)
from turmericweir_core.messages.events import (
    AppendDone,
    AppendFailed,
    Event,
    ListRead,
    LogFailed,
    LogRead,
    LogRecord,
    OrderDone,
    PeerReceived,
    SeedsGiven,
    ServerReport,
    Tick,
    WeightsAnswered,
)
from turmericweir_core.records.lease_record import LEASES_STREAM
from turmericweir_core.reducers.reducer import new_state, reduce
from turmericweir_core.state.membership_state import Member
from turmericweir_core.state.state import Identity, State

SERVICE: Final = "lm"
DATA_CENTRE: Final = "dc-1"
MODELS: Final = ("big", "small")
SLOTS: Final = 8
CALLERS: Final = InstanceName("callers")


@dataclass(frozen=True, slots=True)
class AcceptedOrder:
    """An order that an engine accepted."""

    at: float
    kind: str
    label: str
    fence: int


@dataclass(slots=True)
class Engine:
    """One server of the service."""

    name: ServerName
    checks: bool
    loaded: list[str]
    loading: dict[str, float] = field(default_factory=dict)
    fence: int = 0
    seq: int = 0
    obeyed: list[AcceptedOrder] = field(default_factory=list)
    # Fencing numbers that the engine refused as outdated.
    refused: list[int] = field(default_factory=list)
    # Loads are accepted and never finish.
    broken: bool = False

    def report(self, now: float) -> ServerReport:
        """Return the report of the engine's models."""
        for label, loaded_at in list(self.loading.items()):
            if loaded_at <= now:
                del self.loading[label]
                self.loaded.append(label)
        self.seq += 1
        return ServerReport(
            self.name,
            "1",
            self.seq,
            0,
            0,
            SLOTS,
            models=tuple(self.loaded),
            loading=tuple(self.loading),
        )

    def obey(self, now: float, kind: str, label: str, fence: int, load_s: float) -> bool:
        """Accept an order; return False for one with an outdated fencing number."""
        if self.checks and fence < self.fence:
            self.refused.append(fence)
            return False
        self.fence = max(self.fence, fence) if self.checks else 0
        self.obeyed.append(AcceptedOrder(now, kind, label, fence))
        if kind == "load":
            if label not in self.loaded and not self.broken:
                self.loading.setdefault(label, now + load_s)
        else:
            self.loading.pop(label, None)
            if label in self.loaded:
                self.loaded.remove(label)
        return True


@dataclass(slots=True)
class World:
    """The instances, engines, log and weight store."""

    options: Options = field(default_factory=Options)
    checks: bool = True
    load_s: float = 20.0
    # Time between two grants of the weight store.
    weights_s: float = 1.0
    now: float = 0.0
    log_up: bool = True
    # Orders reach no engine, and their senders receive a timeout.
    lose_orders: bool = False
    records: list[Any] = field(default_factory=list)
    engines: dict[ServerName, Engine] = field(default_factory=dict)
    states: list[State] = field(default_factory=list)
    paused: set[InstanceName] = field(default_factory=set)
    weights_at: float = float("-inf")
    # The time and label of each grant.
    grants: list[tuple[float, str]] = field(default_factory=list)
    asked: int = 0
    # The least number of engines with each model since `watch`.
    least: dict[str, int] = field(default_factory=dict)

    def add_engines(self, *loaded: str) -> None:
        """Add one engine for each text, with the labels in it."""
        for text in loaded:
            name = ServerName(f"lm-{len(self.engines) + 1}")
            self.engines[name] = Engine(name, self.checks, text.split())

    def config(self, *wants: ModelReplicas) -> Config:
        """Return the settings with these wants."""
        service = Service(SERVICE, ServiceKind.MODEL, MODELS, slots=SLOTS, checks_fence=self.checks)
        return Config(
            services={SERVICE: service},
            service_by_target={Target(model): service for model in MODELS},
            model_replicas={want.model: want for want in wants},
        )

    def want(self, *wants: ModelReplicas) -> None:
        """Apply wants on all instances."""
        config = self.config(*wants)
        for state in self.states:
            _set_config(state, config)
            self._list(state)

    def start(self, *wants: ModelReplicas) -> State:
        """Start one more instance."""
        number = len(self.states)
        identity = Identity(
            InstanceName(f"i{number}"),
            DATA_CENTRE,
            "home",
            f"10.0.0.1:{number + 1}",
            f"i{number}-a",
        )
        state = new_state(identity, self.options, seed=number)
        _set_config(state, self.config(*wants) if wants else self.states[0].config)
        peers = tuple(other.me.peer_address for other in self.states)
        # Represents all instances that send requests; it is listed but never live.
        callers = Member(CALLERS, DATA_CENTRE, "10.0.0.2:1", reported_at=float("inf"))
        state.members.by_name[CALLERS] = callers
        self.states.append(state)
        self.handle(state, SeedsGiven(peers))
        self._list(state)
        return state

    def _list(self, state: State) -> None:
        entries = tuple(
            ServerEntry(name, SERVICE, DATA_CENTRE, f"10.0.1.1:{number + 1}")
            for number, name in enumerate(self.engines)
        )
        self.handle(state, ListRead(entries, ()))

    # --- events and effects ---

    def handle(self, state: State, event: Event) -> None:
        """Reduce an event and perform its effects at once."""
        if state.me.name in self.paused:
            return
        for effect in reduce(state, self.now, event):
            self.perform(state, effect)

    def perform(self, state: State, effect: Effect) -> None:
        """Perform an effect of an instance."""
        match effect:
            case AppendRecords(stream, token, records) if stream == LEASES_STREAM:
                self._append(state, token, records)
            case ReadLog(stream, offset, limit) if stream == LEASES_STREAM:
                self._read(state, offset, limit)
            case ProbeServer(server, _):
                self.handle(state, self.engines[server].report(self.now))
            case SendOrder():
                self.order(state, effect)
            case RequestLoadPermit(model, version):
                self._grant(state, model, version)
            case SendDatagram() | SendPeer():
                self._send(state, effect)
            case _:
                pass

    def _append(self, state: State, token: str, records: tuple[Any, ...]) -> None:
        if not self.log_up:
            self.handle(state, AppendFailed(LEASES_STREAM, token, "down", may_have_applied=True))
            return
        first = len(self.records)
        self.records += records
        self.handle(state, AppendDone(LEASES_STREAM, token, first, len(self.records)))

    def _read(self, state: State, offset: int, limit: int | None) -> None:
        if not self.log_up:
            self.handle(state, LogFailed(LEASES_STREAM, "down"))
            return
        end = len(self.records)
        upto = end if limit is None else min(end, offset + limit)
        numbered = enumerate(self.records[offset:upto], offset)
        records = tuple(LogRecord(record_offset, value) for record_offset, value in numbered)
        self.handle(state, LogRead(LEASES_STREAM, records, end))

    def order(self, state: State, effect: SendOrder) -> None:
        """Deliver an order to an engine, and its answer to the instance."""
        version = f"@{effect.version}" if effect.version else ""
        if self.lose_orders:
            self.handle(state, OrderDone(effect.server, effect.token, False, False, "timeout"))
            return
        engine = self.engines[effect.server]
        ok = engine.obey(
            self.now, effect.kind, f"{effect.model}{version}", effect.fence, self.load_s
        )
        error = "" if ok else "status 409"
        self.handle(state, OrderDone(effect.server, effect.token, ok, not ok, error))

    def repeat(self, index: int) -> None:
        """Deliver an earlier order to its engine once more."""
        accepted = [(engine, order) for engine in self.engines.values() for order in engine.obeyed]
        if accepted:
            engine, order = accepted[index % len(accepted)]
            engine.obey(self.now, order.kind, order.label, order.fence, self.load_s)

    def _grant(self, state: State, model: str, version: str) -> None:
        self.asked += 1
        remaining_s = self.weights_at + self.weights_s - self.now
        if remaining_s > 0:
            self.handle(state, WeightsAnswered(model, version, False, remaining_s))
            return
        self.weights_at = self.now
        self.grants.append((self.now, f"{model}@{version}"))
        self.handle(state, WeightsAnswered(model, version, True))

    def _send(self, state: State, effect: SendDatagram | SendPeer) -> None:
        for peer in self.states:
            if peer.me.peer_address == effect.address:
                self.handle(peer, PeerReceived(state.me.name, effect.message))

    # --- time ---

    def run(self, seconds: float, step_s: float = 0.5, **busy: float) -> None:
        """Advance the time with a number of running requests for each named model."""
        end_at = self.now + seconds
        while self.now < end_at:
            self.now += step_s
            for state in self.states:
                self.handle(state, Tick())
                self.report_use(state, busy)
            self._note_least()

    def report_use(self, state: State, busy: dict[str, float], waiting: int = 0) -> None:
        """Send an instance the use of models on another one."""
        if busy:
            uses = [ModelUse(model, use, waiting) for model, use in busy.items()]
            message = ModelDemand(SERVICE, DATA_CENTRE, uses)
            self.handle(state, PeerReceived(CALLERS, message))

    def having(self, model: str) -> int:
        """Return the number of engines that can serve any version of a model."""
        return sum(
            1
            for engine in self.engines.values()
            if any(label.partition("@")[0] == model for label in engine.loaded)
        )

    def _note_least(self) -> None:
        for engine in self.engines.values():
            engine.report(self.now)
        for model in MODELS:
            self.least[model] = min(self.least.get(model, 1000), self.having(model))

    def watch(self) -> None:
        """Restart the record of the least numbers of engines."""
        self.least.clear()
        self._note_least()

    def orders(self) -> list[AcceptedOrder]:
        """Return all accepted orders in the order of time."""
        accepted = [order for engine in self.engines.values() for order in engine.obeyed]
        return sorted(accepted, key=lambda order: order.at)

    def loaded(self) -> list[str]:
        """Return the models of every engine."""
        return [" ".join(sorted(engine.loaded)) for engine in self.engines.values()]


def _set_config(state: State, config: Config) -> None:
    state.config = config
    state.settings.config = config
    state.settings.has_been_complete = True
    state.has_settings = True
