"""Stand-ins of the platform's store and of its API for duties that answer without an end."""

from __future__ import annotations

import json
import struct
from enum import StrEnum

from tests.platform.standin_duties import DutyStandin
from tests.platform.standin_endless import EndlessAnswer
from tests.platform.standin_http import Call
from tests.platform.standin_store import Store

_PAGE_KEY = "odd-"
_PAGE_VALUE = "eHh4" * 180_000
_TINY_RECORDS = 2_000_000
_TINY_ENTRIES = 190_000


class StoreFault(StrEnum):
    """What a faulty store sends."""

    # Snapshots whose pages have no end.
    PAGES = "pages"
    # Snapshots of a page of very many small entries.
    ENTRIES = "entries"
    # Reads of very many empty records, of which there are always more.
    RECORDS = "records"


class EndlessStore(Store):
    """Answers reads without an end while it is told to."""

    def __init__(self) -> None:
        super().__init__()
        self.endless: EndlessAnswer | None = None
        self.fault: StoreFault | None = None
        # Faulty answers that were sent whole, and snapshots that were begun meanwhile.
        self.faulty_answers = 0
        self.begun_snapshots = 0

    async def handle(self, call: Call) -> bool:
        """Answer one call."""
        headers = {"Store-Era": str(self.era)}
        if self.endless is not None:
            return await self.endless.write(call, headers)
        if self.fault is None and call.query.get("after", "").startswith(_PAGE_KEY):
            # The rest of a snapshot that began with faulty pages.
            await call.answer(503)
            return True
        if self.fault is None or call.path == "/api/log-append":
            return await super().handle(call)
        call.extra_headers = headers
        if self.fault is StoreFault.RECORDS:
            if call.path != "/api/log-read":
                return await super().handle(call)
            body = struct.pack(">QQ", 1 << 40, 0) + bytes(4 * _TINY_RECORDS)
            return await self._answer_faulty(call, body)
        if call.path == "/api/log-read":
            await call.answer(410, b'{"first": 0}')
            return True
        after = call.query.get("after", "")
        if not after:
            self.begun_snapshots += 1
        return await self._answer_faulty(call, _faulty_page(self.fault, after))

    async def _answer_faulty(self, call: Call, body: bytes) -> bool:
        await call.answer(200, body)
        self.faulty_answers += 1
        return True


def _faulty_page(fault: StoreFault, after: str) -> bytes:
    if fault is StoreFault.ENTRIES:
        names = [f"k{number}" for number in range(_TINY_ENTRIES)]
        return _encode_page([{"key": name, "value": "", "offset": 1} for name in names], False)
    number = 1 + int(after.removeprefix(_PAGE_KEY) or "0")
    return _encode_page([{"key": f"{_PAGE_KEY}{number}", "value": _PAGE_VALUE, "offset": 1}], True)


def _encode_page(entries: list[dict[str, object]], has_more: bool) -> bytes:
    page = {"entries": entries, "has-more": has_more, "end": 1}
    return json.dumps(page, separators=(",", ":")).encode()


class EndlessDuties(DutyStandin):
    """Answers calls of the duties without an end while it is told to."""

    def __init__(self) -> None:
        super().__init__()
        self.endless: EndlessAnswer | None = None

    async def handle(self, call: Call) -> bool:
        """Answer one call."""
        if self.endless is not None:
            return await self.endless.write(call, {})
        return await super().handle(call)
