"""Server-sent events, as engines send them and callers get them.

On the way through, events are cut apart but never parsed: a JSON string cannot hold a raw line
break, so a blank line always ends an event. They are parsed only where the text is needed: for a
caller that did not ask for a stream, and to resume a stream that broke off.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from typing import Any, Final

import orjson

END: Final = b"\n\n"
DATA: Final = b"data:"
# Ends an engine's answer. A JSON text ends with a brace, so no token event ends like this.
DONE: Final = b"data: [DONE]\n\n"
_ERROR: Final = b'{"error"'
_END_AND_DATA: Final = END + DATA


def split_whole(buffer: bytes) -> tuple[bytes, bytes]:
    """Split off the whole events at the front; the rest waits for more bytes."""
    if buffer.endswith(END):
        return buffer, b""
    cut = buffer.rfind(END)
    if cut < 0:
        return b"", buffer
    cut += len(END)
    return buffer[:cut], buffer[cut:]


def count_data(whole: bytes) -> int:
    """Count the events with data; comments, which keep a stream alive, are none."""
    return whole.count(_END_AND_DATA) + whole.startswith(DATA)


def cut_at_error(whole: bytes) -> bytes | None:
    """Give the events before one that reports an error of the engine, or None without one.

    The quotes of a token's text are escaped, so these bytes stand in no text.
    """
    at = whole.find(_ERROR)
    if at < 0:
        return None
    start = whole.rfind(END, 0, at)
    return whole[: start + len(END)] if start >= 0 else b""


def data_events(parts: Sequence[bytes]) -> Iterator[bytes]:
    """Yield the events with data out of whole events, each with its end."""
    for event in b"".join(parts).split(END):
        if event.startswith(DATA):
            yield event + END


# Any: what is in an event is up to the engine; only the fields named here are looked at.
def parse_event(event: bytes) -> dict[str, Any]:
    """Parse the JSON of one event; an unusable one gives an empty object."""
    try:
        value = orjson.loads(event[len(DATA) :])
    except orjson.JSONDecodeError:
        return {}
    return value if isinstance(value, dict) else {}


def token_text(chunk: dict[str, Any]) -> str:
    """Give the text of one chat completion chunk."""
    content = _first_choice(chunk).get("delta", {})
    text = content.get("content") if isinstance(content, dict) else None
    return text if isinstance(text, str) else ""


def _first_choice(chunk: dict[str, Any]) -> dict[str, Any]:
    choices = chunk.get("choices")
    if isinstance(choices, list) and choices and isinstance(choices[0], dict):
        return choices[0]
    return {}


def text_of(parts: Sequence[bytes], tokens: int) -> str:
    """Give the text of the first tokens of a stream."""
    texts: list[str] = []
    for event in data_events(parts):
        if len(texts) == tokens:
            break
        texts.append(token_text(parse_event(event)))
    return "".join(texts)


def aggregate(parts: Sequence[bytes], request_id: str, prompt_tokens: int) -> dict[str, Any]:
    """Join the chunks of a stream to the answer of a caller that wanted it whole."""
    texts: list[str] = []
    last: dict[str, Any] = {}
    finish_reason: object = None
    for event in data_events(parts):
        last = parse_event(event)
        texts.append(token_text(last))
        finish_reason = _first_choice(last).get("finish_reason") or finish_reason
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
        "id": last.get("id", request_id),
        "object": "chat.completion",
        "model": last.get("model", ""),
        "choices": [choice],
        "usage": usage,
    }
