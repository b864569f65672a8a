"""The topic of the leases, as it is read from the platform's store."""

from __future__ import annotations

from typing import Any, cast

import anyio
import orjson
import pytest

from tests.platform.test_foreign_bytes import LEASE
from turmericweir.process.errors import CallError
from turmericweir.process.node import Node
from turmericweir.servers.backend_pool import BackendPool
from turmericweir_core.messages.effects import ReadLog
from turmericweir_core.messages.events import Event, LogFailed, LogNewest
from turmericweir_core.records.lease_record import LEASES_STREAM
from turmericweir_platform.lease_log import LeaseLog
from turmericweir_platform.store_client import RecordTooLargeError, StoreClient
from turmericweir_platform.store_records import Position, Record, RecordPage


class _Node:
    def __init__(self) -> None:
        self.events: list[Event] = []

    def handle(self, event: Event) -> None:
        self.events.append(event)

    def count(self, _name: str) -> None:
        """Discard a count."""


def _read(outcome: RecordPage | Exception) -> Event:
    """Return the event that a read of the newest leases ends with."""
    node = _Node()

    async def read_newest(_self: StoreClient, _topic: str, *, keep: Any) -> RecordPage:
        if isinstance(outcome, Exception):
            raise outcome
        kept = [each for each in outcome.records if keep(each) is not None]
        return RecordPage(kept, outcome.end, is_complete=outcome.is_complete)

    async def main() -> None:
        log = LeaseLog(cast(BackendPool, None), "127.0.0.1:1", 3.0)
        log.attach(cast(Node, node))
        await log._read(ReadLog(LEASES_STREAM, 0, limit=1, newest_by_key=True))

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(StoreClient, "read_newest", read_newest)
        anyio.run(main)
    (event,) = node.events
    return event


@pytest.mark.parametrize(
    "error",
    [
        CallError("read", "store", "lost", was_sent=True),
        RecordTooLargeError("too large", None),
        UnicodeEncodeError("ascii", "a", 0, 1, "ordinal not in range"),
    ],
    ids=repr,
)
def test_failed_read_of_the_leases_is_reported(error: Exception) -> None:
    """Guards against duties that nobody does as a read has ended without an outcome."""
    assert isinstance(_read(error), LogFailed)


@pytest.mark.parametrize("is_complete", [True, False])
def test_foreign_records_among_the_leases_are_dropped(is_complete: bool) -> None:
    """Guards against a foreign record, or a gap, that is taken for the state of the leases."""
    raw = [orjson.dumps(LEASE), b"{}", b"[" * 900, b""]
    records = [Record(f"key-{number}", each, number) for number, each in enumerate(raw)]
    event = _read(RecordPage(records, Position(0, 9), is_complete=is_complete))
    assert isinstance(event, LogNewest)
    assert [each.offset for each in event.records] == [0]
    assert event.is_complete == is_complete
