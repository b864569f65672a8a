"""The table of a stand-in's behaviours and the test-only endpoint that shows and changes it.

A stand-in derives its table from `BehaviourTable` and passes it to `Controls`. It reads
`controls.table` at each decision; a change is in force at once.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final, Generic, TypeVar

import anyio
import orjson
from pydantic import BaseModel, ConfigDict, ValidationError

from turmericweir_standins.asgi import Request, Send, send_json

BEHAVIOUR_PATH: Final = "/_standin/behaviour"


class BehaviourTable(BaseModel):
    """The base of each stand-in's table; an unknown name is an error."""

    model_config = ConfigDict(extra="forbid", frozen=True)


TableT = TypeVar("TableT", bound=BehaviourTable)


class Controls(Generic[TableT]):
    """Hold the table of one stand-in and serve its control endpoints."""

    # The table in force; replaced as a whole by each merge.
    table: TableT
    # Called after each merge.
    _on_change: Callable[[TableT], None] | None
    # Set and replaced by each merge.
    _merged: anyio.Event

    def __init__(self, table: TableT, on_change: Callable[[TableT], None] | None = None) -> None:
        self.table = table
        self._on_change = on_change
        self._merged = anyio.Event()

    def merge(self, changes: dict[str, object]) -> TableT:
        """Replace the given entries of the table and return the new table."""
        self.table = type(self.table).model_validate(self.table.model_dump() | changes)
        if self._on_change is not None:
            self._on_change(self.table)
        merged_event, self._merged = self._merged, anyio.Event()
        merged_event.set()
        return self.table

    async def wait_until(self, condition: Callable[[TableT], bool]) -> None:
        """Wait until the table fulfils a condition."""
        while not condition(self.table):
            await self._merged.wait()

    async def handle(self, request: Request, send: Send) -> bool:
        """Answer a request for the control endpoint; return False for any other path."""
        if request.path != BEHAVIOUR_PATH:
            return False
        if request.method == "GET":
            await send_json(send, 200, self.table.model_dump())
        elif request.method == "POST":
            await self._post(await request.body(), send)
        else:
            await send_json(send, 405, {"error": "use GET or POST"})
        return True

    async def _post(self, body: bytes, send: Send) -> None:
        try:
            changes = orjson.loads(body)
            if not isinstance(changes, dict):
                raise ValueError("the body must be a JSON object")
            table = self.merge(changes)
        except (ValidationError, ValueError) as exc:
            await send_json(send, 400, {"error": str(exc)})
            return
        await send_json(send, 200, table.model_dump())
