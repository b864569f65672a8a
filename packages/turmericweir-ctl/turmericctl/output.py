"""Print results as a table or as JSON."""

from __future__ import annotations

import json
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any, Final

import click

TABLE: Final = "table"
JSON: Final = "json"
_GAP: Final = "  "


@dataclass(frozen=True, slots=True)
class Printer:
    """Prints in the form that the user chose."""

    form: str

    # Any: whatever a command shows.
    def show(self, value: Any, lines: Sequence[str]) -> None:
        """Print the value as JSON, or the lines that say the same."""
        if self.form == JSON:
            click.echo(json.dumps(value, indent=2, ensure_ascii=False))
            return
        for line in lines:
            click.echo(line)


def table(titles: Sequence[str], rows: Sequence[Sequence[object]]) -> list[str]:
    """Lay rows out in columns under titles."""
    cells = [list(titles), *([_cell(value) for value in row] for row in rows)]
    widths = [max(len(row[at]) for row in cells) for at in range(len(titles))]
    return [_line(row, widths) for row in cells]


def _cell(value: object) -> str:
    if value is None:
        return "-"
    if isinstance(value, float):
        return f"{value:g}"
    if isinstance(value, dict | list):
        return compact(value)
    return str(value)


def _line(row: Sequence[str], widths: Sequence[int]) -> str:
    padded = (text.ljust(width) for text, width in zip(row, widths, strict=True))
    return _GAP.join(padded).rstrip()


def compact(value: object) -> str:
    """Write JSON in one line."""
    return json.dumps(value, ensure_ascii=False)
