"""What the load callers send, and when: a plan that the seed alone decides.

Arrivals are open-loop: each class of traffic arrives as a Poisson process of its own rate, which
bursts raise for a time, and a call is sent at its time however many earlier ones are unanswered.
`plan` gives the arrivals; `prompt_of` and `plain_body` give what each call says. Each class draws
from generators of its own, so that a change to one leaves the plan of the others as it was.
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
    """What is called."""

    MODEL = "model"
    PLAIN = "plain"


@dataclass(frozen=True, slots=True)
class Burst:
    """A time in which a class arrives faster."""

    start_s: float
    length_s: float
    # Multiplies the rate of the class.
    factor: float
    # Repeats the burst at this period; None for a single one.
    every_s: float | None = None

    def covers(self, at_s: float) -> bool:
        """Tell whether the burst is on at this time."""
        since_s = at_s - self.start_s
        if since_s >= 0 and self.every_s is not None:
            since_s %= self.every_s
        return 0 <= since_s < self.length_s


@dataclass(frozen=True, slots=True)
class AnswerLength:
    """How many tokens the answers have: lognormal, within bounds."""

    median: float
    # Standard deviation of the logarithm; 0 makes all answers the median long.
    spread: float = 0.0
    least: int = 1
    most: int = 4000


@dataclass(frozen=True, slots=True)
class Traffic:
    """One class of traffic."""

    # What results are gathered by, such as the name of the service class.
    name: str
    kind: Kind
    # Calls a second, without bursts.
    rate: float
    # The bearer tokens of the customers that send it; one listed twice sends twice as much.
    tokens: tuple[str, ...]
    # The model; empty for plain calls.
    model: str = ""
    # The path of plain calls; `{n}` becomes the call's number. Model calls have a fixed one.
    path: str = "/v1/chat/completions"
    method: str = "POST"
    # Whether each plain call carries an idempotency key of its own.
    keyed: bool = False
    # Whether answers of models are streamed.
    stream: bool = True
    bursts: tuple[Burst, ...] = ()
    # Words of the prompt that all calls of the class begin with, and of those of its own.
    shared_words: int = 0
    prompt_words: int = 40
    # None leaves the length to the engine.
    answer: AnswerLength | None = None
    max_tokens: int | None = None
    # Sent as the caller's deadline; None leaves it to the service class.
    deadline_s: float | None = None
    # Time to the first token, or to the whole answer of a plain call, that counts as in time.
    target_s: float | None = None
    # How long the caller waits for the end of the answer before it hangs up.
    patience_s: float = 120.0


@dataclass(frozen=True, slots=True)
class Workload:
    """Everything that one run sends."""

    traffic: tuple[Traffic, ...]
    duration_s: float
    seed: int = 0


@dataclass(frozen=True, slots=True)
class PlannedCall:
    """One call of the plan."""

    # When it is sent, from the start of the run.
    at_s: float
    # Its place among the calls of its class.
    number: int
    traffic: Traffic
    token: str
    # Length marker of the prompt; None for none.
    answer_tokens: int | None
    # Where in the text its own words start.
    text_start: int


_WORKLOAD: Final = TypeAdapter(Workload)


def parse_workload(data: bytes) -> Workload:
    """Read a workload from JSON."""
    return _WORKLOAD.validate_json(data)


def plan(workload: Workload) -> list[PlannedCall]:
    """Return all calls of the workload in the order in which they are sent."""
    calls = [call for traffic in workload.traffic for call in _plan_class(workload, traffic)]
    return sorted(calls, key=lambda call: (call.at_s, call.traffic.name, call.number))


def prompt_of(call: PlannedCall) -> list[ChatMessage]:
    """Return the messages of a model call; no two calls of a run share them."""
    traffic = call.traffic
    messages = []
    if traffic.shared_words:
        messages.append(ChatMessage(role="system", content=_text(0, traffic.shared_words)))
    marker = "" if call.answer_tokens is None else f" [len={call.answer_tokens}]"
    own = _text(call.text_start, traffic.prompt_words)
    content = f"{traffic.name} {call.number}: {own}{marker}"
    return [*messages, ChatMessage(role="user", content=content)]


def plain_body(call: PlannedCall) -> str:
    """Return the body of a plain call, which the service echoes."""
    return f"{call.traffic.name} {call.number}: {_text(call.text_start, call.traffic.prompt_words)}"


def idempotency_key(call: PlannedCall, run_id: str) -> str:
    """Return the key of a keyed call."""
    return f"{run_id}-{call.traffic.name}-{call.number}"


def _plan_class(workload: Workload, traffic: Traffic) -> Iterator[PlannedCall]:
    # Times and contents are drawn apart, so that a longer answer moves no arrival.
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
    """Draw at the highest rate that can occur, and keep each arrival with the share in force."""
    factors = [burst.factor for burst in traffic.bursts]
    highest = traffic.rate * math.prod(factor for factor in factors if factor > 1)
    if highest <= 0:
        return
    at_s = rng.expovariate(highest)
    while at_s < duration_s:
        if rng.random() * highest < _rate_at(traffic, at_s):
            yield at_s
        at_s += rng.expovariate(highest)


def _rate_at(traffic: Traffic, at_s: float) -> float:
    factors = (burst.factor for burst in traffic.bursts if burst.covers(at_s))
    return traffic.rate * math.prod(factors)


def _answer_tokens(rng: random.Random, length: AnswerLength | None) -> int | None:
    if length is None:
        return None
    drawn = length.median * math.exp(rng.gauss(0, 1) * length.spread)
    return max(length.least, min(length.most, round(drawn)))


def _make_words() -> list[str]:
    rng = random.Random("words of the load callers")
    return ["".join(rng.choices(_SYLLABLES, k=3)) for _ in range(WORD_COUNT)]


# Prompts are cut out of one text: to draw each word anew would cost more than sending the call.
_WORDS: Final = _make_words()


def _text(start: int, count: int) -> str:
    words = _WORDS[start : start + count]
    while len(words) < count:
        words += _WORDS[: count - len(words)]
    return " ".join(words)
