"""The caller of `make soak` whose requests crash engines and are sent repeatedly.

Each fault sends a new prompt through one instance after the other. The answers are evaluated like
those of other calls: `failed` is allowed, a false `not_run` is not. The crashes per prompt are
counted in the engines' records.
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

TRAFFIC_NAME: Final = "crashing"
CALL_TIMEOUT_S: Final = 90.0


@dataclass(frozen=True, slots=True)
class SentPrompt:
    """One call with a crashing prompt."""

    # The number of the prompt.
    prompt: int
    # Time of sending, by the monotonic clock.
    sent_at: float
    result: CallResult


class CrashingCaller:
    """A caller that sends prompts that crash engines."""

    sent_prompts: list[SentPrompt]

    def __init__(self, traffic: Traffic) -> None:
        # Gives the model and the customer of the prompts.
        self._traffic = traffic
        self.sent_prompts = []

    def send(self, prompt: int, instances: Sequence[Instance]) -> None:
        """Send one prompt through each of these instances, regardless of the answers."""
        for number, instance in enumerate(instances):
            sent_at = time.monotonic()
            result = CallResult(traffic=TRAFFIC_NAME, number=number, entry=instance.address)
            self._call(instance, prompt, result)
            result.total_s = time.monotonic() - sent_at
            self.sent_prompts.append(SentPrompt(prompt, sent_at, result))

    def _call(self, instance: Instance, prompt: int, result: CallResult) -> None:
        messages = [{"role": "user", "content": f"Quote number {prompt}. {CRASH_MARKER}"}]
        body = {"model": self._traffic.model, "messages": messages, "stream": False}
        headers = {"Authorization": f"Bearer {self._traffic.tokens[0]}"}
        try:
            answer = call_json(
                instance.address, "POST", "/v1/chat/completions", body, headers, CALL_TIMEOUT_S
            )
        except (OSError, http.client.HTTPException, ValueError) as exc:
            result.error = type(exc).__name__
            return
        result.status = answer.status
        result.request_id = answer.headers.get(REQUEST_ID_HEADER, "")
        result.outcome = answer.headers.get(OUTCOME_HEADER, "")
        result.reason = str(answer.body.get("reason", ""))

    # Any: the fields of a result.
    def calls(self, started_at: float) -> list[dict[str, Any]]:
        """Return the results of the calls in the form of the other callers' results."""
        results = []
        for sent_prompt in self.sent_prompts:
            sent_prompt.result.planned_s = sent_prompt.sent_at - started_at
            results.append(asdict(sent_prompt.result))
        return results

    def most_crashes(self, engine_records: Iterable[dict[str, Any]]) -> int:
        """Return the highest number of crashes that one prompt caused."""
        prompts = {each.result.request_id: each.prompt for each in self.sent_prompts}
        crashed = (each["request_id"] for each in engine_records if each["event"] == "crash")
        counts = Counter(prompts[request] for request in crashed if request in prompts)
        return max(counts.values(), default=0)
