"""Continuous batching as a pure model: running and waiting sequences and the tokens of each step.

The caller passes the time as an argument. A step consists of two calls: `begin` fills the batch and
returns the duration of the step; `end`, after that time, emits one token for every decoding
sequence. Between the two, sequences may be submitted, aborted or cancelled.

Scheduling: the waiting sequences are ordered by priority (lower is more urgent), then by arrival.
`begin` starts them in this order while slots and KV memory are available. When the first of them
does not fit, the least urgent running sequence is preempted, if it is strictly less urgent. A
preempted sequence returns to its position among the waiting ones; its KV remains as an idle entry.
If this entry is evicted, the sequence is prefilled again. A sequence that exceeds the memory also
preempts the least urgent one, which may be the sequence itself.

Prefill: a sequence first occupies its slot for `ceil(tokens / 512)` steps, for the tokens that
neither its idle KV nor the prefix cache covers, and emits its first token in the following step.
"""

from __future__ import annotations

import bisect
from dataclasses import dataclass, field
from typing import Final

from turmericweir_standins.engine_answer import Answer, FinishReason, Prompt
from turmericweir_standins.engine_kv import IdleKv, KvMemory

PREFILL_TOKENS_PER_STEP: Final = 512
# How long the KV of a sequence is kept for a resume after its client has disconnected.
KV_RETENTION_S: Final = 5.0


@dataclass(frozen=True, slots=True)
class BatchConfig:
    """The size and speed of one engine."""

    slots: int = 16
    kv_tokens: int = 65536
    # Duration of a step with one running sequence.
    step_s: float = 0.006
    # The share of `step_s` that each additional running sequence adds to the step.
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
    # The first token to send; the client already has the earlier ones.
    start: int = 0
    # The next token to generate.
    position: int = field(init=False)
    # Order of arrival among sequences of equal priority; set at submission.
    arrival: int = field(init=False, default=0)
    # Remaining steps of prefill.
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
        """The number of tokens that this attempt generated, delivered or not."""
        return self.position - self.start


@dataclass(frozen=True, slots=True)
class Emission:
    """One token of one sequence; the text is empty if a resume had no token left to send."""

    sequence: Sequence
    text: str
    finish_reason: FinishReason | None


@dataclass(slots=True)
class StepResult:
    """The result of one step."""

    emissions: list[Emission] = field(default_factory=list)
    # Sequences that entered the batch for the first time since the last step.
    started: list[Sequence] = field(default_factory=list)
    # Sequences that were preempted since the last step.
    preempted: list[Sequence] = field(default_factory=list)
    # The sequence that crashes the engine; the tokens of this step are then not delivered.
    crashed_by: Sequence | None = None


class Batch:
    """The sequences of one engine."""

    config: BatchConfig
    kv: KvMemory
    # Sequences in the batch.
    running: list[Sequence]
    # Waiting sequences, most urgent first.
    waiting: list[Sequence]
    # Sequences started and preempted since the last `end`.
    _started: list[Sequence]
    _preempted: list[Sequence]
    # Number of submitted sequences.
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
        """Add a new sequence to the waiting ones."""
        self._arrivals += 1
        sequence.arrival = self._arrivals
        self._add_waiting(sequence)

    def abort(self, sequence: Sequence, now: float) -> None:
        """Stop a sequence whose client disconnected; its KV is kept for a resume."""
        if sequence in self.running:
            self.running.remove(sequence)
            self._park(sequence, now + KV_RETENTION_S)
            return
        self._remove_waiting(sequence)
        kv = self.kv.drop_idle(sequence.request_id)
        if kv is not None:
            limited = IdleKv(kv.prompt_id, kv.tokens, now + KV_RETENTION_S)
            self.kv.import_idle(sequence.request_id, limited)

    def cancel(self, sequence: Sequence) -> None:
        """Stop a sequence and free its KV."""
        if sequence in self.running:
            self.running.remove(sequence)
            self.kv.release(sequence.kv_tokens)
            return
        self._remove_waiting(sequence)
        self.kv.drop_idle(sequence.request_id)

    def begin(self, now: float) -> float | None:
        """Fill the batch; return the duration of the step, or None if no sequence runs."""
        self.kv.expire(now)
        while self.waiting and self._start_first():
            pass
        if not self.running:
            return None
        return self.config.step_s * (1 + self.config.slope * (len(self.running) - 1))

    def end(self) -> StepResult:
        """Finish the step that `begin` started."""
        result = StepResult()
        # The most urgent sequences grow first; a shortage of memory affects the least urgent ones.
        for sequence in sorted(self.running, key=lambda each: each.urgency):
            if sequence not in self.running:
                continue
            if sequence.prefill_steps > 0:
                self._prefill(sequence)
                continue
            if not self._can_continue(sequence):
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
        """Return the running and waiting sequences of an attempt."""
        return [
            sequence
            for sequence in (*self.running, *self.waiting)
            if sequence.request_id == request_id and sequence.attempt_id == attempt_id
        ]

    def export_kv(self, request_id: str) -> IdleKv | None:
        """Return a copy of a request's KV, running or idle."""
        for sequence in self.running:
            if sequence.request_id == request_id and sequence.prefill_steps == 0:
                return IdleKv(sequence.prompt.prompt_id, sequence.kv_tokens)
        return self.kv.idle(request_id)

    # Scheduling.

    def _start_first(self) -> bool:
        """Start the first waiting sequence, with preemption if needed; False if it must wait."""
        sequence = self.waiting[0]
        tokens = sequence.prompt.tokens + sequence.position
        if not self._can_fit(sequence, tokens):
            return False
        while len(self.running) >= self.config.slots or not self.kv.can_hold(tokens):
            self._preempt(max(self.running, key=lambda each: each.urgency))
        # Preempted sequences are less urgent; the first waiting sequence is still this one.
        del self.waiting[0]
        self._start(sequence, tokens)
        return True

    def _can_fit(self, sequence: Sequence, tokens: int) -> bool:
        """Return whether a sequence would fit after preempting all less urgent ones."""
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
        self._add_waiting(sequence)

    def _park(self, sequence: Sequence, expires_at: float | None = None) -> None:
        """Leave the KV of a sequence that no longer runs as an idle entry."""
        if sequence.prefill_steps > 0:
            # An incomplete prefill can't be used.
            self.kv.release(sequence.kv_tokens)
        else:
            prompt_id = sequence.prompt.prompt_id
            idle = IdleKv(prompt_id, sequence.kv_tokens)
            if expires_at is not None:
                idle = IdleKv(prompt_id, sequence.kv_tokens, expires_at)
            self.kv.park(sequence.request_id, idle)
        sequence.kv_tokens = 0

    def _add_waiting(self, sequence: Sequence) -> None:
        bisect.insort(self.waiting, sequence, key=lambda each: each.urgency)

    def _remove_waiting(self, sequence: Sequence) -> None:
        if sequence in self.waiting:
            self.waiting.remove(sequence)

    # One sequence in one step.

    def _prefill(self, sequence: Sequence) -> None:
        sequence.prefill_steps -= 1
        if sequence.prefill_steps == 0:
            self.kv.store_prefixes(sequence.prompt.prefixes)

    def _can_continue(self, sequence: Sequence) -> bool:
        # A resume without a token left to send needs no memory. Prevents an endless wait if the
        # sequence fills the whole memory.
        return sequence.position >= sequence.answer.length or self._grow(sequence)

    def _grow(self, sequence: Sequence) -> bool:
        """Make room for another token; False if the sequence itself was preempted."""
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
