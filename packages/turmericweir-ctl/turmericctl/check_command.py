"""The command `settings check`, which checks a file of settings before it is sent."""

from __future__ import annotations

from dataclasses import asdict
from pathlib import Path
from typing import Any

import click

from turmericctl import messages
from turmericctl.context import Session, pass_session
from turmericctl.exit_codes import CommandError, ExitCode
from turmericctl.settings_check import CheckedFile, Report, check_file
from turmericctl.settings_commands import diff_lines, list_differences


@click.command("check", help=messages.CHECK_HELP)
@click.argument("file", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option("--offline", is_flag=True, help=messages.CHECK_OFFLINE_HELP)
@pass_session
def check(session: Session, file: Path, offline: bool) -> None:
    """Check a file of values, and compare it with the values in force."""
    in_force: dict[str, Any] = {}
    not_compared = ""
    if offline or session.admin is None:
        not_compared = messages.NO_INSTANCE
    else:
        try:
            in_force = _read_in_force(session)
        except CommandError as exc:
            if exc.code is not ExitCode.UNREACHABLE:
                raise
            not_compared = str(exc)
    checked = check_file(file.read_bytes(), in_force)
    differences = [] if not_compared or checked.has_errors else _differences(checked, in_force)
    lines = [_report_line(file, report) for report in checked.reports]
    lines += [line for each in differences for line in diff_lines(each)]
    if not_compared:
        lines.append(messages.NOT_COMPARED.format(reason=not_compared))
    if not checked.reports:
        lines.append(messages.NOTHING_FOUND.format(count=len(checked.values)))
    body = {
        "reports": [asdict(report) for report in checked.reports],
        "differences": differences,
        "not_compared": not_compared,
    }
    session.printer.show(body, lines)
    click.get_current_context().exit(_exit_code(checked, has_differences=bool(differences)))


def _read_in_force(session: Session) -> dict[str, Any]:
    with session.client() as client:
        listing = client.get("/settings", {"prefix": "/"})
    return {entry["path"]: entry["value"] for entry in listing["entries"]}


def _differences(checked: CheckedFile, in_force: dict[str, Any]) -> list[dict[str, Any]]:
    """Return what the file would change; what it does not name stays as it is."""
    return list_differences({path: in_force.get(path) for path in checked.values}, checked.values)


def _report_line(file: Path, report: Report) -> str:
    place = f"{file}:{report.line}" if report.line else str(file)
    subject = " ".join(each for each in (report.path, report.field) if each)
    return ": ".join(each for each in (place, report.kind, subject, report.text) if each)


def _exit_code(checked: CheckedFile, *, has_differences: bool) -> ExitCode:
    if checked.has_errors:
        return ExitCode.INVALID
    return ExitCode.REFUSED if checked.reports or has_differences else ExitCode.OK
