"""The results of the load callers: one for each call, and their summary by class.

Times are measured from the planned time of a call. Prevents coordinated omission: a delayed caller
would otherwise hide its delay. `late_s` is the delay caused by the callers themselves; if it is not
small, the run has measured the callers.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import asdict, dataclass, field, replace
from typing import Final

from turmericweir_standins.callers_check import CORRUPT, Check

COMPLETED: Final = "completed"
NOT_RUN: Final = "not_run"
FIRST_ERROR_STATUS: Final = 400
OUTCOMES: Final = frozenset({COMPLETED, NOT_RUN, "failed", "unknown"})


@dataclass(slots=True)
class CallResult:
    """The result of one call."""

    traffic: str
    number: int
    # The entry address to which it was sent.
    entry: str = ""
    # The idempotency key; None for a call without one.
    key: str | None = None
    # The request id of the answer; empty without an answer.
    request_id: str = ""
    # The HTTP status; None without an answer.
    status: int | None = None
    # The reported outcome and its reason; empty if none was reported.
    outcome: str = ""
    reason: str = ""
    check: Check = Check.NONE
    # Whether a stream ended with [DONE].
    done: bool = False
    # Why the HTTP answer is incomplete; empty for a complete one.
    error: str = ""
    tokens: int = 0
    # The planned time, and the times of sending, of the first token and of the end after it.
    planned_s: float = 0.0
    late_s: float = 0.0
    first_token_s: float | None = None
    total_s: float = 0.0
    # Times between the tokens of a streamed answer.
    gaps_s: list[float] = field(default_factory=list)
    # The target of its class; None without a target.
    target_s: float | None = None

    @property
    def is_good(self) -> bool:
        """Whether the answer is complete and was reported as completed."""
        is_complete = self.check in (Check.WHOLE, Check.CAPPED)
        return self.outcome == COMPLETED and is_complete and not self.error

    @property
    def is_in_time(self) -> bool:
        """Whether the answer is good and met the target of its class."""
        if not self.is_good:
            return False
        if self.target_s is None:
            return True
        latency_s = self.total_s if self.first_token_s is None else self.first_token_s
        return latency_s <= self.target_s

    def violations(self) -> list[str]:
        """Return the violations of the router's promises in this result."""
        violations = []
        if self.check in CORRUPT:
            violations.append(f"answer is {self.check}")
        # A server's error is forwarded as a completed answer; there is nothing to compare.
        succeeded = self.status is not None and self.status < FIRST_ERROR_STATUS
        if self.outcome == COMPLETED and succeeded and not self.error and not self.is_good:
            violations.append(f"reported completed, but the answer is {self.check}")
        if self.outcome == NOT_RUN and self.tokens:
            violations.append("reported not_run after tokens were received")
        if self.done and self.outcome != COMPLETED:
            violations.append(f"[DONE] with outcome {self.outcome!r}")
        if self.status is not None and not self.error and self.outcome not in OUTCOMES:
            violations.append(
                f"complete answer of status {self.status} with outcome {self.outcome!r}"
            )
        return violations


@dataclass(frozen=True, slots=True)
class Spread:
    """The distribution of some times; all None without values."""

    p50: float | None
    p95: float | None
    p99: float | None
    most: float | None


@dataclass(frozen=True, slots=True)
class ClassSummary:
    """The summary of the calls of one class."""

    calls: int
    # Calls by outcome; "none" if none was reported.
    outcomes: dict[str, int]
    reasons: dict[str, int]
    errors: dict[str, int]
    # Share of all calls with a good answer in time; None without calls.
    attainment: float | None
    # Good answers in time per second.
    goodput: float
    tokens: int
    first_token_s: Spread
    total_s: Spread
    gaps_s: Spread


@dataclass(frozen=True, slots=True)
class Report:
    """The summary of a run."""

    duration_s: float
    classes: dict[str, ClassSummary]
    # One line for each violation.
    violations: list[str]
    # Delay of sending by the callers; see the module's doc string.
    late_s: Spread


def summarise(results: Sequence[CallResult], duration_s: float) -> Report:
    """Summarise the results of a run."""
    names = sorted({result.traffic for result in results})
    classes = {
        name: _summarise_class([each for each in results if each.traffic == name], duration_s)
        for name in names
    }
    late_s = spread_of(result.late_s for result in results)
    return Report(duration_s, classes, find_violations(results), late_s)


def find_violations(results: Iterable[CallResult]) -> list[str]:
    """Return the violations of all results, including repeated request ids."""
    violations: list[str] = []
    call_by_request_id: dict[str, str] = {}
    for result in results:
        call = f"{result.traffic} {result.number} ({result.request_id or 'no id'})"
        violations.extend(f"{call}: {each}" for each in result.violations())
        if not result.request_id:
            continue
        if result.request_id in call_by_request_id:
            violations.append(f"{call}: the request id of {call_by_request_id[result.request_id]}")
        call_by_request_id[result.request_id] = call
    return violations


def result_record(result: CallResult) -> dict[str, object]:
    """Return the JSON form of a result, with the distribution of its gaps between tokens."""
    # Removed first, since `asdict` would copy each gap.
    record = asdict(replace(result, gaps_s=[]))
    record["gaps_s"] = asdict(spread_of(result.gaps_s))
    return record


def spread_of(values: Iterable[float]) -> Spread:
    """Return the percentiles of the values, by nearest rank."""
    ordered = sorted(values)
    if not ordered:
        return Spread(None, None, None, None)
    p50, p95, p99 = (_percentile(ordered, share) for share in (0.50, 0.95, 0.99))
    return Spread(p50, p95, p99, ordered[-1])


def _percentile(ordered: Sequence[float], share: float) -> float:
    return ordered[max(0, math.ceil(share * len(ordered)) - 1)]


def _summarise_class(results: Sequence[CallResult], duration_s: float) -> ClassSummary:
    in_time = sum(result.is_in_time for result in results)
    good = [result for result in results if result.is_good]
    return ClassSummary(
        calls=len(results),
        outcomes=dict(Counter(result.outcome or "none" for result in results)),
        reasons=dict(Counter(result.reason for result in results if result.reason)),
        errors=dict(Counter(result.error for result in results if result.error)),
        attainment=in_time / len(results) if results else None,
        goodput=in_time / duration_s,
        tokens=sum(result.tokens for result in results),
        first_token_s=spread_of(
            result.first_token_s for result in good if result.first_token_s is not None
        ),
        total_s=spread_of(result.total_s for result in good),
        gaps_s=spread_of(gap for result in good for gap in result.gaps_s),
    )
