"""The command line against the operators' port: cases from `cases/ctl.test`, and a few others.

$ ARGUMENTS           a run of `turmericctl`; prints what it said and its exit code
! log MODE            the platform's log is up, down or loses_acks from now on
! other RECORD        a change through another instance; see tests/core/settings_script.py
! hear DC OFFSET AGE  relays of a data centre have told at which offset it is
! file NAME JSON      a file for the runs that follow
"""

from __future__ import annotations

import io
import json
import re
import shlex
import subprocess
import sys
import threading
from collections.abc import Iterator
from pathlib import Path
from typing import Final

import click
import pytest

from tests.core.case_driver import Case, check_lines, load_cases
from tests.core.settings_script import record_of
from tests.ctl.fake_daemon import TOKEN, FakeDaemon, LogMode, fake_daemon
from turmericctl.main import cli, main

CASES: Final = Path(__file__).parent / "cases"


class Terminal:
    """Runs the command line and notes what it says."""

    def __init__(
        self, daemon: FakeDaemon, folder: Path, capture: pytest.CaptureFixture[str]
    ) -> None:
        self.daemon = daemon
        self.folder = folder
        self.capture = capture

    def run(self, *args: str) -> tuple[int, str]:
        """Run a command; give its exit code and all that it said."""
        self.capture.readouterr()
        with pytest.raises(SystemExit) as raised:
            main(["--admin", self.daemon.address, "--token", TOKEN, *args])
        said = self.capture.readouterr()
        code = raised.value.code
        return int(code or 0), said.out + said.err

    def line(self, line: str) -> list[str]:
        """Do what a line of a case says."""
        mark, _, rest = line.partition(" ")
        if mark == "!":
            self.change(rest)
            return []
        assert mark == "$", f"a line begins with $ or !: {line!r}"
        code, said = self.run(*(self.argument(it) for it in shlex.split(rest)))
        shown = said.replace(self.daemon.address, "ADDRESS").replace(str(self.folder), "FOLDER")
        lines = [f"    {it}".rstrip() for it in shown.splitlines()]
        return [line, *(it for it in lines if it), f"    exit {code}"]

    def argument(self, text: str) -> str:
        """Put a file of the case in place of its name."""
        return str(self.folder / text[1:]) if text.startswith("%") else text

    def change(self, text: str) -> None:
        """Change the world."""
        word, _, rest = text.partition(" ")
        match word:
            case "log":
                self.daemon.set_log(LogMode(rest))
            case "other":
                self.daemon.append(record_of(rest))
            case "hear":
                name, offset, age = rest.split()
                self.daemon.hear(name, int(offset), float(age))
            case "file":
                name, _, content = rest.partition(" ")
                (self.folder / name).write_text(content, encoding="utf-8")
            case _:
                raise AssertionError(f"unknown word {word!r}")


@pytest.fixture
def terminal(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> Iterator[Terminal]:
    """Give a terminal before a daemon that holds no settings."""
    with fake_daemon() as daemon:
        yield Terminal(daemon, tmp_path, capsys)


@pytest.mark.parametrize("case", load_cases("ctl.test", CASES), ids=str)
def test_command_line(case: Case, terminal: Terminal) -> None:
    check_lines(case, [shown for line in case.lines("in") for shown in terminal.line(line)])


def test_change_in_an_outage_is_given_up_and_can_be_sent_again(terminal: Terminal) -> None:
    """The log refuses every append, so the change is given up: nothing of it can be in the log.

    The daemon of these tests does so after half a second. Sent again under the same id when the
    log is back, the change is made.
    """
    terminal.change("log down")
    args = ("settings", "set", "/limits/default", '{"requests_s": 1}', "--change-id", "change-1")
    code, said = terminal.run(*args)
    assert (code, said) == (3, "not made: the platform's log did not take it\n")
    terminal.change("log up")
    code, said = terminal.run(*args)
    assert (code, said) == (0, "accepted: /limits/default is at version 1\n")
    code, said = terminal.run("settings", "change", "change-1")
    assert (code, said) == (0, "accepted: /limits/default is at version 1\n")


def test_pending_change_is_told_about_later(terminal: Terminal) -> None:
    """An append may have taken effect, and the log can then not be read.

    Nobody can say yet whether the change was made, so the operator is told `pending` and not that
    it failed. The instance appends it again under the same id until the log tells, and the id then
    leads to the verdict.
    """
    terminal.change("log hides")
    args = ("settings", "set", "/limits/default", "{}", "--change-id", "change-1")
    code, said = terminal.run(*args)
    assert code == 3
    assert said.startswith("pending:")
    assert "turmericctl settings change change-1" in said
    code, said = terminal.run("settings", "change", "change-1")
    assert (code, said.partition(":")[0]) == (3, "pending")
    terminal.change("log up")
    code, said = terminal.run("settings", "change", "change-1")
    assert (code, said) == (0, "accepted: /limits/default is at version 1\n")


def test_wait_reports_a_data_centre_when_it_follows(terminal: Terminal) -> None:
    """The data centre `b` hears of the change a moment later than this instance."""
    terminal.change("hear b 0 0")
    follow = threading.Timer(0.5, terminal.daemon.hear, ("b", 1))
    follow.start()
    code, said = terminal.run("settings", "set", "/limits/default", "{}", "--wait")
    follow.join()
    assert code == 0
    assert said.splitlines()[1:] == ["a: in force", "b: in force"]


def test_json_output_of_a_change_is_one_document(terminal: Terminal) -> None:
    terminal.change("hear b 0 60")
    code, said = terminal.run(
        *("--output", "json", "settings", "set", "/limits/default", "{}"),
        *("--wait", "--wait-timeout", "0.1"),
    )
    document, _, rest = said.rpartition("}\n")
    value = json.loads(document + "}")
    assert value["verdict"] == "accepted"
    assert value["left"] == ["b"]
    assert code == 3
    assert "b" in rest


def test_history_shows_time_and_operator(terminal: Terminal) -> None:
    terminal.run("settings", "set", "/limits/default", "{}")
    code, said = terminal.run("settings", "history")
    assert code == 0
    title, row = said.splitlines()
    assert title.split()[:4] == ["OFFSET", "TIME", "VERDICT", "PATH"]
    assert re.match(
        r"0 +\d{4}-\d\d-\d\d \d\d:\d\d:\d\d +accepted +/limits/default +bootstrap/root ", row
    )


def test_value_from_standard_input(terminal: Terminal, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(sys, "stdin", io.StringIO("// a comment\n{requests_s: 3}"))
    code, said = terminal.run("settings", "set", "/limits/default", "-")
    assert (code, said) == (0, "accepted: /limits/default is at version 1\n")


def test_instance_without_settings(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    """The instance started in an outage and heard of no peer: it serves nobody, and says so."""
    with fake_daemon(LogMode.DOWN) as daemon:
        terminal = Terminal(daemon, tmp_path, capsys)
        code, said = terminal.run("status")
        assert code == 0
        assert re.search(r"^ready +False$", said, re.MULTILINE)
        code, said = terminal.run("--token", "wrong", "settings", "get")
    assert code == 3
    assert "no settings yet" in said


def test_path_without_a_slash_is_a_wrong_call(terminal: Terminal) -> None:
    for words in (("set", "policy", "{}"), ("delete", "policy"), ("get", "policy")):
        code, said = terminal.run("settings", *words)
        assert code == 2
        assert "expected a path that begins with /" in said


def test_wrong_token_is_refused(terminal: Terminal) -> None:
    code, said = terminal.run("--token", "wrong", "settings", "get")
    assert code == 1
    assert said == "turmericctl: expected the bearer token of an operator\n"


def test_instance_that_is_down() -> None:
    argv = [sys.executable, "-m", "turmericctl.main", "--admin", "127.0.0.1:1", "status"]
    result = subprocess.run(argv, capture_output=True, text=True, check=False, timeout=30)
    assert result.returncode == 3
    assert "cannot reach 127.0.0.1:1" in result.stderr
    assert "Traceback" not in result.stderr


@pytest.mark.parametrize("shell", ["bash", "zsh", "fish"])
def test_completion_script(shell: str, capsys: pytest.CaptureFixture[str]) -> None:
    with pytest.raises(SystemExit) as raised:
        main(["completion", shell])
    assert not raised.value.code
    assert "_TURMERICCTL_COMPLETE" in capsys.readouterr().out


def _options(command: click.Command, name: str) -> Iterator[tuple[str, click.Option]]:
    for parameter in command.params:
        if isinstance(parameter, click.Option):
            yield name, parameter
    if isinstance(command, click.Group):
        for below in command.commands.values():
            yield from _options(below, f"{name} {below.name}")


def test_every_command_and_flag_has_help() -> None:
    for name, option in _options(cli, "turmericctl"):
        assert option.help, f"{name} {option.name} has no help"
    commands = [cli, *cli.commands.values()]
    for command in commands:
        assert command.help, f"{command.name} has no help"
