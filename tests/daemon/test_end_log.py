"""Tests of the last line of a process, and of errors that no task handles."""

from __future__ import annotations

import asyncio
import threading
from collections import Counter
from collections.abc import Iterator
from typing import Any

import anyio
import eliot
import pytest

from turmericweir.process.end_log import EndLog
from turmericweir.process.errors import ListenError
from turmericweir.process.unhandled_errors import UnhandledErrors


class _Counts:
    def __init__(self) -> None:
        self.by_name = Counter[str]()

    def count(self, name: str, by: int = 1) -> None:
        self.by_name[name] += by


@pytest.fixture
def lines() -> Iterator[list[dict[str, Any]]]:
    messages: list[dict[str, Any]] = []
    eliot.add_destinations(messages.append)
    # The first destination of a process receives the lines that earlier tests logged.
    messages.clear()
    yield messages
    eliot.remove_destination(messages.append)


@pytest.mark.parametrize(
    ("exc", "reason", "exit_code"),
    [
        (ListenError("listen for peers", "127.0.0.1:1", "in use"), "cannot_start", 2),
        (ExceptionGroup("tasks", [ValueError("malformed")]), "exception", 1),
        (SystemExit(3), "exception", 3),
        (KeyboardInterrupt(), "stop_forced", 130),
        (asyncio.CancelledError(), "exception", 1),
    ],
)
def test_end_by_an_exception_has_a_line_with_its_reason(
    lines: list[dict[str, Any]], exc: BaseException, reason: str, exit_code: int
) -> None:
    # Guards against a process that ends without a word of why, whatever the way out.
    with pytest.raises(type(exc)), EndLog():
        raise exc
    (line,) = [each for each in lines if each["message_type"] == "ended"]
    assert (line["reason"], line["exit_code"]) == (reason, exit_code)
    assert type(exc).__name__ in line["error"]
    assert type(exc).__name__ in line["traceback"]
    assert line["ran_ms"] >= 0


def test_end_that_nobody_states_is_not_requested(lines: list[dict[str, Any]]) -> None:
    # Guards against an end by a return that looks like a stop.
    with EndLog():
        pass
    (line,) = [each for each in lines if each["message_type"] == "ended"]
    assert (line["reason"], line["exit_code"]) == ("not_requested", 1)


async def test_errors_of_callbacks_are_counted_and_only_some_have_a_line(
    lines: list[dict[str, Any]],
) -> None:
    # Guards against errors in callbacks that nobody sees, and against a log that they fill.
    counts = _Counts()
    loop = asyncio.get_running_loop()

    def fail() -> None:
        raise ValueError("malformed")

    with UnhandledErrors(counts):
        for _ in range(200):
            loop.call_soon(fail)
        await anyio.lowlevel.checkpoint()
        await anyio.lowlevel.checkpoint()
    faults = [each for each in lines if each["message_type"] == "fault"]
    assert counts.by_name["fault.unhandled"] == 200
    assert 0 < len(faults) < 200
    assert faults[0]["step"] == "run callback"
    assert "malformed" in faults[0]["traceback"]


async def test_error_of_a_thread_is_logged(lines: list[dict[str, Any]]) -> None:
    # Guards against a thread that ends without a line.
    counts = _Counts()

    def fail() -> None:
        raise ValueError("malformed")

    with UnhandledErrors(counts):
        thread = threading.Thread(target=fail, name="decoder")
        thread.start()
        thread.join()
    (fault,) = [each for each in lines if each["message_type"] == "fault"]
    assert (fault["step"], fault["subject"]) == ("run thread", "decoder")
    assert counts.by_name == {"fault.unhandled": 1}


async def test_error_of_a_finalizer_is_logged(lines: list[dict[str, Any]]) -> None:
    # Guards against errors in finalizers that only reach standard error.
    class _Failing:
        def __del__(self) -> None:
            raise ValueError("malformed")

    counts = _Counts()
    with UnhandledErrors(counts):
        failing = _Failing()
        del failing
    (fault,) = [each for each in lines if each["message_type"] == "fault"]
    assert fault["step"] == "finalize"
