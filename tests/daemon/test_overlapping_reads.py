"""Test reads that overlap while the store is slow, without a network."""

from __future__ import annotations

from collections import defaultdict

import anyio
import anyio.lowlevel
import pytest

from turmericweir.process.errors import CallError
from turmericweir.process.response_times import ResponseTimes
from turmericweir.servers.backend_call import Answer
from turmericweir.servers.overlapping_reads import OverlappingReads, Query, SentRead
from turmericweir.servers.read_stats import ReadStats

pytestmark = pytest.mark.anyio

LIMIT_S = 0.02
LONG_S = 60.0
QUERY = Query("/x", 5, 1)


class FakeStore:
    """Answers each read when a test says so."""

    def __init__(self) -> None:
        self.sent: list[SentRead] = []
        self._answers: list[anyio.Event] = []
        self.errors: dict[int, CallError] = {}
        self.cancelled: list[int] = []
        self.answers_from = 1_000_000
        self._was_sent: defaultdict[int, anyio.Event] = defaultdict(anyio.Event)
        self.stats = ReadStats()

    def open_reads(self) -> OverlappingReads:
        """Return an owner of reads of this store."""
        return OverlappingReads(self._call, ResponseTimes(LIMIT_S, LIMIT_S), self.stats)

    async def _call(self, target: str, sent: SentRead) -> Answer:
        number = len(self.sent)
        self.sent.append(sent)
        self._answers.append(anyio.Event())
        self._was_sent[len(self.sent)].set()
        try:
            if number < self.answers_from and number not in self.errors:
                await self._answers[number].wait()
        except BaseException:
            self.cancelled.append(number)
            raise
        if number in self.errors:
            raise self.errors[number]
        sent.note_progress()
        return Answer(200, {}, b"%d" % number)

    def answer(self, number: int) -> None:
        """Answer a read."""
        self._answers[number].set()

    async def wait_sent(self, count: int) -> None:
        """Wait until so many reads were sent."""
        await self._was_sent[count].wait()


class PendingRead:
    """A call that runs beside a test."""

    def __init__(self, reads: OverlappingReads) -> None:
        self._reads = reads
        self._is_done = anyio.Event()

    async def run(self) -> None:
        """Make the call."""
        self._result = await self._reads.read(QUERY, LONG_S)
        self._is_done.set()

    async def result(self) -> SentRead:
        """Return the read that the call returned."""
        await self._is_done.wait()
        return self._result


def _error() -> CallError:
    return CallError("/x", "store", "refused", was_sent=False)


def _body(sent: SentRead) -> bytes:
    assert sent.answer is not None
    return sent.answer.body


async def test_slow_read_is_not_given_up_for_the_one_beside_it() -> None:
    """Guards against a store that is always slower than a limit and counts as gone."""
    store = FakeStore()
    async with store.open_reads() as reads, anyio.create_task_group() as group:
        pending = PendingRead(reads)
        group.start_soon(pending.run)
        await store.wait_sent(3)
        store.answer(0)
        sent = await pending.result()
    assert _body(sent) == b"0"
    assert sent.is_late
    assert store.stats.limits_expired >= 2


async def test_silent_connection_is_left_for_a_new_one() -> None:
    """Guards against waiting for a connection that is dead."""
    store = FakeStore()
    store.answers_from = 1
    async with store.open_reads() as reads:
        sent = await reads.read(QUERY, LONG_S)
        await anyio.lowlevel.checkpoint()
    assert _body(sent) == b"1"
    assert not sent.may_reuse
    assert store.cancelled == [0]


async def test_newer_reads_serve_the_next_calls() -> None:
    """Guards against proofs that come only as often as a slow store answers reads in turn."""
    store = FakeStore()
    async with store.open_reads() as reads, anyio.create_task_group() as group:
        pending = PendingRead(reads)
        group.start_soon(pending.run)
        await store.wait_sent(3)
        store.answer(0)
        first = await pending.result()
        store.answer(1)
        await anyio.sleep(0.01)
        second = await reads.read(QUERY, LONG_S)
    assert _body(second) == b"1"
    assert second.sent_at == store.sent[1].sent_at > first.sent_at


async def test_newest_answer_counts() -> None:
    """Guards against an older proof where a newer one has come."""
    store = FakeStore()
    async with store.open_reads() as reads, anyio.create_task_group() as group:
        pending = PendingRead(reads)
        group.start_soon(pending.run)
        await store.wait_sent(3)
        store.answer(0)
        store.answer(1)
        first = await pending.result()
        assert len(store.cancelled) == 0
    assert _body(first) == b"1"


async def test_read_of_another_era_does_not_serve() -> None:
    """Guards against records of the store before it came back from a copy."""
    store = FakeStore()
    async with store.open_reads() as reads:
        assert (await reads.read(QUERY, 1.5 * LIMIT_S)).error is not None
        store.answers_from = 0
        sent = await reads.read(Query("/x", 5, 2), LONG_S)
        await anyio.lowlevel.checkpoint()
        assert sent.query.era == 2
    assert 0 in store.cancelled


async def test_read_that_is_silent_for_one_call_serves_the_next() -> None:
    """Guards against giving up the reads of a store that is slower than a call may be."""
    store = FakeStore()
    async with store.open_reads() as reads:
        silent = await reads.read(QUERY, 1.5 * LIMIT_S)
        assert silent.error is not None
        store.answer(0)
        await anyio.sleep(0.01)
        assert _body(await reads.read(QUERY, LONG_S)) == b"0"


async def test_number_of_reads_on_their_way_is_bounded() -> None:
    """Guards against ever more reads of a store that answers none."""
    store = FakeStore()
    async with store.open_reads() as reads, anyio.create_task_group() as group:
        pending = PendingRead(reads)
        group.start_soon(pending.run)
        await store.wait_sent(8)
        assert len(store.sent) - len(store.cancelled) <= 4
        # A store that is slower than four limits still answers.
        store.answer(0)
        first = await pending.result()
    assert _body(first) == b"0"


async def test_failed_reads_fail_the_call_at_once() -> None:
    """Guards against waiting for a store that refuses connections."""
    store = FakeStore()
    store.errors[0] = _error()
    async with store.open_reads() as reads:
        sent = await reads.read(QUERY, LONG_S)
    assert sent.error is store.errors[0]
    assert len(store.sent) == 1


async def test_refused_connections_beside_a_silent_one_are_not_tried_without_a_pause() -> None:
    """Guards against a busy loop of connections to a store that refuses them."""
    store = FakeStore()
    store.errors = {number: _error() for number in range(1, 1000)}
    async with store.open_reads() as reads:
        silence_s = 20 * LIMIT_S
        sent = await reads.read(QUERY, silence_s)
    assert sent.error is not None
    assert len(store.sent) <= silence_s / LIMIT_S + 1
