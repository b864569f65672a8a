"""Tests of findings in whole settings, from `cases/settings_checks.test`."""

from __future__ import annotations

import json

import pytest

from tests.core.case_driver import Case, check_lines, load_cases
from turmericweir_core.records.settings_checks import Finding, check_values
from turmericweir_core.records.settings_model import SettingsValue, read_value


def _values(case: Case) -> dict[str, SettingsValue]:
    values: dict[str, SettingsValue] = {}
    for number, line in enumerate(case.lines("in")):
        path, _, text = line.partition(" ")
        # A key stands once in all settings.
        values[path] = read_value(path, json.loads(text.replace("KEY", f"{number:064x}"))).unwrap()
    return values


def _line(finding: Finding) -> str:
    subject = " ".join(each for each in (finding.kind, finding.path, finding.field) if each)
    return f"{subject}: {finding.text}"


@pytest.mark.parametrize("case", load_cases("settings_checks.test"), ids=str)
def test_findings(case: Case) -> None:
    check_lines(case, [_line(finding) for finding in check_values(_values(case))])
