"""Instances with duties before one store and one platform, driven by the reducer alone.

The store keeps the newest record of each key and accepts conditional appends. The platform records
every call that it has executed, which is what tests assert on. Both may refuse instances, lose
answers, and execute unanswered calls later.
"""

from __future__ import annotations

import itertools
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from tests.core.store_network import StoreNetwork
from turmericweir_core.base.store_times import derive_store_times
from turmericweir_core.membership import eras
from turmericweir_core.messages.effects import (
    AppendRecords,
    Effect,
    OrderServers,
    ReadLog,
    ReportUsage,
)
from turmericweir_core.messages.events import (
    AppendDone,
    AppendFailed,
    DutyAnswered,
    DutyOutcome,
    Event,
    LogFailed,
    LogNewest,
    LogRead,
    LogRecord,
    WallClockRead,
)
from turmericweir_core.messages.record_messages import EraMarked, MarkEra, RecordsRead
from turmericweir_core.reducers import reducer_duties
from turmericweir_core.state.duty_state import DutySettings, DutyState
from turmericweir_core.state.state import Identity, State
from turmericweir_core.state.usage_meter import UsageMeter

LEASE_S = 3.0
WINDOW_S = 5.0
LATE_S = 10.0
# Time of day at time zero of the network's clock.
WALL_ZERO_S = 1_770_000_001.3
# Duration of a call, and the largest delay after which an unanswered call is executed.
CALL_S = 0.01
TIMEOUT_S = 0.9
DELAYED_EXECUTION_MAX_S = 4.0


@dataclass
class AcceptedCall:
    """A call that the platform has executed."""

    called_at: float
    holder: str
    fence: int
    subject: str
    window: int = -1
    counts: dict[str, int] = field(default_factory=dict)


@dataclass
class DutyPlatform:
    """The calls that the platform has received."""

    checks_fence: bool = True
    accepted: list[AcceptedCall] = field(default_factory=list)
    # The highest fencing number by subject.
    highest: dict[str, int] = field(default_factory=dict)
    refused: int = 0

    def carry_out(
        self, called_at: float, name: str, effect: ReportUsage | OrderServers
    ) -> DutyOutcome:
        subject = "usage"
        if isinstance(effect, OrderServers):
            subject = f"{effect.service}/{effect.data_centre}"
        if self.checks_fence and effect.fence < self.highest.get(subject, -1):
            self.refused += 1
            return DutyOutcome.STALE
        self.highest[subject] = max(effect.fence, self.highest.get(subject, -1))
        call = AcceptedCall(called_at, name, effect.fence, subject)
        if isinstance(effect, ReportUsage):
            call.window, call.counts = effect.window, dict(effect.counts)
        self.accepted.append(call)
        return DutyOutcome.DONE


class DutyNetwork(StoreNetwork):
    """Instances, the links between them, the store with the leases, and the platform."""

    def __init__(
        self, seed: int = 1, *, checks_fence: bool = True, orders_servers: bool = False
    ) -> None:
        super().__init__(derive_store_times(3.0, 3.0), seed)
        self.options = type(self.options)(
            tick_s=0.05,
            probe_servers=False,
            store=self.options.store,
            lease_keyed=True,
            lease_s=LEASE_S,
            lease_margin_s=0.1 * LEASE_S,
            lease_renew_s=LEASE_S / 2,
            lease_read_s=1.0,
            lease_retry_s=0.2,
            lease_retry_max_s=1.0,
            lease_call_s=1.1 * LEASE_S,
            order_longest_s=LEASE_S,
        )
        self.duty_settings = DutySettings(
            reports_usage=True,
            orders_servers=orders_servers,
            window_s=WINDOW_S,
            late_s=LATE_S,
            calls_per_s=50.0,
            checks_fence=checks_fence,
        )
        self.platform = DutyPlatform(checks_fence)
        # The stream of the leases: key and value by offset.
        self.records: list[tuple[str, object]] = []
        self.lease_calls: Counter[str] = Counter()
        # When each record was written, the era of the store, and that of each instance's offsets.
        self.written_at: list[float] = []
        self.era = 1
        self.eras_read: dict[str, int] = {}
        # The mark of the newest settled era, with the time at which it was written.
        self.marks: list[tuple[float, int]] = []
        # Returns whether the store or the platform answers an instance.
        self.store_answers: Callable[[str], bool] = lambda name: True
        self.platform_answers: Callable[[str], bool] = lambda name: True
        # Share of lost answers; half of those calls are executed later.
        self.lost_answers = 0.0
        # Calls are not answered, and are executed after this time.
        self.delays_calls_s: float | None = None
        # Time that appends and calls take; they are executed after half of it, and given up after
        # the length of a lease, while the answer may still come.
        self.write_delay_s = 0.0
        # Whether appends take no time.
        self.slow_calls_only = False
        # Requests that servers began, by window and customer.
        self.truth: dict[int, Counter[str]] = {}
        self._numbers = itertools.count()
        # Unanswered calls that are executed later, with their times.
        self._deferred: list[tuple[float, Callable[[], object]]] = []

    def make_state(self, identity: Identity) -> State:
        state = super().make_state(identity)
        state.duties = DutyState(self.duty_settings)
        marked = self.marks[-1][1] if self.marks else None
        records = RecordsRead(self.now, self.era, marked, None, [], 0)
        eras.on_records_read(state, self.now, records)
        self.eras_read.pop(identity.name, None)
        state.meter = UsageMeter(WINDOW_S, wall_zero_s=WALL_ZERO_S)
        return state

    def start_all(self, count: int, data_centres: int) -> list[str]:
        names = [f"i{number:03d}" for number in range(count)]
        for number, name in enumerate(names):
            self.add(name, f"dc{number % data_centres}", incarnation=f"{name}-1")
        self.begin(names)
        return names

    def restart(self, name: str) -> None:
        """Kill an instance and restart it."""
        centre = self.nodes[name].state.me.data_centre
        self.kill(name)
        self.add(name, centre, incarnation=f"{name}-{next(self._numbers) + 2}")
        self.give(name, WallClockRead(self.now + WALL_ZERO_S))

    def drill(self, age_s: float) -> None:
        """Have the store come back from a copy of an age."""
        kept = sum(at <= self.now - age_s for at in self.written_at)
        del self.records[kept:], self.written_at[kept:]
        self.marks = [each for each in self.marks if each[0] <= self.now - age_s]
        self.era += 1

    def reduce(self, state: State, now: float, event: Event) -> list[Effect]:
        return reducer_duties.reduce(state, now, event)

    def start(self, count: int, data_centres: int = 2) -> list[str]:
        """Start instances and wait until one holds the lease."""
        names = self.start_all(count, data_centres)
        for name in names:
            self.give(name, WallClockRead(self.now + WALL_ZERO_S))
        self.run_until(lambda: self.holder() is not None, 14.0)
        return names

    def holder(self) -> str | None:
        """Return the writer of the newest valid record, unless it released the lease."""
        if not self.records:
            return None
        value = self.records[-1][1]
        assert isinstance(value, dict)
        return None if value["act"] == "release" else str(value["by"][0])

    def serve(self, name: str, customer: str, count: int = 1) -> None:
        """Count requests that servers begin for an instance now."""
        node = self.nodes[name]
        if node.down or node.paused:
            return
        meter = node.state.meter
        assert meter is not None
        window = self.window()
        counts = meter.windows.setdefault(window, {})
        counts[customer] = counts.get(customer, 0) + count
        meter.changed_at = self.now
        self.truth.setdefault(window, Counter())[customer] += count

    def window(self) -> int:
        return int((self.now + WALL_ZERO_S) // WINDOW_S)

    def serve_all(self, names: list[str], seconds: float, step_s: float = 0.2) -> None:
        """Advance the time while all instances serve occasional requests."""
        for _ in range(round(seconds / step_s)):
            for name in names:
                if self.rng.random() < 0.3:
                    self.serve(name, f"customer-{self.rng.randrange(3)}")
            self.run(step_s)

    # --- the store and the platform ---

    def _perform(self, name: str, effects: list[Effect]) -> None:
        super()._perform(name, effects)
        for effect in effects:
            match effect:
                case AppendRecords():
                    self.lease_calls[name] += 1
                    self._append(name, effect)
                case ReadLog():
                    self.lease_calls[name] += 1
                    self._read(name, effect)
                case MarkEra(era) if self.store_answers(name) and era == self.era:
                    self.marks.append((self.now, era))
                    self._answer(name, EraMarked(era))
                case ReportUsage() | OrderServers():
                    self._call(name, effect)
                case _:
                    pass

    def _answer(self, name: str, event: Event, after_s: float = CALL_S) -> None:
        self._push(self.now + after_s, name, event)

    def _append(self, name: str, effect: AppendRecords) -> None:
        if not self.store_answers(name):
            failed = AppendFailed(effect.stream, effect.token, "no answer", True)
            self._answer(name, failed, TIMEOUT_S)
        elif self.write_delay_s and not self.slow_calls_only:
            failed = AppendFailed(effect.stream, effect.token, "no answer", True)
            self._execute_slowly(name, lambda: self._execute_append(effect), failed)
        elif self.rng.random() < self.lost_answers:
            # Half of these never take effect, the others later.
            if self.rng.random() < 0.5:
                self._defer(lambda: self._execute_append(effect))
            failed = AppendFailed(effect.stream, effect.token, "no answer", True)
            self._answer(name, failed, TIMEOUT_S)
        else:
            self._answer(name, self._execute_append(effect))

    def _execute_append(self, effect: AppendRecords) -> Event:
        if effect.expected_end is not None and effect.expected_end != len(self.records):
            return AppendFailed(effect.stream, effect.token, "status 412", False)
        first = len(self.records)
        self.records += zip(effect.keys, effect.records, strict=True)
        self.written_at += [self.now] * len(effect.keys)
        return AppendDone(effect.stream, effect.token, first, len(self.records), self.era)

    def _read(self, name: str, effect: ReadLog) -> None:
        if not self.store_answers(name):
            self._answer(name, LogFailed(effect.stream, "no answer"), TIMEOUT_S)
            return
        records = [LogRecord(offset, value) for offset, (_, value) in enumerate(self.records)]
        end = len(records)
        if effect.newest_by_key or self.eras_read.get(name) != self.era:
            self.eras_read[name] = self.era
            newest = {self.records[record.offset][0]: record for record in records}
            self._answer(name, LogNewest(effect.stream, tuple(newest.values()), end, self.era))
        else:
            later_records = tuple(record for record in records if record.offset >= effect.offset)
            self._answer(name, LogRead(effect.stream, later_records, end, self.era))

    def _call(self, name: str, effect: ReportUsage | OrderServers) -> None:
        if self.delays_calls_s is not None:
            execute = partial(self._execute_call, name, effect)
            self._deferred.append((self.now + self.delays_calls_s, execute))
            unknown = DutyAnswered(effect.token, DutyOutcome.UNKNOWN, "no answer")
            self._answer(name, unknown, TIMEOUT_S)
        elif self.write_delay_s:
            unknown = DutyAnswered(effect.token, DutyOutcome.UNKNOWN, "no answer")
            self._execute_slowly(
                name, lambda: DutyAnswered(effect.token, self._execute_call(name, effect)), unknown
            )
        elif not self.platform_answers(name):
            unknown = DutyAnswered(effect.token, DutyOutcome.UNKNOWN, "no answer")
            self._answer(name, unknown, TIMEOUT_S)
        elif self.rng.random() < self.lost_answers:
            if self.rng.random() < 0.5:
                self._defer(partial(self._execute_call, name, effect))
            unknown = DutyAnswered(effect.token, DutyOutcome.UNKNOWN, "no answer")
            self._answer(name, unknown, TIMEOUT_S)
        else:
            outcome = self.platform.carry_out(self.now, name, effect)
            self._answer(name, DutyAnswered(effect.token, outcome))

    def _execute_slowly(self, name: str, execute: Callable[[], Event], unanswered: Event) -> None:
        delay_s = self.write_delay_s

        def execute_and_answer() -> None:
            self._answer(name, execute(), delay_s / 2)

        self._deferred.append((self.now + delay_s / 2, execute_and_answer))
        if delay_s >= LEASE_S:
            self._answer(name, unanswered, LEASE_S)

    def _execute_call(self, name: str, effect: ReportUsage | OrderServers) -> DutyOutcome:
        return self.platform.carry_out(self.now, name, effect)

    @property
    def pending_calls(self) -> int:
        """The number of unanswered calls and appends that are executed later."""
        return len(self._deferred)

    def _defer(self, call: Callable[[], object]) -> None:
        self._deferred.append((self.now + DELAYED_EXECUTION_MAX_S * self.rng.random(), call))

    def _tick(self, name: str) -> None:
        for deferred in [deferred for deferred in self._deferred if deferred[0] <= self.now]:
            self._deferred.remove(deferred)
            deferred[1]()
        super()._tick(name)

    # --- assertions ---

    def reported(self) -> dict[int, dict[str, int]]:
        """Return the counts that the platform has accepted, by window."""
        return {call.window: call.counts for call in self.platform.accepted if call.window >= 0}

    def broken_rules(self) -> list[str]:
        """Return violations of the rule that one holder acts at a time."""
        violations: list[str] = []
        counts: dict[int, dict[str, int]] = {}
        holder_of: dict[int, str] = {}
        newest: dict[str, int] = {}
        order: dict[str, list[AcceptedCall]] = {}
        for call in self.platform.accepted:
            if call.window >= 0 and counts.setdefault(call.window, call.counts) != call.counts:
                violations.append(f"two reports of window {call.window} differ")
            if holder_of.setdefault(call.fence, call.holder) != call.holder:
                violations.append(f"fence {call.fence} of two holders")
            if call.fence < newest.get(call.subject, -1):
                violations.append(f"fence {call.fence} after {newest[call.subject]}")
            newest[call.subject] = max(call.fence, newest.get(call.subject, -1))
            previous = order.setdefault(call.subject, [])
            if not previous or previous[-1].holder != call.holder:
                if len(previous) > 1 and previous[-2].holder == call.holder:
                    last_at = max(
                        other.called_at
                        for other in self.platform.accepted
                        if other.subject == call.subject
                        and other.holder == call.holder
                        and other is not call
                        and other.called_at <= call.called_at
                    )
                    if call.called_at - last_at < LEASE_S:
                        violations.append(
                            f"{call.holder} acts again {call.called_at - last_at:.2f} s later"
                        )
                previous.append(call)
        return violations
