"""A stand-in for the platform's store, whose topics retain the newest record of each key."""

from __future__ import annotations

import asyncio
import base64
import json
import re
import struct
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import accumulate
from typing import Any, Final
from urllib.parse import parse_qsl
from weakref import WeakSet

from tests.platform.standin_http import Call

OPERATOR = "keyed.op"
SERVERS = "keyed.servers"
# The project's own topic.
OWN = "keyed.turmericweir"
_PART_BYTES = 16_384
_TARGET: Final = re.compile(r"(?:[A-Za-z0-9\-._~!$&'()*+,;=:@/?]|%[0-9A-Fa-f]{2})*")
# Marks a field that is left out of an entry of a page.
MISSING: Final = object()


@dataclass(slots=True)
class Topic:
    """Records of one partition."""

    # Key and value; an empty value removes the key. Bytes of a key that are not UTF-8 are surrogate
    # escapes.
    records: list[tuple[str, bytes]] = field(default_factory=list)
    # Records before this offset have been deleted.
    first_offset: int = 0

    def newest(self) -> dict[str, tuple[int, bytes]]:
        """Return offset and value of the newest record of each key that has not been removed."""
        newest_records: dict[str, tuple[int, bytes]] = {}
        for offset, (key, value) in enumerate(self.records):
            if value:
                newest_records[key] = (offset, value)
            else:
                newest_records.pop(key, None)
        return newest_records


class Store:
    """Answers reads and appends; tests write records directly."""

    def __init__(self) -> None:
        self.topics = {OPERATOR: Topic(), SERVERS: Topic(), OWN: Topic()}
        # "" for correct answers, "busy", "reset", "silent", or "lost" (drops every third answer of
        # each topic).
        self.mode = ""
        self._lost_mode_answers = Counter[str]()
        # Number of answers dropped by "lost".
        self.lost_answers = 0
        # Topics of which no read is answered.
        self.lost_topics = set[str]()
        # Rises each time that the store comes back from a copy; 0 for a store without eras.
        self.era = 1
        # Delay of each answer.
        self.delay_s = 0.0
        # Delay before an append is carried out, also if its caller has given up meanwhile.
        self.append_delay_s = 0.0
        # How long after an answer the connection is closed, unannounced; None to keep it.
        self.closes_after_s: float | None = None
        # Whether it is reset instead.
        self.closes_by_reset = False
        # The connection is closed after so many answers.
        self.answers_per_connection = 1
        # Delay of each part of an answer, as of a link that repairs a loss in each, and whether all
        # parts come at the end of their delays.
        self.part_delay_s = 0.0
        self.delays_first_byte = False
        # Connections that have carried a call, and those that are dead though nothing closed them.
        self._connections = WeakSet[asyncio.StreamWriter]()
        self._silent_connections = WeakSet[asyncio.StreamWriter]()
        # Number of answered reads by topic, and of those that were answered with a page.
        self.answered = Counter[str]()
        self.pages = Counter[str]()
        # The largest number of entries in a page.
        self.page_entries = 2
        # The bytes of values in a page; a page has one entry at least.
        self.page_bytes = 1_000_000
        # By what keys are ordered.
        self.key_order: Callable[[str], Any] = _encode_key
        # Fields of the entries of pages that differ from their records, by key.
        self.odd_fields: dict[str, dict[str, object]] = {}
        # What a page is answered with instead, by topic.
        self.odd_pages: dict[str, dict[str, Any]] = {}
        # Whether a target has to be a valid one, and ends at a "#".
        self.is_strict = False

    def second_endpoint(self) -> Store:
        """Return a store with the same records and a separate mode."""
        endpoint = Store()
        endpoint.topics = self.topics
        return endpoint

    def write(self, topic: str, key: str, value: object) -> None:
        """Append a record; bytes are stored unchanged, None removes the key."""
        raw = value if isinstance(value, bytes) else b"" if value is None else _encode_json(value)
        self.topics[topic].records.append((key, raw))

    def delete_history(self, topic: str) -> None:
        """Delete all current records except the newest of each key."""
        self.topics[topic].first_offset = len(self.topics[topic].records)

    def copy_topics(self) -> dict[str, list[tuple[str, bytes]]]:
        """Return a copy of all records."""
        return {name: list(topic.records) for name, topic in self.topics.items()}

    def come_back_from(self, copy: dict[str, list[tuple[str, bytes]]]) -> None:
        """Replace all records by those of a copy, in a new era."""
        for name, topic in self.topics.items():
            topic.records[:] = copy.get(name, [])
            topic.first_offset = min(topic.first_offset, len(topic.records))
        self.era += 1

    def silence_connections(self) -> None:
        """Answer nothing more on the connections that are open now."""
        self._silent_connections = self._connections.copy()

    async def handle(self, call: Call) -> bool:
        """Answer one call, and close its connection later if the store does so."""
        is_kept = await self._answer(call)
        is_last = (call.earlier_requests + 1) % self.answers_per_connection == 0
        if is_kept and is_last and self.closes_after_s is not None:
            close = call.reset if self.closes_by_reset else call.writer.close
            asyncio.get_running_loop().call_later(self.closes_after_s, close)
        return is_kept

    async def _answer(self, call: Call) -> bool:
        self._connections.add(call.writer)
        if call.writer in self._silent_connections:
            await call.wait_closed()
            return False
        if self.era:
            call.extra_headers = {"Store-Era": str(self.era)}
        if self.is_strict:
            query = _strict_query(call.target)
            if query is None:
                await call.answer(400)
                return True
            call.query = query
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        if self.mode == "busy":
            await call.answer(503)
            return True
        if self.mode == "reset" or call.query["topic"] in self.lost_topics:
            call.reset()
            return False
        topic = self.topics.setdefault(call.query["topic"], Topic())
        if call.path == "/api/log-append":
            return await self._append(call, topic)
        if call.path == "/api/log-newest":
            self.pages[call.query["topic"]] += 1
            answer = self.odd_pages.get(call.query["topic"]) or self._make_page(topic, call.query)
            status, body = 200, _encode_json(answer)
        else:
            status, body = await self._read(topic, call.query)
        if self.mode == "silent":
            await call.wait_closed()
            return False
        if self.mode == "lost":
            self._lost_mode_answers[call.query["topic"]] += 1
            if self._lost_mode_answers[call.query["topic"]] % 3 == 0:
                self.lost_answers += 1
                call.reset()
                return False
        self.answered[call.query["topic"]] += 1
        if self.part_delay_s:
            await self._answer_in_parts(call, status, body)
        else:
            await call.answer(status, body)
        return True

    async def _answer_in_parts(self, call: Call, status: int, body: bytes) -> None:
        parts = [body[begin : begin + _PART_BYTES] for begin in range(0, len(body), _PART_BYTES)]
        if self.delays_first_byte:
            await asyncio.sleep(len(parts) * self.part_delay_s)
            await call.answer(status, body)
            return
        await call.write(call.head(status, len(body)))
        for part in parts:
            await asyncio.sleep(self.part_delay_s)
            await call.write(part)

    def _make_page(self, topic: Topic, query: dict[str, str]) -> dict[str, Any]:
        """Return a page of few entries, in the order of their keys."""
        newest, order = topic.newest(), self.key_order
        after = order(query["after"]) if "after" in query else None
        keys = sorted((key for key in newest if after is None or order(key) > after), key=order)
        sizes = accumulate(len(newest[key][1]) for key in keys)
        fitting = sum(size <= self.page_bytes for size in sizes)
        count = min(self.page_entries, max(1, fitting))
        entries = [
            {
                "key": _encode_key(key).decode(errors="replace"),
                "value": base64.b64encode(newest[key][1]).decode(),
                "offset": newest[key][0],
                **self.odd_fields.get(key, {}),
            }
            for key in keys[:count]
        ]
        return {
            "entries": [
                {name: value for name, value in entry.items() if value is not MISSING}
                for entry in entries
            ],
            "has-more": len(keys) > count,
            "end": len(topic.records),
        }

    async def _append(self, call: Call, topic: Topic) -> bool:
        """Append the records of a call if the topic ends at the expected offset."""
        if self.append_delay_s:
            await asyncio.sleep(self.append_delay_s)
        first_offset = len(topic.records)
        if int(call.query.get("at", first_offset)) != first_offset:
            await call.answer(412, _encode_json({"end": first_offset}))
            return True
        topic.records += _split_records(call.body)
        if self.mode == "silent":
            await call.wait_closed()
            return False
        await call.answer(200, _encode_json({"offset": first_offset, "end": len(topic.records)}))
        return True

    async def _read(self, topic: Topic, query: dict[str, str]) -> tuple[int, bytes]:
        start = int(query["from"])
        if start < topic.first_offset or start > len(topic.records):
            return 410, _encode_json({"first": topic.first_offset})
        loop = asyncio.get_running_loop()
        wait_until = loop.time() + float(query.get("wait-ms", 0)) / 1000
        # Polls because tests write from another thread.
        while start >= len(topic.records) and loop.time() < wait_until:  # noqa: ASYNC110
            await asyncio.sleep(0.005)
        body = struct.pack(">QQ", len(topic.records), topic.first_offset)
        for key, value in topic.records[start:]:
            encoded_key = _encode_key(key)
            record = bytes([len(encoded_key)]) + encoded_key + value
            body += struct.pack(">I", len(record)) + record
        return 200, body


def _split_records(body: bytes) -> list[tuple[str, bytes]]:
    """Split the records of an append into keys and values."""
    records: list[tuple[str, bytes]] = []
    position = 0
    while position < len(body):
        (size,) = struct.unpack_from(">I", body, position)
        record = body[position + 4 : position + 4 + size]
        key_end = 1 + record[0]
        records.append((record[1:key_end].decode(), record[key_end:]))
        position += 4 + size
    return records


def _encode_key(key: str) -> bytes:
    return key.encode(errors="surrogateescape")


def _strict_query(target: str) -> dict[str, str] | None:
    """Parse the query of a target; return None if it holds what RFC 3986 does not allow."""
    target, _, _ = target.partition("#")
    if not _TARGET.fullmatch(target):
        return None
    return dict(parse_qsl(target.partition("?")[2], keep_blank_values=True))


def _encode_json(value: object) -> bytes:
    return json.dumps(value).encode()
