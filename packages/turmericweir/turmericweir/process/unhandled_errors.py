"""Errors that no task handles: in callbacks of the event loop, in threads and in finalizers.

They end nothing by themselves. While entered, each is a `fault` line and is counted; under many
errors only some of them have a line.
"""

from __future__ import annotations

import asyncio
import sys
import threading
import time
from types import TracebackType
from typing import Any, Final, Self

from turmericweir.process import logs
from turmericweir.process.supervisor import Counter

_LINES_PER_S: Final = 5
_COUNTER_NAME: Final = "fault.unhandled"


class UnhandledErrors:
    """Logs and counts the errors that no task handles."""

    _counter: Counter
    # Start of the current second, and the lines written in it.
    _second_started_at: float
    _lines_in_second: int

    def __init__(self, counter: Counter) -> None:
        self._counter = counter
        self._second_started_at = 0.0
        self._lines_in_second = 0

    def __enter__(self) -> Self:
        asyncio.get_running_loop().set_exception_handler(self._handle_loop_error)
        self._thread_hook = threading.excepthook
        self._unraisable_hook = sys.unraisablehook
        threading.excepthook = self._handle_thread_error
        sys.unraisablehook = self._handle_unraisable
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        asyncio.get_running_loop().set_exception_handler(None)
        threading.excepthook = self._thread_hook
        sys.unraisablehook = self._unraisable_hook

    def _handle_loop_error(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        message = context["message"]
        self._record("run callback", message, context.get("exception") or RuntimeError(message))

    def _handle_thread_error(self, args: threading.ExceptHookArgs) -> None:
        name = args.thread.name if args.thread is not None else ""
        self._record("run thread", name, args.exc_value or args.exc_type())

    # Any: typeshed declares the type of the argument for checkers only.
    def _handle_unraisable(self, args: Any) -> None:
        subject = args.err_msg or repr(args.object)
        self._record("finalize", subject, args.exc_value or args.exc_type())

    def _record(self, step: str, subject: str, exc: BaseException) -> None:
        self._counter.count(_COUNTER_NAME)
        now = time.monotonic()
        if now - self._second_started_at >= 1.0:
            self._second_started_at = now
            self._lines_in_second = 0
        self._lines_in_second += 1
        if self._lines_in_second <= _LINES_PER_S:
            logs.write_fault(step, subject, exc)
