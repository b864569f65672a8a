"""One engine in real time: it runs the steps of the batch and distributes the generated tokens.

`Engine` owns all state that a crash resets. `run` makes the steps; the HTTP interface submits
sequences and reads their `TokenStream`s. Everything runs on one event loop, and no call interrupts
a step.
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
    """The generated tokens of one sequence that its reader has not taken yet."""

    sequence: Final[Sequence]
    # The outcome of the sequence; None while it runs or waits.
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
        """End the stream with an outcome."""
        self.outcome = outcome
        self._changed.set()

    async def take(self) -> list[Emission]:
        """Wait for tokens and return all pending ones; an empty list after the end."""
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
    # Changes with each start, also after a crash.
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
        self._reset()

    # Calls of the HTTP interface.

    def submit(self, sequence: Sequence) -> TokenStream:
        """Submit a sequence to the batch and return its stream."""
        stream = TokenStream(sequence)
        self._streams[sequence] = stream
        self.batch.submit(sequence)
        self._wake.set()
        self.observe()
        return stream

    def abandon(self, stream: TokenStream) -> None:
        """Abort the stream's sequence if it has not ended; its reader has disconnected."""
        if stream.sequence in self._streams:
            self.batch.abort(stream.sequence, anyio.current_time())
            self._end(stream.sequence, "aborted")
            self.observe()

    def has_streams(self) -> bool:
        """Return whether any sequence runs or waits."""
        return bool(self._streams)

    def cancel(self, request_id: str, attempt_id: str) -> int | None:
        """Cancel an attempt; return the tokens it generated, or None for an unknown attempt."""
        sequences = self.batch.find(request_id, attempt_id)
        for sequence in sequences:
            self.batch.cancel(sequence)
            self._end(sequence, "cancelled")
        self.observe()
        return sum(sequence.generated for sequence in sequences) if sequences else None

    def execute(self, order: Order) -> OrderState:
        """Execute an order; raise StaleFenceError if its fencing number is stale."""
        try:
            state = self.models.execute(order, anyio.current_time())
        except StaleFenceError as exc:
            self.record.order(order, "refused", exc.fence)
            raise
        self.record.order(order, state, self.models.fence)
        self.observe()
        return state

    def import_kv(self, request_id: str, prompt_id: str, tokens: int) -> bool:
        """Store KV of another engine for a resume; False if it does not fit."""
        kv = IdleKv(prompt_id, tokens, anyio.current_time() + KV_RETENTION_S)
        return self.batch.kv.import_idle(request_id, kv)

    def load_report(self) -> LoadReport:
        """Return the load report that is visible at present."""
        if self.options.report_lag_s == 0:
            self.observe()
        return self._reports.read(anyio.current_time())

    def cache_log(self) -> CacheLog:
        """Return the log of cache events, up to date."""
        self._log_cache_changes()
        return self._cache_log

    async def wait_unfrozen(self) -> None:
        """Wait until the engine is not frozen."""
        await self.controls.wait_until(lambda table: not table.frozen)

    # Steps.

    async def run(self) -> None:
        """Make steps until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._observe_regularly)
            tasks.start_soon(self._record_progress)
            await self._make_steps()

    async def _make_steps(self) -> None:
        step_ends_at = anyio.current_time()
        while True:
            await self.wait_unfrozen()
            duration = self.batch.begin(anyio.current_time())
            if duration is None:
                self._wake = anyio.Event()
                await self._wake.wait()
                step_ends_at = anyio.current_time()
                continue
            self._step_s = duration * self.controls.table.slow_factor
            step_ends_at = self._next_step_end(step_ends_at, anyio.current_time())
            await anyio.sleep_until(step_ends_at)
            self._deliver(self.batch.end())

    def _next_step_end(self, last_ends_at: float, now: float) -> float:
        """Return the time at which the step ends.

        Steps are timed from the planned end of the last one, since timers fire late; this keeps the
        mean pace exact. Prevents a burst of steps after a delay of more than one step, which is
        timed from the present.
        """
        start = last_ends_at if now - last_ends_at < self._step_s else now
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
            # Like a real crash, this flushes and closes nothing.
            os._exit(CRASH_EXIT_CODE)
        # The connections are closed first. Prevents uvicorn from answering a request whose handler
        # ends while its connection is open.
        self._listener.vanish(self.options.down_s)
        self._reset()
        for stream in streams.values():
            stream.end("crashed")

    def _reset(self) -> None:
        options = self.options
        self.incarnation = uuid.uuid4().hex
        self.batch = Batch(options.batch)
        self.models = ModelTable(options.models, options.load_s, options.check_fence)
        self._reports = LaggedReports(options.report_lag_s)
        self._cache_log = CacheLog(options.cache_lag_s, options.cache_gap_every)
        self._streams = {}
        self._step_s = options.batch.step_s
        self.record.incarnation_started(self.incarnation)
        self._reports.observe(anyio.current_time(), self._report)

    # Reports and events.

    def observe(self) -> None:
        """Add the present state to the load reports and the cache events."""
        self._log_cache_changes()
        if not self.controls.table.report_frozen:
            self._reports.observe(anyio.current_time(), self._report)

    def _log_cache_changes(self) -> None:
        now = anyio.current_time()
        for change in self.batch.kv.drain_changes():
            self._cache_log.append(now, change)

    async def _observe_regularly(self) -> None:
        """Report changes that only time causes, such as the end of a load."""
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
