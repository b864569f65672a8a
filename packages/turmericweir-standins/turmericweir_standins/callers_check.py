"""Parse the event streams that callers receive, and compare answers with the expected ones.

An engine's answer is a function of its prompt (see `engine_answer`), and each token identifies its
answer and its position. The comparison distinguishes lost, doubled and foreign tokens.
"""

from __future__ import annotations

import enum
import re
from dataclasses import dataclass
from typing import Any, Final

import orjson

from turmericweir_standins.engine_answer import Answer

OUTCOME_EVENT: Final = "turmericweir.outcome"
DONE: Final = b"[DONE]"
_TOKEN: Final = re.compile(r"([0-9a-f]{8})\.(\d+) ")
_NO_EVENT_NAME: Final = "message"


class Check(enum.StrEnum):
    """The result of comparing an answer with the expected one."""

    # Exactly the expected answer.
    WHOLE = "whole"
    # The beginning of the expected answer, possibly empty.
    PARTIAL = "partial"
    # The beginning of the expected answer; the engine ended it for lack of memory.
    CAPPED = "capped"
    # Tokens are missing in the middle.
    LOST = "lost"
    # Tokens are repeated, or there are more than expected.
    DOUBLED = "doubled"
    # Tokens of another answer.
    FOREIGN = "foreign"
    # Not a sequence of tokens.
    MALFORMED = "malformed"
    # There is no answer to compare, for example after a refusal.
    NONE = "none"


# Results that are faults with any outcome.
CORRUPT: Final = frozenset({Check.LOST, Check.DOUBLED, Check.FOREIGN, Check.MALFORMED})


def check_text(text: str, expected: Answer, finish_reason: str | None) -> Check:
    """Compare the text of an answer with the expected one."""
    expected_text = expected.text()
    if text == expected_text:
        return Check.WHOLE
    if expected_text.startswith(text):
        # The text may end within a token, which is not a fault.
        return Check.CAPPED if finish_reason == "length" else Check.PARTIAL
    return _find_fault(text, expected)


def check_echo(answer: object, body: str, key: str | None) -> Check:
    """Compare a plain service's answer with the request that it echoes."""
    if not isinstance(answer, dict) or "echo" not in answer:
        return Check.MALFORMED
    if answer["echo"] != body or answer.get("key") != key:
        return Check.FOREIGN
    # Without a key the service counts by request id, and a safe retry may increase the count.
    if key is not None and answer.get("run") != 1:
        return Check.DOUBLED
    return Check.WHOLE


def _find_fault(text: str, expected: Answer) -> Check:
    next_index = 0
    offset = 0
    while (token := _TOKEN.match(text, offset)) is not None:
        if token[1] != expected.text_hash:
            return Check.FOREIGN
        index = int(token[2])
        if index != next_index or index >= expected.length:
            return Check.LOST if next_index < index < expected.length else Check.DOUBLED
        next_index += 1
        offset = token.end()
    return Check.MALFORMED


@dataclass(frozen=True, slots=True)
class Event:
    """One server-sent event."""

    name: str
    data: bytes


class EventReader:
    """Split the bytes of an event stream into events."""

    # Bytes of an incomplete event.
    _rest: bytes

    def __init__(self) -> None:
        self._rest = b""

    def feed(self, data: bytes) -> list[Event]:
        """Add bytes and return the events that they complete."""
        *blocks, self._rest = (self._rest + data).split(b"\n\n")
        events = [_event(block) for block in blocks]
        # A block without data, such as a keep-alive comment, is not an event.
        return [event for event in events if event.data]


def _event(block: bytes) -> Event:
    if block.startswith(b"data: ") and b"\n" not in block:
        # Fast path for the most frequent form of event.
        return Event(_NO_EVENT_NAME, block[6:])
    name = _NO_EVENT_NAME
    data = []
    for line in block.split(b"\n"):
        field, _, value = line.partition(b":")
        if field == b"event":
            name = value.strip().decode()
        elif field == b"data":
            data.append(value.removeprefix(b" "))
    return Event(name, b"\n".join(data))


class StreamText:
    """The tokens of one streamed completion and the end of the stream."""

    # The text of each token.
    tokens: list[str]
    finish_reason: str | None
    # The last outcome event. Any: its JSON fields.
    outcome: dict[str, Any] | None
    # Whether the stream ended with [DONE].
    done: bool
    # Events other than tokens and outcomes, such as an engine's error.
    other_events: int

    def __init__(self) -> None:
        self.tokens = []
        self.finish_reason = None
        self.outcome = None
        self.done = False
        self.other_events = 0

    def add(self, event: Event) -> bool:
        """Add one event; return whether it contained a token."""
        if event.data == DONE:
            self.done = True
            return False
        value = orjson.loads(event.data)
        if event.name == OUTCOME_EVENT:
            self.outcome = value
            return False
        if event.name != _NO_EVENT_NAME or not value.get("choices"):
            self.other_events += 1
            return False
        return self._add_choice(value["choices"][0])

    # Any: a choice of a chunk, as defined by the protocol.
    def _add_choice(self, choice: dict[str, Any]) -> bool:
        self.finish_reason = choice.get("finish_reason") or self.finish_reason
        content = choice["delta"].get("content")
        if content:
            self.tokens.append(content)
        return bool(content)
