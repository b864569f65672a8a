"""Instances with local clocks and one log, for tests of leases.

Clocks start at different times and drift. The effects of an instance wait until the test decides
their outcome. A paused instance processes nothing while its clock advances.
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
from turmericweir_core.records.lease_record import LEASES_STREAM, LeaseScope
from turmericweir_core.reducers.reducer import new_state
from turmericweir_core.state.state import Identity, State

SCOPE: Final = LeaseScope("lm", "dc-1")
OPTIONS: Final = Options(
    lease_s=3.0,
    lease_margin_s=0.5,
    lease_renew_s=1.0,
    lease_read_s=0.3,
    lease_retry_s=0.1,
    lease_retry_max_s=0.5,
    lease_call_s=1.0,
)
CLOCK_RATES: Final = (1.0, 0.95, 1.05)
CLOCK_STARTS: Final = (1000.0, 0.0, 77.7)


class EffectOutcome(Enum):
    """The outcome of an effect of an instance."""

    DONE = "done"
    # Nothing reached the log, and the instance is informed.
    FAILED = "failed"
    # It took effect, and the instance is informed that it may not have.
    UNACKNOWLEDGED = "unacknowledged"
    # The instance is informed that it may have failed; it takes effect later.
    LATE = "late"
    # It took effect, and the instance is informed later.
    SLOW = "slow"


@dataclass(slots=True)
class Instance:
    """One process."""

    state: State
    rate: float
    start: float
    paused: bool = False
    # Effects that have not been performed.
    pending: list[Effect] = field(default_factory=list)
    # Answers that are on their way to the instance.
    answers: list[Any] = field(default_factory=list)
    logs: list[Log] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class SentOrder:
    """An order that a holder sent."""

    instance: str
    fence: int


@dataclass(slots=True)
class World:
    """The instances, the log and the time."""

    options: Options = OPTIONS
    now: float = 0.0
    records: list[Any] = field(default_factory=list)
    oldest: int = 0
    # Appends that their writers have given up and that may take effect later.
    late: list[Any] = field(default_factory=list)
    instances: list[Instance] = field(default_factory=list)
    given: list[SentOrder] = field(default_factory=list)
    started: int = 0

    def start(self) -> Instance:
        """Start one more instance."""
        number = self.started
        self.started += 1
        identity = Identity(
            InstanceName(f"i{number}"), "dc-1", "home", "10.0.0.1:1", f"i{number}-a"
        )
        clock_index = number % len(CLOCK_RATES)
        state = new_state(identity, self.options, seed=number)
        instance = Instance(state, CLOCK_RATES[clock_index], CLOCK_STARTS[clock_index])
        self.instances.append(instance)
        return instance

    def clock(self, instance: Instance) -> float:
        """Return the time of an instance's clock."""
        return instance.start + self.now * instance.rate

    # --- holders ---

    def holders(self, scope: LeaseScope = SCOPE) -> list[Instance]:
        """Return the instances that would send an order now, including paused ones."""
        return [
            instance
            for instance in self.instances
            if lease_flow.current_lease(instance.state, self.clock(instance), scope) is not None
        ]

    def check(self) -> None:
        """Fail if two instances hold the lease; record an order of a running holder."""
        holders = self.holders()
        assert len(holders) <= 1, [instance.state.me.name for instance in holders]
        for instance in holders:
            lease = lease_flow.current_lease(instance.state, self.clock(instance), SCOPE)
            if lease is not None and not instance.paused:
                self.given.append(SentOrder(instance.state.me.name, lease.fence))

    # --- time and events ---

    def tick(self, seconds: float) -> None:
        """Advance the time for all instances."""
        self.now += seconds
        for instance in self.instances:
            if not instance.paused:
                self._collect(instance, lease_flow.on_tick(instance.state, self.clock(instance)))

    def _collect(self, instance: Instance, effects: list[Effect]) -> None:
        for effect in effects:
            match effect:
                case AppendRecords() | ReadLog():
                    instance.pending.append(effect)
                case Log():
                    instance.logs.append(effect)
                case _:
                    pass

    def handle(self, instance: Instance, event: Any) -> None:
        """Deliver an event to an instance, or queue it during a pause."""
        if instance.paused:
            instance.answers.append(event)
            return
        now = self.clock(instance)
        match event:
            case AppendDone() | AppendFailed():
                self._collect(instance, lease_flow.on_append(instance.state, now, event))
            case _:
                self._collect(instance, lease_flow.on_log(instance.state, now, event))

    def deliver_answer(self, instance: Instance) -> None:
        """Deliver one queued answer."""
        if instance.answers and not instance.paused:
            self.handle(instance, instance.answers.pop(0))

    def resume(self, instance: Instance) -> None:
        """Resume a paused instance; it first processes its queued answers."""
        instance.paused = False
        while instance.answers:
            self.deliver_answer(instance)

    def perform(self, instance: Instance, outcome: EffectOutcome = EffectOutcome.DONE) -> None:
        """Decide the outcome of the oldest pending effect."""
        if not instance.pending:
            return
        effect = instance.pending.pop(0)
        match effect:
            case AppendRecords():
                self._append(instance, effect, outcome)
            case ReadLog():
                self._read(instance, effect, outcome)
            case _:
                pass

    def _append(self, instance: Instance, effect: AppendRecords, outcome: EffectOutcome) -> None:
        stream, token = effect.stream, effect.token
        if outcome in (EffectOutcome.FAILED, EffectOutcome.LATE):
            if outcome is EffectOutcome.LATE:
                self.late += effect.records
            self.handle(
                instance, AppendFailed(stream, token, "lost", outcome is EffectOutcome.LATE)
            )
            return
        first = len(self.records)
        self.records += effect.records
        if outcome is EffectOutcome.UNACKNOWLEDGED:
            self.handle(instance, AppendFailed(stream, token, "no answer", may_have_applied=True))
            return
        self._answer(instance, AppendDone(stream, token, first, len(self.records)), outcome)

    def _answer(self, instance: Instance, event: Any, outcome: EffectOutcome) -> None:
        if outcome is EffectOutcome.SLOW:
            instance.answers.append(event)
        else:
            self.handle(instance, event)

    def execute_late_append(self) -> None:
        """Execute an append that its writer has given up."""
        if self.late:
            self.records.append(self.late.pop(0))

    def _read(self, instance: Instance, effect: ReadLog, outcome: EffectOutcome) -> None:
        if outcome in (EffectOutcome.FAILED, EffectOutcome.LATE, EffectOutcome.UNACKNOWLEDGED):
            self.handle(instance, LogFailed(effect.stream, "lost"))
            return
        end = len(self.records)
        if effect.offset < self.oldest:
            self._answer(instance, LogExpired(effect.stream, self.oldest, end), outcome)
            return
        upto = end if effect.limit is None else min(end, effect.offset + effect.limit)
        numbered = enumerate(self.records[effect.offset : upto], effect.offset)
        records = tuple(LogRecord(offset, value) for offset, value in numbered)
        self._answer(instance, LogRead(LEASES_STREAM, records, end), outcome)

    def run(self, seconds: float, step_s: float = 0.1) -> None:
        """Run all instances for some time."""
        end_at = self.now + seconds
        while self.now < end_at:
            self.tick(step_s)
            for instance in self.instances:
                while instance.pending or (instance.answers and not instance.paused):
                    if instance.answers and not instance.paused:
                        self.deliver_answer(instance)
                    else:
                        self.perform(instance)
            self.check()
