"""Tests of the command line against the operators' port, mostly from `cases/ctl.test`.

$ ARGUMENTS             run `turmericctl`; prints its output and exit code
! log MODE              set the state of the platform's log: up, down or loses_acks
! other RECORD          a change through another instance; see tests/core/settings_script.py
! report DC OFFSET AGE  a data centre has reported its settings offset AGE seconds ago
! file NAME JSON        create a file for the following runs
! add NAME LINE         add a line to a file, which keeps its indentation
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


class CommandRunner:
    """Runs the command line and captures its output."""

    def __init__(
        self, daemon: FakeDaemon, folder: Path, capture: pytest.CaptureFixture[str]
    ) -> None:
        self.daemon = daemon
        self.folder = folder
        self.capture = capture

    def run(self, *args: str) -> tuple[int, str]:
        """Run a command; return its exit code and output."""
        self.capture.readouterr()
        with pytest.raises(SystemExit) as raised:
            main(["--admin", self.daemon.address, "--token", TOKEN, *args])
        captured = self.capture.readouterr()
        code = raised.value.code
        return int(code or 0), captured.out + captured.err

    def run_line(self, line: str) -> list[str]:
        """Execute a line of a case; return the lines to compare."""
        prefix, _, rest = line.partition(" ")
        if prefix == "!":
            self.apply_change(rest)
            return []
        assert prefix == "$", f"a line begins with $ or !: {line!r}"
        code, output = self.run(*(self.expand_argument(it) for it in shlex.split(rest)))
        shown = output.replace(self.daemon.address, "ADDRESS").replace(str(self.folder), "FOLDER")
        lines = [f"    {it}".rstrip() for it in shown.splitlines()]
        return [line, *(it for it in lines if it), f"    exit {code}"]

    def expand_argument(self, text: str) -> str:
        """Return an argument, with %NAME replaced by the path of the case's file."""
        return str(self.folder / text[1:]) if text.startswith("%") else text

    def apply_change(self, text: str) -> None:
        """Execute a line that begins with !."""
        command, _, rest = text.partition(" ")
        match command:
            case "log":
                self.daemon.set_log(LogMode(rest))
            case "other":
                self.daemon.append(record_of(rest))
            case "report":
                name, offset, age = rest.split()
                self.daemon.report_centre(name, int(offset), float(age))
            case "file":
                name, _, content = rest.partition(" ")
                (self.folder / name).write_text(content, encoding="utf-8")
            case "add":
                name, _, content = rest.partition(" ")
                with (self.folder / name).open("a", encoding="utf-8") as file:
                    file.write(content + "\n")
            case _:
                raise AssertionError(f"unknown command {command!r}")


@pytest.fixture
def runner(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> Iterator[CommandRunner]:
    """Yield a command runner for a daemon without settings."""
    with fake_daemon() as daemon:
        yield CommandRunner(daemon, tmp_path, capsys)


@pytest.mark.parametrize(
    "case", load_cases("ctl.test", CASES) + load_cases("check.test", CASES), ids=str
)
def test_command_line(case: Case, runner: CommandRunner) -> None:
    check_lines(case, [shown for line in case.lines("in") for shown in runner.run_line(line)])


def test_check_without_an_instance(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    """Guards against a check that needs an instance which the operator cannot reach."""
    path = tmp_path / "settings.json"
    path.write_text('{"/limits/default": {"requests_s": 1}}', encoding="utf-8")
    for options, reason in (((), "no instance was asked"), (("--admin", "127.0.0.1:1"), "cannot")):
        with pytest.raises(SystemExit) as raised:
            main([*options, "settings", "check", str(path)])
        assert not raised.value.code
        first, second = capsys.readouterr().out.splitlines()
        assert first.startswith(f"not compared with the settings in force: {reason}")
        assert second == "nothing found in 1 values"


def test_check_prints_one_json_document(runner: CommandRunner) -> None:
    runner.apply_change('file s.json {"/limits/team:x": {"requests_s": 1}}')
    path = runner.expand_argument("%s.json")
    code, output = runner.run("--output", "json", "settings", "check", path)
    body = json.loads(output)
    assert code == 1
    assert [(each["line"], each["kind"]) for each in body["reports"]] == [(1, "unused")]
    assert [each["path"] for each in body["differences"]] == ["/limits/team:x"]


def test_change_refused_in_an_outage_can_be_sent_again(runner: CommandRunner) -> None:
    """Guards against a change that cannot be retried after the log refused it.

    The daemon of these tests gives up after half a second.
    """
    runner.apply_change("log down")
    args = ("settings", "set", "/limits/default", '{"requests_s": 1}', "--change-id", "change-1")
    code, output = runner.run(*args)
    assert (code, output) == (3, "not made: the platform's log did not take it\n")
    runner.apply_change("log up")
    code, output = runner.run(*args)
    assert (code, output) == (0, "accepted: /limits/default is at version 1\n")
    code, output = runner.run("settings", "change", "change-1")
    assert (code, output) == (0, "accepted: /limits/default is at version 1\n")


def test_pending_change_is_reported_later(runner: CommandRunner) -> None:
    """Guards against reporting a failure when an append may have taken effect.

    The instance answers `pending` until it can read the log again.
    """
    runner.apply_change("log hides")
    args = ("settings", "set", "/limits/default", "{}", "--change-id", "change-1")
    code, output = runner.run(*args)
    assert code == 3
    assert output.startswith("pending:")
    assert "turmericctl settings change change-1" in output
    code, output = runner.run("settings", "change", "change-1")
    assert (code, output.partition(":")[0]) == (3, "pending")
    runner.apply_change("log up")
    code, output = runner.run("settings", "change", "change-1")
    assert (code, output) == (0, "accepted: /limits/default is at version 1\n")


def test_wait_reports_a_slower_data_centre(runner: CommandRunner) -> None:
    """Guards against ending the wait before a slower data centre has the change."""
    runner.apply_change("report b 0 0")
    delayed_report = threading.Timer(0.5, runner.daemon.report_centre, ("b", 1))
    delayed_report.start()
    code, output = runner.run("settings", "set", "/limits/default", "{}", "--wait")
    delayed_report.join()
    assert code == 0
    assert output.splitlines()[1:] == ["a: in force", "b: in force"]


def test_json_output_of_a_change_is_one_document(runner: CommandRunner) -> None:
    runner.apply_change("report b 0 60")
    code, output = runner.run(
        *("--output", "json", "settings", "set", "/limits/default", "{}"),
        *("--wait", "--wait-timeout", "0.1"),
    )
    document, _, rest = output.rpartition("}\n")
    value = json.loads(document + "}")
    assert value["verdict"] == "accepted"
    assert value["left"] == ["b"]
    assert code == 3
    assert "b" in rest


def test_history_shows_time_and_operator(runner: CommandRunner) -> None:
    runner.run("settings", "set", "/limits/default", "{}")
    code, output = runner.run("settings", "history")
    assert code == 0
    title, row = output.splitlines()
    assert title.split()[:4] == ["OFFSET", "TIME", "VERDICT", "PATH"]
    assert re.match(
        r"0 +\d{4}-\d\d-\d\d \d\d:\d\d:\d\d +accepted +/limits/default +bootstrap/root ", row
    )


def test_value_from_standard_input(runner: CommandRunner, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(sys, "stdin", io.StringIO("// a comment\n{requests_s: 3}"))
    code, output = runner.run("settings", "set", "/limits/default", "-")
    assert (code, output) == (0, "accepted: /limits/default is at version 1\n")


def test_instance_without_settings_is_not_ready(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against an instance that reports itself ready without settings."""
    with fake_daemon(LogMode.DOWN) as daemon:
        runner = CommandRunner(daemon, tmp_path, capsys)
        code, output = runner.run("status")
        assert code == 0
        assert re.search(r"^ready +False$", output, re.MULTILINE)
        code, output = runner.run("--token", "wrong", "settings", "get")
    assert code == 3
    assert "no settings yet" in output


def test_path_without_a_slash_is_rejected(runner: CommandRunner) -> None:
    for words in (("set", "policy", "{}"), ("delete", "policy"), ("get", "policy")):
        code, output = runner.run("settings", *words)
        assert code == 2
        assert "expected a path that begins with /" in output


def test_wrong_token_is_refused(runner: CommandRunner) -> None:
    code, output = runner.run("--token", "wrong", "settings", "get")
    assert code == 1
    assert output == "turmericctl: expected the bearer token of an operator\n"


def test_unreachable_instance_is_reported() -> None:
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


def _all_options(command: click.Command, name: str) -> Iterator[tuple[str, click.Option]]:
    for parameter in command.params:
        if isinstance(parameter, click.Option):
            yield name, parameter
    if isinstance(command, click.Group):
        for subcommand in command.commands.values():
            yield from _all_options(subcommand, f"{name} {subcommand.name}")


def test_every_command_and_flag_has_help() -> None:
    for name, option in _all_options(cli, "turmericctl"):
        assert option.help, f"{name} {option.name} has no help"
    commands = [cli, *cli.commands.values()]
    for command in commands:
        assert command.help, f"{command.name} has no help"
