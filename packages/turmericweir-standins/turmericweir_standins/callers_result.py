"""What the load callers found: one result for each call, and what they amount to by class.

Times run from the moment at which the plan wanted a call sent, not from when it was sent: a caller
that is held up would otherwise hide the delay that it suffered. `late_s` tells how much of a time
is the callers' own doing; a run in which it is not small measured the callers.
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
    """What became of one call."""

    traffic: str
    number: int
    # The entry address to which it was sent.
    entry: str = ""
    # The idempotency key; None for a call without one.
    key: str | None = None
    # What the answer named; empty when no answer began.
    request_id: str = ""
    # None when no answer began.
    status: int | None = None
    # The outcome and its reason as told; empty when the caller was told none.
    outcome: str = ""
    reason: str = ""
    check: Check = Check.NONE
    # Whether a stream ended with [DONE].
    done: bool = False
    # Why the caller has no whole HTTP answer; empty when it has one.
    error: str = ""
    tokens: int = 0
    # When it was planned and, after that, when it was sent, began and ended. Seconds.
    planned_s: float = 0.0
    late_s: float = 0.0
    first_token_s: float | None = None
    total_s: float = 0.0
    # Times between the tokens of a streamed answer.
    gaps_s: list[float] = field(default_factory=list)
    # The target of its class; None where there is none.
    target_s: float | None = None

    @property
    def good(self) -> bool:
        """Whether the caller has the whole answer and was told so."""
        whole = self.check in (Check.WHOLE, Check.CAPPED)
        return self.outcome == COMPLETED and whole and not self.error

    @property
    def in_time(self) -> bool:
        """Whether the answer is good and met the target of its class."""
        if not self.good:
            return False
        if self.target_s is None:
            return True
        taken_s = self.total_s if self.first_token_s is None else self.first_token_s
        return taken_s <= self.target_s

    def violations(self) -> list[str]:
        """Return what a caller must never see and this one saw."""
        found = []
        if self.check in CORRUPT:
            found.append(f"answer is {self.check}")
        # A server's own error is passed on as its completed answer, with nothing to compare.
        succeeded = self.status is not None and self.status < FIRST_ERROR_STATUS
        if self.outcome == COMPLETED and succeeded and not self.error and not self.good:
            found.append(f"told completed, but the answer is {self.check}")
        if self.outcome == NOT_RUN and self.tokens:
            found.append("told not_run after tokens had come")
        if self.done and self.outcome != COMPLETED:
            found.append(f"[DONE] with outcome {self.outcome!r}")
        if self.status is not None and not self.error and self.outcome not in OUTCOMES:
            found.append(f"whole answer of status {self.status} with outcome {self.outcome!r}")
        return found


@dataclass(frozen=True, slots=True)
class Spread:
    """How some times are spread; all None where there are none."""

    p50: float | None
    p95: float | None
    p99: float | None
    most: float | None


@dataclass(frozen=True, slots=True)
class ClassSummary:
    """What the calls of one class amount to."""

    calls: int
    # Calls by outcome; "none" where the caller was told none.
    outcomes: dict[str, int]
    reasons: dict[str, int]
    errors: dict[str, int]
    # Share of all calls with a good answer in time; None without calls.
    attainment: float | None
    # Good answers in time, a second.
    goodput: float
    tokens: int
    first_token_s: Spread
    total_s: Spread
    gaps_s: Spread


@dataclass(frozen=True, slots=True)
class Report:
    """What a whole run amounts to."""

    duration_s: float
    classes: dict[str, ClassSummary]
    # One line for each thing that no caller may see.
    violations: list[str]
    # How late the callers sent; see the module's text.
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
    """Return everything that no caller may see, over all results."""
    found: list[str] = []
    seen: dict[str, str] = {}
    for result in results:
        call = f"{result.traffic} {result.number} ({result.request_id or 'no id'})"
        found.extend(f"{call}: {violation}" for violation in result.violations())
        if not result.request_id:
            continue
        if result.request_id in seen:
            found.append(f"{call}: the request id of {seen[result.request_id]}")
        seen[result.request_id] = call
    return found


def result_record(result: CallResult) -> dict[str, object]:
    """Return a result as JSON holds it; its gaps between tokens are summed up."""
    # Taken out first: `asdict` would copy each gap.
    value = asdict(replace(result, gaps_s=[]))
    value["gaps_s"] = asdict(spread_of(result.gaps_s))
    return value


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
    in_time = sum(result.in_time for result in results)
    good = [result for result in results if result.good]
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
