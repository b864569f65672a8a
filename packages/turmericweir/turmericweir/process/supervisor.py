"""Keep the long-running tasks of a process running.

A process has one task group, and an exception that leaves a task ends the whole group. A task that
is run here is started again instead, so that a fault in one of them, such as following the server
entries, leaves the others serving callers with what the process already knows. The same holds for
a `CancelledError` that leaves a task which nobody has cancelled.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from math import inf
from typing import Final, Protocol

import anyio

from turmericweir.process import logs

# Bounds of the delay before a failed task is started again; it doubles with each failure.
_RESTART_FIRST_S: Final = 0.1
_RESTART_MAX_S: Final = 5.0
# A task that ran for this long has recovered from its last failure.
_RECOVERED_AFTER_S: Final = 10.0


class Counter(Protocol):
    """Counts events by name."""

    def count(self, name: str, by: int = 1) -> None:
        """Add to a counter."""


class TaskReturnedError(RuntimeError):
    """A task that must run until it is cancelled has returned."""


def is_being_cancelled() -> bool:
    """Return whether the current task is cancelled, by itself or with its task group.

    If not, a `CancelledError` in it comes from what it awaited, which someone else has cancelled.
    """
    task = asyncio.current_task()
    if task is not None and task.cancelling():
        return True
    return anyio.current_effective_deadline() == -inf


async def run_supervised(name: str, work: Callable[[], Awaitable[None]], counter: Counter) -> None:
    """Run a task until it returns; log its failures and start it again after each."""
    delay_s = _RESTART_FIRST_S
    while True:
        started_at = anyio.current_time()
        try:
            await work()
        except (Exception, asyncio.CancelledError) as exc:
            if isinstance(exc, asyncio.CancelledError) and is_being_cancelled():
                raise
            logs.write_fault("run task", name, exc)
            counter.count("fault.task")
        else:
            return
        if anyio.current_time() - started_at >= _RECOVERED_AFTER_S:
            delay_s = _RESTART_FIRST_S
        await anyio.sleep(delay_s)
        delay_s = min(_RESTART_MAX_S, 2.0 * delay_s)


async def run_endless(name: str, work: Callable[[], Awaitable[None]], counter: Counter) -> None:
    """Run a task until it is cancelled; start it again also after a return."""

    async def fail_at_return() -> None:
        await work()
        # A task group returns without an exception if a future in it was cancelled by others.
        raise TaskReturnedError(name)

    await run_supervised(name, fail_at_return, counter)
