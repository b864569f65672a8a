"""The bodies of the engine protocol: requests and answers.

Chunks of a stream are assembled from constant pieces, which is much faster than encoding JSON; the
texts of the tokens need no escaping.
"""

from __future__ import annotations

from typing import Final

import orjson
from pydantic import BaseModel, Field

from turmericweir_standins.engine_answer import Answer, ChatMessage
from turmericweir_standins.engine_batch import Emission, Sequence

DONE: Final = b"data: [DONE]\n\n"
CANCELLED: Final = b'data: {"error": {"type": "cancelled"}}\n\n'


class BadRequestError(Exception):
    """Report an invalid request; it gets a 400."""


class Resume(BaseModel):
    """The part of the answer that the client already has."""

    from_token: int = Field(ge=0)
    text: str


class CompletionRequest(BaseModel):
    """The body of a completion request; unknown fields are ignored."""

    model: str
    messages: list[ChatMessage] = Field(min_length=1)
    stream: bool = False
    max_tokens: int | None = Field(default=None, ge=0)
    resume: Resume | None = None


class CancelRequest(BaseModel):
    """The body of a cancellation."""

    request_id: str
    attempt_id: str


class KvExportRequest(BaseModel):
    """The body of an export of KV."""

    request_id: str


class KvImportRequest(BaseModel):
    """The body of an import of KV."""

    request_id: str
    kv: str


class ExportedKv(BaseModel):
    """The content of exported KV."""

    prompt_id: str
    tokens: int = Field(ge=0)


class ChunkWriter:
    """Write the chunks of one streamed answer."""

    # The bytes before the text of each token.
    _head: bytes

    def __init__(self, sequence: Sequence) -> None:
        request_id = orjson.dumps(sequence.request_id)
        model = orjson.dumps(sequence.model)
        self._head = (
            b'data: {"id":' + request_id + b',"object":"chat.completion.chunk","model":' + model
        ) + b',"choices":[{"index":0,"delta":{"content":"'

    def chunk(self, emission: Emission) -> bytes:
        """Return the event of one token."""
        reason = b"null"
        if emission.finish_reason is not None:
            reason = b'"' + emission.finish_reason.encode() + b'"'
        tail = b'"},"finish_reason":' + reason + b"}]}\n\n"
        return self._head + emission.text.encode() + tail


def complete_answer(sequence: Sequence, emissions: list[Emission]) -> dict[str, object]:
    """Return the body of an answer that is not streamed."""
    content = "".join(emission.text for emission in emissions)
    generated = sequence.generated
    choice = {
        "index": 0,
        "message": {"role": "assistant", "content": content},
        "finish_reason": sequence.answer.finish_reason,
    }
    return {
        "id": sequence.request_id,
        "object": "chat.completion",
        "model": sequence.model,
        "choices": [choice],
        "usage": {
            "prompt_tokens": sequence.prompt.tokens,
            "completion_tokens": generated,
            "total_tokens": sequence.prompt.tokens + generated,
        },
    }


def check_resume(resume: Resume, answer: Answer) -> None:
    """Raise BadRequestError unless the client has the beginning of the answer.

    A real engine would continue any text. The refusal reveals a router that lost, doubled or mixed
    up tokens.
    """
    if resume.from_token > answer.length:
        raise BadRequestError(f"resume from token {resume.from_token} of {answer.length}")
    if resume.text != answer.text(0, resume.from_token):
        raise BadRequestError(f"the resume's text is not the first {resume.from_token} tokens")
