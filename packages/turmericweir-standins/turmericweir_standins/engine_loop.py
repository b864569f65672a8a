"""One engine in real time: it drives the batch and hands out what the batch generates.

`Engine` owns everything that a crash forgets. `run` makes the steps; the HTTP side submits
sequences and reads their `TokenStream`s. All of it runs on one loop, so no call here is ever
interleaved with a step.
"""

from __future__ import annotations

import os
import uuid
from typing import Final

import anyio

from turmericweir_standins.behaviour import Controls
from turmericweir_standins.engine_batch import KV_RETENTION_S, Batch, Emission, Sequence, StepResult
from turmericweir_standins.engine_kv import IdleKv
from turmericweir_standins.engine_lag import CacheLog, LaggedReports, LoadReport
from turmericweir_standins.engine_models import ModelTable, Order, OrderState, StaleFenceError
from turmericweir_standins.engine_options import CrashMode, EngineBehaviour, EngineOptions
from turmericweir_standins.engine_record import EndOutcome, EngineRecord
from turmericweir_standins.listener import Listener

CRASH_EXIT_CODE: Final = 9
OBSERVE_INTERVAL_S: Final = 0.05
PROGRESS_INTERVAL_S: Final = 1.0


class TokenStream:
    """What the batch generated for one sequence and its reader has not taken yet."""

    sequence: Final[Sequence]
    # How the sequence ended; None while it runs or waits.
    outcome: EndOutcome | None
    _pending: list[Emission]
    _changed: anyio.Event

    def __init__(self, sequence: Sequence) -> None:
        self.sequence = sequence
        self.outcome = None
        self._pending = []
        self._changed = anyio.Event()

    def push(self, emission: Emission) -> None:
        """Add one token."""
        self._pending.append(emission)
        self._changed.set()

    def end(self, outcome: EndOutcome) -> None:
        """Say that no more tokens will come."""
        self.outcome = outcome
        self._changed.set()

    async def take(self) -> list[Emission]:
        """Wait for tokens and return all there are; an empty list once the stream has ended."""
        while not self._pending and self.outcome is None:
            await self._changed.wait()
            self._changed = anyio.Event()
        taken, self._pending = self._pending, []
        return taken


class Engine:
    """One engine: its batch, its models, and its streams."""

    options: Final[EngineOptions]
    controls: Final[Controls[EngineBehaviour]]
    record: Final[EngineRecord]
    # New with each start, also after a crash.
    incarnation: str
    batch: Batch
    models: ModelTable
    _reports: LaggedReports
    _cache_log: CacheLog
    # The streams of all sequences that have not ended.
    _streams: dict[Sequence, TokenStream]
    # Duration of the last step.
    _step_s: float
    # Set when the batch may have something to run again.
    _wake: anyio.Event
    _listener: Listener

    def __init__(
        self,
        options: EngineOptions,
        controls: Controls[EngineBehaviour],
        record: EngineRecord,
        listener: Listener,
    ) -> None:
        self.options = options
        self.controls = controls
        self.record = record
        self._listener = listener
        self._wake = anyio.Event()
        self._forget_everything()

    # What the HTTP side asks for.

    def submit(self, sequence: Sequence) -> TokenStream:
        """Let a sequence wait for the batch."""
        stream = TokenStream(sequence)
        self._streams[sequence] = stream
        self.batch.submit(sequence)
        self._wake.set()
        self.observe()
        return stream

    def abandon(self, stream: TokenStream) -> None:
        """Abort the stream's sequence if it has not ended; its reader went away."""
        if stream.sequence in self._streams:
            self.batch.abort(stream.sequence, anyio.current_time())
            self._end(stream.sequence, "aborted")
            self.observe()

    def has_streams(self) -> bool:
        """Tell whether any sequence runs or waits."""
        return bool(self._streams)

    def cancel(self, request_id: str, attempt_id: str) -> int | None:
        """Cancel an attempt; return the tokens it generated, or None if it is not here."""
        found = self.batch.find(request_id, attempt_id)
        for sequence in found:
            self.batch.cancel(sequence)
            self._end(sequence, "cancelled")
        self.observe()
        return sum(sequence.generated for sequence in found) if found else None

    def obey(self, order: Order) -> OrderState:
        """Carry out an order; raise StaleFenceError if its number is old."""
        try:
            state = self.models.obey(order, anyio.current_time())
        except StaleFenceError as exc:
            self.record.order(order, "refused", exc.fence)
            raise
        self.record.order(order, state, self.models.fence)
        self.observe()
        return state

    def import_kv(self, request_id: str, prompt_id: str, tokens: int) -> bool:
        """Keep KV from another engine for a resume; False if there is no room."""
        kv = IdleKv(prompt_id, tokens, anyio.current_time() + KV_RETENTION_S)
        return self.batch.kv.import_idle(request_id, kv)

    def load_report(self) -> LoadReport:
        """Return the load report that may be seen now."""
        if self.options.report_lag_s == 0:
            self.observe()
        return self._reports.read(anyio.current_time())

    def cache_log(self) -> CacheLog:
        """Return the log of cache events, up to date."""
        self._log_cache_changes()
        return self._cache_log

    async def while_frozen(self) -> None:
        """Return once the engine is not frozen."""
        await self.controls.wait_until(lambda table: not table.frozen)

    # Steps.

    async def run(self) -> None:
        """Make steps for ever."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._observe_regularly)
            tasks.start_soon(self._record_progress)
            await self._make_steps()

    async def _make_steps(self) -> None:
        due = anyio.current_time()
        while True:
            await self.while_frozen()
            duration = self.batch.begin(anyio.current_time())
            if duration is None:
                self._wake = anyio.Event()
                await self._wake.wait()
                due = anyio.current_time()
                continue
            self._step_s = duration * self.controls.table.slow_factor
            due = self._next_due(due, anyio.current_time())
            await anyio.sleep_until(due)
            self._deliver(self.batch.end())

    def _next_due(self, last_due: float, now: float) -> float:
        """Return when the step ends.

        Timers fire late. Counting from when the last step was due keeps the mean pace exact; only
        an engine that is more than a step late counts from now, so that it makes no burst.
        """
        start = last_due if now - last_due < self._step_s else now
        return start + self._step_s

    def _deliver(self, result: StepResult) -> None:
        for sequence in result.started:
            self.record.started(sequence)
        for sequence in result.preempted:
            self.record.preempted(sequence)
        if result.crashed_by is not None:
            self._crash(result.crashed_by)
            return
        for emission in result.emissions:
            self._streams[emission.sequence].push(emission)
            if emission.finish_reason is not None:
                self._end(emission.sequence, "finished")
        self.observe()

    def _end(self, sequence: Sequence, outcome: EndOutcome) -> None:
        self.record.ended(sequence, outcome)
        self._streams.pop(sequence).end(outcome)

    # Crashes.

    def _crash(self, by: Sequence) -> None:
        self.record.crashed(by)
        streams = self._streams
        for sequence in streams:
            self.record.ended(sequence, "crashed")
        if self.options.crash_mode is CrashMode.EXIT:
            # As a real crash, it flushes and closes nothing.
            os._exit(CRASH_EXIT_CODE)
        # The connections go first: a handler that ends on an open connection would make uvicorn
        # answer it, and a crashed engine answers nothing.
        self._listener.vanish(self.options.down_s)
        self._forget_everything()
        for stream in streams.values():
            stream.end("crashed")

    def _forget_everything(self) -> None:
        options = self.options
        self.incarnation = uuid.uuid4().hex
        self.batch = Batch(options.batch)
        self.models = ModelTable(options.models, options.load_s, options.check_fence)
        self._reports = LaggedReports(options.report_lag_s)
        self._cache_log = CacheLog(options.cache_lag_s, options.cache_gap_every)
        self._streams = {}
        self._step_s = options.batch.step_s
        self.record.life_began(self.incarnation)
        self._reports.observe(anyio.current_time(), self._report)

    # What others see of it.

    def observe(self) -> None:
        """Take the present state into the load reports and the cache events."""
        self._log_cache_changes()
        if not self.controls.table.report_frozen:
            self._reports.observe(anyio.current_time(), self._report)

    def _log_cache_changes(self) -> None:
        now = anyio.current_time()
        for change in self.batch.kv.drain_changes():
            self._cache_log.append(now, change)

    async def _observe_regularly(self) -> None:
        """Notice also what changes by time alone, such as the end of a load."""
        while True:
            await anyio.sleep(OBSERVE_INTERVAL_S)
            self.batch.kv.expire(anyio.current_time())
            self.observe()

    async def _record_progress(self) -> None:
        while True:
            await anyio.sleep(PROGRESS_INTERVAL_S)
            self.record.progress(self._streams)

    def _report(self, seq: int) -> LoadReport:
        now = anyio.current_time()
        return LoadReport(
            name=self.options.name,
            incarnation=self.incarnation,
            seq=seq,
            running=len(self.batch.running),
            waiting=len(self.batch.waiting),
            slots=self.options.batch.slots,
            kv_used=self.batch.kv.used,
            kv_total=self.options.batch.kv_tokens,
            step_ms=self._step_s * 1000,
            models=self.models.loaded(now),
            role=self.models.role,
            leaving=self.controls.table.leaving,
            fence=self.models.fence,
            loading=self.models.loading(now),
        )
