"""Test that requests which come together begin in several steps of the event loop."""

from __future__ import annotations

import asyncio
from collections import Counter

import anyio

from turmericweir.callers.arrival_gate import ArrivalGate

_REQUESTS = 100
_PER_STEP_MAX = 8


async def _count_steps(steps: list[int]) -> None:
    while True:
        steps[0] += 1
        await asyncio.sleep(0)


async def _begin_together(gate: ArrivalGate, count: int) -> list[tuple[int, int]]:
    """Let requests come in one step; return the number and the step of each as it begins."""
    begun: list[tuple[int, int]] = []
    steps = [0]

    async def begin(number: int) -> None:
        await gate.enter()
        begun.append((number, steps[0]))

    async with anyio.create_task_group() as counting:
        counting.start_soon(_count_steps, steps)
        async with anyio.create_task_group() as requests:
            for number in range(count):
                requests.start_soon(begin, number)
        counting.cancel_scope.cancel()
    return begun


def test_requests_that_come_together_begin_in_order_over_many_steps() -> None:
    # Guards against a step of the event loop that is as long as the work for a whole rush.
    begun = anyio.run(_begin_together, ArrivalGate(), _REQUESTS)
    assert [number for number, _ in begun] == list(range(_REQUESTS))
    per_step = Counter(step for _, step in begun)
    assert max(per_step.values()) <= _PER_STEP_MAX


def test_request_that_comes_alone_begins_at_once() -> None:
    # Guards against a delay of each request.
    async def run() -> list[tuple[int, int]]:
        gate = ArrivalGate()
        return [each for _ in range(3 * _PER_STEP_MAX) for each in await _begin_together(gate, 1)]

    assert {step for _, step in anyio.run(run)} == {1}


def test_request_that_is_cancelled_while_it_waits_holds_up_no_other() -> None:
    # Guards against requests that wait for ever behind a caller that has left.
    async def run() -> None:
        gate = ArrivalGate()
        async with anyio.create_task_group() as requests:
            for _ in range(3 * _PER_STEP_MAX):
                requests.start_soon(gate.enter)
            await asyncio.sleep(0)
            requests.cancel_scope.cancel()
        assert len(await _begin_together(gate, _REQUESTS)) == _REQUESTS

    anyio.run(run)
