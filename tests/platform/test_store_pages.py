"""Snapshots that are read by pages, from stores with any keys and of any make."""

from __future__ import annotations

import base64
import json
import struct
from collections.abc import Callable, Mapping
from typing import Any, Final, cast
from urllib.parse import parse_qsl

import anyio
import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from turmericweir.process.errors import CallError
from turmericweir.servers.backend_call import Answer
from turmericweir.servers.backend_pool import BackendPool
from turmericweir_platform.store_client import RecordTooLargeError, StoreClient
from turmericweir_platform.store_records import Record, RecordPage

VALUE: Final = b"value"
SOUND_KEYS: Final = ("lm-1", "lm-2", "shop-1", "shop-2", "z")
# What is answered to a read of the log: a status and a body.
Log = Callable[[int], tuple[int, bytes]]
# Answers a read of a page by its parameters.
Pages = Callable[[Mapping[str, str]], dict[str, Any]]


class _Store:
    """Answers the reads of one client, and keeps their targets."""

    def __init__(self, pages: Pages, log: Log) -> None:
        self.targets: list[str] = []
        self._pages = pages
        self._log = log

    async def answer(self, target: str, _sent: object) -> Answer:
        self.targets.append(target)
        assert len(self.targets) < 10_000
        path, _, query = target.partition("?")
        parameters = dict(parse_qsl(query, keep_blank_values=True, strict_parsing=True))
        assert parameters["topic"] == "topic"
        if path.endswith("log-newest"):
            return Answer(200, {}, json.dumps(self._pages(parameters)).encode())
        status, body = self._log(int(parameters["from"]))
        return Answer(status, {}, body)

    @property
    def page_reads(self) -> int:
        return sum("log-newest" in each for each in self.targets)


def _read(store: _Store, **options: Any) -> RecordPage:
    client = StoreClient(cast(BackendPool, None), "127.0.0.1:1")

    async def read() -> RecordPage:
        return await client.read_newest("topic", **options)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(client, "_call", store.answer)
        return anyio.run(read)


def _entry(key: bytes, offset: int) -> dict[str, Any]:
    value = base64.b64encode(VALUE).decode()
    return {"key": key.decode(errors="replace"), "value": value, "offset": offset}


def _sorted_pages(keys: list[bytes], size: int) -> Pages:
    """Return pages of a store that orders keys by their bytes."""

    def page(parameters: Mapping[str, str]) -> dict[str, Any]:
        after = parameters["after"].encode() if "after" in parameters else None
        rest = sorted(key for key in keys if after is None or key > after)
        entries = [_entry(key, keys.index(key)) for key in rest[:size]]
        return {"entries": entries, "has-more": len(rest) > size, "end": len(keys)}

    return page


def _log_of(keys: list[bytes], first: int = 0) -> Log:
    """Return a log with one record of each key, whose beginning may be deleted."""

    def read(start: int) -> tuple[int, bytes]:
        if start < first:
            return 410, json.dumps({"first": first}).encode()
        records = [bytes([len(key)]) + key + VALUE for key in keys[start:]]
        body = b"".join(struct.pack(">I", len(each)) + each for each in records)
        return 200, struct.pack(">QQ", len(keys), first) + body

    return read


def _read_all(keys: list[bytes], size: int, first: int = 0) -> tuple[_Store, RecordPage]:
    store = _Store(_sorted_pages(keys, size), _log_of(keys, first))
    return store, _read(store)


def _without_record(_start: int) -> tuple[int, bytes]:
    return 410, b""


_NAMES: Final = st.text(st.characters(exclude_characters="\ufffd", codec="utf-8"), max_size=6)
TEXT_KEYS: Final = st.lists(_NAMES, max_size=8)
BYTE_KEYS: Final = st.lists(st.binary(max_size=6), max_size=8)


@given(TEXT_KEYS, st.integers(1, 5))
def test_all_entries_beside_odd_names_are_read(names: list[str], size: int) -> None:
    """Guards against names that end a list before its end, or read it without an end."""
    keys = [key.encode() for key in dict.fromkeys([*names, *SOUND_KEYS])]
    store, page = _read_all(keys, size)
    assert {record.key.encode() for record in page.records} == set(keys)
    assert page.is_complete
    assert store.page_reads <= -(-len(keys) // size) + 1


@given(BYTE_KEYS, st.integers(1, 5))
@example([b"a\xff"], 1)
@example([b"\x80", b"a\xff", b"a\xfe"], 1)
def test_sound_entries_beside_keys_that_are_not_utf8_are_read(
    odd_keys: list[bytes], size: int
) -> None:
    """Guards against keys that cannot be named and hide what comes after them."""
    keys = list(dict.fromkeys([*(key.encode() for key in SOUND_KEYS), *odd_keys]))
    store, page = _read_all(keys, size)
    assert set(SOUND_KEYS) <= {record.key for record in page.records}
    assert store.page_reads <= 2 * len(keys) + 1


def test_list_that_skipped_a_key_is_not_complete() -> None:
    """Guards against servers that are taken for gone as their keys were not reached."""
    _, page = _read_all([b"a\xff", b"b"], 1)
    assert not page.is_complete


@pytest.mark.parametrize("first", [0, 2, 3])
def test_retained_records_fill_the_gap(first: int) -> None:
    """Guards against a log that is not read as its beginning was deleted."""
    keys = [b"\xff\xff", b"\xff\xfe", b"b"]
    store = _Store(lambda _: {"entries": [], "has-more": True, "end": 3}, _log_of(keys, first))
    page = _read(store)
    assert [record.offset for record in page.records if record.key == "b"] == [2][: 3 - first]
    assert page.end.offset == 3


FAULTY_PAGES: Final[dict[str, Pages]] = {
    "the same": lambda _: {"entries": [_entry(b"a", 0)], "has-more": True, "end": 1},
    "no entries": lambda _: {"entries": [], "has-more": True, "end": 1},
    "no keys": lambda _: {"entries": [{}, 7, None], "has-more": True, "end": 1},
    "two in turn": lambda parameters: {
        "entries": [_entry(b"b" if parameters.get("after") == "a" else b"a", 0)],
        "has-more": True,
        "end": 1,
    },
    "a key longer than any": lambda _: {
        "entries": [_entry(b"a" * 256, 0)],
        "has-more": True,
        "end": 1,
    },
    "a new key each time": lambda parameters: {
        "entries": [_entry(b"%d" % (int(parameters.get("after", "0")) + 1), 0)],
        "has-more": True,
        "end": 1,
    },
}


@pytest.mark.parametrize("pages", FAULTY_PAGES.values(), ids=FAULTY_PAGES)
@pytest.mark.parametrize("log", [_log_of([]), _without_record])
def test_faulty_pages_are_read_to_an_end(pages: Pages, log: Log) -> None:
    """Guards against reads without an end of a store that makes no progress."""
    store = _Store(pages, log)
    page = _read(store, keep=lambda _: None)
    assert not page.is_complete
    assert len(store.targets) < 10 or pages is FAULTY_PAGES["a new key each time"]


def test_sought_key_is_found_beyond_a_gap() -> None:
    """Guards against settings that are lost beyond keys which cannot be named."""
    keys = [b"a\xff", b"a\xfe", b"config"]
    store = _Store(_sorted_pages(keys, 1), _without_record)
    page = _read(store, sought=("config",))
    assert "config" in {record.key for record in page.records}


def test_records_that_are_not_kept_take_no_room() -> None:
    """Guards against foreign entries that use up the room of a whole list."""
    large = base64.b64encode(bytes(900_000)).decode()

    def pages(parameters: Mapping[str, str]) -> dict[str, Any]:
        number = int(parameters.get("after", "0")) + 1
        entry = {"key": str(number), "value": large, "offset": number}
        return {"entries": [entry], "has-more": number < 40, "end": 41}

    def keep(record: Record) -> Record | None:
        return record if record.key == "40" else None

    assert [each.key for each in _read(_Store(pages, _log_of([])), keep=keep).records] == ["40"]
    with pytest.raises(RecordTooLargeError):
        _read(_Store(pages, _log_of([])))


@pytest.mark.parametrize(
    "body", [{}, {"entries": 1, "end": 1}, {"entries": []}, {"entries": [], "end": -1}, [], None]
)
def test_page_without_a_frame_is_an_error_of_the_store(body: Any) -> None:
    """Guards against an answer that is no page and is taken for an empty list."""
    with pytest.raises(CallError):
        _read(_Store(lambda _: body, _log_of([])))
