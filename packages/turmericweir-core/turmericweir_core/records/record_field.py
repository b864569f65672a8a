"""Check the fields of records that were read from the platform's log.

Whoever decodes a record catches what these raise and treats the record as malformed: it is counted
and changes nothing.
"""

from __future__ import annotations

from typing import Any


def text_field(value: Any) -> str:
    """Give a string, or raise `TypeError`."""
    if not isinstance(value, str):
        raise TypeError(f"not a string: {value!r}")
    return value


def whole_field(value: Any) -> int:
    """Give a whole number, or raise `TypeError`."""
    if not isinstance(value, int) or isinstance(value, bool):
        raise TypeError(f"not a whole number: {value!r}")
    return value
