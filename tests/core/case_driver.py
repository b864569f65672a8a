"""Read test cases from data files and compare the output with the expectation.

A case begins with `[case name]` and its input, followed by sections such as `[out]`. Lines that
begin with `#` are comments; blank lines are ignored.
"""

from __future__ import annotations

import difflib
import re
from dataclasses import dataclass, field
from pathlib import Path
from typing import Final

CASES: Final = Path(__file__).parent / "cases"
INPUT: Final = "in"
OUTPUT: Final = "out"

_CASE: Final = re.compile(r"\[case ([a-z0-9_]+)\]")
_SECTION: Final = re.compile(r"\[([a-z_]+)\]")


@dataclass(frozen=True, slots=True)
class Case:
    """One case of a data file."""

    name: str
    # Lines by section; the input is the section `in`.
    sections: dict[str, list[str]] = field(default_factory=dict)

    def __str__(self) -> str:
        return self.name

    def lines(self, section: str) -> list[str]:
        """Return the lines of a section, or an empty list."""
        return self.sections.get(section, [])


def load_cases(file_name: str, folder: Path = CASES) -> list[Case]:
    """Read all cases of a file."""
    cases: list[Case] = []
    section = INPUT
    for line in (folder / file_name).read_text(encoding="utf-8").splitlines():
        text = line.rstrip()
        if not text or text.startswith("#"):
            continue
        if match := _CASE.fullmatch(text):
            cases.append(Case(match[1]))
            section = INPUT
        elif match := _SECTION.fullmatch(text):
            section = match[1]
        else:
            cases[-1].sections.setdefault(section, []).append(text)
    names = [case.name for case in cases]
    assert len(set(names)) == len(names), f"{file_name} uses a case name twice"
    return cases


def check_lines(case: Case, actual: list[str], section: str = OUTPUT) -> None:
    """Compare a section with the output; fail with a diff."""
    expected = case.lines(section)
    if expected == actual:
        return
    diff = difflib.unified_diff(expected, actual, "expected", "actual", lineterm="", n=100)
    raise AssertionError(f"case {case.name}, section [{section}]\n" + "\n".join(diff))
