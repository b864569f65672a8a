"""Validation of the fields of records from the platform's log.

Decoders catch the exceptions raised here and treat the record as malformed: it is counted and
changes nothing.
"""

from __future__ import annotations

from typing import Any, Final

# Larger numbers cannot be encoded in a record again.
_INT64_MAX: Final = 2**63 - 1


def require_text(value: Any) -> str:
    """Return the value if it is a string, else raise `TypeError`."""
    if not isinstance(value, str):
        raise TypeError(f"not a string: {value!r}")
    return value


def require_int(value: Any) -> int:
    """Return the value if it is a whole number of 64 bits, else raise `TypeError`."""
    if not isinstance(value, int) or isinstance(value, bool) or abs(value) > _INT64_MAX:
        raise TypeError(f"not a whole number of 64 bits: {value!r}")
    return value
