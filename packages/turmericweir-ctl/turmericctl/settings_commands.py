"""The `settings` group of commands, which read and change settings."""

from __future__ import annotations

import sys
import time
from pathlib import Path
from typing import Any, Final

import click
import json5
from returns.pipeline import is_successful
from uuid6 import uuid7

from turmericctl import messages
from turmericctl.client import Answer, Client
from turmericctl.context import Session, pass_session
from turmericctl.exit_codes import CommandError, ExitCode
from turmericctl.output import JSON, compact, table
from turmericctl.rollout import wait_in_force
from turmericweir_core.records.settings_model import read_config

_STDIN: Final = "-"
# How long an instance waits for the platform's log before it answers `pending`.
_VERDICT_WAIT_S: Final = 5.0


@click.group(help=messages.SETTINGS_HELP)
def settings() -> None:
    """Group the settings commands."""


def _check_path(_: click.Context, __: click.Parameter, path: str) -> str:
    if not path.startswith("/"):
        raise click.BadParameter(messages.NOT_A_PATH.format(path=path))
    return path


# --- reading ---------------------------------------------------------------------------------


@settings.command("get", help=messages.GET_HELP)
@click.argument("path", default="/", callback=_check_path)
@pass_session
def get(session: Session, path: str) -> None:
    """Show the values at and below a path."""
    with session.client() as client:
        listing = client.get("/settings", {"prefix": path})
    entries = listing["entries"]
    if not entries and path != "/":
        raise CommandError(ExitCode.REFUSED, messages.NOTHING_SET.format(path=path))
    rows = [(it["path"], it["version"], it["operator"], it["value"]) for it in entries]
    session.printer.show(listing, table(("PATH", "VERSION", "SET BY", "VALUE"), rows))


@settings.command("history", help=messages.HISTORY_HELP)
@click.option("--prefix", default="/", help=messages.PREFIX_HELP)
@pass_session
def history(session: Session, prefix: str) -> None:
    """Show the most recent changes and their verdicts."""
    with session.client() as client:
        listing = client.get("/settings/history", {"prefix": prefix})
    rows = [_history_row(it) for it in listing["history"]]
    titles = ("OFFSET", "TIME", "VERDICT", "PATH", "OPERATOR", "CHANGE")
    session.printer.show(listing, table(titles, rows))


def _history_row(item: dict[str, Any]) -> tuple[object, ...]:
    changed_at = item.get("at")
    shown_time = (
        time.strftime("%Y-%m-%d %H:%M:%S", time.localtime(changed_at)) if changed_at else None
    )
    details = (item.get(key) for key in ("path", "operator", "change_id"))
    return (item["offset"], shown_time, item["verdict"], *details)


@settings.command("change", help=messages.CHANGE_HELP)
@click.argument("change_id")
@pass_session
def change(session: Session, change_id: str) -> None:
    """Show the verdict on one change."""
    with session.client() as client:
        answer = client.call("GET", f"/settings/changes/{change_id}")
        if answer.code is not ExitCode.OK:
            raise client.error_of(answer)
    session.printer.show(answer.body, verdict_lines(answer.body))
    _exit_unless_ok(_exit_code_of(answer))


# --- changing --------------------------------------------------------------------------------


_change_options: Final = (
    click.option("--expect", type=click.IntRange(min=0), help=messages.EXPECT_HELP),
    click.option("--wait", is_flag=True, help=messages.WAIT_HELP),
    click.option(
        "--wait-timeout",
        type=click.FloatRange(min=0),
        default=30.0,
        show_default=True,
        help=messages.WAIT_TIMEOUT_HELP,
    ),
    click.option("--change-id", help=messages.CHANGE_ID_HELP),
)


# Any: click's decorators accept and return any callable.
def _with_change_options(command: Any) -> Any:
    for option in reversed(_change_options):
        command = option(command)
    return command


@settings.command("set", help=messages.SET_HELP)
@click.argument("path", callback=_check_path)
@click.argument("value")
@_with_change_options
@pass_session
def set_(
    session: Session,
    path: str,
    value: str,
    expect: int | None,
    wait: bool,
    wait_timeout: float,
    change_id: str | None,
) -> None:
    """Set a value."""
    json_text = sys.stdin.read() if value == _STDIN else value
    body = {"value": _parse_json(json_text, "the value")}
    _change_setting(session, "PUT", path, body, expect, change_id, wait_timeout if wait else None)


@settings.command("delete", help=messages.DELETE_HELP)
@click.argument("path", callback=_check_path)
@_with_change_options
@pass_session
def delete(
    session: Session,
    path: str,
    expect: int | None,
    wait: bool,
    wait_timeout: float,
    change_id: str | None,
) -> None:
    """Delete a value."""
    _change_setting(session, "DELETE", path, {}, expect, change_id, wait_timeout if wait else None)


def _change_setting(
    session: Session,
    method: str,
    path: str,
    body: dict[str, Any],
    expect: int | None,
    change_id: str | None,
    wait_s: float | None,
) -> None:
    body |= {"expected_version": expect, "change_id": change_id or str(uuid7())}
    with session.client() as client:
        answer = _send_change(client, method, path, body)
        if "verdict" not in answer.body:
            raise client.error_of(answer)
        rollout = _print_and_wait(session, client, answer, wait_s)
    if session.printer.output_format == JSON:
        session.printer.show({**answer.body, **rollout}, ())
    _exit_unless_ok(_exit_code_of(answer))
    if not rollout.get("in_force_everywhere", True):
        waiting_for = ", ".join(rollout["left"])
        message = messages.WAIT_TIMED_OUT.format(data_centres=waiting_for)
        raise CommandError(ExitCode.UNREACHABLE, message)


def _send_change(client: Client, method: str, path: str, body: dict[str, Any]) -> Answer:
    query = {"wait_s": _VERDICT_WAIT_S}
    return client.call(method, f"/settings{path}", query, body, extra_s=_VERDICT_WAIT_S)


def _print_and_wait(
    session: Session, client: Client, answer: Answer, wait_s: float | None
) -> dict[str, Any]:
    """Print the verdict, then wait for the data centres if `--wait` was given."""
    is_quiet = session.printer.output_format == JSON
    if not is_quiet:
        session.printer.show(None, verdict_lines(answer.body))
    if wait_s is None or answer.body["verdict"] != "accepted":
        return {}
    return wait_in_force(client, answer.body["offset"] + 1, wait_s, is_quiet=is_quiet)


def _exit_code_of(answer: Answer) -> ExitCode:
    if answer.status == 202:
        return ExitCode.UNREACHABLE
    verdict = answer.body["verdict"]
    if verdict == "accepted":
        return ExitCode.OK
    return _VERDICT_CODES.get(verdict, ExitCode.REFUSED)


_VERDICT_CODES: Final = {"invalid": ExitCode.INVALID, "not_appended": ExitCode.UNREACHABLE}


def _exit_unless_ok(code: ExitCode) -> None:
    if code is not ExitCode.OK:
        click.get_current_context().exit(code)


def verdict_lines(body: dict[str, Any]) -> list[str]:
    """Return the lines that describe the verdict on a change."""
    match body["verdict"]:
        case "accepted" if "version" not in body:
            return [messages.ACCEPTED_BEFORE.format(**body)]
        case "accepted" if body["version"] == 0:
            return [messages.ACCEPTED_DELETION.format(**body)]
        case "accepted":
            return [messages.ACCEPTED.format(**body)]
        case "conflict" if "version" in body:
            return _conflict_lines(body)
        case "invalid" if "problems" in body:
            return [messages.INVALID.format(**body), *map(_problem_line, body["problems"])]
        case "forbidden" if "operator" in body:
            return [messages.FORBIDDEN.format(**body)]
        case "not_appended":
            return [messages.NOT_APPENDED.format(**body)]
        case "pending":
            return [messages.PENDING.format(**body)]
        case verdict:
            path = body.get("path", body.get("change_id", ""))
            return [messages.OTHER_VERDICT.format(verdict=verdict, path=path)]


def _conflict_lines(body: dict[str, Any]) -> list[str]:
    expected = body["expected_version"]
    first_line = messages.CONFLICT.format(**body, expected=expected)
    if body["value"] is None:
        return [first_line, messages.CONFLICT_ABSENT]
    value = compact(body["value"])
    return [first_line, messages.CONFLICT_VALUE.format(won_by=body["won_by"], value=value)]


def _problem_line(problem: dict[str, str]) -> str:
    template = messages.PROBLEM if problem["field"] else messages.PROBLEM_AS_A_WHOLE
    return template.format(**problem)


# --- files -----------------------------------------------------------------------------------


@settings.command("validate", help=messages.VALIDATE_HELP)
@click.argument("file", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option("--offline", is_flag=True, help=messages.OFFLINE_HELP)
@pass_session
def validate(session: Session, file: Path, offline: bool) -> None:
    """Check a file of values."""
    values = _read_file(file)
    if offline:
        results = _check_offline(values)
    else:
        with session.client() as client:
            answer = client.call("POST", "/settings/validate", body={"settings": values})
            if answer.code is not ExitCode.OK:
                raise client.error_of(answer)
        results = answer.body["results"]
    invalid_results = [it for it in results if it["verdict"] != "accepted"]
    lines = [line for it in invalid_results for line in verdict_lines(it)]
    session.printer.show(
        {"valid": not invalid_results, "results": results},
        lines or [messages.VALID.format(count=len(values))],
    )
    _exit_unless_ok(ExitCode.INVALID if invalid_results else ExitCode.OK)


def _check_offline(values: dict[str, Any]) -> list[dict[str, Any]]:
    result = read_config(values)
    if is_successful(result):
        return [{"verdict": "accepted", "path": path} for path in values]
    return [
        {
            "verdict": "invalid",
            "path": error.path,
            "problems": [{"field": it.field, "expected": it.expected} for it in error.problems],
        }
        for error in result.failure()
    ]


@settings.command("diff", help=messages.DIFF_HELP)
@click.argument("file", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option("--prefix", default="/", help=messages.PREFIX_HELP)
@pass_session
def diff(session: Session, file: Path, prefix: str) -> None:
    """Compare a file of values with the current settings."""
    wanted_values = _read_file(file)
    with session.client() as client:
        listing = client.get("/settings", {"prefix": prefix})
    current_values = {it["path"]: it["value"] for it in listing["entries"]}
    root = prefix.rstrip("/")
    wanted_values = {
        path: value for path, value in wanted_values.items() if (path + "/").startswith(root + "/")
    }
    differences = list_differences(current_values, wanted_values)
    lines = [line for it in differences for line in diff_lines(it)]
    session.printer.show({"differences": differences}, lines or [messages.SAME])
    _exit_unless_ok(ExitCode.REFUSED if differences else ExitCode.OK)


def list_differences(current: dict[str, Any], wanted: dict[str, Any]) -> list[dict[str, Any]]:
    """Return the paths whose values differ, with both values."""
    return [
        {"path": path, "is": current.get(path), "wanted": wanted.get(path)}
        for path in sorted({*current, *wanted})
        if current.get(path) != wanted.get(path)
    ]


def diff_lines(item: dict[str, Any]) -> list[str]:
    """Return the lines that show a difference."""
    lines = []
    if item["is"] is not None:
        lines.append(f"- {item['path']} {compact(item['is'])}")
    if item["wanted"] is not None:
        lines.append(f"+ {item['path']} {compact(item['wanted'])}")
    return lines


def _read_file(file: Path) -> dict[str, Any]:
    values = _parse_json(file.read_text(encoding="utf-8"), str(file))
    if not isinstance(values, dict):
        message = messages.NOT_AN_OBJECT.format(origin=file)
        raise CommandError(ExitCode.INVALID, message)
    return values


def _parse_json(text: str, origin: str) -> Any:
    try:
        return json5.loads(text)
    except ValueError as exc:
        message = messages.NOT_JSON.format(origin=origin, error=exc)
        raise CommandError(ExitCode.INVALID, message) from exc
