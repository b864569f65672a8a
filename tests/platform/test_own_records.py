"""Tests of how the project's own records are written to the store."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, cast

import anyio
import msgspec
import orjson
import pytest

from turmericweir.process.errors import CallError
from turmericweir.process.node import Node
from turmericweir.servers import timed_call
from turmericweir.servers.backend_call import Answer
from turmericweir.servers.backend_pool import BackendPool
from turmericweir_core.messages.events import Event
from turmericweir_core.messages.record_messages import (
    PutReleases,
    PutStreams,
    RecordsRead,
    ReleasesPut,
)
from turmericweir_core.messages.stream_messages import StreamRow
from turmericweir_platform.own_records import OwnRecords
from turmericweir_platform.store_client import StoreClient
from turmericweir_platform.store_records import Position, RecordPage, split_records

OLD = PutReleases({"lm": [1]})
NEW = PutReleases({"lm": [1, 2]})


class LateStore:
    """A topic whose appends may be carried out long after their callers have given up."""

    def __init__(self) -> None:
        self.records: list[tuple[str, bytes]] = []
        self.is_late = False
        self._late: list[Callable[[], Answer]] = []
        # Calls that wait until they are released; None to answer at once.
        self.held: list[anyio.Event] | None = None

    def append(self, target: str, body: bytes) -> Answer:
        _, _, at = target.partition("&at=")
        if at and int(at) != len(self.records):
            return Answer(412, {}, orjson.dumps({"end": len(self.records)}))
        for record in split_records(bytes(16) + body, 0):
            self.records.append((record.key, record.value))
        return Answer(200, {}, orjson.dumps({"offset": 0, "end": len(self.records)}))

    async def call(self, target: str, raw: bytes) -> Answer:
        if self.held is not None:
            released = anyio.Event()
            self.held.append(released)
            await released.wait()
        if self.is_late:
            self._late.append(lambda: self.append(target, raw))
            raise CallError("append", "store", "no answer", was_sent=True)
        return self.append(target, raw)

    def carry_out_late(self) -> None:
        """Carry out the appends that got no answer."""
        late, self._late = self._late, []
        for append in late:
            append()

    async def release_newest_first(self) -> None:
        """Let the calls that wait go on, the newest one first, until there are none."""
        while self.held:
            self.held.pop().set()
            await anyio.wait_all_tasks_blocked()

    def newest(self, key: str) -> object:
        """Return the newest value of a key."""
        return msgspec.msgpack.decode([value for each, value in self.records if each == key][-1])


class _Node:
    def __init__(self) -> None:
        self.events: list[Event] = []

    def handle(self, event: Event) -> None:
        self.events.append(event)

    def count(self, name: str) -> None:
        """Discard a count."""

    def timing(self, name: str, seconds: float) -> None:
        """Discard a duration."""


def run(
    store: LateStore,
    steps: list[Callable[[OwnRecords], Any]],
    *,
    is_complete: bool = True,
    name: str = "entry-1",
) -> list[Event]:
    """Run steps on a client of a store; return the events of the client."""
    node = _Node()

    async def call(
        _pool: object, _method: bytes, _address: str, target: str, *, raw: bytes, **_options: object
    ) -> Answer:
        return await store.call(target, raw)

    async def read_newest(_self: StoreClient, _topic: str, **_options: object) -> RecordPage:
        end = Position(0, len(store.records))
        return RecordPage([], end, is_complete=is_complete)

    async def main() -> None:
        records = OwnRecords(cast(BackendPool, None), "127.0.0.1:1", name)
        records.attach(cast(Node, node))
        for step in steps:
            result = step(records)
            if result is not None:
                await result

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(timed_call, "call", call)
        patch.setattr(StoreClient, "read_newest", read_newest)
        anyio.run(main)
    return node.events


def test_append_without_an_answer_does_not_replace_a_newer_one() -> None:
    """Guards against versions that a late write takes out of the record again."""
    store = LateStore()

    def set_late(is_late: bool) -> None:
        store.is_late = is_late

    run(
        store,
        [
            lambda _: set_late(True),
            lambda records: records._perform(OLD),
            lambda _: set_late(False),
            lambda records: records._perform(NEW),
            lambda _: store.carry_out_late(),
        ],
    )
    assert store.newest("releases") == NEW.releases


@pytest.mark.parametrize("name", ["e" * 240, "ä" * 130, "e" * 5000])
def test_streams_are_written_by_an_instance_with_a_long_name(name: str) -> None:
    """Guards against streams that are in no record, as their key is longer than the store takes."""
    store = LateStore()
    rows = [StreamRow(1, 1, 60)]
    run(store, [lambda records: records._perform(PutStreams(1, rows))], name=name)
    ((key, _),) = store.records
    assert key.startswith("streams/")
    assert len(key.encode()) <= 255


def test_record_is_written_though_others_write_to_the_topic() -> None:
    """Guards against a condition that is never met."""
    store = LateStore()
    events = run(
        store,
        [
            lambda records: records._perform(OLD),
            lambda _: store.records.append(("streams/other/1", b"")),
            lambda records: records._perform(NEW),
        ],
    )
    assert store.newest("releases") == NEW.releases
    assert [each for each in events if isinstance(each, ReleasesPut)][-1].releases == NEW.releases


def test_releases_are_written_though_no_append_is_answered() -> None:
    """Guards against a condition that is never met where the answers that say so are lost."""
    store = LateStore()
    store.is_late = True
    run(
        store,
        [
            lambda records: records._perform(OLD),
            lambda _: store.carry_out_late(),
            lambda records: records._perform(NEW),
            lambda _: store.carry_out_late(),
        ],
    )
    assert store.newest("releases") == NEW.releases


def test_older_releases_that_are_tried_again_do_not_replace_newer_ones() -> None:
    """Guards against two writes at a time, of which the older one ends last."""
    store = LateStore()
    store.held = []

    async def write_both(records: OwnRecords) -> None:
        async with anyio.create_task_group() as group:
            for effect in (OLD, NEW):
                group.start_soon(records._perform, effect)
                await anyio.wait_all_tasks_blocked()
            await store.release_newest_first()

    events = run(store, [write_both])
    assert store.newest("releases") == NEW.releases
    assert [each for each in events if isinstance(each, ReleasesPut)][-1].releases == NEW.releases


@pytest.mark.parametrize("is_complete", [True, False])
def test_incomplete_records_without_the_releases_are_not_used(is_complete: bool) -> None:
    """Guards against streams of two releases that are taken for streams of one."""
    events = run(LateStore(), [OwnRecords.read_logged], is_complete=is_complete)
    assert any(isinstance(each, RecordsRead) for each in events) == is_complete
