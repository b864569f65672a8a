"""The table of behaviours of a stand-in and the two test-only endpoints that show and change it.

A stand-in derives its table from `BehaviourTable`, hands it to `Controls`, and reads
`controls.table` afresh whenever it decides something, so that a change counts from then on.
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
    """The base of each stand-in's table; a misspelt name is an error and not a silent no-op."""

    model_config = ConfigDict(extra="forbid", frozen=True)


TableT = TypeVar("TableT", bound=BehaviourTable)


class Controls(Generic[TableT]):
    """Hold the table of one stand-in and serve its control endpoints."""

    # The table in force; replaced as a whole by each merge.
    table: TableT
    # Called after each merge, for a stand-in that must act at once.
    _on_change: Callable[[TableT], None] | None
    # Set by the next merge; each merge replaces it.
    _merged: anyio.Event

    def __init__(self, table: TableT, on_change: Callable[[TableT], None] | None = None) -> None:
        self.table = table
        self._on_change = on_change
        self._merged = anyio.Event()

    def merge(self, changes: dict[str, object]) -> TableT:
        """Put the changed entries in force and keep all others."""
        self.table = type(self.table).model_validate(self.table.model_dump() | changes)
        if self._on_change is not None:
            self._on_change(self.table)
        merged, self._merged = self._merged, anyio.Event()
        merged.set()
        return self.table

    async def wait_until(self, holds: Callable[[TableT], bool]) -> None:
        """Wait until the table in force is such that this holds."""
        while not holds(self.table):
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
