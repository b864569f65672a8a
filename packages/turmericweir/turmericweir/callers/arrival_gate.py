"""Lets a few requests begin in each step of the event loop; the others wait in their order.

To begin a request takes longer the more requests wait for servers. Between two steps the process
answers readiness checks, sends heartbeats and reads what servers send, also while thousands of
callers send at once.
"""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Final

import anyio

_BEGUN_PER_STEP: Final = 8


class ArrivalGate:
    """Counts the requests that begin in a step of the event loop."""

    # Set when the request may begin, the oldest first.
    _waiting: deque[anyio.Event]
    # How many may still begin in this step.
    _left: int
    # Whether the next step is awaited.
    _is_scheduled: bool

    def __init__(self) -> None:
        self._waiting = deque()
        self._left = _BEGUN_PER_STEP
        self._is_scheduled = False

    async def enter(self) -> None:
        """Wait until a request may begin."""
        if self._left and not self._waiting:
            self._left -= 1
            self._await_next_step()
            return
        event = anyio.Event()
        self._waiting.append(event)
        await event.wait()

    def _await_next_step(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._begin_step)

    def _begin_step(self) -> None:
        self._is_scheduled = False
        self._left = _BEGUN_PER_STEP
        while self._waiting and self._left:
            self._left -= 1
            self._waiting.popleft().set()
        if self._left < _BEGUN_PER_STEP:
            self._await_next_step()
