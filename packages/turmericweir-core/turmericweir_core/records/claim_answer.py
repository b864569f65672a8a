"""Stored answers of calls with an idempotency key, for callers who repeat the call.

Only the instance that ran the call stores the answer, in memory: the log records how a call ended,
not its body. The number and total size of answers are bounded, and the oldest are dropped first.
After that, callers who repeat the call learn only that it completed.
"""

from __future__ import annotations

from collections import OrderedDict

from msgspec import Struct, field

from turmericweir_core.base.options import Options
from turmericweir_core.records.claim_record import ClaimEnd


class StoredAnswer(Struct, frozen=True):
    """A whole answer of a plain service, small enough to store."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


class StoredEnd(Struct, frozen=True):
    """The end of a call on this instance, with its answer if that was stored."""

    end: ClaimEnd
    answer: StoredAnswer | None


class AnswerStore(Struct):
    """The newest ends of calls with a key on this instance, by request id, oldest first."""

    entries: OrderedDict[str, StoredEnd] = field(default_factory=OrderedDict)
    # Size of all stored answers, bytes.
    size: int = 0


def store_end(store: AnswerStore, options: Options, request_id: str, stored_end: StoredEnd) -> None:
    """Store the end of a call, and drop the oldest ends above the limits on number and size."""
    store.entries[request_id] = stored_end
    store.size += _size_bytes(stored_end)
    too_many = len(store.entries) > options.claim_answers_max
    while store.entries and (too_many or store.size > options.claim_answer_bytes):
        _, oldest = store.entries.popitem(last=False)
        store.size -= _size_bytes(oldest)
        too_many = len(store.entries) > options.claim_answers_max


def _size_bytes(stored_end: StoredEnd) -> int:
    answer = stored_end.answer
    if answer is None:
        return 0
    return len(answer.body) + sum(len(name) + len(value) for name, value in answer.headers)
