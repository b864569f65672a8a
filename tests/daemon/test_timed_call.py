"""Tests of calls whose time limit follows the response times of the other end."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Any, cast

import anyio
import pytest

from turmericweir.process import logs
from turmericweir.process.errors import CallError
from turmericweir.process.node import Node
from turmericweir.servers import timed_call
from turmericweir.servers.backend_call import Answer
from turmericweir.servers.backend_pool import BackendPool
from turmericweir.servers.timed_call import TimedCalls

LEAST_S = 0.9
MOST_S = 3.0


class OtherEnd:
    """Answers each call after a time of a clock that only calls advance."""

    def __init__(self, delay_s: float) -> None:
        self.delay_s = delay_s
        self.now = 0.0
        self.limits_s: list[float] = []

    async def call(self, *_args: object, timeout_s: float, **_options: object) -> Answer:
        self.limits_s.append(timeout_s)
        if self.delay_s >= timeout_s:
            self.now += timeout_s
            raise CallError("append", "store", "no answer", was_sent=True)
        self.now += self.delay_s
        return Answer(200, {}, b"")


class FakeNode:
    """Records metrics."""

    def __init__(self) -> None:
        self.counts = Counter[str]()
        self.timings: list[tuple[str, float]] = []
        self.run_in_background: Callable[..., object]

    def count(self, name: str) -> None:
        """Add to a counter."""
        self.counts[name] += 1

    def timing(self, name: str, seconds: float) -> None:
        """Record a duration."""
        self.timings.append((name, seconds))


def make_calls(
    end: OtherEnd, delays_s: list[float], monkeypatch: pytest.MonkeyPatch
) -> tuple[list[bool], FakeNode, list[str]]:
    """Make a call for each delay; return which were answered, the metrics and the log's events."""
    node = FakeNode()
    events: list[str] = []

    def write(event: str, **_fields: Any) -> None:
        events.append(event)

    async def main() -> list[bool]:
        calls = TimedCalls(
            cast(BackendPool, None), "store", "append", least_s=LEAST_S, most_s=MOST_S
        )
        calls.attach(cast(Node, node))
        answered = []
        for end.delay_s in delays_s:
            try:
                await calls.post("/append")
            except CallError:
                answered.append(False)
            else:
                answered.append(True)
        return answered

    monkeypatch.setattr(timed_call, "call", end.call)
    monkeypatch.setattr("anyio.current_time", lambda: end.now)
    monkeypatch.setattr(logs, "write", write)
    return anyio.run(main), node, events


@pytest.mark.parametrize("delay_s", [0.95, 1.3, 2.0, 2.9])
def test_slow_end_is_waited_for(delay_s: float, monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against calls that all run out of a limit that never changes.
    end = OtherEnd(delay_s)
    answered, node, events = make_calls(end, [delay_s] * 6, monkeypatch)
    assert all(answered[2:])
    name, seconds = node.timings[-1]
    assert name == "append"
    assert seconds == pytest.approx(delay_s)
    assert node.counts["append.expired"] == answered.count(False)
    assert events == ["limit_expired", "answered_again"]


def test_silent_end_is_noticed_by_the_first_limit(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against a long wait for an end that has always answered quickly.
    end = OtherEnd(0.0)
    answered, node, events = make_calls(end, [0.01] * 20 + [60.0] * 6, monkeypatch)
    assert answered == [True] * 20 + [False] * 6
    assert end.limits_s[20] == LEAST_S
    assert max(end.limits_s) == MOST_S
    assert node.counts["append.expired"] == 6
    assert events == ["limit_expired"]


@pytest.mark.parametrize("delay_s", [0.0, 0.1, 60.0])
def test_answer_that_comes_after_its_limit_is_returned(
    delay_s: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against a call that is given up for good although its answer is on the way.
    steps: list[str] = []

    async def answer_late(*_args: object, timeout_s: float, **_options: object) -> Answer:
        await anyio.sleep(min(delay_s, timeout_s))
        if delay_s >= timeout_s:
            raise CallError("report", "platform", "no answer", was_sent=True)
        return Answer(200, {}, b"")

    async def main() -> Answer | None:
        node = FakeNode()
        async with anyio.create_task_group() as group:
            node.run_in_background = group.start_soon
            calls = TimedCalls(
                cast(BackendPool, None), "platform", "call", least_s=0.01, most_s=0.01
            )
            calls.attach(cast(Node, node))
            answer = await calls.post_patiently(
                "/usage",
                value={},
                headers=(),
                needs_new_connection=False,
                give_up_s=0.2,
                on_expired=lambda: steps.append("expired"),
            )
        return answer

    monkeypatch.setattr(timed_call, "call", answer_late)
    answer = anyio.run(main)
    assert steps == ([] if delay_s == 0.0 else ["expired"])
    assert (answer is None) is (delay_s == 60.0)
