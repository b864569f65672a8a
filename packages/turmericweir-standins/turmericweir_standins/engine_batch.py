"""Continuous batching as a pure model: what runs, what waits, and what a step emits.

The caller passes the time in and holds the clock. One step is two calls: `begin` fills the batch
and says how long the step takes; `end`, after that time, emits one token for every sequence that
decodes. Between the two, sequences may be submitted, aborted or cancelled.

Scheduling: the waiting sequences are ordered by priority (lower is more urgent), then by arrival.
`begin` starts them in that order while slots and KV memory last. When the first of them does not
fit, the least urgent running sequence is preempted for it, if that one is strictly less urgent.
The preempted one goes back to its place among the waiting; its KV stays behind as an idle entry,
and if memory runs short that entry is evicted and the sequence is prefilled anew. A sequence that
outgrows the memory preempts the least urgent one too, which may be itself.

Prefill: a sequence first occupies its slot for `ceil(tokens / 512)` steps, for the tokens that
neither its own idle KV nor the prefix cache covers, and emits its first token in the step after.
"""

from __future__ import annotations

import bisect
from dataclasses import dataclass, field
from typing import Final

from turmericweir_standins.engine_answer import Answer, FinishReason, Prompt
from turmericweir_standins.engine_kv import IdleKv, KvMemory

PREFILL_TOKENS_PER_STEP: Final = 512
# How long the KV of a sequence whose client went away waits for a resume.
KV_RETENTION_S: Final = 5.0


@dataclass(frozen=True, slots=True)
class BatchConfig:
    """The size and the speed of one engine."""

    slots: int = 16
    kv_tokens: int = 65536
    # Duration of a step with one running sequence.
    step_s: float = 0.006
    # By which part of `step_s` each further running sequence lengthens the step.
    slope: float = 0.02


@dataclass(slots=True, eq=False)
class Sequence:
    """One attempt at one request, from submission to its end."""

    request_id: str
    attempt_id: str
    model: str
    priority: int
    prompt: Prompt
    answer: Answer
    # The first token to send; the client has those before it.
    start: int = 0
    # The next token to generate.
    position: int = field(init=False)
    # Order of arrival, which breaks ties of priority; set at submission.
    arrival: int = field(init=False, default=0)
    # Steps of prefill still to do.
    prefill_steps: int = field(init=False, default=0)
    # KV tokens held while it runs.
    kv_tokens: int = field(init=False, default=0)
    # Whether it was ever in the batch.
    started: bool = field(init=False, default=False)
    # How often it was preempted.
    preemptions: int = field(init=False, default=0)

    def __post_init__(self) -> None:
        self.position = self.start

    @property
    def urgency(self) -> tuple[int, int]:
        """The order of scheduling: the smallest runs first."""
        return (self.priority, self.arrival)

    @property
    def generated(self) -> int:
        """How many tokens this attempt generated, whether they were delivered or not."""
        return self.position - self.start


@dataclass(frozen=True, slots=True)
class Emission:
    """One token of one sequence; the text is empty when a resume had none left to send."""

    sequence: Sequence
    text: str
    finish_reason: FinishReason | None


@dataclass(slots=True)
class StepResult:
    """What one step did."""

    emissions: list[Emission] = field(default_factory=list)
    # Sequences that entered the batch for the first time since the last step.
    started: list[Sequence] = field(default_factory=list)
    # Sequences that were preempted since the last step.
    preempted: list[Sequence] = field(default_factory=list)
    # The sequence that makes the engine crash; nothing of this step was delivered then.
    crashed_by: Sequence | None = None


class Batch:
    """The sequences of one engine."""

    config: BatchConfig
    kv: KvMemory
    # Sequences in the batch.
    running: list[Sequence]
    # Sequences that wait, most urgent first.
    waiting: list[Sequence]
    # What scheduling did since the last `end`.
    _started: list[Sequence]
    _preempted: list[Sequence]
    # Sequences submitted so far.
    _arrivals: int

    def __init__(self, config: BatchConfig) -> None:
        self.config = config
        self.kv = KvMemory(config.kv_tokens)
        self.running = []
        self.waiting = []
        self._started = []
        self._preempted = []
        self._arrivals = 0

    def submit(self, sequence: Sequence) -> None:
        """Put a new sequence among the waiting."""
        self._arrivals += 1
        sequence.arrival = self._arrivals
        self._wait(sequence)

    def abort(self, sequence: Sequence, now: float) -> None:
        """Stop a sequence whose client went away; its KV stays for a while for a resume."""
        if sequence in self.running:
            self.running.remove(sequence)
            self._park(sequence, now + KV_RETENTION_S)
            return
        self._forget_waiting(sequence)
        kv = self.kv.drop_idle(sequence.request_id)
        if kv is not None:
            limited = IdleKv(kv.prompt_id, kv.tokens, now + KV_RETENTION_S)
            self.kv.import_idle(sequence.request_id, limited)

    def cancel(self, sequence: Sequence) -> None:
        """Stop a sequence for good and free its KV."""
        if sequence in self.running:
            self.running.remove(sequence)
            self.kv.release(sequence.kv_tokens)
            return
        self._forget_waiting(sequence)
        self.kv.drop_idle(sequence.request_id)

    def begin(self, now: float) -> float | None:
        """Fill the batch; return the duration of the step, or None when there is nothing to run."""
        self.kv.expire(now)
        while self.waiting and self._start_first():
            pass
        if not self.running:
            return None
        return self.config.step_s * (1 + self.config.slope * (len(self.running) - 1))

    def end(self) -> StepResult:
        """Finish the step that `begin` started."""
        result = StepResult()
        # The most urgent grow first, so that a shortage of memory hits the least urgent.
        for sequence in sorted(self.running, key=lambda each: each.urgency):
            if sequence not in self.running:
                continue
            if sequence.prefill_steps > 0:
                self._prefill(sequence)
                continue
            if not self._can_go_on(sequence):
                continue
            if sequence.prompt.crashes:
                result.crashed_by = sequence
                sequence.position += 1
                break
            result.emissions.append(self._emit(sequence))
        result.started, self._started = self._started, []
        result.preempted, self._preempted = self._preempted, []
        return result

    def find(self, request_id: str, attempt_id: str) -> list[Sequence]:
        """Return the sequences of an attempt that run or wait."""
        return [
            sequence
            for sequence in (*self.running, *self.waiting)
            if sequence.request_id == request_id and sequence.attempt_id == attempt_id
        ]

    def export_kv(self, request_id: str) -> IdleKv | None:
        """Return a copy of the KV that a request holds here, running or not."""
        for sequence in self.running:
            if sequence.request_id == request_id and sequence.prefill_steps == 0:
                return IdleKv(sequence.prompt.prompt_id, sequence.kv_tokens)
        return self.kv.idle(request_id)

    # Scheduling.

    def _start_first(self) -> bool:
        """Start the first waiting sequence, preempting if need be; False if it must wait."""
        sequence = self.waiting[0]
        tokens = sequence.prompt.tokens + sequence.position
        if not self._can_fit(sequence, tokens):
            return False
        while len(self.running) >= self.config.slots or not self.kv.can_hold(tokens):
            self._preempt(max(self.running, key=lambda each: each.urgency))
        # A preempted one may not come before the one that it was preempted for.
        del self.waiting[0]
        self._start(sequence, tokens)
        return True

    def _can_fit(self, sequence: Sequence, tokens: int) -> bool:
        """Tell whether preempting all that is less urgent would make enough room."""
        victims = [each for each in self.running if each.priority > sequence.priority]
        if len(self.running) - len(victims) >= self.config.slots:
            return False
        freed = sum(each.kv_tokens for each in victims)
        return self.kv.can_hold(tokens - freed)

    def _start(self, sequence: Sequence, tokens: int) -> None:
        idle = self.kv.drop_idle(sequence.request_id)
        covered = 0
        if idle is not None and idle.prompt_id == sequence.prompt.prompt_id:
            covered = idle.tokens
        covered = max(covered, self.kv.cached_tokens(sequence.prompt.prefixes))
        uncovered = max(0, tokens - covered)
        sequence.prefill_steps = -(-uncovered // PREFILL_TOKENS_PER_STEP)
        self.kv.acquire(tokens)
        sequence.kv_tokens = tokens
        self.running.append(sequence)
        if not sequence.started:
            sequence.started = True
            self._started.append(sequence)

    def _preempt(self, sequence: Sequence) -> None:
        self.running.remove(sequence)
        self._park(sequence)
        sequence.preemptions += 1
        self._preempted.append(sequence)
        self._wait(sequence)

    def _park(self, sequence: Sequence, expires: float | None = None) -> None:
        """Leave the KV of a sequence that no longer runs as an idle entry."""
        if sequence.prefill_steps > 0:
            # A half-done prefill is of no use to anyone.
            self.kv.release(sequence.kv_tokens)
        else:
            prompt_id = sequence.prompt.prompt_id
            idle = IdleKv(prompt_id, sequence.kv_tokens)
            if expires is not None:
                idle = IdleKv(prompt_id, sequence.kv_tokens, expires)
            self.kv.park(sequence.request_id, idle)
        sequence.kv_tokens = 0

    def _wait(self, sequence: Sequence) -> None:
        bisect.insort(self.waiting, sequence, key=lambda each: each.urgency)

    def _forget_waiting(self, sequence: Sequence) -> None:
        if sequence in self.waiting:
            self.waiting.remove(sequence)

    # One sequence in one step.

    def _prefill(self, sequence: Sequence) -> None:
        sequence.prefill_steps -= 1
        if sequence.prefill_steps == 0:
            self.kv.store_prefixes(sequence.prompt.prefixes)

    def _can_go_on(self, sequence: Sequence) -> bool:
        # A resume with no token left to send needs no memory and, in a memory that it fills to the
        # last token, could never get any.
        return sequence.position >= sequence.answer.length or self._grow(sequence)

    def _grow(self, sequence: Sequence) -> bool:
        """Make room for one more token; False if the sequence itself was preempted for it."""
        while not self.kv.acquire(1):
            victim = max(self.running, key=lambda each: each.urgency)
            self._preempt(victim)
            if victim is sequence:
                return False
        sequence.kv_tokens += 1
        return True

    def _emit(self, sequence: Sequence) -> Emission:
        text = ""
        if sequence.position < sequence.answer.length:
            text = sequence.answer.token(sequence.position)
            sequence.position += 1
        if sequence.position < sequence.answer.length:
            return Emission(sequence, text, None)
        self.running.remove(sequence)
        self.kv.release(sequence.kv_tokens)
        return Emission(sequence, text, sequence.answer.finish_reason)
