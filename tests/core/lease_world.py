"""A small world for the tests of leases: instances with clocks of their own, and one log.

Clocks start anywhere and run up to a twentieth too fast or too slow. What an instance sends waits
in the world until the test says what becomes of it. A paused instance handles nothing while its
clock goes on, as a process that was stopped by a signal.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import Any, Final

from turmericweir_core.base.ids import InstanceName
from turmericweir_core.base.options import Options
from turmericweir_core.leases import lease_flow
from turmericweir_core.messages.effects import AppendRecords, Effect, Log, ReadLog
from turmericweir_core.messages.events import (
    AppendDone,
    AppendFailed,
    LogExpired,
    LogFailed,
    LogRead,
    LogRecord,
)
from turmericweir_core.records.lease_record import LEASES_STREAM, Scope
from turmericweir_core.reducers.reducer import new_state
from turmericweir_core.state.state import Identity, State

SCOPE: Final = Scope("lm", "dc-1")
OPTIONS: Final = Options(
    lease_s=3.0,
    lease_margin_s=0.5,
    lease_renew_s=1.0,
    lease_read_s=0.3,
    lease_retry_s=0.1,
    lease_retry_max_s=0.5,
    lease_call_s=1.0,
)
RATES: Final = (1.0, 0.95, 1.05)
STARTS: Final = (1000.0, 0.0, 77.7)


class Fate(Enum):
    """What becomes of something that an instance sent."""

    DONE = "done"
    # Nothing reached the log, and the instance is told.
    FAILED = "failed"
    # It took effect, but the instance is told that it may not have.
    UNACKNOWLEDGED = "unacknowledged"
    # The instance is told that it may have failed; it takes effect at some later time.
    LATE = "late"
    # It took effect, and the instance hears of it at some later time.
    SLOW = "slow"


@dataclass(slots=True)
class Instance:
    """One process."""

    state: State
    rate: float
    start: float
    paused: bool = False
    # Effects that leave the process and have not been performed.
    pending: list[Effect] = field(default_factory=list)
    # Answers that are on their way to it.
    answers: list[Any] = field(default_factory=list)
    logs: list[Log] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Given:
    """An order that a holder gave at some time."""

    instance: str
    fence: int


@dataclass(slots=True)
class World:
    """Everything."""

    options: Options = OPTIONS
    now: float = 0.0
    records: list[Any] = field(default_factory=list)
    oldest: int = 0
    # Appends that were given up by their writers and are still on their way.
    late: list[Any] = field(default_factory=list)
    instances: list[Instance] = field(default_factory=list)
    given: list[Given] = field(default_factory=list)
    started: int = 0

    def start(self) -> Instance:
        """Start one more instance."""
        number = self.started
        self.started += 1
        identity = Identity(
            InstanceName(f"i{number}"), "dc-1", "home", "10.0.0.1:1", f"i{number}-a"
        )
        kind = number % len(RATES)
        state = new_state(identity, self.options, seed=number)
        instance = Instance(state, RATES[kind], STARTS[kind])
        self.instances.append(instance)
        return instance

    def clock(self, instance: Instance) -> float:
        """Give the time by an instance's own clock."""
        return instance.start + self.now * instance.rate

    # --- what instances believe ---

    def holders(self, scope: Scope = SCOPE) -> list[Instance]:
        """List the instances that would give an order now, paused ones included."""
        return [
            each
            for each in self.instances
            if lease_flow.held(each.state, self.clock(each), scope) is not None
        ]

    def check(self) -> None:
        """Fail if two believe to hold at once; let the holder that runs give an order."""
        holders = self.holders()
        assert len(holders) <= 1, [each.state.me.name for each in holders]
        for each in holders:
            lease = lease_flow.held(each.state, self.clock(each), SCOPE)
            if lease is not None and not each.paused:
                self.given.append(Given(each.state.me.name, lease.fence))

    # --- time and events ---

    def tick(self, seconds: float) -> None:
        """Let time pass for everybody."""
        self.now += seconds
        for each in self.instances:
            if not each.paused:
                self._keep(each, lease_flow.on_tick(each.state, self.clock(each)))

    def _keep(self, instance: Instance, effects: list[Effect]) -> None:
        for effect in effects:
            match effect:
                case AppendRecords() | ReadLog():
                    instance.pending.append(effect)
                case Log():
                    instance.logs.append(effect)
                case _:
                    pass

    def handle(self, instance: Instance, event: Any) -> None:
        """Give an event to an instance, once it runs."""
        if instance.paused:
            instance.answers.append(event)
            return
        now = self.clock(instance)
        match event:
            case AppendDone() | AppendFailed():
                self._keep(instance, lease_flow.on_append(instance.state, now, event))
            case _:
                self._keep(instance, lease_flow.on_log(instance.state, now, event))

    def hear(self, instance: Instance) -> None:
        """Let one answer arrive that was on its way."""
        if instance.answers and not instance.paused:
            self.handle(instance, instance.answers.pop(0))

    def resume(self, instance: Instance) -> None:
        """Let a paused instance go on: first it handles what its sockets have held."""
        instance.paused = False
        while instance.answers:
            self.hear(instance)

    def perform(self, instance: Instance, fate: Fate = Fate.DONE) -> None:
        """Decide what becomes of the oldest pending effect."""
        if not instance.pending:
            return
        effect = instance.pending.pop(0)
        match effect:
            case AppendRecords():
                self._append(instance, effect, fate)
            case ReadLog():
                self._read(instance, effect, fate)
            case _:
                pass

    def _append(self, instance: Instance, effect: AppendRecords, fate: Fate) -> None:
        stream, token = effect.stream, effect.token
        if fate in (Fate.FAILED, Fate.LATE):
            if fate is Fate.LATE:
                self.late += effect.records
            self.handle(instance, AppendFailed(stream, token, "lost", fate is Fate.LATE))
            return
        first = len(self.records)
        self.records += effect.records
        if fate is Fate.UNACKNOWLEDGED:
            self.handle(instance, AppendFailed(stream, token, "no answer", maybe=True))
            return
        self._answer(instance, AppendDone(stream, token, first, len(self.records)), fate)

    def _answer(self, instance: Instance, event: Any, fate: Fate) -> None:
        if fate is Fate.SLOW:
            instance.answers.append(event)
        else:
            self.handle(instance, event)

    def land_late(self) -> None:
        """Let an append take effect whose writer has given it up."""
        if self.late:
            self.records.append(self.late.pop(0))

    def _read(self, instance: Instance, effect: ReadLog, fate: Fate) -> None:
        if fate in (Fate.FAILED, Fate.LATE, Fate.UNACKNOWLEDGED):
            self.handle(instance, LogFailed(effect.stream, "lost"))
            return
        end = len(self.records)
        if effect.offset < self.oldest:
            self._answer(instance, LogExpired(effect.stream, self.oldest, end), fate)
            return
        upto = end if effect.limit is None else min(end, effect.offset + effect.limit)
        found = enumerate(self.records[effect.offset : upto], effect.offset)
        records = tuple(LogRecord(offset, value) for offset, value in found)
        self._answer(instance, LogRead(LEASES_STREAM, records, end), fate)

    def run(self, seconds: float, step_s: float = 0.1) -> None:
        """Let everything work for a while."""
        until = self.now + seconds
        while self.now < until:
            self.tick(step_s)
            for each in self.instances:
                while each.pending or (each.answers and not each.paused):
                    if each.answers and not each.paused:
                        self.hear(each)
                    else:
                        self.perform(each)
            self.check()
