"""Tests of how processes end: the reason in the log, the exit code, and faults that end nothing."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from tests.platform.faulty_world import FaultyWorld
from tests.platform.platform_world import Instance, PlatformWorld, until


def ended_line(instance: Instance) -> dict[str, Any]:
    """Return the only line about the end of a process, after its output has ended."""
    until(lambda: bool(instance.logged("ended")), "the end is logged")
    (line,) = instance.logged("ended")
    return line


@pytest.mark.parametrize("signum", [signal.SIGTERM, signal.SIGINT])
def test_stop_is_the_reason_of_the_end(tmp_path: Path, signum: signal.Signals) -> None:
    # Guards against an end by a stop that cannot be told from one by a fault.
    with PlatformWorld(tmp_path, bounds={"grace_s": 3}) as world:
        instance = world.running["entry-1"]
        os.kill(instance.process.pid, signum)
        assert instance.process.wait(20) == 0
        line = ended_line(instance)
        assert (line["reason"], line["exit_code"]) == ("stop_requested", 0)
        assert line["ran_ms"] > 0


def test_error_in_a_callback_is_logged_and_ends_nothing(tmp_path: Path) -> None:
    # Guards against errors in callbacks of the event loop that nobody sees.
    with FaultyWorld(tmp_path, metrics=True) as world:
        instance = world.running["entry-1"]
        world.trigger("entry-1", "exception in callback")
        until(lambda: bool(instance.logged("fault")), "the fault is logged")
        (line,) = instance.logged("fault")
        assert line["step"] == "run callback"
        assert world.send_safe().status == 200


def test_system_exit_of_a_task_is_logged(tmp_path: Path) -> None:
    # Guards against a library that exits the process without a line, as servers do that fail.
    with FaultyWorld(tmp_path) as world:
        instance = world.running["entry-1"]
        world.trigger("entry-1", "system exit")
        instance.process.wait(20)
        assert ended_line(instance)["reason"] == "exception"


def test_crash_of_a_library_writes_the_stack(tmp_path: Path) -> None:
    # Guards against a fatal error in C code that leaves no trace.
    with FaultyWorld(tmp_path) as world:
        process = world.running["entry-1"].process
        world.trigger("entry-1", "crash")
        assert process.wait(20) == -signal.SIGSEGV
        text = process.stderr_path.read_text()
        assert "Fatal Python error" in text
        assert "_crash" in text


def test_process_without_standard_error_starts() -> None:
    # Guards against fatal traces that need a standard error.
    code = (
        "from turmericweir.process.fatal_traces import enable_fatal_traces as e; e(); print('ok')"
    )
    argv = ["sh", "-c", 'exec "$@" 2>&-', "sh", sys.executable, "-c", code]
    result = subprocess.run(argv, capture_output=True, text=True, check=True)
    assert result.stdout == "ok\n"


@pytest.mark.parametrize(
    "fault",
    ["cancelled future", "cancelled future in background", "cancelled future in a group"],
)
def test_cancelled_future_ends_one_task_only(tmp_path: Path, fault: str) -> None:
    # Guards against a future that someone else cancels and that ends the whole process.
    with FaultyWorld(tmp_path) as world:
        instance = world.running["entry-1"]
        world.trigger("entry-1", fault)
        until(
            lambda: bool(instance.logged("fault") or instance.logged("background_failed")),
            "the failure is logged",
        )
        assert world.send_safe().status == 200
        assert instance.process.is_running


def test_failed_servers_of_all_ports_go_on(tmp_path: Path) -> None:
    # Guards against an error in the server of one port that ends the whole process.
    with FaultyWorld(tmp_path, bounds={"grace_s": 3}) as world:
        instance = world.running["entry-1"]
        world.trigger("entry-1", "exception in servers")
        until(lambda: len(instance.logged("fault")) == 3, "the servers have failed")
        assert world.send_safe().status == 200
        assert instance.is_ready()
        instance.process.terminate()
        assert instance.process.wait(20) == 0


def test_end_that_nobody_asked_for_has_a_reason_and_another_exit_code(tmp_path: Path) -> None:
    # Guards against a process that ends by itself and looks as if it had been stopped.
    with FaultyWorld(tmp_path) as world:
        instance = world.running["entry-1"]
        world.trigger("entry-1", "end of serving")
        assert instance.process.wait(20) == 1
        line = ended_line(instance)
        assert (line["reason"], line["exit_code"]) == ("not_requested", 1)
        assert line["subject"] == "serve callers"
