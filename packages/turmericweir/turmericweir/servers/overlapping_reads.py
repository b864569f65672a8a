"""Reads of one topic of the platform's store that overlap while the store is slow.

A read that gets no byte within a time limit is not given up: another one is sent beside it on a
new connection, as the connection may be dead, and the first answer counts. Older reads are then
cancelled, since they would prove less. Newer ones stay on their way and serve the next calls, so
that a store that needs seconds for each answer still gives a proof each time limit.

An answer to a read from an earlier position begins with records that are known, and so may one to
a read of a snapshot. Who decodes the answers drops these, so that none brings anything older back.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from random import Random
from types import TracebackType
from typing import Final, Self

import anyio
from anyio.abc import TaskGroup

from turmericweir.process.errors import CallError
from turmericweir.process.response_times import ResponseTimes
from turmericweir.servers.backend_call import Answer
from turmericweir.servers.large_call import ReadTooLargeError
from turmericweir.servers.read_stats import ReadStats

# Limit of the reads of one topic that are on their way.
_READS_MAX: Final = 4
# How much longer than its limit a read may wait for the one that is sent beside it. Prevents
# instances from sending in step.
_JITTER_SHARE: Final = 0.15
_NEVER: Final = float("-inf")


@dataclass(frozen=True, slots=True)
class Query:
    """What is read: a snapshot, or `target` from the offset `start` on in an era of the store."""

    target: str
    start: int = 0
    era: int = 0
    is_snapshot: bool = False


@dataclass(slots=True, eq=False)
class SentRead:
    """A read that was sent, and its outcome."""

    query: Query
    sent_at: float
    # Whether a kept connection may be used.
    may_reuse: bool
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    # When the first and the last bytes of the answer came; None before.
    first_byte_at: float | None = None
    last_byte_at: float | None = None
    # Whether a time limit ran out before the first byte.
    is_late: bool = False
    answer: Answer | None = None
    error: CallError | None = None

    def note_progress(self) -> None:
        """Record that bytes of the answer have come."""
        self.last_byte_at = anyio.current_time()
        if self.first_byte_at is None:
            self.first_byte_at = self.last_byte_at

    @property
    def is_too_large(self) -> bool:
        """Return whether its answer is too large, as that to another read would be."""
        return isinstance(self.error, ReadTooLargeError)


class OverlappingReads:
    """Owns the reads of one topic that are on their way, and cancels them on exit."""

    _call: Callable[[str, SentRead], Awaitable[Answer]]
    _times: ResponseTimes
    _stats: ReadStats
    _rng: Random
    _group: TaskGroup
    # In the order in which they were sent.
    _sent: list[SentRead]
    _last_sent_at: float
    # Set when one of them is finished.
    _changed: anyio.Event

    def __init__(
        self,
        call: Callable[[str, SentRead], Awaitable[Answer]],
        times: ResponseTimes,
        stats: ReadStats,
    ) -> None:
        self._call = call
        self._times = times
        self._stats = stats
        self._rng = Random()
        self._sent = []
        self._last_sent_at = _NEVER

    async def __aenter__(self) -> Self:
        self._changed = anyio.Event()
        self._group = await anyio.create_task_group().__aenter__()
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> bool | None:
        self._group.cancel_scope.cancel()
        return await self._group.__aexit__(exc_type, exc, traceback)

    async def read(self, query: Query, silence_s: float) -> SentRead:
        """Return a finished read that answers a query: the newest that was answered, if any.

        It has an error if all reads have failed, or none got a byte for `silence_s` seconds; reads
        that are on their way then may still serve the next call.
        """
        self._drop_where(lambda each: not _serves(each, query))
        begun_at = anyio.current_time()
        failed: SentRead | None = None
        while True:
            answered = self._take_answered()
            if answered is not None:
                return answered
            failed = self._take_failed() or failed
            if failed is not None and (failed.is_too_large or not self._sent):
                return failed
            now = anyio.current_time()
            silent_at = max(begun_at, self._last_byte_at()) + silence_s
            if now >= silent_at:
                return _silent_read(query, begun_at, silence_s)
            next_at = self._send_if_due(query, now)
            with anyio.move_on_after(min(next_at, silent_at) - now):
                await self._changed.wait()
            self._changed = anyio.Event()

    def cancel(self) -> None:
        """Cancel all reads that are on their way."""
        self._drop_where(lambda _: True)

    def _last_byte_at(self) -> float:
        return max((each.last_byte_at or _NEVER for each in self._sent), default=_NEVER)

    def _send_if_due(self, query: Query, now: float) -> float:
        """Send a read if none is on its way or all are slow; return when to check again."""
        limit_s = self._times.limit_s
        due_at = max(self._last_sent_at, self._last_byte_at()) + limit_s
        if self._sent and now < due_at:
            return due_at
        if self._sent:
            self._note_expired(limit_s)
        if len(self._sent) >= _READS_MAX:
            # The oldest one stays, or a store that is slower than all of them together would be
            # given up each time.
            self._drop(self._sent[1])
        # A read that is sent beside others uses a new connection.
        sent = SentRead(query, now, may_reuse=not self._sent)
        self._sent.append(sent)
        self._last_sent_at = now
        self._group.start_soon(self._run, sent)
        return now + self._times.limit_s * self._rng.uniform(1.0, 1.0 + _JITTER_SHARE)

    def _note_expired(self, limit_s: float) -> None:
        newest = self._sent[-1]
        if not newest.is_late:
            newest.is_late = True
            self._times.note_expired()
            self._stats.note_expired(newest.query.target, limit_s)

    async def _run(self, sent: SentRead) -> None:
        with sent.scope:
            try:
                sent.answer = await self._call(sent.query.target, sent)
            except CallError as exc:
                sent.error = exc
            else:
                self._note_answer(sent)
            self._changed.set()

    def _note_answer(self, sent: SentRead) -> None:
        now = anyio.current_time()
        self._times.add((sent.first_byte_at or now) - sent.sent_at)
        self._stats.note_answer(now - sent.sent_at, is_late=sent.is_late)

    def _take_answered(self) -> SentRead | None:
        """Remove the newest answered read and cancel older ones."""
        for index in reversed(range(len(self._sent))):
            sent = self._sent[index]
            if sent.answer is None:
                continue
            for older in self._sent[:index]:
                self._drop(older)
            self._sent.remove(sent)
            return sent
        return None

    def _take_failed(self) -> SentRead | None:
        """Remove the failed reads; return the newest of them."""
        failed = [each for each in self._sent if each.error is not None]
        for each in failed:
            self._sent.remove(each)
        return failed[-1] if failed else None

    def _drop_where(self, condition: Callable[[SentRead], bool]) -> None:
        for each in [each for each in self._sent if condition(each)]:
            self._drop(each)

    def _drop(self, sent: SentRead) -> None:
        sent.scope.cancel()
        self._sent.remove(sent)


def _serves(sent: SentRead, query: Query) -> bool:
    """Return whether the answer to a read contains all that a query asks for."""
    if query.is_snapshot:
        return sent.query == query
    if sent.query.is_snapshot:
        return True
    return sent.query.era == query.era and sent.query.start <= query.start


def _silent_read(query: Query, begun_at: float, silence_s: float) -> SentRead:
    detail = f"no progress within {silence_s} s"
    error = CallError(query.target, "the store", detail, was_sent=True)
    return SentRead(query, begun_at, may_reuse=False, error=error)
