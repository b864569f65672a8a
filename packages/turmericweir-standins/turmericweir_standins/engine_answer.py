"""What an engine generates for a prompt: a function of the model and the prompt alone.

Token `i` of an answer is `"{h}.{i} "`, where `h` is the start of a hash over the model and the
contents of the messages. So a test can tell from any token whose answer it belongs to and which
place it has, and can verify an answer that several engines made piece by piece.

The length is given by a marker `[len=N]` in the last user message, or else drawn from the hash.
`max_tokens` and the engine's memory cap it.

A prompt's prefixes are the runs of its leading messages. The id of a run is a hash over the id of
the run that is one message shorter, the role and the content of its last message, starting from
the model. Whoever knows the messages can compute the ids, which the cache events name.
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
    """The whole answer to one prompt."""

    # Starts every token.
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
    """One message's part of the prompt, named by everything up to its end."""

    prefix_id: str
    # Tokens of this message alone.
    tokens: int


@dataclass(frozen=True, slots=True)
class Prompt:
    """What the batch needs to know of a prompt."""

    # The runs of leading messages, shortest first; the last one is the whole prompt.
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
        spread = MAX_LENGTH - MIN_LENGTH + 1
        length = MIN_LENGTH + int(hex_digest[HASH_DIGITS : 2 * HASH_DIGITS], 16) % spread
    return capped(Answer(hex_digest[:HASH_DIGITS], length, "stop"), max_tokens)


def capped(answer: Answer, max_tokens: int | None) -> Answer:
    """Return the answer cut off after this many tokens."""
    if max_tokens is None or answer.length <= max_tokens:
        return answer
    return Answer(answer.text_hash, max_tokens, "length")


def prompt_of(model: str, messages: Sequence[ChatMessage]) -> Prompt:
    """Count a prompt's tokens and name its prefixes."""
    prefixes: list[Prefix] = []
    prefix_id = model
    for message in messages:
        chained = f"{prefix_id}\0{message.role}\0{message.content}"
        prefix_id = hashlib.sha256(chained.encode()).hexdigest()[:PREFIX_DIGITS]
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
