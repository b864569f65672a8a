"""Answers of calls that ran for an idempotency key, kept for callers who send the key again.

Only the instance that ran the call keeps the answer, in memory: the log carries how a call ended,
not its body. Bounded by number and by bytes, oldest first out; a caller who comes later than that
is told that the first call completed, but not with what.
"""

from __future__ import annotations

from collections import OrderedDict

from msgspec import Struct, field

from turmericweir_core.base.options import Options
from turmericweir_core.records.claim_record import ClaimEnd


class KeptAnswer(Struct, frozen=True):
    """A plain service's whole answer, small enough to keep."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


class KeptEnd(Struct, frozen=True):
    """How a call ended here, with its answer where that was kept."""

    end: ClaimEnd
    answer: KeptAnswer | None


class AnswerStore(Struct):
    """The newest ends of calls that this instance ran for a key, by request id, oldest first."""

    entries: OrderedDict[str, KeptEnd] = field(default_factory=OrderedDict)
    # Bytes of all kept answers.
    size: int = 0


def keep_end(store: AnswerStore, options: Options, request_id: str, kept: KeptEnd) -> None:
    """Keep an end, letting go of the oldest where there are too many or they are too large."""
    store.entries[request_id] = kept
    store.size += _size(kept)
    too_many = len(store.entries) > options.claim_answers_max
    while store.entries and (too_many or store.size > options.claim_answer_bytes):
        _, oldest = store.entries.popitem(last=False)
        store.size -= _size(oldest)
        too_many = len(store.entries) > options.claim_answers_max


def _size(kept: KeptEnd) -> int:
    answer = kept.answer
    if answer is None:
        return 0
    return len(answer.body) + sum(len(name) + len(value) for name, value in answer.headers)
