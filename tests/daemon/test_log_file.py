"""Tests of the log of a process that logs to a file or standard error."""

from __future__ import annotations

import contextlib
import os
import threading
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import eliot
import pytest

from turmericweir.process import logs

SAFETY_S = 20.0


def _ignore(message: dict[str, Any]) -> None:
    """Discard a line of another test."""


@contextlib.contextmanager
def standard_error() -> Iterator[int]:
    """The reading end of a pipe, which stands for standard error."""
    # The first destination of a process receives the lines that earlier tests logged.
    eliot.add_destinations(_ignore)
    eliot.remove_destination(_ignore)
    out, fd = os.pipe()
    os.set_blocking(out, False)
    stream = os.fdopen(fd, "w")
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr("sys.stderr", stream)
        yield out
    # What is left in the stream goes to nobody.
    os.close(out)
    with contextlib.suppress(BrokenPipeError):
        stream.close()


def read_lines(out: int) -> list[str]:
    """Return the lines that can be read now."""
    data = b""
    while True:
        try:
            data += os.read(out, 1 << 16)
        except BlockingIOError:
            return data.decode().splitlines()


def test_stopped_reader_does_not_block_and_dropped_lines_are_counted() -> None:
    # Guards against a process that waits for the reader of its log.
    is_done = threading.Event()
    received: list[str] = []

    def write_much(out: int) -> None:
        with logs.LogFile(None):
            for number in range(1_000):
                logs.write("state", number=number, text="x" * 300)
            is_done.set()
            received.extend(read_lines(out))
            logs.write("state", number=1_000)
        received.extend(read_lines(out))

    with standard_error() as out:
        writer = threading.Thread(target=write_much, args=(out,), daemon=True)
        writer.start()
        is_free = is_done.wait(SAFETY_S)
        while not is_done.wait(0.01):
            read_lines(out)
        writer.join()
    assert is_free
    lines = [line for line in received if line.startswith("time=")]
    dropped = [int(line.rpartition("=")[2]) for line in lines if "event=log_dropped" in line]
    assert lines[-1].endswith("number=1000")
    # Each line is whole, or counted.
    assert dropped
    assert sum(dropped) + len(lines) - len(dropped) == 1_001


def test_closed_reader_does_not_stop_the_process(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against an exception from writing to a closed pipe.
    out, fd = os.pipe()
    os.close(out)
    stream = os.fdopen(fd, "w")
    monkeypatch.setattr("sys.stderr", stream)
    with logs.LogFile(None):
        logs.write("ready")
    with contextlib.suppress(BrokenPipeError):
        stream.close()


def test_lines_are_appended_to_a_file(tmp_path: Path) -> None:
    # Guards against the loss of what an earlier process wrote.
    path = tmp_path / "log"
    for number in range(2):
        with logs.LogFile(str(path)):
            logs.write("ready", number=number)
    assert [line.rpartition(" ")[2] for line in path.read_text().splitlines()] == [
        "number=0",
        "number=1",
    ]
