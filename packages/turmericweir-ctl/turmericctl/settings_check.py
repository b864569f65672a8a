"""Check a file of settings before it is sent: errors, and values that are hardly meant.

The values are checked as they would stand beside those in force, or by themselves if these are not
known. Everything here works without an instance.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any, Final

import json5
from returns.pipeline import is_successful

from turmericctl import messages
from turmericctl.json_lines import LineIndex, index_lines
from turmericweir_core.records.settings_checks import check_values
from turmericweir_core.records.settings_model import SettingsEntry, SettingsValue, read_value
from turmericweir_core.records.settings_path import Problem
from turmericweir_core.records.settings_refs import check_refs, index_providers

ERROR: Final = "error"
# The library's errors begin with `<string>:LINE `.
_PARSER_PREFIX: Final = re.compile(r"<string>:(\d+) ")


@dataclass(frozen=True, slots=True)
class Report:
    """One line of the result."""

    # From 1; None if nothing of it stands in the file.
    line: int | None
    # `error`, or the kind of a `Finding`.
    kind: str
    path: str
    field: str
    text: str


@dataclass(frozen=True, slots=True)
class CheckedFile:
    """The values of a file, and what was found in them."""

    values: dict[str, Any]
    reports: tuple[Report, ...]

    @property
    def has_errors(self) -> bool:
        """Whether the values would be refused."""
        return any(report.kind == ERROR for report in self.reports)


def check_file(content: bytes, in_force: Mapping[str, object]) -> CheckedFile:
    """Check a file's content beside the raw values in force by path."""
    try:
        text = content.decode()
    except UnicodeDecodeError as exc:
        line = content.count(b"\n", 0, exc.start) + 1
        return CheckedFile({}, (Report(line, ERROR, "", "", messages.NOT_UTF8),))
    try:
        raw = json5.loads(text)
    except RecursionError:
        return CheckedFile({}, (Report(None, ERROR, "", "", messages.TOO_DEEP),))
    except ValueError as exc:
        return CheckedFile({}, (_parser_report(str(exc)),))
    if not isinstance(raw, dict):
        return CheckedFile({}, (Report(1, ERROR, "", "", messages.EXPECTED_OBJECT),))
    index = index_lines(text)
    values, reports = _read_values(raw, index)
    reports += [
        Report(line, ERROR, ".".join(position), "", messages.REPEATED_KEY)
        for position, line in index.repeated
    ]
    # What an invalid value would have provided must not count as missing.
    if not reports:
        reports = _check_together(values, in_force, index)
    return CheckedFile(raw, tuple(sorted(reports, key=lambda report: report.line or 0)))


def _parser_report(error: str) -> Report:
    match = _PARSER_PREFIX.match(error)
    line = int(match[1]) if match else None
    return Report(line, ERROR, "", "", _PARSER_PREFIX.sub("", error))


def _read_values(
    raw: Mapping[str, object], index: LineIndex
) -> tuple[dict[str, SettingsValue], list[Report]]:
    values: dict[str, SettingsValue] = {}
    reports: list[Report] = []
    for path, raw_value in raw.items():
        result = read_value(path, raw_value)
        if is_successful(result):
            values[path] = result.unwrap()
        else:
            reports += _problem_reports(path, result.failure().problems, index)
    return values, reports


def _check_together(
    values: Mapping[str, SettingsValue], in_force: Mapping[str, object], index: LineIndex
) -> list[Report]:
    results = {path: read_value(path, raw) for path, raw in in_force.items()}
    current = {path: each.unwrap() for path, each in results.items() if is_successful(each)}
    merged = {**current, **values}
    entries = {path: SettingsEntry(0, value, "", 0.0) for path, value in merged.items()}
    providers = index_providers(entries)
    reports: list[Report] = []
    for path, value in values.items():
        problems = check_refs(entries, providers, path, value)
        reports += _problem_reports(path, problems, index)
    for finding in check_values(merged):
        if finding.path in values:
            line = _line_of(index, finding.path, finding.field)
            reports.append(
                Report(line, finding.kind.value, finding.path, finding.field, finding.text)
            )
    return reports


def _problem_reports(path: str, problems: Iterable[Problem], index: LineIndex) -> list[Report]:
    return [
        Report(_line_of(index, path, each.field), ERROR, path, each.field, each.expected)
        for each in problems
    ]


def _line_of(index: LineIndex, path: str, field: str) -> int | None:
    """Return the line of a field, whose names may contain dots, or of what is around it."""
    position: tuple[str, ...] = (path,)
    rest = field
    while rest:
        starts = [rest[:end] for end in _ends(rest)]
        name = next((each for each in starts if (*position, each) in index.lines), None)
        if name is None:
            break
        position = (*position, name)
        rest = rest[len(name) + 1 :]
    return index.line_of(position)


def _ends(text: str) -> list[int]:
    """Return where a name at the start of a text may end, the longest first."""
    return [len(text), *(match.start() for match in reversed(list(re.finditer(r"\.", text))))]
