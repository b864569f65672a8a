"""Log lines are bounded, and nobody waits for their reader."""

from __future__ import annotations

import json
import logging
import os
from collections.abc import Iterator
from typing import Any

import eliot
import pytest

from turmericweir.process.log_pipe import LogPipe

NAME = "entry-1"


class Reader:
    """The reader of a process's output."""

    def __init__(self, fd: int) -> None:
        os.set_blocking(fd, False)
        self._fd = fd
        self._data = b""

    def lines(self) -> list[dict[str, Any]]:
        """Give the lines that came whole since the last call."""
        try:
            while chunk := os.read(self._fd, 1 << 16):
                self._data += chunk
        except BlockingIOError:
            pass
        whole, _, self._data = self._data.rpartition(b"\n")
        return [json.loads(line) for line in whole.splitlines()]


def _ignore(message: dict[str, Any]) -> None:
    """Take a line that belongs to no test here."""


@pytest.fixture
def pipe() -> Iterator[tuple[Reader, LogPipe]]:
    # The first destination of a process gets what was logged before, by other tests.
    eliot.add_destinations(_ignore)
    eliot.remove_destination(_ignore)
    out, fd = os.pipe()
    yield Reader(out), LogPipe(fd, NAME)
    os.close(out)
    os.close(fd)


def test_a_line_says_when_where_and_what(pipe: tuple[Reader, LogPipe]) -> None:
    reader, log = pipe
    with log:
        eliot.log_message(message_type="placed", request_id="a1", age_ms=3)
        logging.getLogger("library").warning("odd: %s", 7)
    first, second = reader.lines()
    assert (first["event"], first["instance"], first["age_ms"]) == ("placed", NAME, 3)
    assert first["time"] > 0
    assert (second["event"], second["text"]) == ("library", "odd: 7")


def test_a_reader_that_stops_holds_nobody_up_and_what_it_missed_is_counted(
    pipe: tuple[Reader, LogPipe],
) -> None:
    # Whoever reads the output has stopped. Lines are dropped, the process goes on; once the reader
    # is back, a line says how many are missing.
    reader, log = pipe
    with log:
        for number in range(3_000):
            eliot.log_message(message_type="state", number=number, text="x" * 300)
        assert log.dropped
        told = 0
        lines = reader.lines()
        while not told:
            log.flush()
            fresh = reader.lines()
            lines += fresh
            told = sum(line["lines"] for line in fresh if line["event"] == "log_dropped")
        assert told + sum(line["event"] == "state" for line in lines) <= 3_000


def test_lines_about_requests_are_bounded_and_those_about_the_process_are_not(
    pipe: tuple[Reader, LogPipe], monkeypatch: pytest.MonkeyPatch
) -> None:
    reader, log = pipe
    monkeypatch.setattr("turmericweir.process.log_pipe._REQUEST_LINES_S", 5)
    with log:
        # All within one second of the lines' own time.
        for _ in range(9):
            log._take({"timestamp": 50.0, "message_type": "placed", "request_id": "a1"})
        log._take({"timestamp": 50.5, "message_type": "ready"})
        log._take({"timestamp": 51.5, "message_type": "placed", "request_id": "a2"})
    events = [line["event"] for line in reader.lines()]
    assert events.count("placed") == 6
    assert "ready" in events
    dropped = [event for event in events if event == "log_dropped"]
    assert len(dropped) == 1


def test_a_reader_that_is_gone_ends_nothing() -> None:
    out, fd = os.pipe()
    os.close(out)
    with LogPipe(fd, NAME) as log:
        eliot.log_message(message_type="ready")
        log.flush()
        eliot.log_message(message_type="ready")
    os.close(fd)
