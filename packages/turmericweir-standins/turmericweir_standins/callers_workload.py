"""The workload of the load callers: a plan of calls that depends only on the seed.

Arrivals are open-loop: each class of traffic is a Poisson process with its own rate, which bursts
increase for some time, and each call is sent at its time regardless of unanswered ones. `plan`
returns the arrivals; `prompt_of` and `plain_body` return the contents. Each class has separate
random generators; a change of one class does not affect the plan of the others.
"""

from __future__ import annotations

import enum
import math
import random
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

from pydantic import TypeAdapter

from turmericweir_standins.engine_answer import ChatMessage

WORD_COUNT: Final = 4096
_SYLLABLES: Final = ("ka", "lo", "mi", "ne", "ru", "sa", "to", "vi")


class Kind(enum.StrEnum):
    """The kind of the target of a call."""

    MODEL = "model"
    PLAIN = "plain"


@dataclass(frozen=True, slots=True)
class Burst:
    """A period in which the rate of a class is multiplied."""

    start_s: float
    length_s: float
    # Multiplies the rate of the class.
    factor: float
    # Time between repetitions of the burst; None for a single one.
    every_s: float | None = None

    def covers(self, at_s: float) -> bool:
        """Return whether the burst is active at this time."""
        since_s = at_s - self.start_s
        if since_s >= 0 and self.every_s is not None:
            since_s %= self.every_s
        return 0 <= since_s < self.length_s


@dataclass(frozen=True, slots=True)
class AnswerLength:
    """The distribution of answer lengths in tokens: lognormal, within bounds."""

    median: float
    # Standard deviation of the logarithm; 0 gives all answers the median length.
    spread: float = 0.0
    least: int = 1
    most: int = 4000


@dataclass(frozen=True, slots=True)
class Traffic:
    """One class of traffic."""

    # The name in the results, such as the name of the service class.
    name: str
    kind: Kind
    # Calls per second, without bursts.
    rate: float
    # The bearer tokens of the sending customers; a repeated one sends twice as much.
    tokens: tuple[str, ...]
    # The model; empty for plain calls.
    model: str = ""
    # The path of plain calls; `{n}` is replaced by the call's number. Model calls have a fixed one.
    path: str = "/v1/chat/completions"
    method: str = "POST"
    # Whether each plain call has a unique idempotency key.
    keyed: bool = False
    # Whether answers of models are streamed.
    stream: bool = True
    bursts: tuple[Burst, ...] = ()
    # Words at the beginning of all prompts of the class, and words unique to each prompt.
    shared_words: int = 0
    prompt_words: int = 40
    # None for the length that the engine derives from the prompt.
    answer: AnswerLength | None = None
    max_tokens: int | None = None
    # Sent as the caller's deadline; None for the default of the service class.
    deadline_s: float | None = None
    # Maximum time to the first token, or to the end of a plain call, that counts as in time.
    target_s: float | None = None
    # How long the caller waits for the end of the answer before it disconnects.
    patience_s: float = 120.0


@dataclass(frozen=True, slots=True)
class Workload:
    """All traffic of one run."""

    traffic: tuple[Traffic, ...]
    duration_s: float
    seed: int = 0


@dataclass(frozen=True, slots=True)
class PlannedCall:
    """One call of the plan."""

    # Time of sending since the start of the run.
    at_s: float
    # Its position among the calls of its class.
    number: int
    traffic: Traffic
    token: str
    # Length marker of the prompt; None for a prompt without one.
    answer_tokens: int | None
    # Index in `_WORDS` of its first unique word.
    text_start: int


_WORKLOAD: Final = TypeAdapter(Workload)


def parse_workload(data: bytes) -> Workload:
    """Parse a workload from JSON."""
    return _WORKLOAD.validate_json(data)


def plan(workload: Workload) -> list[PlannedCall]:
    """Return all calls of the workload in the order of sending."""
    calls = [call for traffic in workload.traffic for call in _plan_class(workload, traffic)]
    return sorted(calls, key=lambda call: (call.at_s, call.traffic.name, call.number))


def prompt_of(call: PlannedCall) -> list[ChatMessage]:
    """Return the messages of a model call; they are unique within a run."""
    traffic = call.traffic
    messages = []
    if traffic.shared_words:
        messages.append(ChatMessage(role="system", content=_text(0, traffic.shared_words)))
    marker = "" if call.answer_tokens is None else f" [len={call.answer_tokens}]"
    unique_text = _text(call.text_start, traffic.prompt_words)
    content = f"{traffic.name} {call.number}: {unique_text}{marker}"
    return [*messages, ChatMessage(role="user", content=content)]


def plain_body(call: PlannedCall) -> str:
    """Return the body of a plain call, which the service echoes."""
    return f"{call.traffic.name} {call.number}: {_text(call.text_start, call.traffic.prompt_words)}"


def idempotency_key(call: PlannedCall, run_id: str) -> str:
    """Return the key of a keyed call."""
    return f"{run_id}-{call.traffic.name}-{call.number}"


def _plan_class(workload: Workload, traffic: Traffic) -> Iterator[PlannedCall]:
    # Separate generators: a change of the contents does not affect the arrival times.
    times = random.Random(f"{workload.seed}/{traffic.name}/times")
    contents = random.Random(f"{workload.seed}/{traffic.name}/contents")
    for number, at_s in enumerate(_arrivals(times, traffic, workload.duration_s)):
        yield PlannedCall(
            at_s=at_s,
            number=number,
            traffic=traffic,
            token=contents.choice(traffic.tokens),
            answer_tokens=_answer_tokens(contents, traffic.answer),
            text_start=contents.randrange(WORD_COUNT),
        )


def _arrivals(rng: random.Random, traffic: Traffic, duration_s: float) -> Iterator[float]:
    """Yield the arrival times: drawn at the maximum rate and thinned to the present rate."""
    factors = [burst.factor for burst in traffic.bursts]
    max_rate = traffic.rate * math.prod(factor for factor in factors if factor > 1)
    if max_rate <= 0:
        return
    at_s = rng.expovariate(max_rate)
    while at_s < duration_s:
        if rng.random() * max_rate < _rate_at(traffic, at_s):
            yield at_s
        at_s += rng.expovariate(max_rate)


def _rate_at(traffic: Traffic, at_s: float) -> float:
    factors = (burst.factor for burst in traffic.bursts if burst.covers(at_s))
    return traffic.rate * math.prod(factors)


def _answer_tokens(rng: random.Random, length: AnswerLength | None) -> int | None:
    if length is None:
        return None
    length_tokens = length.median * math.exp(rng.gauss(0, 1) * length.spread)
    return max(length.least, min(length.most, round(length_tokens)))


def _make_words() -> list[str]:
    rng = random.Random("words of the load callers")
    return ["".join(rng.choices(_SYLLABLES, k=3)) for _ in range(WORD_COUNT)]


# Prompts are parts of one text, since drawing each word would cost more than sending the call.
_WORDS: Final = _make_words()


def _text(start: int, count: int) -> str:
    words = _WORDS[start : start + count]
    while len(words) < count:
        words += _WORDS[: count - len(words)]
    return " ".join(words)
