"""Tests of when an instance reads the store."""

from __future__ import annotations

import struct
import tracemalloc
from collections.abc import Callable, Sequence
from itertools import pairwise
from typing import Any, cast

import anyio
import pytest

from tests.core.store_world import StoreWorld
from turmericweir.process.node import Node
from turmericweir.servers.backend_call import Answer
from turmericweir.servers.backend_pool import BackendPool
from turmericweir_core.membership import store_duty
from turmericweir_core.messages.events import Event
from turmericweir_platform.own_records import OwnRecords
from turmericweir_platform.store import Follower
from turmericweir_platform.store_client import StoreClient
from turmericweir_platform.store_records import Position, Record, RecordPage, encode_record
from turmericweir_platform.store_snapshot import Keep

EMPTY_PAGE = struct.pack(">QQ", 0, 0)


class _ReducingNode:
    """Passes events to the reducer."""

    def __init__(self, world: StoreWorld) -> None:
        self.state = world.state
        self._world = world

    def handle(self, event: Event) -> None:
        self._world.now = anyio.current_time()
        self._world.give(event)

    def timing(self, _name: str, _seconds: float) -> None:
        """Ignore how long reads took."""

    def count(self, _name: str, by: int = 1) -> None:
        """Ignore counts."""


class _Settings:
    name = "entry-1"

    class store:  # noqa: N801
        address = "127.0.0.1:1"

    class bounds:  # noqa: N801
        drain_ms = 2000


def run_follower(
    world: StoreWorld,
    method: Callable[[Follower], Any],
    *,
    pages: Sequence[bytes] = (),
    on_sleep: Callable[[float], None] = lambda _: None,
) -> list[str | float]:
    """Run a method of a follower; return its pauses in seconds and call targets, in order."""
    steps: list[str | float] = []
    rest = list(pages)
    clock = [world.now]

    async def call(_self: StoreClient, target: str, _timeout_s: float) -> Answer:
        steps.append(target)
        return Answer(200, {}, rest.pop(0) if rest else EMPTY_PAGE)

    async def sleep(seconds: float) -> None:
        clock[0] += seconds
        if steps and isinstance(steps[-1], float):
            steps[-1] += seconds
        else:
            steps.append(seconds)
        on_sleep(clock[0])

    async def main() -> None:
        follower = Follower(cast(BackendPool, None), cast(Any, _Settings))
        follower.attach(cast(Node, _ReducingNode(world)))
        await method(follower)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(StoreClient, "_call", call)
        patch.setattr("turmericweir_platform.store.anyio.sleep", sleep)
        patch.setattr("turmericweir_platform.store.anyio.current_time", lambda: clock[0])
        anyio.run(main)
    return steps


def set_reader_role(world: StoreWorld, *, is_reader: bool) -> StoreWorld:
    """Make the instance a reader, or one whose updates from the reader are overdue."""
    world.state.members.started_at = float("-inf") if is_reader else None
    return world


def test_instance_with_overdue_updates_reads_servers_at_once() -> None:
    # Guards against a pause that delays the notice of a leaving server after the reader has died.
    world = set_reader_role(StoreWorld(), is_reader=False)
    (target,) = run_follower(
        world, lambda follower: follower._read_next_entries(Position(0, 1), False)
    )
    assert "log-read" in str(target)


def test_reader_pauses_between_reads_of_the_servers() -> None:
    world = set_reader_role(StoreWorld(), is_reader=True)
    pause_s, target = run_follower(
        world, lambda follower: follower._read_next_entries(Position(0, 1), False)
    )
    period_s = world.state.options.store.servers_read_s
    assert 0.9 * period_s <= float(pause_s) <= period_s
    assert "log-read" in str(target)


def test_wanted_read_ends_the_pause_of_a_reader() -> None:
    """Guards against requests that wait for a list until the next read is due."""
    world = set_reader_role(StoreWorld(), is_reader=True)

    def want(now: float) -> None:
        if now - world.now > 0.25:
            store_duty.want_registry_read(world.state, now)

    world.state.registry.own_read_at = world.now - 10.0
    pause_s, target = run_follower(
        world,
        lambda follower: follower._read_next_entries(Position(0, 1), False),
        on_sleep=want,
    )
    assert float(pause_s) < 0.5
    assert "log-read" in str(target)


@pytest.mark.parametrize("is_reader", [False, True])
def test_only_a_reader_pauses_before_reading_the_settings(is_reader: bool) -> None:
    """Guards against a pause that makes a stale freshness proof expire."""
    world = set_reader_role(StoreWorld(), is_reader=is_reader)
    *pauses, target = run_follower(
        world, lambda follower: follower._read_next_document(Position(0, 1), False)
    )
    assert len(pauses) == is_reader
    assert "log-read" in str(target)


async def _read_next_document(follower: Follower, start: Position, after_failure: bool) -> Position:
    # As if the document in force had been read from the store.
    follower._stored_version = follower._node.state.settings_offset()
    return await follower._read_next_document(start, after_failure)


TOPICS = {"settings": _read_next_document, "servers": Follower._read_next_entries}


def _page(end: int, *keys: str) -> bytes:
    records = b"".join(encode_record(key, b"") for key in keys)
    return struct.pack(">QQ", end, 0) + records


def _read(world: StoreWorld, topic: str, *pages: bytes) -> list[str | float]:
    method = TOPICS[topic]
    return run_follower(
        world, lambda follower: method(follower, Position(0, 1), False), pages=pages
    )


def _proven_at(world: StoreWorld, topic: str) -> float:
    if topic == "servers":
        return world.state.registry.read_at
    return world.state.document.proof_at if world.state.document else float("-inf")


@pytest.mark.parametrize("topic", TOPICS)
def test_read_that_ends_before_its_topic_proves_nothing(topic: str) -> None:
    """Guards against taking what was read for the newest while the store has more."""
    world = set_reader_role(StoreWorld(), is_reader=False)
    before = _proven_at(world, topic)
    world.now += 1.0
    _read(world, topic, _page(9, "one"), _page(9))
    assert _proven_at(world, topic) == before


@pytest.mark.parametrize("topic", TOPICS)
def test_topic_is_read_up_to_its_end_at_once(topic: str) -> None:
    """Guards against a backlog that is read a part at each interval."""
    world = set_reader_role(StoreWorld(), is_reader=False)
    world.now += 1.0
    steps = _read(world, topic, _page(3, "one"), _page(3, "two"))
    assert [str(each).partition("from=")[2] for each in steps] == ["1", "2"]


class _EnoughError(BaseException):
    """Ends a task that would go on."""


@pytest.mark.parametrize("follow", [Follower.follow_registry, Follower.follow_document])
def test_task_goes_on_after_errors_that_nobody_foresaw(
    follow: Callable[[Follower], Any], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a task that pauses longer and longer, or for good, after odd data."""
    reads = 0

    async def read_newest(*_args: object, **_options: object) -> RecordPage:
        nonlocal reads
        reads += 1
        if reads == 9:
            raise _EnoughError
        raise UnicodeEncodeError("ascii", "a", 0, 1, "ordinal not in range")

    async def skip_records(_self: object) -> None:
        """Read no records of the project's own."""

    monkeypatch.setattr(StoreClient, "read_newest", read_newest)
    monkeypatch.setattr(OwnRecords, "read_logged", skip_records)
    pauses: list[float] = []
    with pytest.raises(BaseExceptionGroup) as raised:
        run_follower(StoreWorld(), follow, on_sleep=pauses.append)
    assert raised.group_contains(_EnoughError)
    assert reads == 9
    assert max(later - earlier for earlier, later in pairwise(pauses)) <= 0.8


def test_errors_of_many_foreign_entries_take_no_memory(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a list whose unreadable entries fill the memory with their errors."""
    peak_bytes = 0

    async def read_newest(*_args: object, keep: Keep, **_options: object) -> RecordPage:
        nonlocal peak_bytes
        tracemalloc.start()
        for number in range(20_000):
            keep(Record(f"foreign-{number}", b"{}", number))
        _, peak_bytes = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        return RecordPage([], Position(0, 20_000))

    monkeypatch.setattr(StoreClient, "read_newest", read_newest)
    world = StoreWorld()
    run_follower(world, Follower._read_first_entries)
    assert world.state.registry.unreadable_count == 20_000
    assert peak_bytes < 100_000
