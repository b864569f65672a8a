"""Test that long steps of the event loop are measured and reported."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import anyio
import eliot

from turmericweir.process.boot_clock import BootClockLoop
from turmericweir.process.loop_steps import LoopSteps, running_steps

LONG_S = 0.4


class _Counters:
    def __init__(self) -> None:
        self.counts: dict[str, int] = {}
        self.timings: list[tuple[str, float]] = []

    def count(self, name: str, by: int = 1) -> None:
        self.counts[name] = self.counts.get(name, 0) + by

    def timing(self, name: str, seconds: float) -> None:
        self.timings.append((name, seconds))


@contextmanager
def _logged() -> Iterator[list[dict[str, Any]]]:
    lines: list[dict[str, Any]] = []
    eliot.add_destinations(lines.append)
    try:
        yield lines
    finally:
        eliot.remove_destination(lines.append)


def test_long_step_is_measured_by_the_loop() -> None:
    # Guards against a process that serves nobody for a while, of which nothing tells.
    async def run() -> LoopSteps:
        steps = running_steps()
        await asyncio.sleep(0)
        time.sleep(LONG_S)  # noqa: ASYNC251
        await asyncio.sleep(0)
        return steps

    steps = anyio.run(run, backend_options={"loop_factory": BootClockLoop})
    assert steps.longest_s >= LONG_S
    assert steps.slow_count >= 1


def test_wait_is_no_step() -> None:
    # Guards against an idle process that reports long steps.
    steps = LoopSteps()
    steps.end(0.0)
    steps.begin(10.0)
    steps.end(10.01)
    assert 0.0 < steps.longest_s < 1.0
    assert steps.slow_count == 0


def test_report_names_the_longest_step_and_the_processor_time() -> None:
    # Guards against a long step that cannot be told from a process that got no processor.
    steps, counters = LoopSteps(), _Counters()
    for start, end in ((1.0, 3.0), (4.0, 4.5), (5.0, 5.001)):
        steps.begin(start)
        steps.end(end)
    with _logged() as lines:
        steps.report(counters, 5.0, 0.25)
        steps.report(counters, 1.0, 0.25)
    (line,) = [each for each in lines if each["message_type"] == "slow_step"]
    fields = ("longest_ms", "steps", "processor_ms", "interval_ms")
    assert [line[name] for name in fields] == [2000, 2, 250, 5000]
    assert counters.counts == {"loop.slow_step": 2}
    assert counters.timings == [("loop.longest_step", 2.0), ("loop.longest_step", 0.0)]
    assert steps.longest_s == 2.0
