"""Tests of the log lines of a start."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from collections.abc import Iterator

import pytest

from turmericweir.process.start_log import StartLog


@pytest.fixture
def pipe() -> Iterator[tuple[int, int]]:
    out, fd = os.pipe()
    os.set_blocking(out, False)
    yield out, fd
    os.close(out)
    os.close(fd)


def test_line_has_the_form_of_the_daemons_lines(pipe: tuple[int, int]) -> None:
    # Guards against lines of a start that a reader of the log cannot parse or assign.
    out, fd = pipe
    log = StartLog(fd, read_time=lambda: 5.25)
    log.write("start_waiting", step="read settings", tries=3)
    log.instance = "entry-1"
    log.write("start_continued")
    first, second = (json.loads(line) for line in os.read(out, 4_096).splitlines())
    assert first == {"time": 5.25, "event": "start_waiting", "step": "read settings", "tries": 3}
    assert second == {"time": 5.25, "event": "start_continued", "instance": "entry-1"}


def test_full_output_does_not_block_and_lost_lines_are_counted(pipe: tuple[int, int]) -> None:
    # Guards against a start that waits for the reader of its log.
    out, fd = pipe
    log = StartLog(fd)
    while not log.dropped_lines:
        log.write("start_waiting", error="x" * 500)
    assert os.get_blocking(fd)
    while True:
        try:
            os.read(out, 1 << 16)
        except BlockingIOError:
            break
    log.write("start_continued")
    events = [json.loads(line)["event"] for line in os.read(out, 4_096).splitlines()]
    assert events == ["log_dropped", "start_continued"]


@pytest.mark.parametrize("is_reader_gone", [False, True])
def test_closed_output_does_not_fail_the_start(is_reader_gone: bool) -> None:
    # Guards against a start that ends because nobody reads its log.
    out, fd = os.pipe()
    os.close(out)
    if not is_reader_gone:
        os.close(fd)
    log = StartLog(fd)
    log.write("started")
    assert log.dropped_lines == 1
    if is_reader_gone:
        os.close(fd)


def test_long_text_is_shortened(pipe: tuple[int, int]) -> None:
    # Guards against the loss of a line because of a long error.
    out, fd = pipe
    StartLog(fd).write("start_failed", detail="x" * 100_000)
    assert json.loads(os.read(out, 1 << 16))["detail"].startswith("xxx")


def test_library_that_cannot_be_imported_is_in_the_log() -> None:
    # Guards against a process that ends without a line because a library does not load.
    code = (
        "import sys; from turmericweir.process.start_log import StartLog;"
        "sys.excepthook = StartLog().write_uncaught; import no_such_library"
    )
    result = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True)
    (line,) = (json.loads(text) for text in result.stdout.splitlines())
    assert (line["event"], line["exit_code"]) == ("process_failed", result.returncode)
    assert "no_such_library" in line["detail"]
    assert "no_such_library" in result.stderr


def test_only_the_standard_library_is_imported() -> None:
    # Guards against a first line that a library which does not load prevents.
    code = "import sys, turmericweir.process.start_log; print(' '.join(sys.modules))"
    result = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True)
    loaded = {each.partition(".")[0] for each in result.stdout.split()}
    assert not loaded & {"msgspec", "returns", "orjson", "eliot", "anyio"}
