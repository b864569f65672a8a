"""Retries of a step of a start whose obstacle may pass, such as an address in use.

The step is tried until it succeeds, fails for good, has taken too long, or the process is asked to
stop. The log gets a line at the first failure, whenever the error changes, and at intervals.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final, TypeVar

from returns.pipeline import is_successful
from returns.result import Failure, Result

from turmericweir.process.errors import DaemonError, StartStoppedError
from turmericweir.process.start_log import StartLog

T = TypeVar("T")

_PAUSE_S: Final = 0.05
_LOG_INTERVAL_S: Final = 2.0


@dataclass(frozen=True, slots=True, kw_only=True)
class StartRetry:
    """How the steps of a start are retried."""

    log: StartLog
    # Whether the process was asked to stop.
    is_stop_requested: Callable[[], bool]
    # From the first try to the last one.
    limit_s: float
    pause_s: float = _PAUSE_S
    log_interval_s: float = _LOG_INTERVAL_S
    clock: Callable[[], float] = time.monotonic
    sleep: Callable[[float], None] = time.sleep

    def run(
        self,
        step: str,
        attempt: Callable[[], Result[T, DaemonError]],
        can_pass: Callable[[DaemonError], bool] = lambda _: True,
    ) -> Result[T, DaemonError]:
        """Try a step until it succeeds; `can_pass` returns whether an error may go away.

        Fails with `StartStoppedError` if the process was asked to stop.
        """
        started_at = self.clock()
        logged_at, logged_error, tries = started_at, "", 0
        while True:
            if self.is_stop_requested():
                return Failure(StartStoppedError(step, "this process", "a stop was requested"))
            result = attempt()
            tries += 1
            waited_s = self.clock() - started_at
            if is_successful(result):
                if tries > 1:
                    self.log.write(
                        "start_continued", step=step, tries=tries, waited_s=round(waited_s, 3)
                    )
                return result
            error = result.failure()
            if not can_pass(error) or waited_s >= self.limit_s:
                return result
            now = self.clock()
            if str(error) != logged_error or now - logged_at >= self.log_interval_s:
                logged_at, logged_error = now, str(error)
                self.log.write(
                    "start_waiting",
                    step=step,
                    error=logged_error,
                    tries=tries,
                    waited_s=round(waited_s, 3),
                    limit_s=self.limit_s,
                )
            self.sleep(min(self.pause_s, self.limit_s - waited_s))
