"""The caller of `make soak` whose request crashes each engine that runs it, and who sends it again.

Each time it strikes with a new prompt, through one instance after the other. What it was told is
judged like any other call: it may be told that the request failed, never falsely that it did not
run. How many crashes one prompt made is counted from the engines' records.
"""

from __future__ import annotations

import http.client
import time
from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import asdict, dataclass
from typing import Any, Final

from turmericweir_standins.callers import OUTCOME_HEADER, REQUEST_ID_HEADER
from turmericweir_standins.callers_result import CallResult
from turmericweir_standins.callers_workload import Traffic
from turmericweir_standins.deployment import Instance
from turmericweir_standins.measure_scenarios import CRASH_MARKER
from turmericweir_standins.procs import call_json

NAME: Final = "crashing"
CALL_S: Final = 90.0


@dataclass(frozen=True, slots=True)
class Sent:
    """One time that a prompt was sent."""

    prompt: int
    # By the monotonic clock.
    start: float
    result: CallResult


class CrashingCaller:
    """Sends prompts that crash engines."""

    sent: list[Sent]

    def __init__(self, traffic: Traffic) -> None:
        # Whose model and customer the prompts go by.
        self._traffic = traffic
        self.sent = []

    def send(self, prompt: int, instances: Sequence[Instance]) -> None:
        """Send one prompt through each of these instances, whatever the answers are."""
        for number, instance in enumerate(instances):
            start = time.monotonic()
            result = CallResult(traffic=NAME, number=number, entry=instance.address)
            self._call(instance, prompt, result)
            result.total_s = time.monotonic() - start
            self.sent.append(Sent(prompt, start, result))

    def _call(self, instance: Instance, prompt: int, result: CallResult) -> None:
        messages = [{"role": "user", "content": f"Quote number {prompt}. {CRASH_MARKER}"}]
        body = {"model": self._traffic.model, "messages": messages, "stream": False}
        headers = {"Authorization": f"Bearer {self._traffic.tokens[0]}"}
        try:
            answer = call_json(
                instance.address, "POST", "/v1/chat/completions", body, headers, CALL_S
            )
        except (OSError, http.client.HTTPException, ValueError) as exc:
            result.error = type(exc).__name__
            return
        result.status = answer.status
        result.request_id = answer.headers.get(REQUEST_ID_HEADER, "")
        result.outcome = answer.headers.get(OUTCOME_HEADER, "")
        result.reason = str(answer.body.get("reason", ""))

    # Any: a line of a record, whatever fields its event has.
    def calls(self, began: float) -> list[dict[str, Any]]:
        """Give what became of the calls, as the other callers write it."""
        found = []
        for each in self.sent:
            each.result.planned_s = each.start - began
            found.append(asdict(each.result))
        return found

    def most_crashes(self, engine_records: Iterable[dict[str, Any]]) -> int:
        """Count the crashes that the prompt with the most of them made."""
        prompts = {each.result.request_id: each.prompt for each in self.sent}
        crashed = (each["request_id"] for each in engine_records if each["event"] == "crash")
        counts = Counter(prompts[request] for request in crashed if request in prompts)
        return max(counts.values(), default=0)
