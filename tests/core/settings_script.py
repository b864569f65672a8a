"""The language in which cases write records of the settings stream.

    set ID OPERATOR PATH @VERSION JSON     a change that sets a path
    delete ID OPERATOR PATH @VERSION       a change that deletes one
    raw JSON                               anything else

The operator `root` is one of the process file.
"""

from __future__ import annotations

import json
from typing import Any, Final

ROOT: Final = "root"


def record_of(line: str) -> Any:
    """Return the record that a line describes."""
    keyword, _, rest = line.partition(" ")
    if keyword == "raw":
        return json.loads(rest)
    change_id, operator, path, version, *value = rest.split(" ", 4)
    assert keyword in ("set", "delete"), f"unknown word in {line!r}"
    return change(
        change_id,
        path,
        json.loads(value[0]) if keyword == "set" else None,
        expected_version=int(version.removeprefix("@")),
        operator=operator,
    )


def change(
    change_id: str, path: str, value: Any, *, expected_version: int = 0, operator: str = ROOT
) -> dict[str, Any]:
    """Return a change record."""
    return {
        "type": "change",
        "change_id": change_id,
        "path": path,
        "expected_version": expected_version,
        "value": value,
        "operator": operator,
        "authority": "bootstrap" if operator == ROOT else "operator",
        "at": 1.5,
    }
