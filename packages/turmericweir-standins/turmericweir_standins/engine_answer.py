"""The answer of an engine to a prompt, as a function of the model and the prompt.

Token `i` of an answer is `"{h}.{i} "`, where `h` is the start of a hash over the model and the
contents of the messages. Each token identifies its answer and its position, which lets tests verify
an answer that several engines generated in parts.

A marker `[len=N]` in the last user message sets the length; without one it is derived from the
hash. `max_tokens` and the engine's memory limit it.

The prefixes of a prompt are its sequences of leading messages. The id of a prefix is a hash over
the id of the prefix that is one message shorter (for the first one, the model) and the role and
content of its last message. The cache events name these ids.
"""

from __future__ import annotations

import hashlib
import re
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final, Literal

from pydantic import BaseModel

MIN_LENGTH: Final = 20
MAX_LENGTH: Final = 400
HASH_DIGITS: Final = 8
PREFIX_DIGITS: Final = 16
CRASH_MARKER: Final = "[crash]"
_LENGTH_MARKER: Final = re.compile(r"\[len=(\d+)\]")

FinishReason = Literal["stop", "length"]


class ChatMessage(BaseModel):
    """One message of a prompt."""

    role: str
    content: str


@dataclass(frozen=True, slots=True)
class Answer:
    """The complete answer to one prompt."""

    # The beginning of every token.
    text_hash: str
    # Number of tokens.
    length: int
    finish_reason: FinishReason

    def token(self, index: int) -> str:
        """Return one token."""
        return f"{self.text_hash}.{index} "

    def text(self, start: int = 0, end: int | None = None) -> str:
        """Return the tokens of a range, joined."""
        stop = self.length if end is None else end
        return "".join(self.token(index) for index in range(start, stop))


@dataclass(frozen=True, slots=True)
class Prefix:
    """One message of the prompt; its id covers the prompt up to its end."""

    prefix_id: str
    # Tokens of this message alone.
    tokens: int


@dataclass(frozen=True, slots=True)
class Prompt:
    """The properties of a prompt that the batch needs."""

    # The prefixes, shortest first; the last one is the whole prompt.
    prefixes: tuple[Prefix, ...]
    tokens: int
    # Whether the engine crashes at the first token.
    crashes: bool

    @property
    def prompt_id(self) -> str:
        """The id of the whole prompt."""
        return self.prefixes[-1].prefix_id if self.prefixes else ""


def answer_of(model: str, messages: Sequence[ChatMessage], max_tokens: int | None = None) -> Answer:
    """Return the answer that any engine gives to this prompt."""
    digest = hashlib.sha256()
    digest.update(model.encode())
    for message in messages:
        digest.update(message.content.encode())
    hex_digest = digest.hexdigest()
    length = _marked_length(messages)
    if length is None:
        length_range = MAX_LENGTH - MIN_LENGTH + 1
        length = MIN_LENGTH + int(hex_digest[HASH_DIGITS : 2 * HASH_DIGITS], 16) % length_range
    return capped(Answer(hex_digest[:HASH_DIGITS], length, "stop"), max_tokens)


def capped(answer: Answer, max_tokens: int | None) -> Answer:
    """Return the answer, truncated after this many tokens."""
    if max_tokens is None or answer.length <= max_tokens:
        return answer
    return Answer(answer.text_hash, max_tokens, "length")


def prompt_of(model: str, messages: Sequence[ChatMessage]) -> Prompt:
    """Return a prompt with its number of tokens and its prefixes."""
    prefixes: list[Prefix] = []
    prefix_id = model
    for message in messages:
        hash_input = f"{prefix_id}\0{message.role}\0{message.content}"
        prefix_id = hashlib.sha256(hash_input.encode()).hexdigest()[:PREFIX_DIGITS]
        prefixes.append(Prefix(prefix_id, len(message.content.split())))
    return Prompt(
        prefixes=tuple(prefixes),
        tokens=sum(prefix.tokens for prefix in prefixes),
        crashes=any(CRASH_MARKER in message.content for message in messages),
    )


def _marked_length(messages: Sequence[ChatMessage]) -> int | None:
    for message in reversed(messages):
        if message.role == "user":
            marker = _LENGTH_MARKER.search(message.content)
            return None if marker is None else int(marker.group(1))
    return None
