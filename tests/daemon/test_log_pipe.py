"""Tests of the log output: its format, its limits and a reader that stops."""

from __future__ import annotations

import json
import logging
import os
import threading
from collections.abc import Iterator
from typing import Any

import eliot
import pytest

from turmericweir.process.log_pipe import LogPipe

NAME = "entry-1"


class Reader:
    """Reads the output of a process."""

    def __init__(self, fd: int) -> None:
        os.set_blocking(fd, False)
        self._fd = fd
        self._data = b""

    def lines(self) -> list[dict[str, Any]]:
        """Return the complete lines that arrived since the last call."""
        try:
            while chunk := os.read(self._fd, 1 << 16):
                self._data += chunk
        except BlockingIOError:
            pass
        complete, _, self._data = self._data.rpartition(b"\n")
        return [json.loads(line) for line in complete.splitlines()]


def _ignore(message: dict[str, Any]) -> None:
    """Discard a line of another test."""


@pytest.fixture
def pipe() -> Iterator[tuple[Reader, LogPipe]]:
    # The first destination of a process receives the lines that earlier tests logged.
    eliot.add_destinations(_ignore)
    eliot.remove_destination(_ignore)
    out, fd = os.pipe()
    yield Reader(out), LogPipe(fd, NAME)
    os.close(out)
    os.close(fd)


def test_line_has_time_instance_and_event(pipe: tuple[Reader, LogPipe]) -> None:
    # Guards against lines without these fields, also for messages of libraries.
    reader, log = pipe
    with log:
        eliot.log_message(message_type="placed", request_id="a1", age_ms=3)
        logging.getLogger("library").warning("odd: %s", 7)
    first, second = reader.lines()
    assert (first["event"], first["instance"], first["age_ms"]) == ("placed", NAME, 3)
    assert first["time"] > 0
    assert (second["event"], second["text"]) == ("library", "odd: 7")


def test_stopped_reader_does_not_block_and_dropped_lines_are_counted(
    pipe: tuple[Reader, LogPipe],
) -> None:
    # Guards against a process that waits for its log reader, and against uncounted lost lines.
    reader, log = pipe
    with log:
        for number in range(3_000):
            eliot.log_message(message_type="state", number=number, text="x" * 300)
        assert log.dropped_lines
        reported = 0
        lines = reader.lines()
        while not reported:
            log.flush()
            new_lines = reader.lines()
            lines += new_lines
            reported = sum(line["lines"] for line in new_lines if line["event"] == "log_dropped")
        assert reported + sum(line["event"] == "state" for line in lines) <= 3_000


def test_only_lines_about_requests_are_limited_per_second(
    pipe: tuple[Reader, LogPipe], monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against logging that uses up the processor, and against losing lines on the process.
    reader, log = pipe
    monkeypatch.setattr("turmericweir.process.log_pipe._REQUEST_LINES_PER_S", 5)
    with log:
        # All timestamps are within one second.
        for _ in range(9):
            log._write_message({"timestamp": 50.0, "message_type": "placed", "request_id": "a1"})
        log._write_message({"timestamp": 50.5, "message_type": "ready"})
        log._write_message({"timestamp": 51.5, "message_type": "placed", "request_id": "a2"})
    events = [line["event"] for line in reader.lines()]
    assert events.count("placed") == 6
    assert "ready" in events
    dropped = [event for event in events if event == "log_dropped"]
    assert len(dropped) == 1


def test_closed_reader_does_not_stop_the_process() -> None:
    # Guards against an exception from writing to a closed pipe.
    out, fd = os.pipe()
    os.close(out)
    with LogPipe(fd, NAME) as log:
        eliot.log_message(message_type="ready")
        log.flush()
        eliot.log_message(message_type="ready")
    os.close(fd)


def test_last_lines_reach_a_slow_reader(pipe: tuple[Reader, LogPipe]) -> None:
    # Guards against an end whose reason is lost because the reader is behind.
    reader, log = pipe
    lines: list[dict[str, Any]] = []
    is_over = threading.Event()

    def read_on() -> None:
        while not is_over.wait(0.001):
            lines.extend(reader.lines())

    thread = threading.Thread(target=read_on)
    with log:
        # More than a pipe holds.
        for number in range(500):
            eliot.log_message(message_type="state", number=number, text="x" * 300)
        eliot.log_message(message_type="ended")
        thread.start()
    is_over.set()
    thread.join()
    assert (lines + reader.lines())[-1]["event"] == "ended"


def test_reader_that_stands_still_does_not_hold_up_the_end(pipe: tuple[Reader, LogPipe]) -> None:
    # Guards against a process that never ends because nobody reads its log.
    _, log = pipe
    with log:
        for number in range(500):
            eliot.log_message(message_type="state", number=number, text="x" * 300)
