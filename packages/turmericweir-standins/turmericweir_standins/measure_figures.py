"""The figures of one run: attainment, goodput, wasted work, and lost or doubled calls.

They are computed from the callers' results and the servers' records, not from reports of the
router.

- *Attainment*: the share of the offered calls that met the target of their class. A model call
  meets it if the answer is complete, the first token arrived within the target, and the 95th
  percentile of the gaps between tokens is within the gap target, if the class has one; a plain call
  if its complete answer arrived in time. Refused and failed calls count as missed.
- *Goodput*: calls within their target, and their tokens, divided by the time in which calls were
  sent. This time is the same for all policies.
- *Wasted work*: the share of the generated tokens that did not reach a caller as part of a complete
  answer.
- *Lost*: calls without an outcome or with a false one (`completed` without the complete answer, or
  `not_run` although a server's record shows a start), counted once each.
- *Doubled*: idempotency keys that ran more than once, and answers with foreign, missing or repeated
  tokens.
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
_COMPLETE: Final = (Check.WHOLE, Check.CAPPED)


@dataclass(frozen=True, slots=True)
class Figures:
    """The figures of one run; the fields are those of the file."""

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


def figures_of(observation: Observation) -> Figures:
    """Return the figures of a run."""
    by_class: defaultdict[str, list[Record]] = defaultdict(list)
    for call in observation.calls:
        by_class[class_of(call["traffic"])].append(call)
    calls_in_time = {
        name: _calls_in_time(observation, name, calls) for name, calls in by_class.items()
    }
    good_calls = [call for calls in calls_in_time.values() for call in calls]
    generated = sum(tokens_by_attempt(observation.engine_records).values())
    delivered = sum(call["tokens"] for call in observation.calls if is_good(call))
    return Figures(
        scenario=observation.scenario.name,
        policy=observation.policy,
        attainment={
            name: len(calls_in_time[name]) / len(calls) for name, calls in sorted(by_class.items())
        },
        goodput_requests_s=len(good_calls) / observation.seconds,
        goodput_tokens_s=sum(call["tokens"] for call in good_calls) / observation.seconds,
        wasted_share=max(0.0, 1 - delivered / generated) if generated else 0.0,
        lost=len(find_lost(observation)),
        doubled=len(find_doubled(observation)),
        shed={
            name: sum(call["outcome"] == NOT_RUN for call in calls)
            for name, calls in sorted(by_class.items())
        },
        longest_wait_s={
            name: max(_wait_s(call) for call in calls) for name, calls in sorted(by_class.items())
        },
    )


# --- targets ---


def _calls_in_time(observation: Observation, name: str, calls: list[Record]) -> list[Record]:
    class_settings = observation.scenario.deployment.classes[name]
    target_ms = class_settings.get("first_token_target_ms") or class_settings["latency_target_ms"]
    gap_ms = class_settings.get("token_gap_target_ms")
    gap_s = None if gap_ms is None else gap_ms / MS_PER_S
    return [call for call in calls if _is_in_time(call, target_ms / MS_PER_S, gap_s)]


def _is_in_time(call: Record, target_s: float, gap_s: float | None) -> bool:
    if not is_good(call) or _wait_s(call) > target_s:
        return False
    gap_p95_s = call["gaps_s"]["p95"]
    return gap_s is None or gap_p95_s is None or bool(gap_p95_s <= gap_s)


def is_good(call: Record) -> bool:
    """Return whether the answer is complete and was reported as completed."""
    return call["outcome"] == COMPLETED and call["check"] in _COMPLETE and not call["error"]


def _wait_s(call: Record) -> float:
    first: float | None = call["first_token_s"]
    total: float = call["total_s"]
    return total if first is None else first


# --- lost and doubled calls ---


def find_lost(observation: Observation) -> list[str]:
    """Return a line for each call without an outcome or with a false one."""
    started = _started_ids(observation)
    lines = []
    for call in observation.calls:
        fault = _outcome_fault(call, started)
        if fault:
            lines.append(f"{call['traffic']} {call['number']} ({call['request_id']}): {fault}")
    return lines


def _started_ids(observation: Observation) -> set[str]:
    engines = (each for each in observation.engine_records if each["event"] == "started")
    plain = (each for each in observation.service_records if each["event"] == "run")
    return {each["request_id"] for each in (*engines, *plain)}


def _outcome_fault(call: Record, started: set[str]) -> str:
    if call["check"] in CORRUPT:
        # Counted as doubled.
        return ""
    match call["outcome"]:
        case "":
            return f"no outcome reported: {call['error'] or call['status']}"
        case "completed" if call["status"] < 400 and not is_good(call):
            return f"reported completed, but the answer is {call['check']} {call['error']}"
        case "not_run" if call["request_id"] in started:
            return f"reported not_run ({call['reason']}), but it was started"
        case _:
            return ""


def find_doubled(observation: Observation) -> list[str]:
    """Return a line for each key that ran repeatedly and each corrupt answer."""
    keys = Counter(each["key"] for each in observation.service_records if each["event"] == "run")
    lines = [f"key {key}: {runs} runs" for key, runs in keys.items() if key and runs > 1]
    lines += [
        f"{call['traffic']} {call['number']} ({call['request_id']}): answer is {call['check']}"
        for call in observation.calls
        if call["check"] in CORRUPT
    ]
    return lines


# --- several runs ---


def median_of(runs: list[Figures]) -> Figures:
    """Return the medians of several runs; lost and doubled calls are summed up instead."""
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


# Any: float or int values.
def _medians(values: list[dict[str, Any]]) -> dict[str, float]:
    return {name: statistics.median(each[name] for each in values) for name in values[0]}


def outcomes_of(observation: Observation) -> Mapping[str, Mapping[str, int]]:
    """Return the number of calls by outcome and reason, for each class."""
    counts: defaultdict[str, Counter[str]] = defaultdict(Counter)
    for call in observation.calls:
        outcome = call["outcome"] or "none"
        reason = call["reason"] or call["error"]
        counts[class_of(call["traffic"])][f"{outcome} {reason}".strip()] += 1
    return counts
