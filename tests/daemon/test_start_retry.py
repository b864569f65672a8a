"""Tests of the retries of a step of a start."""

from __future__ import annotations

import json
import os
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from turmericweir.process.errors import DaemonError, SettingsFileError, StartStoppedError
from turmericweir.process.start_log import StartLog
from turmericweir.process.start_retry import StartRetry

STEP = "read settings"


@dataclass
class Start:
    """A start with a clock that only its pauses advance."""

    limit_s: float = 10.0
    now: float = 100.0
    # When the process is asked to stop.
    stop_at: float = float("inf")
    tried_at: list[float] = field(default_factory=list)

    def run(
        self,
        error_at: Callable[[float], str],
        can_pass: Callable[[DaemonError], bool] = lambda _: True,
    ) -> tuple[Result[str, DaemonError], list[dict[str, Any]]]:
        """Run a step that fails with a text, or succeeds where it is empty; return the lines."""

        def attempt() -> Result[str, DaemonError]:
            self.tried_at.append(self.now)
            error = error_at(self.now)
            return Failure(SettingsFileError(STEP, "file", error)) if error else Success("done")

        out, fd = os.pipe()
        try:
            retry = StartRetry(
                log=StartLog(fd),
                is_stop_requested=lambda: self.now >= self.stop_at,
                limit_s=self.limit_s,
                pause_s=0.5,
                log_interval_s=4.0,
                clock=lambda: self.now,
                sleep=self._sleep,
            )
            result = retry.run(STEP, attempt, can_pass)
        finally:
            os.close(fd)
        with os.fdopen(out, "rb") as lines:
            return result, [json.loads(line) for line in lines]

    def _sleep(self, duration_s: float) -> None:
        self.now += duration_s


def test_step_that_succeeds_is_not_logged() -> None:
    result, lines = Start().run(lambda _: "")
    assert (result, lines) == (Success("done"), [])


def test_obstacle_that_passes_is_waited_for() -> None:
    # Guards against a process that ends at the first try.
    start = Start()
    result, lines = start.run(lambda now: "empty" if now < 101.0 else "")
    assert result == Success("done")
    assert [line["event"] for line in lines] == ["start_waiting", "start_continued"]
    assert (lines[0]["step"], lines[0]["tries"]) == (STEP, 1)
    assert "empty" in lines[0]["error"]
    assert (lines[1]["tries"], lines[1]["waited_s"]) == (3, 1.0)


def test_wait_is_limited_and_ends_with_the_last_error() -> None:
    # Guards against a process that waits for ever without being of use.
    start = Start(limit_s=1.2)
    result, _ = start.run(lambda now: "empty" if now < 101.0 else "absent")
    assert start.tried_at == [100.0, 100.5, 101.0, 101.2]
    assert result.failure().detail == "absent"


def test_obstacle_that_cannot_pass_ends_the_start_at_once() -> None:
    # Guards against waiting for what nobody will change.
    start = Start()
    result, lines = start.run(lambda _: "wrong field", lambda error: error.detail == "absent")
    assert not is_successful(result)
    assert (start.tried_at, lines) == ([100.0], [])


def test_stop_signal_ends_the_wait() -> None:
    # Guards against a start that cannot be stopped while it waits.
    start = Start(stop_at=101.0)
    result, _ = start.run(lambda _: "absent")
    assert isinstance(result.failure(), StartStoppedError)
    assert start.now == 101.0


def test_log_has_the_first_failure_each_change_and_a_line_at_intervals() -> None:
    # Guards against a log that is full of the tries of a start.
    _, lines = Start().run(lambda now: "absent" if now < 103.0 else "empty")
    logged = [(line["waited_s"], line["error"].rpartition(" ")[2]) for line in lines]
    assert logged == [(0.0, "absent"), (3.0, "empty"), (7.0, "empty")]
