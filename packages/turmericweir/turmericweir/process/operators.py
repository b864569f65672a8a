"""Operators who wait for what became of a change of settings.

The settings interface submits a change to the reducer and awaits its verdict here; the reducer's
`SettleChange` effect brings it.
"""

from __future__ import annotations

from typing import Any

import anyio

from turmericweir_core.messages.effects import SettleChange


class Operators:
    """Changes that somebody waits for."""

    # By change id, who waits for it.
    _waiting: dict[str, list[_Waiter]]

    def __init__(self) -> None:
        self._waiting = {}

    # Any: verdicts are typed in core's settings reducer, which the effect does not import.
    async def wait(self, change_id: str, timeout_s: float) -> Any | None:
        """Wait for the verdict on a change; None where it is not known in time."""
        waiter = _Waiter()
        self._waiting.setdefault(change_id, []).append(waiter)
        try:
            with anyio.move_on_after(timeout_s):
                await waiter.settled.wait()
        finally:
            waiters = self._waiting[change_id]
            waiters.remove(waiter)
            if not waiters:
                del self._waiting[change_id]
        return waiter.verdict

    def settle(self, effect: SettleChange) -> None:
        """Tell whoever waits what became of a change."""
        for waiter in self._waiting.get(effect.change_id, ()):
            waiter.verdict = effect.verdict
            waiter.settled.set()


class _Waiter:
    """One who waits for a verdict."""

    __slots__ = ("settled", "verdict")

    settled: anyio.Event
    # Any: see `Operators.wait`.
    verdict: Any | None

    def __init__(self) -> None:
        self.settled = anyio.Event()
        self.verdict = None
