"""Waiting for the verdicts on changes of settings.

The settings interface submits a change to the reducer and waits here for the verdict, which arrives
with the reducer's `ReportVerdict` effect.
"""

from __future__ import annotations

from typing import Any

import anyio

from turmericweir_core.messages.effects import ReportVerdict


class VerdictWaiters:
    """The requests that wait for a verdict on a change."""

    # By change id.
    _waiters: dict[str, list[_Waiter]]

    def __init__(self) -> None:
        self._waiters = {}

    # Any: verdicts are typed in core's settings reducer, which the effect does not import.
    async def wait(self, change_id: str, timeout_s: float) -> Any | None:
        """Wait for the verdict on a change and return it; None after the time limit."""
        waiter = _Waiter()
        self._waiters.setdefault(change_id, []).append(waiter)
        try:
            with anyio.move_on_after(timeout_s):
                await waiter.settled.wait()
        finally:
            waiters = self._waiters[change_id]
            waiters.remove(waiter)
            if not waiters:
                del self._waiters[change_id]
        return waiter.verdict

    def settle(self, effect: ReportVerdict) -> None:
        """Pass a verdict to the requests that wait for it."""
        for waiter in self._waiters.get(effect.change_id, ()):
            waiter.verdict = effect.verdict
            waiter.settled.set()


class _Waiter:
    """One request that waits for a verdict."""

    __slots__ = ("settled", "verdict")

    # Set when the verdict has arrived.
    settled: anyio.Event
    # Any: see `VerdictWaiters.wait`.
    verdict: Any | None

    def __init__(self) -> None:
        self.settled = anyio.Event()
        self.verdict = None
