"""Split and parse the server-sent events of engines.

Forwarded events are split but not parsed. A blank line always ends an event, because a JSON string
cannot contain a raw line break. Events are parsed only to build a JSON answer or to
resume a stream.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from typing import Any, Final

import orjson

END: Final = b"\n\n"
DATA: Final = b"data:"
# Ends an engine's stream. No token event ends like this, because JSON objects end with a brace.
DONE: Final = b"data: [DONE]\n\n"
_ERROR: Final = b'{"error"'
_END_AND_DATA: Final = END + DATA


def split_complete_events(buffer: bytes) -> tuple[bytes, bytes]:
    """Return the complete events at the start of the buffer, and the rest."""
    if buffer.endswith(END):
        return buffer, b""
    events_end = buffer.rfind(END)
    if events_end < 0:
        return b"", buffer
    events_end += len(END)
    return buffer[:events_end], buffer[events_end:]


def count_data_events(events: bytes) -> int:
    """Return the number of events with data; comments are not counted."""
    return events.count(_END_AND_DATA) + events.startswith(DATA)


def events_before_error(events: bytes) -> bytes | None:
    """Return the events before an error event, or None if there is no error event.

    Quotes in a token's text are escaped, so no text contains the bytes that are searched for.
    """
    error_start = events.find(_ERROR)
    if error_start < 0:
        return None
    start = events.rfind(END, 0, error_start)
    return events[: start + len(END)] if start >= 0 else b""


def data_events(event_chunks: Sequence[bytes]) -> Iterator[bytes]:
    """Yield each event with data, including its end."""
    for event in b"".join(event_chunks).split(END):
        if event.startswith(DATA):
            yield event + END


# Any: the engine determines the content of an event.
def parse_event(event: bytes) -> dict[str, Any]:
    """Return the JSON object of an event, or an empty object if it is invalid."""
    try:
        value = orjson.loads(event[len(DATA) :])
    except orjson.JSONDecodeError:
        return {}
    return value if isinstance(value, dict) else {}


def token_text(chunk: dict[str, Any]) -> str:
    """Return the text of one chat completion chunk."""
    delta = _first_choice(chunk).get("delta", {})
    text = delta.get("content") if isinstance(delta, dict) else None
    return text if isinstance(text, str) else ""


def _first_choice(chunk: dict[str, Any]) -> dict[str, Any]:
    choices = chunk.get("choices")
    if isinstance(choices, list) and choices and isinstance(choices[0], dict):
        return choices[0]
    return {}


def join_token_texts(event_chunks: Sequence[bytes], tokens: int) -> str:
    """Return the text of the first tokens of a stream."""
    texts: list[str] = []
    for event in data_events(event_chunks):
        if len(texts) == tokens:
            break
        texts.append(token_text(parse_event(event)))
    return "".join(texts)


def aggregate(event_chunks: Sequence[bytes], request_id: str, prompt_tokens: int) -> dict[str, Any]:
    """Return the JSON answer that joins the chunks of a stream."""
    texts: list[str] = []
    last_chunk: dict[str, Any] = {}
    finish_reason: object = None
    for event in data_events(event_chunks):
        last_chunk = parse_event(event)
        texts.append(token_text(last_chunk))
        finish_reason = _first_choice(last_chunk).get("finish_reason") or finish_reason
    choice = {
        "index": 0,
        "message": {"role": "assistant", "content": "".join(texts)},
        "finish_reason": finish_reason,
    }
    usage = {
        "prompt_tokens": prompt_tokens,
        "completion_tokens": len(texts),
        "total_tokens": prompt_tokens + len(texts),
    }
    return {
        "id": last_chunk.get("id", request_id),
        "object": "chat.completion",
        "model": last_chunk.get("model", ""),
        "choices": [choice],
        "usage": usage,
    }
