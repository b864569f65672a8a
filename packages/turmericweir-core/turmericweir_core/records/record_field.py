"""Validation of the fields of records from the platform's log.

Decoders catch the exceptions raised here and treat the record as malformed: it is counted and
changes nothing.
"""

from __future__ import annotations

from typing import Any


def require_text(value: Any) -> str:
    """Return the value if it is a string, else raise `TypeError`."""
    if not isinstance(value, str):
        raise TypeError(f"not a string: {value!r}")
    return value


def require_int(value: Any) -> int:
    """Return the value if it is a whole number, else raise `TypeError`."""
    if not isinstance(value, int) or isinstance(value, bool):
        raise TypeError(f"not a whole number: {value!r}")
    return value
