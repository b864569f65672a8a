"""What one run amounts to: attainment, goodput, wasted work, and what must never happen.

Everything is judged by the callers' own results and the servers' own records; what the router says
of itself is not asked.

- *Attainment*: the share of the offered calls that met the target of their class. A model call
  meets it when the caller got the whole answer, the first token came within the target, and 95 in
  100 gaps between tokens were within the gap target where the class has one; a plain call when its
  whole answer came in time. Refused and failed calls count as missed.
- *Goodput*: calls within target, and their tokens, over the time in which calls were sent. That
  time is the same for all policies, so a policy gains nothing by finishing late.
- *Wasted work*: tokens that engines generated and that reached no caller as part of a whole
  answer, as a share of those generated.
- *Lost*: calls whose callers were told no outcome, were told a wrong one (`completed` without the
  whole answer, `not_run` though a server's record shows a start), counted once each.
- *Doubled*: calls of one idempotency key that ran more than once, and answers that hold foreign,
  missing or repeated tokens.
"""

from __future__ import annotations

import statistics
from collections import Counter, defaultdict
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, Final

from turmericweir_standins.callers_check import CORRUPT, Check
from turmericweir_standins.callers_result import COMPLETED, NOT_RUN
from turmericweir_standins.engine_record import tokens_by_attempt
from turmericweir_standins.measure_run import Observation, Record
from turmericweir_standins.measure_scenarios import class_of

MS_PER_S: Final = 1000.0
_WHOLE: Final = (Check.WHOLE, Check.CAPPED)


@dataclass(frozen=True, slots=True)
class Figures:
    """The figures of one run; the field names are those of the file."""

    scenario: str
    policy: str
    attainment: dict[str, float]
    goodput_requests_s: float
    goodput_tokens_s: float
    wasted_share: float
    lost: int
    doubled: int
    shed: dict[str, int]
    longest_wait_s: dict[str, float]


def figures_of(seen: Observation) -> Figures:
    """Work out the figures of a run."""
    by_class: defaultdict[str, list[Record]] = defaultdict(list)
    for call in seen.calls:
        by_class[class_of(call["traffic"])].append(call)
    met = {name: _met(seen, name, calls) for name, calls in by_class.items()}
    good = [call for calls in met.values() for call in calls]
    generated = sum(tokens_by_attempt(seen.engine_records).values())
    delivered = sum(call["tokens"] for call in seen.calls if is_good(call))
    return Figures(
        scenario=seen.scenario.name,
        policy=seen.policy,
        attainment={name: len(met[name]) / len(calls) for name, calls in sorted(by_class.items())},
        goodput_requests_s=len(good) / seen.seconds,
        goodput_tokens_s=sum(call["tokens"] for call in good) / seen.seconds,
        wasted_share=max(0.0, 1 - delivered / generated) if generated else 0.0,
        lost=len(find_lost(seen)),
        doubled=len(find_doubled(seen)),
        shed={
            name: sum(call["outcome"] == NOT_RUN for call in calls)
            for name, calls in sorted(by_class.items())
        },
        longest_wait_s={
            name: max(_wait_s(call) for call in calls) for name, calls in sorted(by_class.items())
        },
    )


# --- targets ---


def _met(seen: Observation, name: str, calls: list[Record]) -> list[Record]:
    written = seen.scenario.deployment.classes[name]
    target_ms = written.get("first_token_target_ms") or written["latency_target_ms"]
    gap_ms = written.get("token_gap_target_ms")
    gap_s = None if gap_ms is None else gap_ms / MS_PER_S
    return [call for call in calls if _meets(call, target_ms / MS_PER_S, gap_s)]


def _meets(call: Record, target_s: float, gap_s: float | None) -> bool:
    if not is_good(call) or _wait_s(call) > target_s:
        return False
    gap = call["gaps_s"]["p95"]
    return gap_s is None or gap is None or bool(gap <= gap_s)


def is_good(call: Record) -> bool:
    """Tell whether the caller has the whole answer and was told so."""
    return call["outcome"] == COMPLETED and call["check"] in _WHOLE and not call["error"]


def _wait_s(call: Record) -> float:
    first: float | None = call["first_token_s"]
    total: float = call["total_s"]
    return total if first is None else first


# --- what must never happen ---


def find_lost(seen: Observation) -> list[str]:
    """Return a line for each call of which its caller was not told the truth."""
    started = _started(seen)
    found = []
    for call in seen.calls:
        fault = _untrue(call, started)
        if fault:
            found.append(f"{call['traffic']} {call['number']} ({call['request_id']}): {fault}")
    return found


def _started(seen: Observation) -> set[str]:
    engines = (each for each in seen.engine_records if each["event"] == "started")
    plain = (each for each in seen.service_records if each["event"] == "run")
    return {each["request_id"] for each in (*engines, *plain)}


def _untrue(call: Record, started: set[str]) -> str:
    if call["check"] in CORRUPT:
        # Counted among the doubled.
        return ""
    match call["outcome"]:
        case "":
            return f"told no outcome: {call['error'] or call['status']}"
        case "completed" if call["status"] < 400 and not is_good(call):
            return f"told completed, but the answer is {call['check']} {call['error']}"
        case "not_run" if call["request_id"] in started:
            return f"told not_run ({call['reason']}), but it was started"
        case _:
            return ""


def find_doubled(seen: Observation) -> list[str]:
    """Return a line for each second run of a key and each answer that is not the caller's own."""
    keys = Counter(each["key"] for each in seen.service_records if each["event"] == "run")
    found = [f"key {key}: {runs} runs" for key, runs in keys.items() if key and runs > 1]
    found += [
        f"{call['traffic']} {call['number']} ({call['request_id']}): answer is {call['check']}"
        for call in seen.calls
        if call["check"] in CORRUPT
    ]
    return found


# --- several runs ---


def median_of(runs: list[Figures]) -> Figures:
    """Return the medians of several runs; what must never happen is summed up instead."""
    first = runs[0]
    return Figures(
        scenario=first.scenario,
        policy=first.policy,
        attainment=_medians([each.attainment for each in runs]),
        goodput_requests_s=statistics.median(each.goodput_requests_s for each in runs),
        goodput_tokens_s=statistics.median(each.goodput_tokens_s for each in runs),
        wasted_share=statistics.median(each.wasted_share for each in runs),
        lost=sum(each.lost for each in runs),
        doubled=sum(each.doubled for each in runs),
        shed={name: round(value) for name, value in _medians([each.shed for each in runs]).items()},
        longest_wait_s=_medians([each.longest_wait_s for each in runs]),
    )


# Any: float or int, which Mapping does not let stand for each other.
def _medians(values: list[dict[str, Any]]) -> dict[str, float]:
    return {name: statistics.median(each[name] for each in values) for name in values[0]}


def outcomes_of(seen: Observation) -> Mapping[str, Mapping[str, int]]:
    """Count, for each class, the outcomes with their reasons."""
    counts: defaultdict[str, Counter[str]] = defaultdict(Counter)
    for call in seen.calls:
        told = call["outcome"] or "none"
        why = call["reason"] or call["error"]
        counts[class_of(call["traffic"])][f"{told} {why}".strip()] += 1
    return counts
