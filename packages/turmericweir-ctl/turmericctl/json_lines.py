"""Find the lines of values in JSON with comments.

The JSON library returns values only. The text must be valid.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Final, TypeAlias

import json5

# Keys and list positions from the outermost value inwards.
Position: TypeAlias = tuple[str, ...]

_TOKEN: Final = re.compile(
    r"""
    (?P<skipped> \s+ | //[^\n]* | /\*.*?\*/ )
    | (?P<string> "(?:\\.|[^"\\])*" | '(?:\\.|[^'\\])*' )
    | (?P<mark> [{}\[\]:,] )
    | (?P<word> [^\s{}\[\]:,"'/]+ )
    """,
    re.VERBOSE | re.DOTALL,
)
_OPENING: Final = frozenset("{[")
_CLOSING: Final = frozenset("}]")


@dataclass(slots=True)
class LineIndex:
    """Lines of a text, from 1, by the position of the value or of its key."""

    lines: dict[Position, int] = field(default_factory=dict)
    # Keys that stand twice in one object, with the line of the later one.
    repeated: list[tuple[Position, int]] = field(default_factory=list)

    def line_of(self, position: Position) -> int | None:
        """Return the line of a value, or of the innermost one around it; None if there is none."""
        while position:
            if position in self.lines:
                return self.lines[position]
            position = position[:-1]
        return None


@dataclass(slots=True)
class _Level:
    """An object or a list that is being read."""

    is_list: bool
    # The key or the position of the current value.
    key: str = ""
    count: int = 0
    # Whether a key is expected next.
    awaits_key: bool = False


def index_lines(text: str) -> LineIndex:
    """Return the lines of all values in a text."""
    index = LineIndex()
    levels: list[_Level] = []
    for token, line in _tokens(text):
        level = levels[-1] if levels else None
        if token in _CLOSING:
            levels.pop()
        elif token == ",":
            if level is not None:
                level.count += 1
                level.awaits_key = not level.is_list
        elif token == ":":
            continue
        elif level is not None and level.awaits_key:
            level.key = _read_key(token)
            level.awaits_key = False
            _add_key(index, levels, line)
        else:
            if level is not None and level.is_list:
                level.key = str(level.count)
                index.lines.setdefault(_position(levels), line)
            if token in _OPENING:
                levels.append(_Level(is_list=token == "[", awaits_key=token == "{"))
    return index


def _tokens(text: str) -> Iterator[tuple[str, int]]:
    line = 1
    for match in _TOKEN.finditer(text):
        if match.lastgroup != "skipped":
            yield match[0], line
        line += match[0].count("\n")


def _add_key(index: LineIndex, levels: list[_Level], line: int) -> None:
    position = _position(levels)
    if position in index.lines:
        index.repeated.append((position, line))
        # What is inside the earlier value is lost with it.
        inside = [each for each in index.lines if each[: len(position)] == position]
        for each in inside:
            del index.lines[each]
    index.lines[position] = line


def _position(levels: list[_Level]) -> Position:
    return tuple(level.key for level in levels)


def _read_key(token: str) -> str:
    return str(json5.loads(token)) if token[0] in "\"'" else token
