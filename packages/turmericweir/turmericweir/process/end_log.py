"""Why a process ends: one log line, whatever the way out.

The daemon enters `EndLog` right after its log, so that all its parts end within it. Whoever ends
the process states the reason; an end without a stated reason is one that nobody asked for. What
fails before the log is open is reported by the program that starts the daemon.
"""

from __future__ import annotations

import time
import traceback
from types import TracebackType
from typing import Final, Self

from turmericweir.process import logs
from turmericweir.process.errors import DaemonError, describe_error

STOPPED_STATUS: Final = 0
FAILED_STATUS: Final = 1
CANNOT_START_STATUS: Final = 2
# The exit status after a second interrupt.
FORCED_STOP_STATUS: Final = 130

REASON_STOP: Final = "stop_requested"
REASON_FORCED_STOP: Final = "stop_forced"
REASON_CANNOT_START: Final = "cannot_start"
REASON_EXCEPTION: Final = "exception"
REASON_NOT_REQUESTED: Final = "not_requested"


class EndLog:
    """Writes the last line of a process: why it ends, its exit status and how long it ran."""

    reason: str
    exit_status: int
    # What the end was seen at, for an end that nobody asked for.
    subject: str
    _started_at: float

    def __init__(self) -> None:
        self.reason = REASON_NOT_REQUESTED
        self.exit_status = FAILED_STATUS
        self.subject = ""

    def __enter__(self) -> Self:
        self._started_at = _boot_time()
        return self

    def conclude(self, reason: str, exit_status: int, subject: str = "") -> int:
        """Set the reason of the end; return the exit status."""
        self.reason = reason
        self.exit_status = exit_status
        self.subject = subject
        return exit_status

    def conclude_stop(self, is_requested: bool) -> int:
        """Set the reason after the callers' port has ended; return the exit status."""
        if is_requested:
            return self.conclude(REASON_STOP, STOPPED_STATUS)
        return self.conclude(REASON_NOT_REQUESTED, FAILED_STATUS, "serve callers")

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        fields: dict[str, str] = {"subject": self.subject} if self.subject else {}
        if exc is not None:
            self._conclude_from(exc)
            fields["error"] = describe_error(exc)
            fields["traceback"] = "".join(traceback.format_exception(exc))
        ran_ms = round((_boot_time() - self._started_at) * 1000)
        logs.write("ended", reason=self.reason, exit_code=self.exit_status, ran_ms=ran_ms, **fields)

    def _conclude_from(self, exc: BaseException) -> None:
        match exc:
            case DaemonError():
                self.conclude(REASON_CANNOT_START, CANNOT_START_STATUS)
            case KeyboardInterrupt():
                self.conclude(REASON_FORCED_STOP, FORCED_STOP_STATUS)
            case SystemExit(code=int(code)):
                self.conclude(REASON_EXCEPTION, code)
            case _:
                self.conclude(REASON_EXCEPTION, FAILED_STATUS)


def _boot_time() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)
