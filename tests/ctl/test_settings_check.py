"""Tests of files that the command's cases cannot write."""

from __future__ import annotations

import pytest

from turmericctl.settings_check import check_file


@pytest.mark.parametrize(
    ("content", "line", "text"),
    [
        pytest.param(b'{\n"/limits/default": "\xff"}', 2, "expected UTF-8", id="not UTF-8"),
        pytest.param(b"[" * 100_000, None, "nested too deeply", id="nested too deeply"),
        pytest.param(b"", None, "Empty strings are not legal JSON5", id="empty"),
    ],
)
def test_unreadable_file_is_an_error(content: bytes, line: int | None, text: str) -> None:
    # Guards against a stack trace in place of an error.
    checked = check_file(content, {})
    assert checked.has_errors
    assert [(each.line, each.text) for each in checked.reports] == [(line, text)]
