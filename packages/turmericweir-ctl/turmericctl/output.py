"""Print the results of commands as a table or as JSON."""

from __future__ import annotations

import json
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any, Final

import click

TABLE: Final = "table"
JSON: Final = "json"
_COLUMN_SEPARATOR: Final = "  "


@dataclass(frozen=True, slots=True)
class Printer:
    """Prints in the output format that the user chose."""

    output_format: str

    # Any: any JSON value.
    def show(self, value: Any, lines: Sequence[str]) -> None:
        """Print the value as JSON, or the equivalent lines of text."""
        if self.output_format == JSON:
            click.echo(json.dumps(value, indent=2, ensure_ascii=False))
            return
        for line in lines:
            click.echo(line)


def table(titles: Sequence[str], rows: Sequence[Sequence[object]]) -> list[str]:
    """Return the lines of a table with aligned columns."""
    cells = [list(titles), *([_format_cell(value) for value in row] for row in rows)]
    widths = [max(len(row[column]) for row in cells) for column in range(len(titles))]
    return [_format_row(row, widths) for row in cells]


def _format_cell(value: object) -> str:
    if value is None:
        return "-"
    if isinstance(value, float):
        return f"{value:g}"
    if isinstance(value, dict | list):
        return compact(value)
    return str(value)


def _format_row(row: Sequence[str], widths: Sequence[int]) -> str:
    padded = (text.ljust(width) for text, width in zip(row, widths, strict=True))
    return _COLUMN_SEPARATOR.join(padded).rstrip()


def compact(value: object) -> str:
    """Return a value as JSON on one line."""
    return json.dumps(value, ensure_ascii=False)
