"""Tests of what the failure of one task takes with it."""

from __future__ import annotations

import asyncio
from collections import Counter

import anyio
import pytest

from turmericweir.process.supervisor import run_endless, run_supervised


class _Counts:
    def __init__(self) -> None:
        self.by_name = Counter[str]()

    def count(self, name: str, by: int = 1) -> None:
        self.by_name[name] += by


async def test_failed_task_starts_again_and_others_go_on() -> None:
    """Guards against an exception in one task that ends the whole process."""
    counts = _Counts()
    attempts: list[int] = []
    others_end = anyio.Event()

    async def fail_twice() -> None:
        attempts.append(1)
        if len(attempts) <= 2:
            raise RecursionError("nested too deeply")
        others_end.set()

    async def other() -> None:
        await others_end.wait()

    async with anyio.create_task_group() as group:
        group.start_soon(run_supervised, "other", other, counts)
        group.start_soon(run_supervised, "fails", fail_twice, counts)
    assert len(attempts) == 3
    assert counts.by_name == {"fault.task": 2}


async def test_group_of_errors_starts_the_task_again() -> None:
    attempts: list[int] = []

    async def fail_in_group() -> None:
        attempts.append(1)
        if len(attempts) == 1:
            raise ExceptionGroup("tasks", [ValueError("malformed")])

    await run_supervised("fails", fail_in_group, _Counts())
    assert len(attempts) == 2


async def test_delay_grows_while_a_task_fails(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a task that fails at once and takes all of the processor."""
    delays: list[float] = []

    async def sleep(delay_s: float) -> None:
        delays.append(delay_s)

    async def fail() -> None:
        if len(delays) < 10:
            raise ValueError("malformed")

    monkeypatch.setattr("turmericweir.process.supervisor.anyio.sleep", sleep)
    await run_supervised("fails", fail, _Counts())
    assert delays == sorted(delays)
    assert delays[0] < 1.0 < delays[-1] <= 5.0


async def test_cancelled_task_ends() -> None:
    """Guards against a stop that waits for tasks which start again."""
    async with anyio.create_task_group() as group:
        group.start_soon(run_supervised, "sleeps", anyio.sleep_forever, _Counts())
        await anyio.lowlevel.checkpoint()
        group.cancel_scope.cancel()


async def await_cancelled() -> None:
    """Await a future that someone else has cancelled."""
    fut: asyncio.Future[None] = asyncio.get_running_loop().create_future()
    fut.cancel()
    await fut


async def test_cancelled_future_is_a_failure_of_its_task_only() -> None:
    """Guards against a future that someone else cancels and that ends the whole process."""
    counts = _Counts()
    attempts: list[int] = []
    others_end = anyio.Event()

    async def await_cancelled_once() -> None:
        attempts.append(1)
        if len(attempts) == 1:
            await await_cancelled()
        others_end.set()

    async def other() -> None:
        await others_end.wait()

    async with anyio.create_task_group() as group:
        group.start_soon(run_supervised, "other", other, counts)
        group.start_soon(run_supervised, "awaits", await_cancelled_once, counts)
    assert len(attempts) == 2
    assert others_end.is_set()
    assert counts.by_name == {"fault.task": 1}


async def test_cancelled_future_beside_a_cancelled_group_ends_the_task() -> None:
    """Guards against a task that goes on after a stop, since a future was cancelled as well."""
    counts = _Counts()
    started = anyio.Event()

    async def wait_and_fail() -> None:
        started.set()
        try:
            await anyio.sleep_forever()
        finally:
            await await_cancelled()

    async with anyio.create_task_group() as group:
        group.start_soon(run_supervised, "awaits", wait_and_fail, counts)
        await started.wait()
        group.cancel_scope.cancel()
    assert not counts.by_name


async def test_endless_task_that_returns_starts_again() -> None:
    """Guards against a task whose own group was cancelled, so that it returns without a word."""
    counts = _Counts()
    attempts: list[int] = []
    runs_again = anyio.Event()

    async def serve() -> None:
        attempts.append(1)
        if len(attempts) == 1:
            async with anyio.create_task_group() as own:
                own.start_soon(await_cancelled)
                await anyio.sleep_forever()
        else:
            runs_again.set()
            await anyio.sleep_forever()

    async with anyio.create_task_group() as group:
        group.start_soon(run_endless, "serves", serve, counts)
        with anyio.fail_after(10):
            await runs_again.wait()
        group.cancel_scope.cancel()
    assert counts.by_name == {"fault.task": 1}
