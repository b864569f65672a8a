"""Check what callers received: event streams are taken apart, and answers compared with truth.

An engine's answer is a function of its prompt (see `engine_answer`), and each token names the
answer that it belongs to and its place in it. So a lost, a doubled and a foreign token can be told
apart, whatever path the answer took.
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
    """What comparing an answer with the expected one shows."""

    # Exactly the expected answer.
    WHOLE = "whole"
    # A true beginning of it, possibly nothing at all.
    PARTIAL = "partial"
    # A true beginning that the engine ended for want of memory.
    CAPPED = "capped"
    # Tokens are missing in the middle.
    LOST = "lost"
    # Tokens came twice, or there are more than there should be.
    DOUBLED = "doubled"
    # Something of another answer.
    FOREIGN = "foreign"
    # Not a sequence of tokens.
    MALFORMED = "malformed"
    # There is no answer to compare, such as where the call was refused.
    NONE = "none"


# These are faults whatever outcome the caller was told.
CORRUPT: Final = frozenset({Check.LOST, Check.DOUBLED, Check.FOREIGN, Check.MALFORMED})


def check_text(text: str, expected: Answer, finish_reason: str | None) -> Check:
    """Compare the text of an answer with the expected one."""
    whole = expected.text()
    if text == whole:
        return Check.WHOLE
    if whole.startswith(text):
        # A beginning that ends within a token is no sequence of tokens, but no wrong one either.
        return Check.CAPPED if finish_reason == "length" else Check.PARTIAL
    return _find_fault(text, expected)


def check_echo(answer: object, body: str, key: str | None) -> Check:
    """Compare a plain service's answer with what it was asked."""
    if not isinstance(answer, dict) or "echo" not in answer:
        return Check.MALFORMED
    if answer["echo"] != body or answer.get("key") != key:
        return Check.FOREIGN
    # Without a key the service counts by request id, and a safe retry may count again.
    if key is not None and answer.get("run") != 1:
        return Check.DOUBLED
    return Check.WHOLE


def _find_fault(text: str, expected: Answer) -> Check:
    wanted = 0
    at = 0
    while (token := _TOKEN.match(text, at)) is not None:
        if token[1] != expected.text_hash:
            return Check.FOREIGN
        index = int(token[2])
        if index != wanted or index >= expected.length:
            return Check.LOST if wanted < index < expected.length else Check.DOUBLED
        wanted += 1
        at = token.end()
    return Check.MALFORMED


@dataclass(frozen=True, slots=True)
class Event:
    """One server-sent event."""

    name: str
    data: bytes


class EventReader:
    """Split the bytes of an event stream into events."""

    # Bytes of an event of which the end did not come yet.
    _rest: bytes

    def __init__(self) -> None:
        self._rest = b""

    def feed(self, data: bytes) -> list[Event]:
        """Take bytes and return the events that they complete."""
        *blocks, self._rest = (self._rest + data).split(b"\n\n")
        events = [_event(block) for block in blocks]
        # A block without data, such as a comment that keeps the connection alive, is no event.
        return [event for event in events if event.data]


def _event(block: bytes) -> Event:
    if block.startswith(b"data: ") and b"\n" not in block:
        # Nearly all events are so, and there are thousands a second.
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
    """Gather the tokens of one streamed completion, and how the stream ended."""

    # The text of each token.
    tokens: list[str]
    finish_reason: str | None
    # The last outcome event. Any: whatever JSON it held, by name.
    outcome: dict[str, Any] | None
    # Whether the stream said that it was whole.
    done: bool
    # Events other than tokens and outcomes, such as an engine's error.
    others: int

    def __init__(self) -> None:
        self.tokens = []
        self.finish_reason = None
        self.outcome = None
        self.done = False
        self.others = 0

    def take(self, event: Event) -> bool:
        """Take one event; tell whether it brought a token."""
        if event.data == DONE:
            self.done = True
            return False
        value = orjson.loads(event.data)
        if event.name == OUTCOME_EVENT:
            self.outcome = value
            return False
        if event.name != _NO_EVENT_NAME or not value.get("choices"):
            self.others += 1
            return False
        return self._take_choice(value["choices"][0])

    # Any: a choice of a chunk, as the protocol has it.
    def _take_choice(self, choice: dict[str, Any]) -> bool:
        self.finish_reason = choice.get("finish_reason") or self.finish_reason
        content = choice["delta"].get("content")
        if content:
            self.tokens.append(content)
        return bool(content)
